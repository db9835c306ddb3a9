//! Unit tests of an agent whose target has one slot.

mod support;

use fes_passthrough::AgentAction;
use fes_passthrough::AgentCore;
use fes_passthrough::FlowDecision;
use fes_passthrough::FlowKey;
use fes_passthrough::FlowRequirements;
use fes_passthrough::FlowUse;
use fes_passthrough::Forward;
use fes_passthrough::ForwardMode;
use fes_passthrough::Hello;
use fes_passthrough::LoadReport;
use fes_passthrough::Message;
use fes_passthrough::Outcome;
use fes_passthrough::Priority;
use fes_passthrough::Segment;
use fes_passthrough::Sender;
use fes_protocol::MonoTime;
use rstest::rstest;

use support::fixtures::SERVICE;
use support::fixtures::client_segment;
use support::fixtures::entry_vm;
use support::fixtures::flow;
use support::fixtures::hello;
use support::fixtures::opening;
use support::fixtures::requirements;
use support::fixtures::stream_address;

const REQUEST_BYTES: u16 = 100;

fn agent_with_one_slot() -> AgentCore {
    let mut agent = AgentCore::new(MonoTime::ZERO, 1, SERVICE, true);
    let hello = hello(1);
    agent.on_message(MonoTime::ZERO, entry_vm(0), &hello, None, &mut Vec::new());
    agent
}

fn forward(
    agent: &mut AgentCore,
    now_ms: u64,
    mode: ForwardMode,
    requirements: FlowRequirements,
    segment: &Segment,
) -> Vec<AgentAction> {
    let message = Message::Forward(Forward {
        mode,
        service: SERVICE,
        started_at_ms: 1_000,
        requirements,
    });
    let packet = segment.flow.client.port().to_be_bytes();
    let mut out = Vec::new();
    let carried = Some((segment, packet.as_slice()));
    let now = MonoTime::from_ms(now_ms);
    agent.on_message(now, entry_vm(0), &message, carried, &mut out);
    out
}

fn open(agent: &mut AgentCore, now_ms: u64, flow: FlowKey, requirements: FlowRequirements) {
    forward(
        agent,
        now_ms,
        ForwardMode::Open,
        requirements,
        &opening(flow),
    );
}

fn request(agent: &mut AgentCore, now_ms: u64, flow: FlowKey, requirements: FlowRequirements) {
    let segment = Segment {
        payload_bytes: REQUEST_BYTES,
        sequence: opening(flow).sequence.wrapping_add(1),
        ..client_segment(flow)
    };
    forward(agent, now_ms, ForwardMode::Owner, requirements, &segment);
}

fn answer(agent: &mut AgentCore, now_ms: u64, flow: FlowKey) -> Vec<AgentAction> {
    let segment = Segment {
        sender: Sender::Target,
        payload_bytes: REQUEST_BYTES,
        ..client_segment(flow)
    };
    let mut out = Vec::new();
    agent.on_target_packet(MonoTime::from_ms(now_ms), &segment, &mut out);
    out
}

fn released_port(actions: &[AgentAction]) -> Option<u16> {
    let port = |action: &AgentAction| match action {
        AgentAction::DeliverStored { packet } => Some([packet[0], packet[1]]),
        _ => None,
    };
    actions.iter().find_map(port).map(u16::from_be_bytes)
}

/// Guards against queueing a first request by the time of its own packet. If opening the flow took
/// long, the request is late, and it must not run before requests that are in time. Incident:
/// mafraq-gauge-grown, trouble-3.
#[test]
fn the_goal_of_a_first_request_counts_from_the_opening_packet() {
    let mut agent = agent_with_one_slot();
    let flows: Vec<FlowKey> = (1..=4).map(|port| flow(port, stream_address())).collect();
    let full_requirements = requirements(FlowUse::Stream, 200, 1_000);
    for flow in &flows[..2] {
        open(&mut agent, 0, *flow, full_requirements);
        request(&mut agent, 10, *flow, full_requirements);
    }
    open(&mut agent, 20, flows[2], full_requirements.after_ms(500));
    open(&mut agent, 30, flows[3], full_requirements);
    request(&mut agent, 40, flows[2], full_requirements);
    request(&mut agent, 50, flows[3], full_requirements);

    let actions = answer(&mut agent, 60, flows[0]);

    assert_eq!(released_port(&actions), Some(4));
}

/// Returns an agent with two running requests, and two that were queued at 20 and 30 ms.
fn agent_with_queued_requests() -> AgentCore {
    let mut agent = agent_with_one_slot();
    let requirements = requirements(FlowUse::Stream, 200, 1_000);
    for port in 1..=4 {
        let flow = flow(port, stream_address());
        open(&mut agent, 0, flow, requirements);
        request(&mut agent, 10 * u64::from(port - 1), flow, requirements);
    }
    agent
}

fn close(agent: &mut AgentCore, now_ms: u64, flow: FlowKey) -> Vec<AgentAction> {
    let segment = Segment {
        is_fin: true,
        ..client_segment(flow)
    };
    let requirements = requirements(FlowUse::Stream, 200, 1_000);
    forward(agent, now_ms, ForwardMode::Owner, requirements, &segment)
}

/// Guards against records from which an operator can't tell which request waited, for how long and
/// with how many others. The timeout of a first request counts from the opening packet.
#[rstest]
#[case::released(
    |agent: &mut AgentCore| answer(agent, 60, flow(1, stream_address())),
    FlowDecision::new(Outcome::Started).age_ms(40).load(2).version(1_000)
)]
#[case::given_up(
    |agent: &mut AgentCore| close(agent, 70, flow(3, stream_address())),
    FlowDecision::new(Outcome::GivenUpWaiting).age_ms(50).load(2)
)]
#[case::timed_out(
    |agent: &mut AgentCore| {
        let mut out = Vec::new();
        agent.on_tick(MonoTime::from_ms(1_000), &mut out);
        out
    },
    FlowDecision::new(Outcome::TimedOutWaiting).age_ms(980).load(2)
)]
fn the_end_of_a_wait_is_recorded_with_its_request(
    #[case] end_wait: fn(&mut AgentCore) -> Vec<AgentAction>,
    #[case] expected: FlowDecision,
) {
    let mut agent = agent_with_queued_requests();
    let flow = flow(3, stream_address());

    let actions = end_wait(&mut agent);

    let expected = AgentAction::RecordStored {
        decision: expected.flow(flow),
        priority: Priority::LOWEST,
        packet: flow.client.port().to_be_bytes().into(),
    };
    assert!(actions.contains(&expected), "{actions:?}");
}

/// Guards against a flow that stays open at a target because its agent withholds the end of the flow
/// along with the queued request that the client gave up (review case 7). The request must not run.
#[test]
fn a_target_learns_that_the_client_closed_but_gets_no_given_up_request() {
    let mut agent = agent_with_queued_requests();
    let flow = flow(3, stream_address());
    let requirements = requirements(FlowUse::Stream, 200, 1_000);
    let data = Segment {
        payload_bytes: REQUEST_BYTES,
        sequence: opening(flow).sequence.wrapping_add(1),
        ..client_segment(flow)
    };
    let late_end = Segment {
        is_fin: true,
        ..data
    };

    let closed = close(&mut agent, 60, flow);
    let again = close(&mut agent, 260, flow);
    let late = forward(&mut agent, 300, ForwardMode::Owner, requirements, &data);
    let late_end = forward(&mut agent, 310, ForwardMode::Owner, requirements, &late_end);

    assert!(closed.contains(&AgentAction::Deliver), "{closed:?}");
    assert!(again.contains(&AgentAction::Deliver), "{again:?}");
    assert!(!late.contains(&AgentAction::Deliver), "{late:?}");
    assert!(!late_end.contains(&AgentAction::Deliver), "{late_end:?}");
}

/// Guards against a status that shows a wait that has ended.
#[test]
fn the_status_shows_the_queue() {
    let mut agent = agent_with_queued_requests();

    close(&mut agent, 60, flow(3, stream_address()));

    assert_eq!(agent.longest_wait_ms(MonoTime::from_ms(70)), 40);
    assert_eq!(agent.queued_requests(), 1);
}

/// Returns what the agent reports to a new entry.
fn reported(agent: &mut AgentCore, now_ms: u64) -> LoadReport {
    let hello = Message::Hello(Hello {
        incarnation: 2,
        report_period_ms: 100,
        target: None,
        warm_up: None,
    });
    let mut out = Vec::new();
    agent.on_message(
        MonoTime::from_ms(now_ms),
        entry_vm(1),
        &hello,
        None,
        &mut out,
    );
    let report = out.iter().find_map(|action| match action {
        AgentAction::Send {
            message: Message::Load(report),
            ..
        } => Some(*report),
        _ => None,
    });
    report.expect("a new entry gets a report")
}

fn end_of_flow(flow: FlowKey, is_fin: bool, sequence: u32) -> Segment {
    Segment {
        sender: Sender::Target,
        is_fin,
        is_reset: !is_fin,
        sequence,
        ..client_segment(flow)
    }
}

/// Guards against a failing target that looks healthy, and against a healthy one that counts as
/// failing because the end of a flow overtakes the response.
#[rstest]
#[case::closed_without_a_response(end_of_flow(flow(1, stream_address()), true, 0), true)]
#[case::reset_without_a_response(end_of_flow(flow(1, stream_address()), false, 0), true)]
#[case::closed_after_a_response_still_in_flight(
    end_of_flow(flow(1, stream_address()), true, 700),
    false
)]
#[case::failure_response(
    Segment { is_failure: true, payload_bytes: 50, ..end_of_flow(flow(1, stream_address()), true, 0) },
    true
)]
fn only_requests_without_a_good_response_count_as_failed(
    #[case] last: Segment,
    #[case] expected: bool,
) {
    let mut agent = agent_with_one_slot();
    let requirements = requirements(FlowUse::Stream, 200, 1_000);
    open(&mut agent, 0, last.flow, requirements);
    request(&mut agent, 10, last.flow, requirements);

    agent.on_target_packet(MonoTime::from_ms(20), &last, &mut Vec::new());

    assert_eq!(reported(&mut agent, 30).failures_per_mille > 0, expected);
}

/// Returns the first packet with data that arrives of a flow which was opened before a restart.
fn data(port: u16, sequence: u32, acknowledged: u32) -> Segment {
    Segment {
        payload_bytes: REQUEST_BYTES,
        sequence,
        acknowledged,
        ..client_segment(flow(port, stream_address()))
    }
}

fn forward_owned(agent: &mut AgentCore, now_ms: u64, segment: &Segment) -> Vec<AgentAction> {
    let requirements = requirements(FlowUse::Stream, 200, 1_000);
    forward(agent, now_ms, ForwardMode::Owner, requirements, segment)
}

/// Returns an agent that was restarted, whose target has one slot, with requests of two flows that
/// were delivered and one that is queued.
fn restarted_agent() -> AgentCore {
    let mut agent = AgentCore::new(MonoTime::ZERO, 2, SERVICE, false);
    agent.on_message(
        MonoTime::ZERO,
        entry_vm(0),
        &hello(1),
        None,
        &mut Vec::new(),
    );
    for port in 1..=3 {
        forward_owned(&mut agent, 0, &data(port, 1, 1));
    }
    agent
}

fn from_target(agent: &mut AgentCore, now_ms: u64, segment: Segment) -> Vec<AgentAction> {
    let mut out = Vec::new();
    agent.on_target_packet(MonoTime::from_ms(now_ms), &segment, &mut out);
    out
}

fn target_packet(port: u16, acknowledged: u32, payload_bytes: u16) -> Segment {
    Segment {
        sender: Sender::Target,
        payload_bytes,
        ..data(port, 1, acknowledged)
    }
}

fn tick(agent: &mut AgentCore, now_ms: u64) -> Vec<AgentAction> {
    let mut out = Vec::new();
    agent.on_tick(MonoTime::from_ms(now_ms), &mut out);
    out
}

/// Guards against slots that stay in use after a restart because the first packet of a flow was a
/// retransmission, to which the target doesn't answer as to a request.
#[rstest]
#[case::answered(|agent: &mut AgentCore| from_target(agent, 20, target_packet(1, 101, 50)))]
#[case::answered_before(|agent: &mut AgentCore| {
    // The client has the response, which passed the former incarnation.
    let acknowledgement = Segment { payload_bytes: 0, ..data(1, 101, 51) };
    forward_owned(agent, 20, &acknowledgement);
    tick(agent, 25)
})]
#[case::next_request(|agent: &mut AgentCore| {
    // It is queued behind the request that uses its slot.
    forward_owned(agent, 20, &Segment { payload_bytes: 0, ..data(1, 101, 51) });
    let next = forward_owned(agent, 20, &data(1, 101, 51));
    assert!(next.contains(&AgentAction::Deliver), "{next:?}");
    from_target(agent, 25, target_packet(1, 201, 50))
})]
#[case::not_held(|agent: &mut AgentCore| {
    from_target(agent, 20, Segment { is_returned: true, ..data(1, 1, 1) })
})]
#[case::never_answered(|agent: &mut AgentCore| tick(agent, 400))]
fn the_slot_of_a_request_with_unknown_start_is_freed(
    #[case] free: fn(&mut AgentCore) -> Vec<AgentAction>,
) {
    let mut agent = restarted_agent();
    assert_eq!(agent.queued_requests(), 1);

    let actions = free(&mut agent);

    assert_eq!(released_port(&actions), Some(3), "{actions:?}");
}

/// Guards against a flow that is abandoned because a retransmission timed out in the queue although
/// the target had answered the request, or runs it, or the client has its response.
#[rstest]
#[case::answered(|agent: &mut AgentCore| from_target(agent, 20, target_packet(3, 101, 50)), true)]
#[case::running(|agent: &mut AgentCore| from_target(agent, 20, target_packet(3, 101, 0)), true)]
#[case::answered_before(|agent: &mut AgentCore| {
    forward_owned(agent, 20, &Segment { payload_bytes: 0, ..data(3, 101, 51) })
}, false)]
fn a_queued_retransmission_does_not_time_out(
    #[case] show: fn(&mut AgentCore) -> Vec<AgentAction>,
    #[case] is_delivered: bool,
) {
    let mut agent = restarted_agent();

    let actions = show(&mut agent);
    let queued = agent.queued_requests();
    tick(&mut agent, 1_500);
    let next = forward_owned(&mut agent, 1_500, &data(3, 101, 51));

    assert_eq!(queued, 0);
    assert_eq!(released_port(&actions) == Some(3), is_delivered);
    assert!(next.contains(&AgentAction::Deliver), "{next:?}");
}

/// Guards against requests that run although they timed out while an entry held them.
#[test]
fn requests_that_timed_out_while_held_do_not_run() {
    let mut agent = AgentCore::new(MonoTime::ZERO, 2, SERVICE, false);
    let expired = requirements(FlowUse::Stream, 0, 0);

    let actions = forward(&mut agent, 5, ForwardMode::Owner, expired, &data(1, 1, 1));

    let dropped = FlowDecision::new(Outcome::DroppedStale).flow(flow(1, stream_address()));
    assert!(
        actions.contains(&AgentAction::Record(dropped)),
        "{actions:?}"
    );
    assert!(!actions.contains(&AgentAction::Deliver), "{actions:?}");
}

/// Guards against a request of several packets that uses several slots, is delivered in part or
/// passes the queue because its packets arrive out of order.
#[test]
fn the_packets_of_a_request_after_a_restart_stay_together() {
    let mut agent = restarted_agent();
    let late = [data(4, 201, 1), data(4, 1, 1), data(4, 101, 1)];
    for segment in &late {
        forward_owned(&mut agent, 10, segment);
    }
    let queued = agent.queued_requests();
    from_target(&mut agent, 20, target_packet(1, 101, 50));

    let actions = from_target(&mut agent, 30, target_packet(2, 101, 50));

    let is_delivered = |action: &&AgentAction| matches!(action, AgentAction::DeliverStored { .. });
    assert_eq!(queued, 2);
    assert_eq!(actions.iter().filter(is_delivered).count(), 3);
    assert_eq!(agent.load(MonoTime::from_ms(30)).2, 2);
}

/// Guards against a mean run time that is too short because the agent took retransmissions for the
/// start of their requests.
#[test]
fn run_times_count_only_with_a_known_start() {
    let mut agent = restarted_agent();
    for port in 1..=3 {
        from_target(&mut agent, 5, target_packet(port, 101, 50));
    }
    forward_owned(&mut agent, 10, &data(1, 101, 51));

    from_target(&mut agent, 70, target_packet(1, 201, 50));

    assert_eq!(reported(&mut agent, 71).run_time_us, 60_000);
}

/// Guards against packets that pass the queue because they arrive before the first hello, which
/// tells the slots, and against a queue that waits for ever for a hello of a target without entries
/// that list it.
#[rstest]
#[case::few_are_assumed(|_: &mut AgentCore| Vec::new(), 3)]
#[case::told(|agent: &mut AgentCore| {
    let mut out = Vec::new();
    agent.on_message(MonoTime::from_ms(10), entry_vm(0), &hello(3), None, &mut out);
    out
}, 1)]
#[case::never_told(|agent: &mut AgentCore| tick(agent, 1_000), 0)]
fn requests_are_queued_before_the_slots_are_known(
    #[case] next: fn(&mut AgentCore) -> Vec<AgentAction>,
    #[case] expected: u64,
) {
    let mut agent = AgentCore::new(MonoTime::ZERO, 2, SERVICE, false);
    for port in 1..=5 {
        forward_owned(&mut agent, 5, &data(port, 1, 1));
    }

    next(&mut agent);

    assert_eq!(agent.queued_requests(), expected);
}
