//! The simulated fleet: event queue, agents and faults.

use std::collections::BTreeMap;

use fes_idempotency::PURGE_PERIOD_MS;
use fes_idempotency::StoreLimits;
use fes_membership::lifecycle::DrainSource;
use fes_membership::lifecycle::LifecycleEvent;
use fes_protocol::Incarnation;
use fes_protocol::MonoTime;
use fes_protocol::NodeId;
use fes_protocol::PeerHeartbeat;
use fes_protocol::RequestId;
use fes_protocol::TargetId;

use super::agent::Origin;
use super::agent::SERVICE;
use super::agent::SimulatedAgent;
use super::clients::ClientAttempt;
use super::event::Event;
use super::event::Fault;
use super::injected_bug::InjectedBug;
use super::network::SimulatedNetwork;

/// Time after which a lost connection or link is noticed.
const IDLE_TIMEOUT_MS: u64 = 4_500;

/// One run of a request at an upstream.
#[derive(Debug, Clone)]
pub struct UpstreamRun {
    /// When the upstream ran it.
    pub at: MonoTime,
    /// Value of the `Idempotency-Key` header.
    pub key: String,
    /// Body of the request.
    pub body: String,
}

/// The simulated fleet on virtual time.
#[derive(Debug)]
pub struct FleetSimulation {
    /// Virtual time.
    pub now: MonoTime,
    /// All links.
    pub network: SimulatedNetwork,
    /// Agents by target.
    pub agents: BTreeMap<TargetId, SimulatedAgent>,
    /// Clients' tries in the order in which they were sent.
    pub attempts: Vec<ClientAttempt>,
    /// Every run at an upstream.
    pub runs: Vec<UpstreamRun>,
    /// One hop per line.
    pub trace: Vec<String>,
    /// Broken rules that show at once, such as a start past the deadline.
    pub violations: Vec<String>,
    /// Short names of keys for traces.
    pub aliases: BTreeMap<String, String>,
    /// Limits of the stores of agents that start from now on.
    pub limits: StoreLimits,
    /// Drain bound of agents that start from now on, in milliseconds.
    pub drain_bound_ms: u64,
    queue: BTreeMap<(MonoTime, u64), Event>,
    sequence: u64,
    next_incarnation: u64,
    bug: InjectedBug,
}

impl FleetSimulation {
    /// Starts `agent_count` agents, which break the rule `bug`.
    #[must_use]
    pub fn new(seed: u64, agent_count: u32, bug: InjectedBug) -> Self {
        let mut simulation = Self {
            now: MonoTime::ZERO,
            network: SimulatedNetwork::new(seed),
            agents: BTreeMap::new(),
            attempts: Vec::new(),
            runs: Vec::new(),
            trace: Vec::new(),
            violations: Vec::new(),
            aliases: BTreeMap::new(),
            limits: StoreLimits::default(),
            drain_bound_ms: 3_600_000,
            queue: BTreeMap::new(),
            sequence: 0,
            next_incarnation: 100,
            bug,
        };
        for id in 1..=agent_count {
            simulation.start_agent(TargetId(id));
            simulation.schedule_ms(PURGE_PERIOD_MS, Event::Timer { at: TargetId(id) });
        }
        simulation
    }

    /// Starts an agent as a new incarnation.
    pub fn start_agent(&mut self, target: TargetId) {
        self.next_incarnation += 1;
        let agent = SimulatedAgent::new(
            target,
            Incarnation(self.next_incarnation),
            self.now,
            self.bug,
        );
        let before = self.agents.insert(target, agent);
        if let (Some(before), Some(agent)) = (before, self.agents.get_mut(&target)) {
            agent.inherit(&before, self.limits, self.drain_bound_ms);
        }
        self.set_loss_cause(target, "agent restarted");
        self.say(format!("a{target} starts"));
    }

    pub(super) fn say(&mut self, line: String) {
        self.trace
            .push(format!("{:>7} ms  {line}", self.now.as_ms()));
    }

    /// Returns the short name of a key.
    #[must_use]
    pub fn alias(&self, key: &str) -> String {
        self.aliases
            .get(key)
            .cloned()
            .unwrap_or_else(|| key.to_string())
    }

    pub(super) fn schedule_us(&mut self, delay_us: u64, event: Event) {
        self.sequence += 1;
        self.queue
            .insert((self.now.plus_us(delay_us), self.sequence), event);
    }

    pub(super) fn schedule_ms(&mut self, delay_ms: u64, event: Event) {
        self.schedule_us(delay_ms * 1_000, event);
    }

    /// Lets a fault happen after `delay_ms`.
    pub fn schedule_fault(&mut self, delay_ms: u64, fault: Fault) {
        self.schedule_ms(delay_ms, Event::Fault(fault));
    }

    /// Issues a key whose prefix comes from `agent`.
    pub fn issue_key(&mut self, agent: TargetId, name: &str) -> String {
        let now = self.now;
        let agent = self.agents.get_mut(&agent).expect("agent exists");
        let local = agent.local(now);
        let key = format!("{}.{name}", agent.coordinator.issue_prefix(local));
        self.aliases.insert(key.clone(), name.into());
        key
    }

    /// Lets `to` learn the clock and the spare capacity of `from`.
    pub fn deliver_heartbeat(&mut self, from: TargetId, to: TargetId, spare_milli: u32) {
        let sender = &self.agents[&from];
        let heartbeat = PeerHeartbeat {
            service: SERVICE,
            target: from,
            incarnation: sender.incarnation,
            sequence: self.now.as_us(),
            lifecycle: sender.life.lifecycle(),
            capacity_milli: spare_milli,
            demand_milli: 0,
            queue_wait_ms: 0,
            long_wait_ms: 0,
            flow_count: 0,
            key_issue_ms: sender.local(self.now).as_ms(),
            heard: Vec::new(),
        };
        let receiver = self.agents.get_mut(&to).expect("agent exists");
        let local = receiver.local(self.now);
        receiver.coordinator.observe_peer(local, &heartbeat);
    }

    /// Runs until `self.now + ms`.
    pub fn run_ms(&mut self, ms: u64) {
        let until = self.now.plus_ms(ms);
        while let Some(((at, sequence), event)) = self.queue.pop_first() {
            if at > until {
                self.queue.insert((at, sequence), event);
                break;
            }
            self.now = at;
            self.dispatch(event);
        }
        self.now = until;
    }

    /// Ends the run: every try whose path had a fault lost its connection; any other must be over.
    pub fn finish_after_ms(&mut self, ms: u64) {
        self.run_ms(ms);
        self.close_open_attempts();
    }

    /// Forgets all pending events, among them the periodic timers.
    pub fn clear_pending_events(&mut self) {
        self.queue.clear();
    }

    /// Returns the number of events that wait to be delivered.
    #[must_use]
    pub fn pending_event_count(&self) -> usize {
        self.queue.len()
    }

    /// Delivers one of the pending events, whatever its time, a millisecond later.
    pub fn deliver_event(&mut self, index: usize) {
        let key = *self.queue.keys().nth(index).expect("the event is pending");
        let event = self.queue.remove(&key).expect("the event is pending");
        self.now = self.now.plus_ms(1);
        self.dispatch(event);
    }

    /// Lets an agent die.
    pub fn crash(&mut self, target: TargetId) {
        self.say(format!("a{target} dies"));
        self.lose_links(target);
        self.lose_relayed(target);
        if let Some(agent) = self.agents.get_mut(&target) {
            agent.is_up = false;
        }
        self.set_loss_cause(target, "agent died");
    }

    /// Pauses an agent for `ms`.
    pub fn pause(&mut self, target: TargetId, ms: u64) {
        self.say(format!("a{target} is paused"));
        if let Some(agent) = self.agents.get_mut(&target) {
            agent.paused = true;
        }
        self.schedule_fault(ms, Fault::Resume(target));
    }

    /// Cuts the link of two nodes.
    pub fn partition(&mut self, a: NodeId, b: NodeId) {
        self.say(format!("{} and {} lose contact", short(a), short(b)));
        self.network.partition(a, b);
        if let (NodeId::Agent(a), NodeId::Agent(b)) = (a, b) {
            self.lose_relays(a, b);
            self.lose_relays(b, a);
        }
    }

    /// Sends SIGTERM to an agent.
    pub fn drain(&mut self, target: TargetId) {
        self.say(format!("a{target} gets SIGTERM"));
        self.life(target, LifecycleEvent::Drain(DrainSource::Signal));
        self.report_progress(target);
    }

    /// Lets a ticket say that an agent's upstream is leaving, or that it is active.
    pub fn set_leaving(&mut self, target: TargetId, leaving: bool) {
        let (word, event) = match leaving {
            true => ("leaving", LifecycleEvent::Drain(DrainSource::Ticket)),
            false => ("active", LifecycleEvent::Withdrawn(DrainSource::Ticket)),
        };
        self.say(format!("a ticket says that a{target} is {word}"));
        self.life(target, event);
    }

    pub(super) fn lose_links(&mut self, target: TargetId) {
        let others: Vec<TargetId> = self
            .agents
            .keys()
            .copied()
            .filter(|id| *id != target)
            .collect();
        for other in others {
            self.lose_relays(other, target);
        }
    }

    /// Tells the owners of requests that `relay` relayed that their sender is gone.
    fn lose_relayed(&mut self, relay: TargetId) {
        let from_relay =
            |origin: &Origin| matches!(origin, Origin::Peer { target, .. } if *target == relay);
        let mut lost = Vec::new();
        for (to, agent) in &self.agents {
            let origins = agent.requests.values().map(|open| open.origin);
            lost.extend(origins.filter(from_relay).map(|origin| (*to, origin)));
        }
        for (to, origin) in lost {
            let delay_us = self.network.delay_us();
            self.schedule_us(delay_us, Event::Cancel { to, origin });
        }
    }

    /// Reports every open relay of `relay` to `owner` as lost, once that is noticed.
    fn lose_relays(&mut self, relay: TargetId, owner: TargetId) {
        let Some(agent) = self.agents.get(&relay) else {
            return;
        };
        let incarnation = agent.incarnation;
        let lost = agent.relays.iter().filter(|(_, to)| **to == owner);
        let lost: Vec<RequestId> = lost.map(|(request, _)| *request).collect();
        for request in lost {
            self.queue_link_lost(relay, incarnation, request);
        }
    }

    pub(super) fn queue_link_lost(
        &mut self,
        to: TargetId,
        incarnation: Incarnation,
        request: RequestId,
    ) {
        self.schedule_ms(
            IDLE_TIMEOUT_MS,
            Event::LinkLost {
                to,
                incarnation,
                request,
            },
        );
    }
}

/// Name of a node in traces and scenarios.
pub(super) fn short(node: NodeId) -> String {
    match node {
        NodeId::Entry(id) => format!("e{id}"),
        NodeId::Agent(id) => format!("a{id}"),
    }
}
