//! Flows that open while a target is being listed, and move to an entry that hears of it later.

mod support;

use support::client::Client;
use support::fixtures::flow;
use support::fixtures::stream_address;
use support::simulation::Simulation;

const TARGETS: usize = 4;
const NEW_TARGET: usize = 3;
const STREAMS: u16 = 60;

/// Opens streams through entry 0 from the moment at which it learns of a new target.
fn fleet_with_new_target(listed_at_ms: u64) -> Simulation {
    let mut simulation = Simulation::new(2, TARGETS, 2, 10, 1);
    simulation.unlist_target(NEW_TARGET);
    simulation.run_until(listed_at_ms);
    simulation.relist_target(NEW_TARGET, 0);
    simulation
}

fn add_streams(simulation: &mut Simulation, gap_ms: u64) {
    for index in 0..STREAMS {
        // Even ports are routed to entry 0.
        let flow = flow(20_000 + 2 * index, stream_address());
        let at_ms = simulation.now_ms + u64::from(index) * gap_ms;
        simulation.add_client(Client::new(flow, 20, 5), at_ms);
    }
}

/// Guards against resets of open flows by an entry that doesn't know their target yet: clients lost
/// a flow whose target was just listed when routers moved it to another entry.
#[test]
fn flows_move_to_an_entry_that_hears_of_the_target_later() {
    for listed_at_ms in (3_000..3_400).step_by(50) {
        let mut simulation = fleet_with_new_target(listed_at_ms);
        add_streams(&mut simulation, 1);
        simulation.run_until(listed_at_ms + 100);

        simulation.entries[0] = None;
        simulation.run_until(listed_at_ms + 10_000);

        assert_eq!(
            simulation.resets_while_open(),
            0,
            "listed at {listed_at_ms}"
        );
        assert_eq!(simulation.answered(), usize::from(STREAMS) * 20);
    }
}

/// Guards against a new target that is kept idle although the others can't serve.
#[test]
fn a_new_target_is_used_at_once_if_the_others_accept_no_flows() {
    let mut simulation = fleet_with_new_target(3_000);
    for index in 0..NEW_TARGET {
        simulation.targets[index].rejects_flows = true;
    }

    add_streams(&mut simulation, 10);
    simulation.run_until(3_700);

    assert!(simulation.targets[NEW_TARGET].completed_requests > 100);
}

/// Guards against a new target that gets no flows after all entries know it.
#[test]
fn a_new_target_gets_its_share_once_all_entries_know_it() {
    let mut simulation = fleet_with_new_target(3_000);

    add_streams(&mut simulation, 30);
    simulation.run_until(6_000);

    let at_new_target = |(target, _, _): &&(usize, _, u64)| *target == NEW_TARGET;
    let openings = simulation.openings.iter().filter(at_new_target).count();
    assert!(openings >= 8, "{openings}");
}
