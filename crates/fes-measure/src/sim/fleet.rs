//! The fleet on virtual time.

use fes_admission::RequestOrigin;
use fes_membership::heartbeat_period_ms;
use fes_protocol::MonoTime;
use fes_protocol::PeerHeartbeat;
use fes_protocol::RequestId;

use super::AgentPolicy;
use super::Discipline;
use super::EventQueue;
use super::Network;
use super::RunResult;
use super::Scenario;
use super::Step;
use super::attempt::Attempt;
use super::client::Connections;
use super::discipline::DisciplineAgent;
use super::source::Source;
use super::source::build_agents;
use crate::Policy;

#[derive(Debug)]
enum Event {
    FirstAttempt,
    Resend {
        id: RequestId,
    },
    AtAgent {
        id: RequestId,
        agent: usize,
        origin: RequestOrigin,
    },
    Done {
        id: RequestId,
        agent: usize,
    },
    RefusedAtHome {
        id: RequestId,
        peer: usize,
    },
    RefusedAtClient {
        id: RequestId,
    },
    Patience {
        id: RequestId,
    },
    CancelAt {
        id: RequestId,
    },
    Heartbeat {
        agent: usize,
    },
    HeartbeatAt {
        agent: usize,
        heartbeat: Box<PeerHeartbeat>,
    },
    Timer {
        agent: usize,
    },
}

/// Runs one scenario under one policy.
pub(crate) struct Fleet {
    scenario: Scenario,
    now: MonoTime,
    events: EventQueue<Event>,
    agents: Vec<Box<dyn AgentPolicy>>,
    upstream_running: Vec<u32>,
    connections: Connections,
    source: Source,
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

    /// Simulates agents with another queue discipline; connections are placed as by entries.
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
        let source = Source::new(&scenario);
        let network = Network::new(&scenario.profile, source.stream(1));
        let agents = build(&network);
        let connections = Connections::place(&scenario, policy, &mut source.stream(2));
        let mut fleet = Self {
            now: MonoTime::ZERO,
            events: EventQueue::new(),
            agents,
            upstream_running: vec![0; targets],
            connections,
            source,
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
        fleet.finish()
    }

    fn start(&mut self) {
        for agent in 0..self.agents.len() {
            let offset_ms = self.source.below(self.heartbeat_period_ms() as usize) as u64;
            let at = MonoTime::from_ms(offset_ms);
            self.events.push(at, Event::Heartbeat { agent });
        }
        let first = self.source.next_arrival(&self.scenario, MonoTime::ZERO);
        self.events.push(first, Event::FirstAttempt);
    }

    fn run_events(&mut self) {
        while let Some((at, event)) = self.events.pop() {
            if at > self.scenario.end {
                return;
            }
            self.now = at;
            self.react(event);
        }
    }

    fn finish(mut self) -> RunResult {
        for attempt in &self.attempts {
            if let (Some(agent), Some(start)) = (attempt.running_at, attempt.outcome.started_at) {
                self.result.busy[agent].push((start, self.scenario.end));
            }
        }
        self.result.outcomes = self.attempts.into_iter().map(|a| a.outcome).collect();
        self.result
    }

    fn react(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::FirstAttempt => self.first_attempt(),
            Event::Resend { id } => self.resend(id),
            Event::AtAgent { id, agent, origin } => self.reach_agent(id, agent, origin),
            Event::Done { id, agent } => self.complete(id, agent),
            Event::RefusedAtHome { id, peer } => {
                let attempt = &mut self.attempts[id.0 as usize];
                attempt.reach(now, attempt.home);
                let home = attempt.home;
                attempt.arrival.deadline =
                    self.network
                        .deadline_at(attempt.outcome.deadline, home, home);
                let steps = self.agents[home].peer_refused(now, peer, &attempt.arrival);
                self.carry_out(home, steps);
            }
            Event::RefusedAtClient { id } => self.retry_later(id),
            Event::Patience { id } => self.lose_patience(id),
            Event::CancelAt { id } => self.cancel(id),
            Event::Heartbeat { agent } => self.send_heartbeats(agent),
            Event::HeartbeatAt { agent, heartbeat } => {
                self.agents[agent].on_heartbeat(now, &heartbeat);
            }
            Event::Timer { agent } => {
                let steps = self.agents[agent].timer(now);
                self.carry_out(agent, steps);
            }
        }
    }

    fn first_attempt(&mut self) {
        let connection = self.connections.pick(self.source.arrivals());
        let (class, cost_us) = self.source.next_request(&self.scenario);
        self.send(connection, class, cost_us, 0);
        let next = self.source.next_arrival(&self.scenario, self.now);
        self.events.push(next, Event::FirstAttempt);
    }

    fn resend(&mut self, id: RequestId) {
        let attempt = &self.attempts[id.0 as usize];
        let (connection, class) = (attempt.connection, attempt.class);
        let (cost_us, tries) = (attempt.outcome.cost_us, attempt.earlier_tries + 1);
        self.send(connection, class, cost_us, tries);
    }

    fn send(&mut self, connection: usize, class: usize, cost_us: u64, earlier_tries: u32) {
        let id = RequestId(self.attempts.len() as u64);
        let home = self.connections.connections[connection].home;
        let held = self.connections.connections[connection].prefix_owner;
        let owner = held.unwrap_or_else(|| self.agents[home].issue_prefix(self.now));
        let attempt = self.source.attempt(
            &self.scenario,
            super::source::Sending {
                id,
                now: self.now,
                connection,
                class,
                cost_us,
                earlier_tries,
                home,
                owner,
            },
        );
        let patience = attempt.outcome.deadline;
        self.attempts.push(attempt);
        let at = self.network.client(self.now);
        let origin = RequestOrigin::Client;
        self.events.push(
            at,
            Event::AtAgent {
                id,
                agent: home,
                origin,
            },
        );
        self.events.push(patience, Event::Patience { id });
    }

    fn reach_agent(&mut self, id: RequestId, agent: usize, origin: RequestOrigin) {
        let attempt = &mut self.attempts[id.0 as usize];
        attempt.reach(self.now, agent);
        attempt.arrival.origin = origin;
        attempt.arrival.deadline =
            self.network
                .deadline_at(attempt.outcome.deadline, attempt.home, agent);
        let steps = self.agents[agent].arrive(self.now, &attempt.arrival);
        self.carry_out(agent, steps);
    }

    fn carry_out(&mut self, agent: usize, steps: Vec<Step>) {
        for step in steps {
            match step {
                Step::Start(id) => self.start_service(agent, id),
                Step::Refuse(id) => self.refuse(agent, id),
                Step::Timer(at) => self.events.push(at, Event::Timer { agent }),
                Step::PassOn(id, to, origin) => {
                    self.result.hop_count += 1;
                    let at = self.network.reliable(self.now, agent, to);
                    let event = Event::AtAgent {
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
        self.events.push(at, Event::Done { id, agent });
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
        let home = self.attempts[id.0 as usize].home;
        let at_home = if agent == home {
            self.now
        } else {
            self.network.reliable(self.now, agent, home)
        };
        let at_client = self.network.client(at_home);
        let attempt = &mut self.attempts[id.0 as usize];
        attempt.outcome.answered_at = Some(at_client);
        let prefix_owner = self.agents[home].issue_prefix(self.now);
        self.connections.connections[attempt.connection].prefix_owner = Some(prefix_owner);
        let steps = self.agents[agent].finished(self.now, id);
        self.carry_out(agent, steps);
    }

    fn refuse(&mut self, agent: usize, id: RequestId) {
        let attempt = &mut self.attempts[id.0 as usize];
        let home = attempt.home;
        if agent == home {
            attempt.outcome.refused_at = Some(self.now);
            let at = self.network.client(self.now);
            self.events.push(at, Event::RefusedAtClient { id });
            return;
        }
        let at = self.network.reliable(self.now, agent, home);
        if attempt.arrival.origin == RequestOrigin::Offloaded {
            self.events
                .push(at, Event::RefusedAtHome { id, peer: agent });
            return;
        }
        attempt.outcome.refused_at = Some(self.now);
        let at = self.network.client(at);
        self.events.push(at, Event::RefusedAtClient { id });
    }

    fn retry_later(&mut self, id: RequestId) {
        let attempt = &self.attempts[id.0 as usize];
        if let Some(pause_us) = self.source.retry_pause_us(&self.scenario, attempt) {
            let at = self.now.plus_us(pause_us);
            self.events.push(at, Event::Resend { id });
        }
    }

    fn lose_patience(&mut self, id: RequestId) {
        let attempt = &self.attempts[id.0 as usize];
        let is_late = attempt.outcome.answered_at.is_none_or(|at| at > self.now);
        if !is_late || attempt.outcome.refused_at.is_some() {
            return;
        }
        let repeatable = attempt.arrival.repeatable;
        let at = self.network.client(self.now);
        self.events.push(at, Event::CancelAt { id });
        // The outcome of a non-repeatable request is unknown, so that its client doesn't retry.
        if repeatable {
            self.retry_later(id);
        }
    }

    fn cancel(&mut self, id: RequestId) {
        let attempt = &self.attempts[id.0 as usize];
        if !attempt.is_open() {
            return;
        }
        let agent = attempt.holder;
        if !self.agents[agent].honours_cancellation() {
            return;
        }
        self.stop_service(agent, id);
        let steps = self.agents[agent].cancelled(self.now, id);
        self.carry_out(agent, steps);
    }

    fn heartbeat_period_ms(&self) -> u64 {
        heartbeat_period_ms(self.agents.len().saturating_sub(1))
    }

    fn send_heartbeats(&mut self, agent: usize) {
        let next = self.now.plus_ms(self.heartbeat_period_ms());
        self.events.push(next, Event::Heartbeat { agent });
        let Some(heartbeat) = self.agents[agent].heartbeat(self.now) else {
            return;
        };
        for peer in (0..self.agents.len()).filter(|peer| *peer != agent) {
            if let Some(at) = self.network.datagram(self.now, agent, peer) {
                let event = Event::HeartbeatAt {
                    agent: peer,
                    heartbeat: Box::new(heartbeat.clone()),
                };
                self.events.push(at, event);
            }
        }
    }
}
