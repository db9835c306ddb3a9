//! Clients that use a port again while records of the earlier flow still exist.

mod support;

use std::net::Ipv4Addr;

use fes_passthrough::AgentAction;
use fes_passthrough::AgentCore;
use fes_passthrough::EntryAction;
use fes_passthrough::FlowKey;
use fes_passthrough::FlowUse;
use fes_passthrough::Forward;
use fes_passthrough::ForwardMode;
use fes_passthrough::Message;
use fes_passthrough::Segment;
use fes_passthrough::Sender;
use fes_passthrough::TargetState;
use fes_protocol::MonoTime;
use rstest::rstest;

use support::client::Client;
use support::fixtures::SERVICE;
use support::fixtures::client_segment;
use support::fixtures::entry_vm;
use support::fixtures::flow;
use support::fixtures::hello;
use support::fixtures::opening;
use support::fixtures::requirements;
use support::fixtures::stream_address;
use support::fixtures::vm;
use support::simulation::Simulation;

/// Initial sequence number of simulated clients.
const CLIENT_SEQUENCE: u32 = 0;
const FIRST_SEQUENCE: u32 = 1_000;
const SECOND_SEQUENCE: u32 = 900_000;

fn reused_flow() -> FlowKey {
    flow(40_001, stream_address())
}

fn opening_at(sequence: u32) -> Segment {
    Segment {
        sequence,
        ..opening(reused_flow())
    }
}

fn request_at(sequence: u32, acknowledged: u32) -> Segment {
    Segment {
        sequence: sequence + 1,
        acknowledged,
        payload_bytes: 100,
        ..client_segment(reused_flow())
    }
}

fn accepted(sequence: u32) -> Segment {
    Segment {
        sender: Sender::Target,
        is_syn: true,
        sequence,
        ..client_segment(reused_flow())
    }
}

/// Returns an agent whose target has one slot and runs as many requests as it may get.
fn agent_with_busy_target(is_first_start: bool) -> AgentCore {
    let mut agent = AgentCore::new(MonoTime::ZERO, 1, SERVICE, is_first_start);
    let hello = hello(1);
    agent.on_message(MonoTime::ZERO, entry_vm(0), &hello, None, &mut Vec::new());
    for port in 1..=2 {
        let flow = flow(port, stream_address());
        let request = Segment {
            payload_bytes: 100,
            sequence: 2,
            ..client_segment(flow)
        };
        forward(&mut agent, 0, ForwardMode::Open, &opening(flow));
        forward(&mut agent, 1, ForwardMode::Owner, &request);
    }
    agent
}

fn forward(
    agent: &mut AgentCore,
    now_ms: u64,
    mode: ForwardMode,
    segment: &Segment,
) -> Vec<AgentAction> {
    let message = Message::Forward(Forward {
        mode,
        service: SERVICE,
        started_at_ms: 1_000,
        requirements: requirements(FlowUse::Stream, 200, 1_000),
    });
    let mut out = Vec::new();
    let now = MonoTime::from_ms(now_ms);
    agent.on_message(now, entry_vm(0), &message, Some((segment, &[0])), &mut out);
    out
}

/// Returns the VM to which an opening packet is sent, if it is placed.
fn place(simulation: &mut Simulation, segment: &Segment) -> Option<Ipv4Addr> {
    let now = MonoTime::from_ms(simulation.now_ms);
    let entry = simulation.entries[0].as_mut().expect("started");
    let mut out = Vec::new();
    entry.on_client_packet(now, segment, &[0], &mut out);
    out.iter().find_map(|action| match action {
        EntryAction::ForwardStored { vm, .. } | EntryAction::Forward { vm, .. } => Some(*vm),
        _ => None,
    })
}

/// Opens the earlier flow of the port at an agent that has seen its opening packet, or that was
/// restarted afterwards and learns of the flow by its next packet.
fn open_earlier_flow(agent: &mut AgentCore, has_seen_opening: bool) {
    if has_seen_opening {
        forward(agent, 10, ForwardMode::Open, &opening_at(FIRST_SEQUENCE));
        agent.on_target_packet(MonoTime::from_ms(11), &accepted(77), &mut Vec::new());
    } else {
        let acknowledgement = Segment {
            payload_bytes: 0,
            ..request_at(FIRST_SEQUENCE, 78)
        };
        forward(agent, 10, ForwardMode::Owner, &acknowledgement);
        let answer = Segment {
            is_syn: false,
            acknowledged: FIRST_SEQUENCE + 1,
            payload_bytes: 10,
            ..accepted(78)
        };
        agent.on_target_packet(MonoTime::from_ms(11), &answer, &mut Vec::new());
    }
}

/// Guards against a new flow whose packets are dropped because the request of the port's earlier
/// flow was cancelled while it was queued.
#[rstest]
#[case::opened_here(true)]
#[case::opened_before_a_restart(false)]
fn an_agent_delivers_a_new_flow_of_a_port(#[case] has_seen_opening: bool) {
    let mut agent = agent_with_busy_target(has_seen_opening);
    open_earlier_flow(&mut agent, has_seen_opening);
    forward(
        &mut agent,
        12,
        ForwardMode::Owner,
        &request_at(FIRST_SEQUENCE, 78),
    );
    let cancellation = Segment {
        is_reset: true,
        payload_bytes: 0,
        ..request_at(FIRST_SEQUENCE + 100, 78)
    };
    forward(&mut agent, 20, ForwardMode::Owner, &cancellation);

    forward(
        &mut agent,
        100,
        ForwardMode::Open,
        &opening_at(SECOND_SEQUENCE),
    );
    let now = MonoTime::from_ms(101);
    agent.on_target_packet(now, &accepted(5_000_000), &mut Vec::new());
    let acknowledgement = Segment {
        payload_bytes: 0,
        ..request_at(SECOND_SEQUENCE, 5_000_001)
    };
    let out = forward(&mut agent, 102, ForwardMode::Owner, &acknowledgement);

    assert!(out.contains(&AgentAction::Deliver), "{out:?}");
}

/// How the entry learned of the earlier flow of the port.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Learned {
    /// It placed the flow.
    ByOpening,
    /// It was restarted and searched for the flow's target.
    BySearch,
}

/// Plays two requests on the earlier flow of the port. Returns the simulation and the index of the
/// flow's target.
fn play_earlier_flow(learned: Learned) -> (Simulation, usize) {
    let mut simulation = Simulation::new(1, 2, 2, 20, 1);
    simulation.run_until(500);
    let client = simulation.add_client(Client::new(reused_flow(), 2, 300), 500);
    simulation.run_until(700);
    if learned == Learned::BySearch {
        simulation.start_entry(0);
    }
    simulation.run_until(1_200);
    assert!(simulation.clients[client].is_done());
    let owner = (0..2).find(|index| simulation.targets[*index].completed_requests > 0);
    (simulation, owner.expect("answered"))
}

/// Guards against a new flow that is sent to the target of the earlier one, which may be leaving or
/// belong to a service that the route no longer leads to.
#[rstest]
#[case::placed_here(Learned::ByOpening)]
#[case::found_by_a_search(Learned::BySearch)]
fn an_entry_places_a_new_flow_of_a_port(#[case] learned: Learned) {
    let (mut simulation, earlier) = play_earlier_flow(learned);
    simulation.change_target(earlier, |record| record.state = TargetState::Draining);
    simulation.run_until(1_300);

    let placed = place(&mut simulation, &opening_at(SECOND_SEQUENCE));

    assert_eq!(placed, Some(vm(1 - earlier)));
}

/// Guards against a second target for a flow that is open, when a copy of its opening packet
/// arrives late.
#[rstest]
#[case::placed_here(Learned::ByOpening)]
#[case::found_by_a_search(Learned::BySearch)]
fn an_entry_sends_a_late_copy_of_the_opening_packet_to_the_same_target(#[case] learned: Learned) {
    let (mut simulation, owner) = play_earlier_flow(learned);
    let copy = Segment {
        acknowledged: 1,
        ..opening_at(CLIENT_SEQUENCE)
    };

    let placed = place(&mut simulation, &copy);

    assert_eq!(placed, Some(vm(owner)));
}
