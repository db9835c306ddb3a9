//! The request queue of a target that gets more requests than it can run: what callers get, beside
//! the most that the target's slots allow.

mod support;

use std::collections::HashMap;

use fes_passthrough::FlowUse;
use fes_passthrough::RequestQueue;
use fes_protocol::MonoTime;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

use support::fixtures::client_segment;
use support::fixtures::flow;
use support::fixtures::requirements;
use support::fixtures::stream_address;

const SLOTS: usize = 4;
const SLOTS_U64: u64 = SLOTS as u64;
const TYPICAL_RUN_US: u64 = 50_000;
const GOAL_MS: u32 = 250;
const TIMEOUT_MS: u32 = 2_500;
const DURATION_US: u64 = 12_000_000;

/// How a request is taken from the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Order {
    Queue,
    Arrival,
}

/// What the callers of a run got, and the time that their requests ran.
#[derive(Debug, Default)]
struct Played {
    requests: usize,
    in_goal: usize,
    run_us: u64,
    runs: u64,
}

/// Returns a run time; 3 % of the requests take seven times as long as the others.
fn run_us(random: &mut StdRng) -> u64 {
    let typical_us = random.random_range(TYPICAL_RUN_US / 2..TYPICAL_RUN_US * 3 / 2);
    match random.random_range(0..100) {
        0..3 => typical_us * 7,
        _ => typical_us,
    }
}

/// Plays arrivals at `load_percent` of what the target can run.
fn play(order: Order, load_percent: u64, seed: u64) -> Played {
    let mut random = StdRng::seed_from_u64(seed);
    let mean_gap_us = TYPICAL_RUN_US * 118 / load_percent / SLOTS_U64;
    let mut queue = RequestQueue::default();
    let mut arrived_us: HashMap<u16, u64> = HashMap::new();
    let mut slot_free_us = [0_u64; SLOTS];
    let mut played = Played::default();
    let mut arrival_us = 0;
    let mut port = 0;
    while arrival_us < DURATION_US || !queue.is_empty() {
        let slot_us = slot_free_us.iter_mut().min().expect("slots");
        if arrival_us < DURATION_US && (queue.is_empty() || arrival_us <= *slot_us) {
            *slot_us = arrival_us.max(*slot_us);
            port += 1;
            arrived_us.insert(port, arrival_us);
            push(&mut queue, arrival_us, port);
            played.requests += 1;
            arrival_us += random.random_range(0..2 * mean_gap_us);
            continue;
        }
        let now = MonoTime::from_us(*slot_us);
        queue.expire(now);
        let Some(port) = pop(&mut queue, now, order) else {
            continue;
        };
        let run_us = run_us(&mut random);
        queue.record_run(run_us);
        *slot_us += run_us;
        played.run_us += run_us;
        played.runs += 1;
        let latency_us = *slot_us - arrived_us[&port];
        played.in_goal += usize::from(latency_us <= u64::from(GOAL_MS) * 1_000);
    }
    played
}

fn push(queue: &mut RequestQueue, at_us: u64, port: u16) {
    let segment = client_segment(flow(port, stream_address()));
    let requirements = requirements(FlowUse::Stream, GOAL_MS, TIMEOUT_MS);
    queue.push(MonoTime::from_us(at_us), requirements, segment, &[]);
}

fn pop(queue: &mut RequestQueue, now: MonoTime, order: Order) -> Option<u16> {
    let queued = match order {
        Order::Queue => queue.pop(now),
        Order::Arrival => queue.pop(MonoTime::from_ms(u64::from(u32::MAX))),
    };
    queued.map(|queued| queued.flow.client.port())
}

/// Returns the most requests that the slots could have answered within the goal. Nearly 3 % of the
/// requests run for longer than the goal.
fn ceiling(played: &Played) -> usize {
    let mean_run_us = played.run_us / played.runs;
    let capacity = DURATION_US * SLOTS_U64 / mean_run_us;
    let capacity = usize::try_from(capacity).expect("small");
    capacity.min(played.requests) * 97 / 100
}

/// Guards against slots that are spent on requests that are late anyway.
#[rstest]
fn the_slots_serve_requests_that_can_be_in_time(
    #[values(120, 180, 300)] load_percent: u64,
    #[values(1, 2, 3)] seed: u64,
) {
    let played = play(Order::Queue, load_percent, seed);

    let ceiling = ceiling(&played);
    assert!(
        played.in_goal * 100 >= ceiling * 95,
        "{played:?} of {ceiling}"
    );
}

/// Shows that the check above notices the order of arrival: once no request meets its timeout, the
/// queue releases them in that order.
#[test]
fn the_order_of_arrival_is_noticed() {
    let played = play(Order::Arrival, 180, 1);

    assert!(played.in_goal * 2 < ceiling(&played), "{played:?}");
}
