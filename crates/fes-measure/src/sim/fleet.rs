//! Discrete-event simulation of a fleet on virtual time.

use fes_admission::RequestOrigin;
use fes_membership::heartbeat_period_ms;
use fes_protocol::MonoTime;
use fes_protocol::PeerHeartbeat;
use fes_protocol::RequestId;

use super::AgentPolicy;
use super::Discipline;
use super::EventQueue;
use super::Network;
use super::PolicyAction;
use super::RunResult;
use super::Scenario;
use super::attempt::Attempt;
use super::client::Connections;
use super::discipline::DisciplineAgent;
use super::workload::Workload;
use super::workload::build_agents;
use crate::Policy;

#[derive(Debug)]
enum Event {
    FirstAttempt,
    Retry {
        id: RequestId,
    },
    ArriveAtAgent {
        id: RequestId,
        agent: usize,
        origin: RequestOrigin,
    },
    Completed {
        id: RequestId,
        agent: usize,
    },
    RefusedByPeer {
        id: RequestId,
        peer: usize,
    },
    RefusedAtClient {
        id: RequestId,
    },
    ClientTimeout {
        id: RequestId,
    },
    CancelAtAgent {
        id: RequestId,
    },
    SendHeartbeats {
        agent: usize,
    },
    HeartbeatAtAgent {
        agent: usize,
        heartbeat: Box<PeerHeartbeat>,
    },
    Timer {
        agent: usize,
    },
}

/// Simulation of one scenario under one policy.
pub(crate) struct Fleet {
    scenario: Scenario,
    now: MonoTime,
    events: EventQueue<Event>,
    agents: Vec<Box<dyn AgentPolicy>>,
    upstream_running: Vec<u32>,
    connections: Connections,
    workload: Workload,
    network: Network,
    attempts: Vec<Attempt>,
    result: RunResult,
}

impl Fleet {
    /// Simulates the scenario to its end.
    pub(crate) fn run(scenario: Scenario, policy: Policy) -> RunResult {
        let build = |network: &Network| build_agents(&scenario, policy, network);
        Self::run_agents(scenario.clone(), policy, build)
    }

    /// Simulates the scenario with another queue discipline. Connections are placed as under
    /// [`Policy::Current`].
    pub(crate) fn run_discipline(scenario: Scenario, discipline: Discipline) -> RunResult {
        let profile = scenario.profile.clone();
        let agent = |own| -> Box<dyn AgentPolicy> {
            Box::new(DisciplineAgent::new(discipline, own, profile.slots))
        };
        let build = |_: &Network| (0..profile.targets).map(agent).collect();
        Self::run_agents(scenario, Policy::Current, build)
    }

    fn run_agents(
        scenario: Scenario,
        policy: Policy,
        build: impl FnOnce(&Network) -> Vec<Box<dyn AgentPolicy>>,
    ) -> RunResult {
        let targets = scenario.profile.targets;
        let workload = Workload::new(&scenario);
        let network = Network::new(&scenario.profile, workload.stream(1));
        let agents = build(&network);
        let connections = Connections::place(&scenario, policy, &mut workload.stream(2));
        let mut fleet = Self {
            now: MonoTime::ZERO,
            events: EventQueue::new(),
            agents,
            upstream_running: vec![0; targets],
            connections,
            workload,
            network,
            attempts: Vec::new(),
            result: RunResult {
                busy: vec![Vec::new(); targets],
                ..RunResult::default()
            },
            scenario,
        };
        fleet.start();
        fleet.run_events();
        fleet.into_result()
    }

    fn start(&mut self) {
        for agent in 0..self.agents.len() {
            let offset_ms = self.workload.below(self.heartbeat_period_ms() as usize) as u64;
            let at = MonoTime::from_ms(offset_ms);
            self.events.push(at, Event::SendHeartbeats { agent });
        }
        let first = self.workload.next_arrival(&self.scenario, MonoTime::ZERO);
        self.events.push(first, Event::FirstAttempt);
    }

    fn run_events(&mut self) {
        while let Some((at, event)) = self.events.pop() {
            if at > self.scenario.end {
                return;
            }
            self.now = at;
            self.handle_event(event);
        }
    }

    fn into_result(mut self) -> RunResult {
        for attempt in &self.attempts {
            if let (Some(agent), Some(start)) = (attempt.running_at, attempt.outcome.started_at) {
                self.result.busy[agent].push((start, self.scenario.end));
            }
        }
        self.result.outcomes = self.attempts.into_iter().map(|a| a.outcome).collect();
        self.result
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::FirstAttempt => self.first_attempt(),
            Event::Retry { id } => self.retry(id),
            Event::ArriveAtAgent { id, agent, origin } => self.arrive_at_agent(id, agent, origin),
            Event::Completed { id, agent } => self.complete(id, agent),
            Event::RefusedByPeer { id, peer } => {
                let attempt = &mut self.attempts[id.0 as usize];
                attempt.record_arrival(now, attempt.client_agent);
                let client_agent = attempt.client_agent;
                attempt.arrival.deadline =
                    self.network
                        .deadline_at(attempt.outcome.deadline, client_agent, client_agent);
                let actions = self.agents[client_agent].peer_refused(now, peer, &attempt.arrival);
                self.apply_actions(client_agent, actions);
            }
            Event::RefusedAtClient { id } => self.schedule_retry(id),
            Event::ClientTimeout { id } => self.on_client_timeout(id),
            Event::CancelAtAgent { id } => self.cancel(id),
            Event::SendHeartbeats { agent } => self.send_heartbeats(agent),
            Event::HeartbeatAtAgent { agent, heartbeat } => {
                self.agents[agent].on_heartbeat(now, &heartbeat);
            }
            Event::Timer { agent } => {
                let actions = self.agents[agent].timer(now);
                self.apply_actions(agent, actions);
            }
        }
    }

    fn first_attempt(&mut self) {
        let connection = self.connections.pick(self.workload.arrivals());
        let (class, cost_us) = self.workload.next_request(&self.scenario);
        self.send(connection, class, cost_us, 0);
        let next = self.workload.next_arrival(&self.scenario, self.now);
        self.events.push(next, Event::FirstAttempt);
    }

    fn retry(&mut self, id: RequestId) {
        let attempt = &self.attempts[id.0 as usize];
        let (connection, class) = (attempt.connection, attempt.class);
        let (cost_us, previous) = (attempt.outcome.cost_us, attempt.previous_attempts + 1);
        self.send(connection, class, cost_us, previous);
    }

    fn send(&mut self, connection: usize, class: usize, cost_us: u64, previous_attempts: u32) {
        let id = RequestId(self.attempts.len() as u64);
        let client_agent = self.connections.connections[connection].client_agent;
        let issued = self.connections.connections[connection].prefix_owner;
        let owner = issued.unwrap_or_else(|| self.agents[client_agent].issue_prefix(self.now));
        let attempt = self.workload.attempt(
            &self.scenario,
            super::workload::AttemptParams {
                id,
                now: self.now,
                connection,
                class,
                cost_us,
                previous_attempts,
                client_agent,
                owner,
            },
        );
        let deadline = attempt.outcome.deadline;
        self.attempts.push(attempt);
        let at = self.network.client_arrival(self.now);
        let origin = RequestOrigin::Client;
        self.events.push(
            at,
            Event::ArriveAtAgent {
                id,
                agent: client_agent,
                origin,
            },
        );
        self.events.push(deadline, Event::ClientTimeout { id });
    }

    fn arrive_at_agent(&mut self, id: RequestId, agent: usize, origin: RequestOrigin) {
        let attempt = &mut self.attempts[id.0 as usize];
        attempt.record_arrival(self.now, agent);
        attempt.arrival.origin = origin;
        attempt.arrival.deadline =
            self.network
                .deadline_at(attempt.outcome.deadline, attempt.client_agent, agent);
        let actions = self.agents[agent].arrive(self.now, &attempt.arrival);
        self.apply_actions(agent, actions);
    }

    fn apply_actions(&mut self, agent: usize, actions: Vec<PolicyAction>) {
        for action in actions {
            match action {
                PolicyAction::Start(id) => self.start_service(agent, id),
                PolicyAction::Refuse(id) => self.refuse(agent, id),
                PolicyAction::Timer(at) => self.events.push(at, Event::Timer { agent }),
                PolicyAction::Forward(id, to, origin) => {
                    self.result.forwarded_count += 1;
                    let at = self.network.reliable_arrival(self.now, agent, to);
                    let event = Event::ArriveAtAgent {
                        id,
                        agent: to,
                        origin,
                    };
                    self.events.push(at, event);
                }
            }
        }
    }

    fn start_service(&mut self, agent: usize, id: RequestId) {
        self.upstream_running[agent] += 1;
        if self.upstream_running[agent] > self.scenario.profile.slots {
            self.result.overrun_count += 1;
        }
        let attempt = &mut self.attempts[id.0 as usize];
        attempt.running_at = Some(agent);
        attempt.outcome.started_at = Some(self.now);
        let service_us = attempt.outcome.cost_us as f64 / self.scenario.speeds[agent];
        let at = self.now.plus_us(service_us as u64);
        self.events.push(at, Event::Completed { id, agent });
    }

    fn stop_service(&mut self, agent: usize, id: RequestId) -> bool {
        let attempt = &mut self.attempts[id.0 as usize];
        if attempt.running_at.take().is_none() {
            return false;
        }
        self.upstream_running[agent] -= 1;
        let started_at = attempt.outcome.started_at.unwrap_or(self.now);
        self.result.busy[agent].push((started_at, self.now));
        true
    }

    fn complete(&mut self, id: RequestId, agent: usize) {
        if !self.stop_service(agent, id) {
            return;
        }
        let client_agent = self.attempts[id.0 as usize].client_agent;
        let at_client_agent = if agent == client_agent {
            self.now
        } else {
            self.network.reliable_arrival(self.now, agent, client_agent)
        };
        let at_client = self.network.client_arrival(at_client_agent);
        let attempt = &mut self.attempts[id.0 as usize];
        attempt.outcome.answered_at = Some(at_client);
        let prefix_owner = self.agents[client_agent].issue_prefix(self.now);
        self.connections.connections[attempt.connection].prefix_owner = Some(prefix_owner);
        let actions = self.agents[agent].finished(self.now, id);
        self.apply_actions(agent, actions);
    }

    fn refuse(&mut self, agent: usize, id: RequestId) {
        let attempt = &mut self.attempts[id.0 as usize];
        let client_agent = attempt.client_agent;
        if agent == client_agent {
            attempt.outcome.refused_at = Some(self.now);
            let at = self.network.client_arrival(self.now);
            self.events.push(at, Event::RefusedAtClient { id });
            return;
        }
        let at = self.network.reliable_arrival(self.now, agent, client_agent);
        if attempt.arrival.origin == RequestOrigin::Offloaded {
            self.events
                .push(at, Event::RefusedByPeer { id, peer: agent });
            return;
        }
        attempt.outcome.refused_at = Some(self.now);
        let at = self.network.client_arrival(at);
        self.events.push(at, Event::RefusedAtClient { id });
    }

    fn schedule_retry(&mut self, id: RequestId) {
        let attempt = &self.attempts[id.0 as usize];
        if let Some(delay_us) = self.workload.retry_delay_us(&self.scenario, attempt) {
            let at = self.now.plus_us(delay_us);
            self.events.push(at, Event::Retry { id });
        }
    }

    fn on_client_timeout(&mut self, id: RequestId) {
        let attempt = &self.attempts[id.0 as usize];
        let is_late = attempt.outcome.answered_at.is_none_or(|at| at > self.now);
        if !is_late || attempt.outcome.refused_at.is_some() {
            return;
        }
        let repeatable = attempt.arrival.repeatable;
        let at = self.network.client_arrival(self.now);
        self.events.push(at, Event::CancelAtAgent { id });
        // A client doesn't retry a non-repeatable request whose outcome is unknown.
        if repeatable {
            self.schedule_retry(id);
        }
    }

    fn cancel(&mut self, id: RequestId) {
        let attempt = &self.attempts[id.0 as usize];
        if !attempt.is_open() {
            return;
        }
        let agent = attempt.current_agent;
        if !self.agents[agent].supports_cancellation() {
            return;
        }
        self.stop_service(agent, id);
        let actions = self.agents[agent].cancelled(self.now, id);
        self.apply_actions(agent, actions);
    }

    fn heartbeat_period_ms(&self) -> u64 {
        heartbeat_period_ms(self.agents.len().saturating_sub(1))
    }

    fn send_heartbeats(&mut self, agent: usize) {
        let next = self.now.plus_ms(self.heartbeat_period_ms());
        self.events.push(next, Event::SendHeartbeats { agent });
        let Some(heartbeat) = self.agents[agent].heartbeat(self.now) else {
            return;
        };
        for peer in (0..self.agents.len()).filter(|peer| *peer != agent) {
            if let Some(at) = self.network.datagram_arrival(self.now, agent, peer) {
                let event = Event::HeartbeatAtAgent {
                    agent: peer,
                    heartbeat: Box::new(heartbeat.clone()),
                };
                self.events.push(at, event);
            }
        }
    }
}
