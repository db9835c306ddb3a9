//! The order of queued requests.

mod support;

use fes_passthrough::FlowUse;
use fes_passthrough::RequestQueue;
use fes_passthrough::Segment;
use fes_protocol::MonoTime;
use rstest::rstest;

use support::fixtures::client_segment;
use support::fixtures::flow;
use support::fixtures::requirements;
use support::fixtures::stream_address;

fn request(port: u16) -> Segment {
    Segment {
        payload_bytes: 100,
        ..client_segment(flow(port, stream_address()))
    }
}

fn push(queue: &mut RequestQueue, now_ms: u64, port: u16, flow_use: FlowUse, goal_ms: u32) {
    let now = MonoTime::from_ms(now_ms);
    queue.push(
        now,
        requirements(flow_use, goal_ms, 1_000),
        request(port),
        &[],
    );
}

fn pop_port(queue: &mut RequestQueue, now_ms: u64) -> Option<u16> {
    let queued = queue.pop(MonoTime::from_ms(now_ms))?;
    Some(queued.flow.client.port())
}

/// Guards against a request that can't meet its goal and delays one that can.
#[test]
fn a_request_that_can_meet_its_goal_goes_before_a_late_one() {
    let mut queue = RequestQueue::default();
    push(&mut queue, 0, 1, FlowUse::Stream, 200);
    push(&mut queue, 300, 2, FlowUse::Stream, 200);

    let order = [pop_port(&mut queue, 310), pop_port(&mut queue, 310)];

    assert_eq!(order, [Some(2), Some(1)]);
}

/// Guards against targets that get no new flows because of requests that are late already: a new
/// request doesn't wait for them.
#[test]
fn only_requests_that_can_meet_their_goal_count_as_waiting() {
    let mut queue = RequestQueue::default();
    push(&mut queue, 0, 1, FlowUse::Stream, 200);
    push(&mut queue, 300, 2, FlowUse::Stream, 200);

    let counts = [0, 310, 600].map(|at_ms| queue.len_in_time(MonoTime::from_ms(at_ms)));

    assert_eq!(counts, [2, 1, 0]);
}

/// Guards against requests that must not be repeated and are queued behind those that may be.
#[test]
fn requests_that_must_not_be_repeated_go_first() {
    let mut queue = RequestQueue::default();
    push(&mut queue, 0, 1, FlowUse::Stream, 200);
    push(&mut queue, 10, 2, FlowUse::NonRepeatable, 200);

    assert_eq!(pop_port(&mut queue, 20), Some(2));
}

/// Guards against a request that runs after its timeout.
#[rstest]
#[case(999, 0)]
#[case(1_000, 1)]
fn requests_expire_at_their_timeout(#[case] now_ms: u64, #[case] expected: usize) {
    let mut queue = RequestQueue::default();
    push(&mut queue, 0, 1, FlowUse::NonRepeatable, 200);

    let expired = queue.expire(MonoTime::from_ms(now_ms));

    assert_eq!(expired.len(), expected);
}

/// Guards against a retransmitted request that runs twice.
#[test]
fn a_retransmitted_packet_is_queued_once() {
    let mut queue = RequestQueue::default();
    push(&mut queue, 0, 1, FlowUse::NonRepeatable, 200);

    let is_appended = queue.append(&request(1), &[]);
    let is_other_appended = queue.append(&request(2), &[]);

    assert!(is_appended);
    assert!(!is_other_appended);
    let queued = queue.pop(MonoTime::from_ms(1)).expect("queued");
    assert_eq!(queued.packets.len(), 1);
}

/// Guards against a slot that an unanswered request occupies forever, and against one that is
/// reused too early, while a target that has become slow still runs its request.
#[test]
fn the_longest_run_follows_the_measured_ones() {
    let mut queue = RequestQueue::default();
    let before_us = queue.run_time().longest_us();

    for _ in 0..100 {
        queue.record_run(150_000);
    }

    assert!(before_us <= 400_000);
    assert!(queue.run_time().longest_us() >= 1_000_000);
}

/// Guards against a request that ends after its timeout and delays one that can still be answered.
#[test]
fn a_request_that_would_miss_its_timeout_goes_last() {
    let mut queue = RequestQueue::default();
    queue.record_run(60_000);
    push(&mut queue, 0, 1, FlowUse::NonRepeatable, 200);
    push(&mut queue, 100, 2, FlowUse::Stream, 200);

    let order = [pop_port(&mut queue, 950), pop_port(&mut queue, 950)];

    assert_eq!(order, [Some(2), Some(1)]);
}

/// Guards against an agent that was just restarted and, for as long as it assumes short run times,
/// releases requests that can't meet their goal before those that can.
#[test]
fn the_run_time_is_learnt_within_a_few_requests() {
    let mut queue = RequestQueue::default();
    for _ in 0..3 {
        queue.record_run(400_000);
    }
    push(&mut queue, 0, 1, FlowUse::Stream, 300);
    push(&mut queue, 0, 2, FlowUse::Stream, 700);

    assert_eq!(pop_port(&mut queue, 10), Some(2));
}
