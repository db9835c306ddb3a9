//! Discrete-event simulation of a fleet: event queue, agents and faults.

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

/// Idle timeout after which a node detects a lost connection or link.
const IDLE_TIMEOUT_MS: u64 = 4_500;

/// One execution of a request by an upstream.
#[derive(Debug, Clone)]
pub struct UpstreamRun {
    /// Virtual time at which the upstream ran the request.
    pub at: MonoTime,
    /// Value of the `Idempotency-Key` header.
    pub key: String,
    /// Body of the request.
    pub body: String,
}

/// A simulated fleet on virtual time.
#[derive(Debug)]
pub struct FleetSimulation {
    /// Current virtual time.
    pub now: MonoTime,
    /// Links between the nodes.
    pub network: SimulatedNetwork,
    /// Agents by target.
    pub agents: BTreeMap<TargetId, SimulatedAgent>,
    /// Attempts of all clients in sending order.
    pub attempts: Vec<ClientAttempt>,
    /// Executions by all upstreams in order.
    pub runs: Vec<UpstreamRun>,
    /// One line per hop of a request and per fault.
    pub trace: Vec<String>,
    /// Violations that are detected during the run, such as a start past the deadline.
    pub violations: Vec<String>,
    /// Short names of keys in the trace.
    pub aliases: BTreeMap<String, String>,
    /// Store limits of agents that are started after this is set.
    pub limits: StoreLimits,
    /// Drain bound of agents that are started after this is set, in milliseconds.
    pub drain_bound_ms: u64,
    queue: BTreeMap<(MonoTime, u64), Event>,
    sequence: u64,
    next_incarnation: u64,
    bug: InjectedBug,
}

impl FleetSimulation {
    /// Starts `agent_count` agents, all of which have `bug`.
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
            simulation.schedule_ms(
                PURGE_PERIOD_MS,
                Event::CoordinatorTimer { at: TargetId(id) },
            );
        }
        simulation
    }

    /// Starts an agent as a new incarnation, which keeps the configuration of the previous one.
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
            agent.copy_settings_from(&before, self.limits, self.drain_bound_ms);
        }
        self.set_loss_cause(target, "agent restarted");
        self.push_trace(format!("a{target} starts"));
    }

    pub(super) fn push_trace(&mut self, line: String) {
        self.trace
            .push(format!("{:>7} ms  {line}", self.now.as_ms()));
    }

    /// Returns the short name of a key, or the key itself if it has none.
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

    /// Schedules a fault after `delay_ms`.
    pub fn schedule_fault(&mut self, delay_ms: u64, fault: Fault) {
        self.schedule_ms(delay_ms, Event::Fault(fault));
    }

    /// Returns a key with a prefix issued by `agent`, and registers `name` as its short name.
    pub fn issue_key(&mut self, agent: TargetId, name: &str) -> String {
        let now = self.now;
        let agent = self.agents.get_mut(&agent).expect("agent exists");
        let local = agent.local_time(now);
        let key = format!("{}.{name}", agent.coordinator.issue_prefix(local));
        self.aliases.insert(key.clone(), name.into());
        key
    }

    /// Delivers a heartbeat with the key issue time and the spare capacity of `from` to `to`.
    pub fn deliver_heartbeat(&mut self, from: TargetId, to: TargetId, spare_milli: u32) {
        let sender = &self.agents[&from];
        let heartbeat = PeerHeartbeat {
            service: SERVICE,
            target: from,
            incarnation: sender.incarnation,
            sequence: self.now.as_us(),
            lifecycle: sender.lifecycle.lifecycle(),
            capacity_milli: spare_milli,
            demand_milli: 0,
            queue_wait_ms: 0,
            long_wait_ms: 0,
            flow_count: 0,
            key_issue_ms: sender.local_time(self.now).as_ms(),
            heard: Vec::new(),
        };
        let receiver = self.agents.get_mut(&to).expect("agent exists");
        let local = receiver.local_time(self.now);
        receiver.coordinator.observe_peer(local, &heartbeat);
    }

    /// Advances virtual time by `ms` and dispatches all events that fall due.
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

    /// Runs for `ms`, then closes the open attempts as [`Self::close_open_attempts`] does.
    pub fn finish_after_ms(&mut self, ms: u64) {
        self.run_ms(ms);
        self.close_open_attempts();
    }

    /// Removes all pending events, including the periodic timers.
    pub fn clear_pending_events(&mut self) {
        self.queue.clear();
    }

    /// Returns the number of undelivered events.
    #[must_use]
    pub fn pending_event_count(&self) -> usize {
        self.queue.len()
    }

    /// Advances time by a millisecond and delivers the pending event at `index`, whatever its time.
    pub fn deliver_event(&mut self, index: usize) {
        let key = *self.queue.keys().nth(index).expect("the event is pending");
        let event = self.queue.remove(&key).expect("the event is pending");
        self.now = self.now.plus_ms(1);
        self.dispatch(event);
    }

    /// Kills an agent without a drain.
    pub fn crash(&mut self, target: TargetId) {
        self.push_trace(format!("a{target} dies"));
        self.close_links_to(target);
        self.cancel_relayed_requests(target);
        if let Some(agent) = self.agents.get_mut(&target) {
            agent.is_up = false;
        }
        self.set_loss_cause(target, "agent crashed");
    }

    /// Pauses an agent for `ms`.
    pub fn pause(&mut self, target: TargetId, ms: u64) {
        self.push_trace(format!("a{target} is paused"));
        if let Some(agent) = self.agents.get_mut(&target) {
            agent.paused = true;
        }
        self.schedule_fault(ms, Fault::Resume(target));
    }

    /// Partitions two nodes until the network heals.
    pub fn partition(&mut self, a: NodeId, b: NodeId) {
        self.push_trace(format!(
            "{} and {} lose contact",
            node_label(a),
            node_label(b)
        ));
        self.network.partition(a, b);
        if let (NodeId::Agent(a), NodeId::Agent(b)) = (a, b) {
            self.fail_relays(a, b);
            self.fail_relays(b, a);
        }
    }

    /// Sends SIGTERM to an agent.
    pub fn drain(&mut self, target: TargetId) {
        self.push_trace(format!("a{target} gets SIGTERM"));
        self.handle_lifecycle(target, LifecycleEvent::Drain(DrainSource::Signal));
        self.report_progress(target);
    }

    /// Applies a ticket that marks an agent's upstream as leaving or as active.
    pub fn set_leaving(&mut self, target: TargetId, leaving: bool) {
        let (word, event) = match leaving {
            true => ("leaving", LifecycleEvent::Drain(DrainSource::Ticket)),
            false => ("active", LifecycleEvent::Withdrawn(DrainSource::Ticket)),
        };
        self.push_trace(format!("a ticket says that a{target} is {word}"));
        self.handle_lifecycle(target, event);
    }

    pub(super) fn close_links_to(&mut self, target: TargetId) {
        let others: Vec<TargetId> = self
            .agents
            .keys()
            .copied()
            .filter(|id| *id != target)
            .collect();
        for other in others {
            self.fail_relays(other, target);
        }
    }

    /// Cancels the requests that `from` has relayed to other agents, because `from` is down.
    fn cancel_relayed_requests(&mut self, from: TargetId) {
        let is_relayed =
            |origin: &Origin| matches!(origin, Origin::Peer { target, .. } if *target == from);
        let mut lost = Vec::new();
        for (to, agent) in &self.agents {
            let origins = agent.requests.values().map(|open| open.origin);
            lost.extend(origins.filter(is_relayed).map(|origin| (*to, origin)));
        }
        for (to, origin) in lost {
            let delay_us = self.network.delay_us();
            self.schedule_us(delay_us, Event::Cancel { to, origin });
        }
    }

    /// Reports the loss of the link to `owner` for every request that `from` has relayed there,
    /// after the idle timeout.
    fn fail_relays(&mut self, from: TargetId, owner: TargetId) {
        let Some(agent) = self.agents.get(&from) else {
            return;
        };
        let incarnation = agent.incarnation;
        let lost = agent.relays.iter().filter(|(_, to)| **to == owner);
        let lost: Vec<RequestId> = lost.map(|(request, _)| *request).collect();
        for request in lost {
            self.schedule_link_lost(from, incarnation, request);
        }
    }

    pub(super) fn schedule_link_lost(
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

/// Returns the name of a node in traces and scenario files, such as `e1` or `a2`.
pub(super) fn node_label(node: NodeId) -> String {
    match node {
        NodeId::Entry(id) => format!("e{id}"),
        NodeId::Agent(id) => format!("a{id}"),
    }
}
