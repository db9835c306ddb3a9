//! Priorities from the routes of an entry to the queue of an agent, also of different versions.

mod support;

use fes_passthrough::AgentAction;
use fes_passthrough::AgentCore;
use fes_passthrough::EntryAction;
use fes_passthrough::EntryCore;
use fes_passthrough::ListChange;
use fes_passthrough::Message;
use fes_passthrough::Priority;
use fes_passthrough::Segment;
use fes_protocol::MonoTime;
use rstest::rstest;

use support::fixtures::SERVICE;
use support::fixtures::client_segment;
use support::fixtures::entry_vm;
use support::fixtures::flow;
use support::fixtures::hello;
use support::fixtures::opening;
use support::fixtures::routes;
use support::fixtures::stream_address;
use support::fixtures::target;
use support::fixtures::vm;

const NOW: MonoTime = MonoTime::from_ms(2_000);

fn routes_with_priority(version: u64, priority: u8) -> ListChange {
    let mut set = routes(version, SERVICE);
    for route in set.routes.values_mut() {
        route.requirements.priority = Priority(priority);
    }
    ListChange::Routes(set)
}

/// Returns an entry whose routes have priority 2 and that knows the agent's report, which lacks the
/// announcement if the agent is of the previous version.
fn entry(agent: &mut AgentCore, is_previous: bool) -> EntryCore {
    let mut entry = EntryCore::new(1, entry_vm(0), "a".into(), &[entry_vm(0)]);
    let listed = vec![ListChange::Target(target(0, 1)), routes_with_priority(1, 2)];
    entry.on_listing(NOW, listed, 1, &mut Vec::new());
    let mut out = Vec::new();
    agent.on_message(NOW, entry_vm(0), &hello(1), None, &mut out);
    for action in out {
        if let AgentAction::Send { mut message, .. } = action {
            if let Message::Load(report) = &mut message {
                report.supports_priority &= !is_previous;
            }
            entry.on_message(NOW, vm(0), &message, &[], &mut Vec::new());
        }
    }
    entry
}

/// Forwards a client's packet through the entry to the agent.
fn carry(entry: &mut EntryCore, agent: &mut AgentCore, now: MonoTime, segment: &Segment) {
    let mut out = Vec::new();
    entry.on_client_packet(now, segment, &[], &mut out);
    for action in out {
        if let EntryAction::Forward { vm, forward }
        | EntryAction::ForwardStored { vm, forward, .. } = action
        {
            let message = entry.forward_message(now, vm, forward);
            let carried = Some((segment, [].as_slice()));
            agent.on_message(now, entry_vm(0), &message, carried, &mut Vec::new());
        }
    }
}

/// Guards against requests that are queued without the priority of their route, or with a former
/// one. An agent of the previous version must get no message that it would drop, also if the entry
/// doesn't know yet that it has replaced another; without a priority, the flow's former one counts.
#[rstest]
#[case::changed_route(false, 0, 0)]
#[case::silent_agent(false, 1_000, 2)]
#[case::previous_version(true, 0, u8::MAX)]
fn requests_are_queued_with_the_latest_priority(
    #[case] is_previous: bool,
    #[case] silence_ms: u64,
    #[case] expected: u8,
) {
    let mut agent = AgentCore::new(NOW, 1, SERVICE, true);
    let mut entry = entry(&mut agent, is_previous);
    let flows = [1, 2, 3].map(|port| flow(port, stream_address()));

    for flow in flows {
        carry(&mut entry, &mut agent, NOW, &opening(flow));
    }
    entry.on_change(NOW, routes_with_priority(2, 0), &mut Vec::new());
    for flow in flows {
        let request = Segment {
            payload_bytes: 100,
            sequence: 2,
            ..client_segment(flow)
        };
        carry(&mut entry, &mut agent, NOW.plus_ms(silence_ms), &request);
    }

    let queued: Vec<_> = agent.queued_by_priority().into_iter().collect();
    assert_eq!(queued, [(Priority(expected), 1)]);
}
