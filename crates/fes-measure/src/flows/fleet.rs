//! Simulation of flows on virtual time.

use fes_protocol::MonoTime;
use fes_protocol::TargetId;

use super::liveness::ViewAt;
use super::packet::CLIENT_ID_LEN_BYTES;
use super::packet::first_packet;
use super::plan;
use super::plan::Plan;
use super::process::Agent;
use super::process::Process;
use super::round_trip::Flow;
use super::round_trip::RoundTrip;
use crate::Policy;
use crate::Profile;
use crate::sim::EventQueue;
use crate::sim::Variates;

/// Entries in front of the service.
pub(crate) const ENTRY_COUNT: usize = 4;

/// Maximum delay from the publication of a ticket until a process applies it, in milliseconds.
const MAX_PROPAGATION_MS: usize = 7_000;

/// Interval of keep-alive packets, in milliseconds.
const KEEP_ALIVE_INTERVAL_MS: u64 = 1_000;

/// Delay before a lost packet is retransmitted, in milliseconds.
const RETRANSMIT_DELAY_MS: u64 = 300;

/// Idle time after which a client considers a flow broken, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 4_500;

/// Failure-detection timeout: time from a target's crash until the verdict, in milliseconds.
const CONFIRMATION_DELAY_MS: u64 = 3_000;

/// Maximum delay until gossip has spread the verdict to a process, in milliseconds.
const MAX_GOSSIP_DELAY_MS: usize = 1_000;

/// New flows per second, in addition to those opened at the start.
const NEW_FLOWS_PER_S: u64 = 50;

/// One packet in this many is also sent to an address of the other service.
const MISADDRESSED_ONE_IN: usize = 100;

#[derive(Debug)]
enum Event {
    Open,
    Packet(usize),
    ApplyAtEntry(usize, usize),
    ApplyAtAgent(usize, usize),
    EntryRestart,
    EntryCrash,
    TargetCrash,
}

/// Outcomes of the flows of a run.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct FlowResult {
    pub(crate) opened: u64,
    pub(crate) broken_by_planned_change: u64,
    pub(crate) broken_by_entry_crash: u64,
    pub(crate) broken_by_other_target_crash: u64,
    pub(crate) broken_with_own_target: u64,
    pub(crate) delivered_to_other_service: u64,
    pub(crate) crashed_entries: u64,
    /// Longest time from a target's crash until a client detected that its flow broke, in
    /// milliseconds.
    pub(crate) max_detection_ms: u64,
}

/// Simulation of entries, agents and flows.
#[derive(Debug)]
pub(crate) struct FlowFleet {
    pub(crate) policy: Policy,
    pub(crate) plan: Plan,
    pub(crate) now: MonoTime,
    pub(crate) entries: Vec<Process>,
    pub(crate) agents: Vec<Agent>,
    pub(crate) flows: Vec<Flow>,
    pub(crate) variates: Variates,
    events: EventQueue<Event>,
    pub(crate) result: FlowResult,
}

impl FlowFleet {
    /// Simulates the [`Plan`] to its end.
    pub(crate) fn run(profile: &Profile, seed: u64, policy: Policy) -> FlowResult {
        let plan = Plan::new(profile);
        let first = &plan.changes[0];
        let agents = plan.targets().into_iter();
        let mut fleet = Self {
            policy,
            now: MonoTime::ZERO,
            entries: (0..ENTRY_COUNT)
                .map(|_| Process::new(MonoTime::ZERO, 0, first))
                .collect(),
            agents: agents
                .map(|(service, target)| Agent::new(service, target, first))
                .collect(),
            flows: Vec::new(),
            variates: Variates::new(seed, 30),
            events: EventQueue::new(),
            result: FlowResult::default(),
            plan,
        };
        fleet.schedule_plan();
        fleet.schedule_flows(profile);
        while let Some((at, event)) = fleet.events.pop() {
            fleet.now = at;
            fleet.handle_event(event);
        }
        fleet.result
    }

    fn schedule_plan(&mut self) {
        for index in 1..self.plan.changes.len() {
            let published_at = self.plan.changes[index].published_at;
            for entry in 0..self.entries.len() {
                let at = published_at.plus_ms(self.variates.below(MAX_PROPAGATION_MS) as u64);
                self.events.push(at, Event::ApplyAtEntry(entry, index));
            }
            for agent in 0..self.agents.len() {
                let at = published_at.plus_ms(self.variates.below(MAX_PROPAGATION_MS) as u64);
                self.events.push(at, Event::ApplyAtAgent(agent, index));
            }
        }
        self.schedule_suspicion();
        self.events
            .push(plan::ENTRY_RESTART_AT, Event::EntryRestart);
        self.events.push(plan::ENTRY_CRASH_AT, Event::EntryCrash);
        self.events.push(plan::TARGET_CRASH_AT, Event::TargetCrash);
    }

    fn schedule_suspicion(&mut self) {
        let window = (plan::SUSPICION_START, plan::SUSPICION_END);
        for index in 0..self.entries.len() + self.agents.len() {
            if self.variates.uniform() < 0.5 {
                let process = self.process(index);
                let suspected = &mut process.verdicts.suspected;
                suspected.insert(plan::FALSELY_SUSPECTED_TARGET, window);
            }
        }
    }

    fn schedule_flows(&mut self, profile: &Profile) {
        let open_count = profile.targets * profile.connections_per_target;
        for _ in 0..open_count {
            let at = MonoTime::from_ms(self.variates.below(4_000) as u64);
            self.events.push(at, Event::Open);
        }
        for number in 0..plan::END.as_ms() / 1_000 * NEW_FLOWS_PER_S {
            let at = MonoTime::from_ms(number * 1_000 / NEW_FLOWS_PER_S);
            self.events.push(at, Event::Open);
        }
    }

    fn process(&mut self, index: usize) -> &mut Process {
        let entry_count = self.entries.len();
        if index < entry_count {
            &mut self.entries[index]
        } else {
            &mut self.agents[index - entry_count].process
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Open => self.open(),
            Event::Packet(flow) => self.send_packet(flow),
            Event::ApplyAtEntry(entry, index) => {
                self.entries[entry].apply(now, index, &self.plan.changes[index]);
            }
            Event::ApplyAtAgent(agent, index) => {
                let agent = &mut self.agents[agent];
                if agent.process.apply(now, index, &self.plan.changes[index]) {
                    agent.is_draining = agent.target == plan::DRAINED_TARGET;
                }
            }
            Event::EntryRestart => {
                let index = self.plan.changes.len() - 1;
                self.entries[0] = Process::new(now, index, &self.plan.changes[index]);
            }
            Event::EntryCrash => self.crash_entries(),
            Event::TargetCrash => self.crash_target(),
        }
    }

    fn crash_entries(&mut self) {
        let count = 1 + self.variates.below(ENTRY_COUNT - 1);
        let mut order: Vec<usize> = (0..ENTRY_COUNT).collect();
        self.variates.shuffle(&mut order);
        for entry in &order[..count] {
            self.entries[*entry].is_alive = false;
        }
        self.result.crashed_entries = count as u64;
    }

    fn crash_target(&mut self) {
        let crashed = plan::CRASHED_TARGET;
        for index in 0..self.entries.len() + self.agents.len() {
            let gossip_delay_ms = self.variates.below(MAX_GOSSIP_DELAY_MS) as u64;
            let at = self.now.plus_ms(CONFIRMATION_DELAY_MS + gossip_delay_ms);
            self.process(index).verdicts.lost.insert(crashed, at);
        }
        for agent in self.agents.iter_mut().filter(|a| a.target == crashed) {
            agent.process.is_alive = false;
        }
    }

    fn open(&mut self) {
        let number = self.flows.len();
        let mut client_id = [0; CLIENT_ID_LEN_BYTES];
        client_id[..8].copy_from_slice(&self.variates.random_u64().to_be_bytes());
        let hash = self.variates.random_u64();
        self.flows.push(Flow {
            number,
            hash,
            owner: None,
            datagram: first_packet(client_id),
            last_success: self.now,
        });
        self.events.push(self.now, Event::Packet(number));
    }

    fn send_packet(&mut self, flow: usize) {
        if self.variates.below(MISADDRESSED_ONE_IN) == 0 {
            self.send_to_other_service(flow);
        }
        match self.round_trip(flow) {
            RoundTrip::Answered => {
                self.flows[flow].last_success = self.now;
                self.schedule_packet(flow, KEEP_ALIVE_INTERVAL_MS);
            }
            RoundTrip::Lost => {
                let silent_ms = self.now.ms_since(self.flows[flow].last_success);
                if silent_ms + RETRANSMIT_DELAY_MS > IDLE_TIMEOUT_MS {
                    self.handle_broken_flow(flow);
                } else {
                    self.schedule_packet(flow, RETRANSMIT_DELAY_MS);
                }
            }
            RoundTrip::Reset => self.handle_broken_flow(flow),
        }
    }

    fn schedule_packet(&mut self, flow: usize, after_ms: u64) {
        let at = self.now.plus_ms(after_ms);
        if at < plan::END {
            self.events.push(at, Event::Packet(flow));
        }
    }

    fn handle_broken_flow(&mut self, flow: usize) {
        let now = self.now;
        if now < plan::END {
            self.events
                .push(now.plus_ms(KEEP_ALIVE_INTERVAL_MS), Event::Open);
        }
        let Some(owner) = self.flows[flow].owner else {
            return;
        };
        let result = &mut self.result;
        if owner == plan::CRASHED_TARGET && now >= plan::TARGET_CRASH_AT {
            result.broken_with_own_target += 1;
            let detection_ms = now.ms_since(plan::TARGET_CRASH_AT);
            result.max_detection_ms = result.max_detection_ms.max(detection_ms);
        } else if now >= plan::TARGET_CRASH_AT {
            result.broken_by_other_target_crash += 1;
        } else if now >= plan::ENTRY_CRASH_AT {
            result.broken_by_entry_crash += 1;
        } else {
            result.broken_by_planned_change += 1;
        }
    }

    /// Returns the current view of targets at a process.
    pub(crate) fn view<'a>(&self, process: &'a Process) -> ViewAt<'a> {
        ViewAt {
            now: self.now,
            verdicts: &process.verdicts,
        }
    }

    /// Returns the index of the agent of a target.
    pub(crate) fn agent_of(&self, target: TargetId) -> Option<usize> {
        self.agents.iter().position(|a| a.target == target)
    }
}
