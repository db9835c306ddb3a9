//! Flows with a request that waits at its agent, while entries are restarted and search for them.

mod support;

use fes_passthrough::EntryAction;
use fes_passthrough::EntryCore;
use fes_passthrough::ListChange;
use fes_passthrough::LoadReport;
use fes_passthrough::Message;
use fes_passthrough::Outcome;
use fes_protocol::DataCentreName;
use fes_protocol::MonoTime;
use rstest::rstest;

use support::client::Client;
use support::fixtures::SERVICE;
use support::fixtures::client_segment;
use support::fixtures::entry_vm;
use support::fixtures::flow;
use support::fixtures::idle_report;
use support::fixtures::routes;
use support::fixtures::stream_address;
use support::fixtures::target;
use support::fixtures::vm;
use support::simulation::Simulation;

const ENTRIES: usize = 2;
const TARGETS: usize = 4;
/// Long, so that most requests wait for a slot.
const WORK_MS: u64 = 3_000;
const STREAMS: u16 = 24;
const ENTRY_RESTART_PERIOD_MS: u64 = 400;

/// Plays streams whose requests wait for a slot, at agents that were all restarted, while the entries
/// are restarted in turn.
fn run_with_restarted_entries(client_timeout_ms: u64) -> Simulation {
    let mut simulation = Simulation::new(ENTRIES, TARGETS, 1, WORK_MS, 3);
    for index in 0..TARGETS {
        simulation.start_agent(index, false);
    }
    for index in 0..STREAMS {
        let mut client = Client::new(flow(20_000 + index, stream_address()), 1, 0);
        client.timeout_ms = client_timeout_ms;
        simulation.add_client(client, 1_000 + u64::from(index) * 10);
    }
    simulation.run_until(2_000);
    for restart in 0..16 {
        simulation.start_entry(restart % ENTRIES);
        simulation.run_until(simulation.now_ms + ENTRY_RESTART_PERIOD_MS);
    }
    simulation
}

/// Guards against packets of a flow that reach every target but its own: its agent withheld them,
/// because the flow's request waited or was given up there, while entries that searched for the flow
/// sent copies to the other targets before any agent had answered (review case 7).
#[rstest]
#[case::request_waits(u64::MAX)]
#[case::client_closed_the_flow(600)]
fn searches_send_no_copies_of_flows_that_an_agent_knows(#[case] client_timeout_ms: u64) {
    let simulation = run_with_restarted_entries(client_timeout_ms);

    assert!(simulation.count(Outcome::SearchFound) > usize::from(STREAMS));
    assert_eq!(simulation.misrouted, []);
    assert_eq!(simulation.broken_flows(), 0);
    assert_eq!(simulation.resets_while_open(), 0);
}

/// Guards against packets on trial at other targets while an agent that has just been heard hasn't been
/// asked yet: it may know the flow and withhold its packets.
#[test]
fn no_target_is_probed_before_an_agent_that_was_just_heard_is_asked() {
    let now = MonoTime::from_ms(1_000);
    let flow = flow(1, stream_address());
    let mut entry = EntryCore::new(1, entry_vm(0), DataCentreName::from("a"), &[]);
    let targets = (0..2).map(|index| ListChange::Target(target(index, 10)));
    let listing = targets.chain([ListChange::Routes(routes(1, SERVICE))]);
    entry.on_listing(now, listing.collect(), 20, &mut Vec::new());
    entry.confirm_list(now, 20);
    let report = Message::Load(LoadReport {
        is_complete: false,
        ..idle_report()
    });
    let undetermined = Message::Undetermined { flow };
    let mut out = Vec::new();

    entry.on_message(now, vm(0), &report, &[], &mut out);
    entry.on_client_packet(now, &client_segment(flow), &[1], &mut out);
    entry.on_message(now, vm(0), &undetermined, &[], &mut out);
    let retry = now.plus_ms(100);
    entry.on_tick(retry, &mut out);
    entry.on_message(retry, vm(1), &report, &[], &mut out);
    entry.on_message(retry, vm(0), &undetermined, &[], &mut out);

    let is_probe = |action: &&EntryAction| matches!(action, EntryAction::SendStored { .. });
    assert_eq!(out.iter().filter(is_probe).count(), 0, "{out:?}");
    let next_retry = retry.plus_ms(100);
    entry.on_tick(next_retry, &mut out);
    entry.on_message(next_retry, vm(0), &undetermined, &[], &mut out);
    entry.on_message(next_retry, vm(1), &undetermined, &[], &mut out);
    assert_eq!(out.iter().filter(is_probe).count(), 2, "{out:?}");
}
