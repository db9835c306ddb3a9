//! Flows and requests that all policies get.

use fes_passthrough::FlowRequirements;
use fes_passthrough::FlowUse;
use fes_passthrough::Priority;
use fes_protocol::MonoTime;

use super::fleet::DATA_CENTRES;
use super::scenario::ENDS_AT;
use super::scenario::FlowScenario;
use crate::sim::Variates;

/// Mean run time of a request on a usual target, without the tail; known fleets have 13 to 80 ms.
const TYPICAL_WORK_US: f64 = 40_000.0;
const TAIL_SHARE: f64 = 0.03;
const TAIL_FACTOR: f64 = 7.0;
const LATENCY_GOAL_MS: u32 = 200;
const TIMEOUT_MS: u32 = 1_000;
const LONG_FLOW_SHARE: f64 = 0.7;
const NON_REPEATABLE_SHARE: f64 = 0.2;
/// Requests of a long flow per second. With the mean run time they give the load of an open stream
/// that placement assumes, 0.03 slots.
const LONG_FLOW_REQUESTS_PER_S: f64 = 0.65;
const LONG_FLOW_MEAN_S: f64 = 20.0;
/// Shortest time that a long flow is open. Its opening packet reaches the agent before it is closed.
const LONG_FLOW_MIN_US: u64 = 100_000;
/// Time within which the first long flows are opened.
const FIRST_OPENINGS_S: f64 = 1.0;
/// Stream of random numbers.
const RANDOM_STREAM: u64 = 1;

/// Class of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestClass {
    /// A request of a long flow.
    LongFlow,
    /// The only request of its flow, which must not be repeated.
    NonRepeatable,
    /// A short download, the only request of its flow.
    Download,
}

impl RequestClass {
    /// All classes.
    pub const ALL: [Self; 3] = [Self::LongFlow, Self::NonRepeatable, Self::Download];

    /// Returns the name used in reports.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::LongFlow => "long-flow",
            Self::NonRepeatable => "non-repeatable",
            Self::Download => "download",
        }
    }

    pub(crate) const fn requirements(self) -> FlowRequirements {
        FlowRequirements {
            flow_use: match self {
                Self::LongFlow => FlowUse::Stream,
                Self::NonRepeatable => FlowUse::NonRepeatable,
                Self::Download => FlowUse::Repeatable,
            },
            latency_goal_ms: LATENCY_GOAL_MS,
            timeout_ms: TIMEOUT_MS,
            priority: Priority::LOWEST,
        }
    }
}

/// A flow.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Flow {
    pub(crate) class: RequestClass,
    pub(crate) data_centre: usize,
    pub(crate) opened_at: MonoTime,
    /// When a long flow is closed; other flows are closed by the answer.
    pub(crate) closed_at: MonoTime,
}

/// A request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Request {
    pub(crate) flow: usize,
    pub(crate) class: RequestClass,
    pub(crate) data_centre: usize,
    /// When the client sends it, or opens the flow for it.
    pub(crate) sent_at: MonoTime,
    pub(crate) goal_at: MonoTime,
    pub(crate) timeout_at: MonoTime,
    /// Run time on a usual target.
    pub(crate) work_us: u64,
}

/// Flows, and their requests in the order in which they are sent.
#[derive(Debug, Default)]
pub(crate) struct Load {
    pub(crate) flows: Vec<Flow>,
    pub(crate) requests: Vec<Request>,
    pub(crate) mean_work_us: f64,
}

impl Load {
    /// Generates the load of a scenario for a fleet with `capacity` usual slots.
    pub(crate) fn generate(scenario: &FlowScenario, capacity: f64, seed: u64) -> Self {
        let tail_factor = match scenario.has_tail {
            true => 1.0 + TAIL_SHARE * (TAIL_FACTOR - 1.0),
            false => 1.0,
        };
        let mean_work_us = TYPICAL_WORK_US * tail_factor;
        let mut load = Self {
            mean_work_us,
            ..Self::default()
        };
        let mut random = Variates::new(seed, RANDOM_STREAM);
        let requests_per_s = scenario.load * capacity * 1e6 / mean_work_us / DATA_CENTRES as f64;
        for data_centre in 0..DATA_CENTRES {
            load.add_requests(scenario, data_centre, requests_per_s, &mut random);
        }
        load.requests
            .sort_by_key(|request| (request.sent_at, request.data_centre));
        load
    }

    /// Adds the requests of a data centre, a Poisson process whose rate follows the demand.
    fn add_requests(
        &mut self,
        scenario: &FlowScenario,
        data_centre: usize,
        requests_per_s: f64,
        random: &mut Variates,
    ) {
        let phase = data_centre as f64 / DATA_CENTRES as f64;
        let max_demand = scenario.max_relative_demand();
        let mut lanes = match scenario.has_long_flows {
            true => self.open_lanes(data_centre, requests_per_s, random),
            false => Vec::new(),
        };
        let mut at_s = 0.0;
        loop {
            at_s += random.exponential(1.0 / (requests_per_s * max_demand));
            let sent_at = time(at_s);
            if sent_at >= ENDS_AT {
                return;
            }
            if random.uniform() * max_demand > scenario.relative_demand(phase, at_s) {
                continue;
            }
            let work_us = work_us(scenario, random);
            let class = class(scenario, random);
            let flow = match class {
                RequestClass::LongFlow => {
                    let lane = random.below(lanes.len());
                    lanes[lane] = self.long_flow_at(lanes[lane], sent_at, random);
                    lanes[lane]
                }
                RequestClass::NonRepeatable | RequestClass::Download => {
                    self.add_flow(class, data_centre, sent_at, sent_at)
                }
            };
            self.add_request(flow, sent_at, work_us);
        }
    }

    /// Opens the first flow of each lane. A lane is a succession of long flows, so that their number
    /// stays the same.
    fn open_lanes(
        &mut self,
        data_centre: usize,
        requests_per_s: f64,
        random: &mut Variates,
    ) -> Vec<usize> {
        let lanes = LONG_FLOW_SHARE * requests_per_s / LONG_FLOW_REQUESTS_PER_S;
        let mut open = |_| {
            let opened_at = time(random.uniform() * FIRST_OPENINGS_S);
            let closed_at = opened_at.plus_us(lifetime_us(random));
            self.add_flow(RequestClass::LongFlow, data_centre, opened_at, closed_at)
        };
        (0..lanes.ceil() as usize).map(&mut open).collect()
    }

    /// Returns the flow of a lane that is open at a time, opening the next ones as needed.
    fn long_flow_at(&mut self, mut flow: usize, at: MonoTime, random: &mut Variates) -> usize {
        while self.flows[flow].closed_at <= at {
            let opened_at = self.flows[flow].closed_at;
            let closed_at = opened_at.plus_us(lifetime_us(random));
            let data_centre = self.flows[flow].data_centre;
            flow = self.add_flow(RequestClass::LongFlow, data_centre, opened_at, closed_at);
        }
        flow
    }

    fn add_flow(
        &mut self,
        class: RequestClass,
        data_centre: usize,
        opened_at: MonoTime,
        closed_at: MonoTime,
    ) -> usize {
        self.flows.push(Flow {
            class,
            data_centre,
            opened_at,
            closed_at,
        });
        self.flows.len() - 1
    }

    /// Adds a request unless its flow isn't open yet, as in the first second.
    fn add_request(&mut self, flow: usize, sent_at: MonoTime, work_us: u64) {
        let Flow {
            class,
            data_centre,
            opened_at,
            ..
        } = self.flows[flow];
        if opened_at > sent_at {
            return;
        }
        let requirements = class.requirements();
        self.requests.push(Request {
            flow,
            class,
            data_centre,
            sent_at,
            goal_at: sent_at.plus_ms(u64::from(requirements.latency_goal_ms)),
            timeout_at: sent_at.plus_ms(u64::from(requirements.timeout_ms)),
            work_us,
        });
    }
}

fn time(at_s: f64) -> MonoTime {
    MonoTime::from_us((at_s * 1e6) as u64)
}

fn lifetime_us(random: &mut Variates) -> u64 {
    (random.exponential(LONG_FLOW_MEAN_S) * 1e6) as u64 + LONG_FLOW_MIN_US
}

fn work_us(scenario: &FlowScenario, random: &mut Variates) -> u64 {
    let usual = TYPICAL_WORK_US * (0.5 + random.uniform());
    let is_long = random.uniform() < TAIL_SHARE && scenario.has_tail;
    let work = if is_long { usual * TAIL_FACTOR } else { usual };
    work as u64
}

/// Returns the class of a request. Without long flows, the classes of single requests have the same
/// ratio as with them.
fn class(scenario: &FlowScenario, random: &mut Variates) -> RequestClass {
    let long_flows = if scenario.has_long_flows {
        LONG_FLOW_SHARE
    } else {
        0.0
    };
    let non_repeatable = NON_REPEATABLE_SHARE / (1.0 - LONG_FLOW_SHARE);
    let position = random.uniform();
    if position < long_flows {
        RequestClass::LongFlow
    } else if position < long_flows + (1.0 - long_flows) * non_repeatable {
        RequestClass::NonRepeatable
    } else {
        RequestClass::Download
    }
}
