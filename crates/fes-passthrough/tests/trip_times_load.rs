//! Targets in several data centres: what callers get, and how much the load of a target changes
//! between two reports, with measured round trips and with the constant cost.

mod support;

use fes_passthrough::FlowUse;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

use support::client::Client;
use support::fixtures::flow;
use support::fixtures::once_address;
use support::fixtures::stream_address;
use support::simulation::Simulation;

const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];
const ENTRIES: usize = 6;
const TARGETS: usize = 12;
const SLOTS: u64 = 3;
/// Mean run time in percent of that without long requests: one in 33 runs seven times as long.
const LONG_REQUESTS_PERCENT: u64 = 118;
const REQUESTS_PER_STREAM: usize = 10;
const STREAM_PAUSE_MS: u64 = 100;
const WAVE_MS: u64 = 4_000;
const WAVE_SWING: f64 = 0.55;
const START_MS: u64 = 500;
const CHANGE_MS: u64 = 4_000;
const END_MS: u64 = 9_000;
/// Time after which requests that didn't wait are answered.
const SETTLED_MS: u64 = 11_000;
const SEEDS: [u64; 3] = [1, 2, 3];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Change {
    /// Demand in waves, out of phase between the data centres.
    Waves,
    /// The first data centre loses all but one target.
    LostTargets,
    /// The links of the first data centre become slow.
    SlowLink,
}

/// Conditions of a run.
#[derive(Debug, Clone, Copy)]
struct Conditions {
    change: Change,
    flow_use: FlowUse,
    work_ms: u64,
    link_delay_ms: u64,
    load_percent: u64,
}

/// Results of some runs.
#[derive(Debug, Default, PartialEq, Eq)]
struct Played {
    answered: usize,
    in_time: usize,
    latency_ms: u64,
    /// Largest change of a target's requests between two reports.
    largest_swing: u32,
    /// Sum of the changes between reports.
    swings: u32,
}

impl Played {
    fn mean_latency_us(&self) -> u64 {
        self.latency_ms * 1_000 / self.answered as u64
    }

    fn add_run(&mut self, simulation: &Simulation, goal_ms: u64) {
        let answers = simulation.clients.iter().flat_map(|client| &client.answers);
        for answer in answers {
            let latency_ms = answer.answered_ms - answer.sent_ms;
            self.answered += 1;
            self.latency_ms += latency_ms;
            self.in_time += usize::from(latency_ms <= goal_ms);
        }
        for requests in &simulation.reported_requests {
            let swings = requests.windows(2).map(|two| two[0].abs_diff(two[1]));
            self.swings += swings.clone().sum::<u32>();
            self.largest_swing = self.largest_swing.max(swings.max().unwrap_or(0));
        }
    }
}

/// Adds clients with one request each, or with several in a stream, at random times.
fn add_clients(simulation: &mut Simulation, conditions: Conditions, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let run_ms = conditions.work_ms * LONG_REQUESTS_PERCENT;
    let capacity_per_s = TARGETS as u64 * SLOTS * 100_000 / run_ms;
    let (destination, requests) = match conditions.flow_use {
        FlowUse::Stream => (stream_address(), REQUESTS_PER_STREAM),
        FlowUse::Repeatable | FlowUse::NonRepeatable => (once_address(), 1),
    };
    let per_s = capacity_per_s * conditions.load_percent / 100 / requests as u64;
    let clients = per_s * (END_MS - START_MS) / 1_000;
    // A client's port modulo the number of entries is the index of its entry.
    let mut next_ports: [u16; ENTRIES] = std::array::from_fn(|entry| 6_000 + entry as u16);
    for _ in 0..clients {
        let entry = random.random_range(0..ENTRIES);
        let data_centre = entry % DATA_CENTRES.len();
        let at_ms = loop {
            let at_ms = random.random_range(START_MS..END_MS);
            let phase = at_ms as f64 / WAVE_MS as f64 + data_centre as f64 / 3.0;
            let demand = 1.0 + WAVE_SWING * (phase * std::f64::consts::TAU).sin();
            let is_wave = conditions.change == Change::Waves;
            if !is_wave || random.random_range(0.0..1.0 + WAVE_SWING) < demand {
                break at_ms;
            }
        };
        let flow = flow(next_ports[entry], destination);
        next_ports[entry] += ENTRIES as u16;
        simulation.add_client(Client::new(flow, requests, STREAM_PAUSE_MS), at_ms);
    }
}

fn run(conditions: Conditions, has_trip_times: bool, seed: u64) -> Simulation {
    let slots = usize::try_from(SLOTS).expect("few slots");
    let mut simulation = Simulation::new(ENTRIES, TARGETS, slots, conditions.work_ms, seed);
    simulation.has_trip_times = has_trip_times;
    simulation.spread_over(&DATA_CENTRES);
    for target in &mut simulation.targets {
        target.has_varying_work = true;
    }
    for (one, other) in [("a", "b"), ("b", "c"), ("a", "c")] {
        simulation.set_link_delay(one, other, conditions.link_delay_ms);
    }
    add_clients(&mut simulation, conditions, seed);
    simulation.run_until(CHANGE_MS);
    match conditions.change {
        Change::Waves => {}
        Change::LostTargets => {
            for index in [3, 6, 9] {
                simulation.end_target(index);
            }
        }
        Change::SlowLink => {
            simulation.set_link_delay("a", "b", 20);
            simulation.set_link_delay("a", "c", 20);
        }
    }
    simulation.run_until(SETTLED_MS);
    simulation
}

fn play(conditions: Conditions, has_trip_times: bool) -> Played {
    // Long requests aren't in time even without a wait.
    let goal_ms = conditions.work_ms * 2 + 4;
    let mut played = Played::default();
    for seed in SEEDS {
        played.add_run(&run(conditions, has_trip_times, seed), goal_ms);
    }
    played
}

/// Guards against flows that leave their data centre although the trip takes longer than the wait,
/// against flows that stay although requests wait, and against load that moves to and fro.
#[rstest]
#[case(Change::Waves, FlowUse::NonRepeatable, 15, 4, 60)]
#[case(Change::Waves, FlowUse::NonRepeatable, 15, 4, 85)]
#[case(Change::Waves, FlowUse::Stream, 15, 4, 60)]
#[case(Change::Waves, FlowUse::Stream, 15, 4, 85)]
#[case(Change::LostTargets, FlowUse::Stream, 15, 4, 85)]
#[case(Change::LostTargets, FlowUse::NonRepeatable, 15, 4, 60)]
#[case(Change::SlowLink, FlowUse::NonRepeatable, 40, 1, 60)]
#[case(Change::SlowLink, FlowUse::Stream, 15, 1, 85)]
fn callers_get_more_than_with_the_constant_cost(
    #[case] change: Change,
    #[case] flow_use: FlowUse,
    #[case] work_ms: u64,
    #[case] link_delay_ms: u64,
    #[case] load_percent: u64,
) {
    let conditions = Conditions {
        change,
        flow_use,
        work_ms,
        link_delay_ms,
        load_percent,
    };

    let constant = play(conditions, false);
    let measured = play(conditions, true);

    println!("{conditions:?}\nconstant {constant:?}\nmeasured {measured:?}");
    let in_time = |played: &Played| played.in_time * 1_000 / played.answered;
    assert!(in_time(&measured) > in_time(&constant));
    assert!(measured.mean_latency_us() < constant.mean_latency_us());
    assert!(measured.largest_swing <= constant.largest_swing);
}

/// Guards against streams that leave their data centre for a short trip, where they stay when the
/// link becomes slow.
#[test]
fn a_short_trip_costs_no_less_than_the_constant() {
    let conditions = Conditions {
        change: Change::Waves,
        flow_use: FlowUse::Stream,
        work_ms: 80,
        link_delay_ms: 1,
        load_percent: 85,
    };

    let constant = play(conditions, false);
    let measured = play(conditions, true);

    assert_eq!(measured, constant);
}
