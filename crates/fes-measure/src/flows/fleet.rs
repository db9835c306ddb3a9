//! Flows on virtual time.

use fes_protocol::MonoTime;
use fes_protocol::TargetId;

use super::liveness::ViewAt;
use super::packet::CLIENT_ID_LEN_BYTES;
use super::packet::first_packet;
use super::plan;
use super::plan::Plan;
use super::process::Agent;
use super::process::Process;
use super::route::Exchange;
use super::route::Flow;
use crate::Policy;
use crate::Profile;
use crate::sim::EventQueue;
use crate::sim::Variates;

/// Entries in front of the service.
pub(crate) const ENTRY_COUNT: usize = 4;

/// Longest time from publication until a process holds a ticket, in milliseconds.
const SPREAD_MS: usize = 7_000;

/// Period of keep-alives, in milliseconds.
const KEEP_ALIVE_MS: u64 = 1_000;

/// Time until a lost packet is sent again, in milliseconds.
const RETRANSMIT_MS: u64 = 300;

/// Silence after which a flow is lost, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 4_500;

/// Time from a target's death until a process knows that it is confirmed, in milliseconds: the
/// failure timeout, then up to a second of gossip.
const CONFIRMED_AFTER_MS: u64 = 3_000;
const GOSSIP_MS: usize = 1_000;

/// New flows per second besides those open from the start.
const NEW_FLOWS_PER_S: u64 = 50;

/// One packet in this many also goes to an address of the other service.
const MISADDRESSED_ONE_IN: usize = 100;

#[derive(Debug)]
enum Event {
    Open,
    Packet(usize),
    ApplyAtEntry(usize, usize),
    ApplyAtAgent(usize, usize),
    EntryRestarts,
    EntriesDie,
    TargetDies,
}

/// What became of the flows.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct FlowResult {
    pub(crate) opened: u64,
    pub(crate) broken_by_planned_change: u64,
    pub(crate) broken_by_entry_death: u64,
    pub(crate) broken_by_foreign_target_death: u64,
    pub(crate) broken_with_their_target: u64,
    pub(crate) delivered_to_other_service: u64,
    pub(crate) dead_entries: u64,
    /// Longest time from the death of its target until a flow's client knew, in milliseconds.
    pub(crate) longest_notice_ms: u64,
}

/// Entries, agents and flows.
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
    /// Runs the plan.
    pub(crate) fn run(profile: &Profile, seed: u64, policy: Policy) -> FlowResult {
        let plan = Plan::new(profile);
        let first = &plan.changes[0];
        let agents = plan.targets().into_iter();
        let mut fleet = Self {
            policy,
            now: MonoTime::ZERO,
            entries: (0..ENTRY_COUNT)
                .map(|_| Process::fresh(MonoTime::ZERO, 0, first))
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
            fleet.react(event);
        }
        fleet.result
    }

    fn schedule_plan(&mut self) {
        for index in 1..self.plan.changes.len() {
            let published_at = self.plan.changes[index].published_at;
            for entry in 0..self.entries.len() {
                let at = published_at.plus_ms(self.variates.below(SPREAD_MS) as u64);
                self.events.push(at, Event::ApplyAtEntry(entry, index));
            }
            for agent in 0..self.agents.len() {
                let at = published_at.plus_ms(self.variates.below(SPREAD_MS) as u64);
                self.events.push(at, Event::ApplyAtAgent(agent, index));
            }
        }
        self.schedule_suspicion();
        self.events.push(plan::ENTRY_RESTARTS, Event::EntryRestarts);
        self.events.push(plan::ENTRIES_DIE, Event::EntriesDie);
        self.events.push(plan::TARGET_DIES, Event::TargetDies);
    }

    fn schedule_suspicion(&mut self) {
        let window = (plan::SUSPECT_FROM, plan::SUSPECT_TO);
        for index in 0..self.entries.len() + self.agents.len() {
            if self.variates.uniform() < 0.5 {
                let process = self.process(index);
                let suspected = &mut process.verdicts.suspected;
                suspected.insert(plan::WRONGLY_SUSPECTED, window);
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

    fn react(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Open => self.open(),
            Event::Packet(flow) => self.packet(flow),
            Event::ApplyAtEntry(entry, index) => {
                self.entries[entry].apply(now, index, &self.plan.changes[index]);
            }
            Event::ApplyAtAgent(agent, index) => {
                let agent = &mut self.agents[agent];
                if agent.process.apply(now, index, &self.plan.changes[index]) {
                    agent.is_draining = agent.target == plan::DRAINED;
                }
            }
            Event::EntryRestarts => {
                let index = self.plan.changes.len() - 1;
                self.entries[0] = Process::fresh(now, index, &self.plan.changes[index]);
            }
            Event::EntriesDie => self.kill_entries(),
            Event::TargetDies => self.kill_target(),
        }
    }

    fn kill_entries(&mut self) {
        let count = 1 + self.variates.below(ENTRY_COUNT - 1);
        let mut order: Vec<usize> = (0..ENTRY_COUNT).collect();
        self.variates.shuffle(&mut order);
        for entry in &order[..count] {
            self.entries[*entry].is_alive = false;
        }
        self.result.dead_entries = count as u64;
    }

    fn kill_target(&mut self) {
        let dying = plan::DYING;
        for index in 0..self.entries.len() + self.agents.len() {
            let gossip_ms = self.variates.below(GOSSIP_MS) as u64;
            let at = self.now.plus_ms(CONFIRMED_AFTER_MS + gossip_ms);
            self.process(index).verdicts.lost.insert(dying, at);
        }
        for agent in self.agents.iter_mut().filter(|a| a.target == dying) {
            agent.process.is_alive = false;
        }
    }

    fn open(&mut self) {
        let number = self.flows.len();
        let mut client_id = [0; CLIENT_ID_LEN_BYTES];
        client_id[..8].copy_from_slice(&self.variates.bits().to_be_bytes());
        let hash = self.variates.bits();
        self.flows.push(Flow {
            number,
            hash,
            home: None,
            datagram: first_packet(client_id),
            last_success: self.now,
        });
        self.events.push(self.now, Event::Packet(number));
    }

    fn packet(&mut self, flow: usize) {
        if self.variates.below(MISADDRESSED_ONE_IN) == 0 {
            self.misaddress(flow);
        }
        match self.exchange(flow) {
            Exchange::Answered => {
                self.flows[flow].last_success = self.now;
                self.send_again(flow, KEEP_ALIVE_MS);
            }
            Exchange::Lost => {
                let silent_ms = self.now.ms_since(self.flows[flow].last_success);
                if silent_ms + RETRANSMIT_MS > IDLE_TIMEOUT_MS {
                    self.break_flow(flow);
                } else {
                    self.send_again(flow, RETRANSMIT_MS);
                }
            }
            Exchange::Reset => self.break_flow(flow),
        }
    }

    fn send_again(&mut self, flow: usize, after_ms: u64) {
        let at = self.now.plus_ms(after_ms);
        if at < plan::END {
            self.events.push(at, Event::Packet(flow));
        }
    }

    fn break_flow(&mut self, flow: usize) {
        let now = self.now;
        if now < plan::END {
            self.events.push(now.plus_ms(KEEP_ALIVE_MS), Event::Open);
        }
        let Some(home) = self.flows[flow].home else {
            return;
        };
        let result = &mut self.result;
        if home == plan::DYING && now >= plan::TARGET_DIES {
            result.broken_with_their_target += 1;
            let notice_ms = now.ms_since(plan::TARGET_DIES);
            result.longest_notice_ms = result.longest_notice_ms.max(notice_ms);
        } else if now >= plan::TARGET_DIES {
            result.broken_by_foreign_target_death += 1;
        } else if now >= plan::ENTRIES_DIE {
            result.broken_by_entry_death += 1;
        } else {
            result.broken_by_planned_change += 1;
        }
    }

    /// Returns one process's view of targets.
    pub(crate) fn view<'a>(&self, process: &'a Process) -> ViewAt<'a> {
        ViewAt {
            now: self.now,
            verdicts: &process.verdicts,
        }
    }

    /// Returns the position of a target's agent.
    pub(crate) fn agent_of(&self, target: TargetId) -> Option<usize> {
        self.agents.iter().position(|a| a.target == target)
    }
}
