//! Unit tests of an agent whose target has one slot.

mod support;

use fes_passthrough::AgentAction;
use fes_passthrough::AgentCore;
use fes_passthrough::FlowKey;
use fes_passthrough::FlowRequirements;
use fes_passthrough::FlowUse;
use fes_passthrough::Forward;
use fes_passthrough::ForwardMode;
use fes_passthrough::Hello;
use fes_passthrough::Message;
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

/// Returns the share of failed requests that the agent reports to a new entry.
fn reported_failures(agent: &mut AgentCore, now_ms: u64) -> u32 {
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
    report
        .expect("a new entry gets a report")
        .failures_per_mille
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

    assert_eq!(reported_failures(&mut agent, 30) > 0, expected);
}
