//! Generator of concurrent histories: clients retry at random while agents crash, pause, drain and
//! lose their connections.

use fes_idempotency::StoreLimits;
use fes_protocol::EntryId;
use fes_protocol::NodeId;
use fes_protocol::TargetId;
use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use fes_testkit::at_most_once::ClientAttempt;
use fes_testkit::at_most_once::Fault;
use fes_testkit::at_most_once::FleetSimulation;
use fes_testkit::at_most_once::InjectedBug;
use fes_testkit::at_most_once::UpstreamMode;

const AGENT_COUNT: u32 = 3;
const STEP_COUNT: usize = 80;
const SETTLE_MS: u64 = 60_000;

/// Exceeds the validity of all keys issued before, in milliseconds.
const BEYOND_KEY_VALIDITY_MS: u64 = 620_000;

struct Generator {
    rng: ChaCha8Rng,
    simulation: FleetSimulation,
    keys: Vec<(String, String)>,
    /// Probability of an agent crash per step; `max_down_ms` limits the time until its restart.
    crash_per_mille: u32,
    max_down_ms: u64,
}

/// Generates the history of a seed and runs it to its end.
pub fn run(seed: u64, bug: InjectedBug) -> FleetSimulation {
    let rng = ChaCha8Rng::seed_from_u64(seed);
    let simulation = FleetSimulation::new(seed, AGENT_COUNT, bug);
    let mut generator = Generator {
        rng,
        simulation,
        keys: Vec::new(),
        crash_per_mille: 30,
        max_down_ms: 200,
    };
    generator.configure();
    for _ in 0..STEP_COUNT {
        generator.step();
    }
    let mut simulation = generator.simulation;
    simulation.network.loss_per_mille = 0;
    simulation.network.heal();
    simulation.finish_after_ms(SETTLE_MS);
    simulation
}

impl Generator {
    fn configure(&mut self) {
        self.simulation.network.min_delay_us = 500;
        self.simulation.network.max_delay_us = 12_000;
        self.simulation.network.loss_per_mille = 10;
        self.simulation.network.duplicate_per_mille = 30;
        if self.rng.random_ratio(1, 4) {
            // Short-lived incarnations assign the same request IDs again.
            (self.crash_per_mille, self.max_down_ms) = (250, 10);
        }
        if self.rng.random_ratio(1, 3) {
            let max_keys = self.rng.random_range(3..24);
            let max_responses_bytes = self.rng.random_range(400..2_000);
            self.simulation.limits = StoreLimits {
                max_keys,
                max_responses_bytes,
                ..StoreLimits::default()
            };
        }
        let longest_ms = *[40, 2_000].choose(&mut self.rng).expect("not empty");
        self.simulation.drain_bound_ms = self.rng.random_range(5..longest_ms);
        for target in self.targets() {
            let run_us = self.rng.random_range(2_000..60_000);
            let limits = self.simulation.limits;
            let agent = self
                .simulation
                .agents
                .get_mut(&target)
                .expect("agent exists");
            agent.run_us = run_us;
            agent.set_limits(limits);
            agent.set_drain_bound(self.simulation.drain_bound_ms);
        }
    }

    fn targets(&self) -> Vec<TargetId> {
        self.simulation.agents.keys().copied().collect()
    }

    fn any_target(&mut self) -> TargetId {
        TargetId(self.rng.random_range(1..=AGENT_COUNT))
    }

    fn any_entry(&mut self) -> NodeId {
        NodeId::Entry(EntryId(self.rng.random_range(1..=2)))
    }

    fn step(&mut self) {
        let wait_ms = self.rng.random_range(0..40);
        self.simulation.run_ms(wait_ms);
        if self.rng.random_range(0..1_000) < self.crash_per_mille {
            self.crash();
            return;
        }
        match self.rng.random_range(0..1_000) {
            0..400 => self.first_attempt(),
            400..780 => self.retry(),
            780..830 => self.cancel(),
            830..840 => self.rotate_keys(),
            840..890 => self.pause(),
            890..930 => self.partition(),
            930..960 => self.change_upstream(),
            960..975 => self.drain(),
            975..985 => self.change_ticket(),
            985..995 => self.simulation.run_ms(5_000),
            _ => self.simulation.run_ms(BEYOND_KEY_VALIDITY_MS),
        }
    }

    fn first_attempt(&mut self) {
        let issuer = self.any_target();
        if !self.simulation.agents[&issuer].is_up {
            return;
        }
        if self.rng.random_ratio(1, 3) {
            let named = self.any_target();
            self.simulation.deliver_heartbeat(named, issuer, 1_000);
        }
        let name = format!("k{}", self.keys.len());
        let key = self.simulation.issue_key(issuer, &name);
        let body = format!("b{}", self.keys.len());
        self.keys.push((key.clone(), body.clone()));
        self.send(key, body);
    }

    fn retry(&mut self) {
        let recent = self.keys.len().saturating_sub(8);
        let Some((key, mut body)) = self.keys[recent..].choose(&mut self.rng).cloned() else {
            return;
        };
        if self.rng.random_ratio(1, 12) {
            body.push_str("-other");
        }
        self.send(key, body);
    }

    fn send(&mut self, key: String, body: String) {
        let attempt = ClientAttempt {
            name: format!("r{}", self.simulation.attempts.len()),
            key,
            body,
            agent: self.any_target(),
            entry: self.any_entry(),
            deadline_ms: self.rng.random_range(10..400),
            sent_at: self.simulation.now,
            loss_cause: None,
            outcomes: Vec::new(),
        };
        self.simulation.send(attempt);
    }

    fn cancel(&mut self) {
        let recent = self.simulation.attempts.len().saturating_sub(5);
        let open = (recent..self.simulation.attempts.len())
            .filter(|id| self.simulation.attempts[*id].outcomes.is_empty())
            .collect::<Vec<_>>();
        if let Some(attempt_id) = open.choose(&mut self.rng) {
            self.simulation.cancel(*attempt_id);
        }
    }

    fn crash(&mut self) {
        let target = self.any_target();
        self.simulation.crash(target);
        let down_ms = self.rng.random_range(1..=self.max_down_ms);
        self.simulation
            .schedule_fault(down_ms, Fault::Restart(target));
    }

    fn pause(&mut self) {
        let target = self.any_target();
        let ms = self.rng.random_range(10..900);
        if self.simulation.agents[&target].is_up {
            self.simulation.pause(target, ms);
        }
    }

    fn partition(&mut self) {
        let a = NodeId::Agent(self.any_target());
        let b = if self.rng.random_bool(0.5) {
            self.any_entry()
        } else {
            NodeId::Agent(self.any_target())
        };
        if a == b {
            return;
        }
        self.simulation.partition(a, b);
        let ms = self.rng.random_range(10..2_000);
        self.simulation.schedule_fault(ms, Fault::Heal);
    }

    fn change_upstream(&mut self) {
        let modes = [
            UpstreamMode::Answers,
            UpstreamMode::Streams,
            UpstreamMode::Refuses,
            UpstreamMode::LosesConnection,
            UpstreamMode::Truncates,
        ];
        let target = self.any_target();
        let mode = *modes.choose(&mut self.rng).expect("modes are not empty");
        let agent = self
            .simulation
            .agents
            .get_mut(&target)
            .expect("agent exists");
        agent.upstream = mode;
        agent.retry_budget = self.rng.random_range(0..3);
    }

    /// Rotates the keys of one agent, so that the epochs of the agents differ for a while.
    fn rotate_keys(&mut self) {
        let target = self.any_target();
        if let Some(agent) = self.simulation.agents.get_mut(&target) {
            agent.rotate_keys();
        }
    }

    /// Applies a ticket that removes or re-adds an agent, or changes the state of its upstream.
    fn change_ticket(&mut self) {
        let target = self.any_target();
        if self.rng.random_bool(0.5) {
            let leaving = self.rng.random_bool(0.5);
            self.simulation.set_leaving(target, leaving);
        } else if let Some(agent) = self.simulation.agents.get_mut(&target) {
            agent.named_by_ticket = !agent.named_by_ticket;
        }
    }

    fn drain(&mut self) {
        let target = self.any_target();
        if self.simulation.agents[&target].is_up {
            self.simulation.drain(target);
            let ms = self.rng.random_range(1..8_000);
            self.simulation.schedule_fault(ms, Fault::Restart(target));
        }
    }
}
