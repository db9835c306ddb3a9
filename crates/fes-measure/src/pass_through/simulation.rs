//! Flows through entries and agents in virtual time.

use fes_passthrough::LoadReport;
use fes_protocol::MonoTime;

use super::agent::Agent;
use super::agent::Waiting;
use super::entry::Entry;
use super::entry::REPORT_PERIOD_MS;
use super::fleet::DATA_CENTRES;
use super::fleet::Target;
use super::flow_policy::FlowPolicy;
use super::load::Load;
use super::load::Request;
use super::load::RequestClass;
use super::outcome::Execution;
use super::outcome::Executions;
use super::scenario::ENDS_AT;
use crate::sim::EventQueue;

/// Entries in each data centre. Each knows its own placements and the agents' reports only.
const ENTRIES_PER_DATA_CENTRE: usize = 2;
/// One-way trips until the first request of a flow reaches the agent: the opening packet, its
/// answer, and the request.
const FIRST_REQUEST_TRIPS: u64 = 3;

#[derive(Debug, Clone, Copy)]
enum Event {
    FlowOpened {
        flow: usize,
    },
    FlowReaches {
        target: usize,
    },
    FlowClosed {
        flow: usize,
    },
    RequestSent {
        request: usize,
    },
    RequestReaches {
        request: usize,
        target: usize,
    },
    RequestEnds {
        request: usize,
        target: usize,
    },
    ReportDue {
        target: usize,
        entry: usize,
    },
    ReportReaches {
        target: usize,
        entry: usize,
        report: LoadReport,
    },
}

struct Simulation<'a> {
    load: &'a Load,
    targets: &'a [Target],
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    /// Target of each flow, once it is placed.
    placed: Vec<usize>,
    executions: Executions,
    events: EventQueue<Event>,
}

/// Runs a load under a policy that places flows.
pub(crate) fn simulate(
    policy: FlowPolicy,
    load: &Load,
    targets: &[Target],
    seed: u64,
) -> Executions {
    let waiting = match policy {
        FlowPolicy::Random => Waiting::first_come,
        _ => Waiting::queue,
    };
    let entries = DATA_CENTRES * ENTRIES_PER_DATA_CENTRE;
    let entry = |number: usize| {
        let data_centre = number % DATA_CENTRES;
        Entry::new(
            policy,
            targets,
            data_centre,
            number as u64,
            entries as u64,
            seed,
        )
    };
    let agent = |target: &Target| Agent::new(target.slots, waiting());
    let mut simulation = Simulation {
        load,
        targets,
        entries: (0..entries).map(entry).collect(),
        agents: targets.iter().map(agent).collect(),
        placed: vec![0; load.flows.len()],
        executions: vec![None; load.requests.len()],
        events: EventQueue::new(),
    };
    simulation.schedule();
    simulation.run();
    simulation.executions
}

impl Simulation<'_> {
    /// Schedules all flows and requests, and the first reports, which are spread over a period.
    fn schedule(&mut self) {
        let reports = self.targets.len() * self.entries.len();
        for index in 0..reports {
            let (target, entry) = (index % self.targets.len(), index / self.targets.len());
            let offset_us = REPORT_PERIOD_MS * 1_000 * index as u64 / reports as u64;
            let due = Event::ReportDue { target, entry };
            self.events.push(MonoTime::from_us(offset_us), due);
        }
        for (flow, opened) in self.load.flows.iter().enumerate() {
            if opened.class == RequestClass::LongFlow {
                self.events
                    .push(opened.opened_at, Event::FlowOpened { flow });
                self.events
                    .push(opened.closed_at, Event::FlowClosed { flow });
            }
        }
        for (request, sent) in self.load.requests.iter().enumerate() {
            self.events
                .push(sent.sent_at, Event::RequestSent { request });
        }
    }

    fn run(&mut self) {
        while let Some((now, event)) = self.events.pop() {
            match event {
                Event::FlowOpened { flow } => self.on_opened(now, flow),
                Event::FlowReaches { target } => self.agents[target].open_stream(),
                Event::FlowClosed { flow } => self.agents[self.placed[flow]].close_stream(),
                Event::RequestSent { request } => self.on_sent(now, request),
                Event::RequestReaches { request, target } => {
                    let requirements = self.load.requests[request].class.requirements();
                    let opened_ms = self.ms_since_opening(request, target);
                    let remaining = requirements.after_ms(opened_ms);
                    let started = self.agents[target].on_request(now, request, remaining);
                    self.start(now, target, started);
                }
                Event::RequestEnds { request, target } => {
                    let started = self.agents[target].on_end(now, request);
                    self.start(now, target, started);
                }
                Event::ReportDue { target, entry } => self.on_report_due(now, target, entry),
                Event::ReportReaches {
                    target,
                    entry,
                    report,
                } => self.entries[entry].on_report(now, target, report),
            }
        }
    }

    fn on_opened(&mut self, now: MonoTime, flow: usize) {
        let opened = &self.load.flows[flow];
        let requirements = opened.class.requirements();
        let entry = opened.data_centre + DATA_CENTRES * (flow % ENTRIES_PER_DATA_CENTRE);
        let target = self.entries[entry].place(now, flow, requirements.flow_use);
        self.placed[flow] = target;
        if opened.class == RequestClass::LongFlow {
            let trip_us = self.targets[target].trip_us(opened.data_centre);
            let event = Event::FlowReaches { target };
            self.events.push(now.plus_us(trip_us), event);
        }
    }

    fn on_sent(&mut self, now: MonoTime, request: usize) {
        let sent = &self.load.requests[request];
        if sent.class != RequestClass::LongFlow {
            self.on_opened(now, sent.flow);
        }
        let target = self.placed[sent.flow];
        let trips = match sent.class {
            RequestClass::LongFlow => 1,
            RequestClass::NonRepeatable | RequestClass::Download => FIRST_REQUEST_TRIPS,
        };
        let reaches_at = now.plus_us(trips * self.trip_us(sent, target));
        let event = Event::RequestReaches { request, target };
        self.events.push(reaches_at, event);
    }

    /// Returns the time from the arrival of the opening packet at the agent until the flow's only
    /// request arrives, from which the agent counts the request's time; 0 for a long flow.
    fn ms_since_opening(&self, request: usize, target: usize) -> u64 {
        let sent = &self.load.requests[request];
        match sent.class {
            RequestClass::LongFlow => 0,
            RequestClass::NonRepeatable | RequestClass::Download => {
                (FIRST_REQUEST_TRIPS - 1) * self.trip_us(sent, target) / 1_000
            }
        }
    }

    fn trip_us(&self, request: &Request, target: usize) -> u64 {
        self.targets[target].trip_us(request.data_centre)
    }

    fn start(&mut self, now: MonoTime, target: usize, started: Vec<usize>) {
        for request in started {
            let sent = &self.load.requests[request];
            let ended_at = now.plus_us(self.targets[target].run_us(sent.work_us));
            self.executions[request] = Some(Execution {
                target,
                started_at: now,
                ended_at,
                answered_at: ended_at.plus_us(self.trip_us(sent, target)),
            });
            let event = Event::RequestEnds { request, target };
            self.events.push(ended_at, event);
        }
    }

    fn on_report_due(&mut self, now: MonoTime, target: usize, entry: usize) {
        let report = self.agents[target].report(now);
        let trip_us = self.targets[target].trip_us(entry % DATA_CENTRES);
        let event = Event::ReportReaches {
            target,
            entry,
            report,
        };
        self.events.push(now.plus_us(trip_us), event);
        let next_at = now.plus_ms(REPORT_PERIOD_MS);
        if next_at < ENDS_AT {
            self.events
                .push(next_at, Event::ReportDue { target, entry });
        }
    }
}
