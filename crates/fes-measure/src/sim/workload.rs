//! Seeded workload generation (arrivals, service times, client retries) and construction of the
//! agents of a scenario.

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

/// Standard deviation of the logarithm of service times within a class.
const COST_SIGMA: f64 = 0.5;

/// Maximum number of attempts of a request, the first one included.
const MAX_ATTEMPTS: u32 = 3;

/// Delay before the first retry of a client, in microseconds. It doubles with each retry, and a
/// uniformly distributed jitter of up to the same length is added.
const RETRY_DELAY_US: f64 = 100_000.0;

/// Parameters of an attempt that a client sends.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptParams {
    pub(crate) id: RequestId,
    pub(crate) now: MonoTime,
    pub(crate) connection: usize,
    pub(crate) class: usize,
    pub(crate) cost_us: u64,
    pub(crate) previous_attempts: u32,
    pub(crate) client_agent: usize,
    pub(crate) owner: usize,
}

/// Seeded generator of client requests and retries.
#[derive(Debug)]
pub(crate) struct Workload {
    seed: u64,
    arrivals: Variates,
    costs: Variates,
    retries: Variates,
    class_names: Vec<ClassName>,
}

impl Workload {
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

    /// Returns an independent random stream of the same seed.
    pub(crate) fn stream(&self, number: u64) -> Variates {
        Variates::new(self.seed, number)
    }

    pub(crate) fn arrivals(&mut self) -> &mut Variates {
        &mut self.arrivals
    }

    pub(crate) fn below(&mut self, bound: usize) -> usize {
        self.arrivals.below(bound)
    }

    /// Returns when the next first attempt is sent. Arrivals form an inhomogeneous Poisson process,
    /// sampled by thinning.
    pub(crate) fn next_arrival(&mut self, scenario: &Scenario, now: MonoTime) -> MonoTime {
        let max_load = scenario.max_load();
        let gap_us = scenario.arrival_gap_us(max_load);
        let mut at_us = now.as_us() as f64;
        loop {
            at_us += self.arrivals.exponential(gap_us);
            let at = MonoTime::from_us(at_us as u64);
            let is_accepted = self.arrivals.uniform() * max_load < scenario.load_at(at);
            if is_accepted || at > scenario.end {
                return at.max(now);
            }
        }
    }

    /// Samples the class and the service time of the next request, the latter in microseconds.
    pub(crate) fn next_request(&mut self, scenario: &Scenario) -> (usize, u64) {
        let total: f64 = scenario.classes.iter().map(|c| c.share).sum();
        let mut point = self.costs.uniform() * total;
        let mut class = scenario.classes.len() - 1;
        for (index, component) in scenario.classes.iter().enumerate() {
            point -= component.share;
            if point < 0.0 {
                class = index;
                break;
            }
        }
        let mean_us = scenario.classes[class].service_us;
        (class, self.costs.log_normal(mean_us, COST_SIGMA) as u64)
    }

    pub(crate) fn attempt(&self, scenario: &Scenario, params: AttemptParams) -> Attempt {
        let component = &scenario.classes[params.class];
        let deadline = params.now.plus_ms(component.timeout_ms);
        Attempt {
            arrival: Arrival {
                id: params.id,
                class: self.class_names[params.class].clone(),
                deadline,
                repeatable: component.repeatable,
                owner: params.owner,
                origin: RequestOrigin::Client,
            },
            class: params.class,
            connection: params.connection,
            client_agent: params.client_agent,
            previous_attempts: params.previous_attempts,
            current_agent: params.client_agent,
            running_at: None,
            outcome: Outcome {
                long: component.long,
                cost_us: params.cost_us,
                sent_at: params.now,
                deadline,
                reached_at: MonoTime::NEVER,
                handled_at: MonoTime::NEVER,
                started_at: None,
                answered_at: None,
                refused_at: None,
            },
        }
    }

    /// Returns the delay before the next attempt, or `None` if the client gives up.
    pub(crate) fn retry_delay_us(&mut self, scenario: &Scenario, last: &Attempt) -> Option<u64> {
        if !scenario.clients_retry || last.previous_attempts + 1 >= MAX_ATTEMPTS {
            return None;
        }
        let delay_us = RETRY_DELAY_US * f64::from(1 << last.previous_attempts);
        Some((delay_us * (1.0 + self.retries.uniform())) as u64)
    }
}

/// Builds the agents of a scenario.
pub(crate) fn build_agents(
    scenario: &Scenario,
    policy: Policy,
    network: &Network,
) -> Vec<Box<dyn AgentPolicy>> {
    let targets = scenario.profile.targets;
    let slots = scenario.profile.slots;
    let mut settings = AdmissionSettings::for_slots(slots);
    for component in scenario
        .classes
        .iter()
        .filter(|component| component.has_prior)
    {
        settings =
            settings.with_prior(ClassName::from(component.name), component.service_us as u64);
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
