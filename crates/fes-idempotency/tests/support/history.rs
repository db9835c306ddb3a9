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

use fes_testkit::at_most_once::Broken;
use fes_testkit::at_most_once::Fault;
use fes_testkit::at_most_once::Try;
use fes_testkit::at_most_once::UpstreamMode;
use fes_testkit::at_most_once::World;

const AGENT_COUNT: u32 = 3;
const STEP_COUNT: usize = 80;
const SETTLE_MS: u64 = 60_000;

/// Exceeds the validity of all keys issued before, in milliseconds.
const RETENTION_LEAP_MS: u64 = 620_000;

struct Generator {
    rng: ChaCha8Rng,
    world: World,
    keys: Vec<(String, String)>,
    /// Probability of an agent crash per step; `max_down_ms` limits the time until its restart.
    crash_per_mille: u32,
    max_down_ms: u64,
}

/// Generates the history of a seed and runs it to its end.
pub fn run(seed: u64, broken: Broken) -> World {
    let rng = ChaCha8Rng::seed_from_u64(seed);
    let world = World::new(seed, AGENT_COUNT, broken);
    let mut generator = Generator {
        rng,
        world,
        keys: Vec::new(),
        crash_per_mille: 30,
        max_down_ms: 200,
    };
    generator.configure();
    for _ in 0..STEP_COUNT {
        generator.step();
    }
    let mut world = generator.world;
    world.network.loss_per_mille = 0;
    world.network.heal();
    world.settle(SETTLE_MS);
    world
}

impl Generator {
    fn configure(&mut self) {
        self.world.network.min_delay_us = 500;
        self.world.network.max_delay_us = 12_000;
        self.world.network.loss_per_mille = 10;
        self.world.network.duplicate_per_mille = 30;
        if self.rng.random_ratio(1, 4) {
            // Short-lived incarnations assign the same request IDs again.
            (self.crash_per_mille, self.max_down_ms) = (250, 10);
        }
        if self.rng.random_ratio(1, 3) {
            let max_keys = self.rng.random_range(3..24);
            let max_responses_bytes = self.rng.random_range(400..2_000);
            self.world.limits = StoreLimits {
                max_keys,
                max_responses_bytes,
                ..StoreLimits::default()
            };
        }
        let longest_ms = *[40, 2_000].choose(&mut self.rng).expect("not empty");
        self.world.drain_bound_ms = self.rng.random_range(5..longest_ms);
        for target in self.targets() {
            let run_us = self.rng.random_range(2_000..60_000);
            let limits = self.world.limits;
            let agent = self.world.agents.get_mut(&target).expect("agent exists");
            agent.run_us = run_us;
            agent.set_limits(limits);
            agent.set_drain_bound(self.world.drain_bound_ms);
        }
    }

    fn targets(&self) -> Vec<TargetId> {
        self.world.agents.keys().copied().collect()
    }

    fn any_target(&mut self) -> TargetId {
        TargetId(self.rng.random_range(1..=AGENT_COUNT))
    }

    fn any_entry(&mut self) -> NodeId {
        NodeId::Entry(EntryId(self.rng.random_range(1..=2)))
    }

    fn step(&mut self) {
        let wait_ms = self.rng.random_range(0..40);
        self.world.run_ms(wait_ms);
        if self.rng.random_range(0..1_000) < self.crash_per_mille {
            self.crash();
            return;
        }
        match self.rng.random_range(0..1_000) {
            0..400 => self.first_try(),
            400..780 => self.retry(),
            780..830 => self.cancel(),
            830..840 => self.rotate_keys(),
            840..890 => self.pause(),
            890..930 => self.cut(),
            930..960 => self.change_upstream(),
            960..975 => self.drain(),
            975..985 => self.change_ticket(),
            985..995 => self.world.run_ms(5_000),
            _ => self.world.run_ms(RETENTION_LEAP_MS),
        }
    }

    fn first_try(&mut self) {
        let issuer = self.any_target();
        if !self.world.agents[&issuer].up {
            return;
        }
        if self.rng.random_ratio(1, 3) {
            let named = self.any_target();
            self.world.heartbeat(named, issuer, 1_000);
        }
        let name = format!("k{}", self.keys.len());
        let key = self.world.issue_key(issuer, &name);
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
        let attempt = Try {
            name: format!("r{}", self.world.tries.len()),
            key,
            body,
            agent: self.any_target(),
            entry: self.any_entry(),
            deadline_ms: self.rng.random_range(10..400),
            sent_at: self.world.now,
            excuse: None,
            ends: Vec::new(),
        };
        self.world.send(attempt);
    }

    fn cancel(&mut self) {
        let recent = self.world.tries.len().saturating_sub(5);
        let open = (recent..self.world.tries.len())
            .filter(|id| self.world.tries[*id].ends.is_empty())
            .collect::<Vec<_>>();
        if let Some(try_id) = open.choose(&mut self.rng) {
            self.world.cancel(*try_id);
        }
    }

    fn crash(&mut self) {
        let target = self.any_target();
        self.world.crash(target);
        let down_ms = self.rng.random_range(1..=self.max_down_ms);
        self.world.fault_after_ms(down_ms, Fault::Restart(target));
    }

    fn pause(&mut self) {
        let target = self.any_target();
        let ms = self.rng.random_range(10..900);
        if self.world.agents[&target].up {
            self.world.pause(target, ms);
        }
    }

    fn cut(&mut self) {
        let a = NodeId::Agent(self.any_target());
        let b = if self.rng.random_bool(0.5) {
            self.any_entry()
        } else {
            NodeId::Agent(self.any_target())
        };
        if a == b {
            return;
        }
        self.world.cut(a, b);
        let ms = self.rng.random_range(10..2_000);
        self.world.fault_after_ms(ms, Fault::Heal);
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
        let agent = self.world.agents.get_mut(&target).expect("agent exists");
        agent.upstream = mode;
        agent.retries = self.rng.random_range(0..3);
    }

    /// Rotates the keys of one agent, so that the epochs of the agents differ for a while.
    fn rotate_keys(&mut self) {
        let target = self.any_target();
        if let Some(agent) = self.world.agents.get_mut(&target) {
            agent.rotate_keys();
        }
    }

    /// Applies a ticket that removes or re-adds an agent, or changes the state of its upstream.
    fn change_ticket(&mut self) {
        let target = self.any_target();
        if self.rng.random_bool(0.5) {
            let leaving = self.rng.random_bool(0.5);
            self.world.set_leaving(target, leaving);
        } else if let Some(agent) = self.world.agents.get_mut(&target) {
            agent.named_by_ticket = !agent.named_by_ticket;
        }
    }

    fn drain(&mut self) {
        let target = self.any_target();
        if self.world.agents[&target].up {
            self.world.drain(target);
            let ms = self.rng.random_range(1..8_000);
            self.world.fault_after_ms(ms, Fault::Restart(target));
        }
    }
}
