//! Seeded arrivals, request costs, clients' retries, and the agents of a scenario.

use fes_admission::AdmissionSettings;
use fes_admission::ClassName;
use fes_admission::RequestOrigin;
use fes_protocol::MonoTime;
use fes_protocol::RequestId;
use fes_routing::OffloadPeer;

use super::AgentPolicy;
use super::Arrival;
use super::Network;
use super::Outcome;
use super::Scenario;
use super::Variates;
use super::attempt::Attempt;
use super::baseline::BaselineAgent;
use super::current::CurrentAgent;
use super::current::target;
use crate::Policy;

/// Spread of service times within a class: deviation of the logarithm.
const COST_SIGMA: f64 = 0.5;

/// Attempts that a client makes in all.
const MAX_TRIES: u32 = 3;

/// Pause before a client's first retry, in microseconds. It doubles with each further one, and a
/// uniformly distributed part of up to the same length is added.
const RETRY_PAUSE_US: f64 = 100_000.0;

/// An attempt that a client sends.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Sending {
    pub(crate) id: RequestId,
    pub(crate) now: MonoTime,
    pub(crate) connection: usize,
    pub(crate) class: usize,
    pub(crate) cost_us: u64,
    pub(crate) earlier_tries: u32,
    pub(crate) home: usize,
    pub(crate) owner: usize,
}

/// Random choices of clients.
#[derive(Debug)]
pub(crate) struct Source {
    seed: u64,
    arrivals: Variates,
    costs: Variates,
    retries: Variates,
    class_names: Vec<ClassName>,
}

impl Source {
    pub(crate) fn new(scenario: &Scenario) -> Self {
        let stream = |number| Variates::new(scenario.seed, number);
        Self {
            seed: scenario.seed,
            arrivals: stream(10),
            costs: stream(11),
            retries: stream(12),
            class_names: scenario
                .classes
                .iter()
                .map(|c| ClassName::from(c.name))
                .collect(),
        }
    }

    /// Returns another stream of the same seed.
    pub(crate) fn stream(&self, number: u64) -> Variates {
        Variates::new(self.seed, number)
    }

    pub(crate) fn arrivals(&mut self) -> &mut Variates {
        &mut self.arrivals
    }

    pub(crate) fn below(&mut self, bound: usize) -> usize {
        self.arrivals.below(bound)
    }

    /// Returns when the next first attempt is sent: a Poisson process, thinned to the demand.
    pub(crate) fn next_arrival(&mut self, scenario: &Scenario, now: MonoTime) -> MonoTime {
        let max_load = scenario.max_load();
        let gap_us = scenario.arrival_gap_us(max_load);
        let mut at_us = now.as_us() as f64;
        loop {
            at_us += self.arrivals.exponential(gap_us);
            let at = MonoTime::from_us(at_us as u64);
            let is_sent = self.arrivals.uniform() * max_load < scenario.load_at(at);
            if is_sent || at > scenario.end {
                return at.max(now);
            }
        }
    }

    /// Returns class and cost of the next request.
    pub(crate) fn next_request(&mut self, scenario: &Scenario) -> (usize, u64) {
        let total: f64 = scenario.classes.iter().map(|c| c.share).sum();
        let mut point = self.costs.uniform() * total;
        let mut class = scenario.classes.len() - 1;
        for (index, mix) in scenario.classes.iter().enumerate() {
            point -= mix.share;
            if point < 0.0 {
                class = index;
                break;
            }
        }
        let mean_us = scenario.classes[class].service_us;
        (class, self.costs.log_normal(mean_us, COST_SIGMA) as u64)
    }

    pub(crate) fn attempt(&self, scenario: &Scenario, sending: Sending) -> Attempt {
        let mix = &scenario.classes[sending.class];
        let deadline = sending.now.plus_ms(mix.patience_ms);
        Attempt {
            arrival: Arrival {
                id: sending.id,
                class: self.class_names[sending.class].clone(),
                deadline,
                repeatable: mix.repeatable,
                owner: sending.owner,
                origin: RequestOrigin::Client,
            },
            class: sending.class,
            connection: sending.connection,
            home: sending.home,
            earlier_tries: sending.earlier_tries,
            holder: sending.home,
            running_at: None,
            outcome: Outcome {
                long: mix.long,
                cost_us: sending.cost_us,
                sent_at: sending.now,
                deadline,
                reached_at: MonoTime::NEVER,
                handled_at: MonoTime::NEVER,
                started_at: None,
                answered_at: None,
                refused_at: None,
            },
        }
    }

    /// Returns how long the client waits before it tries again, if it does.
    pub(crate) fn retry_pause_us(&mut self, scenario: &Scenario, last: &Attempt) -> Option<u64> {
        if !scenario.clients_retry || last.earlier_tries + 1 >= MAX_TRIES {
            return None;
        }
        let pause_us = RETRY_PAUSE_US * f64::from(1 << last.earlier_tries);
        Some((pause_us * (1.0 + self.retries.uniform())) as u64)
    }
}

/// Makes the agents of a scenario.
pub(crate) fn build_agents(
    scenario: &Scenario,
    policy: Policy,
    network: &Network,
) -> Vec<Box<dyn AgentPolicy>> {
    let targets = scenario.profile.targets;
    let slots = scenario.profile.slots;
    let mut settings = AdmissionSettings::for_slots(slots);
    for mix in scenario.classes.iter().filter(|mix| mix.has_prior) {
        settings = settings.with_prior(ClassName::from(mix.name), mix.service_us as u64);
    }
    let peers = |own: usize| {
        (0..targets).map(move |peer| OffloadPeer {
            target: target(peer),
            round_trip_ms: network.round_trip_ms(own, peer),
        })
    };
    (0..targets)
        .map(|own| -> Box<dyn AgentPolicy> {
            match policy {
                Policy::Baseline => Box::new(BaselineAgent::new(own, targets, slots)),
                Policy::Current => Box::new(CurrentAgent::new(
                    own,
                    settings.clone(),
                    peers(own),
                    scenario.seed ^ (own as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15),
                )),
            }
        })
        .collect()
}
