//! Targets that return opening packets, as when a third of a service has crashed, behind many
//! entries of which each opens few flows.

mod support;

use fes_passthrough::Outcome;

use support::client::Client;
use support::fixtures::flow;
use support::fixtures::once_address;
use support::simulation::Simulation;

const ENTRIES: usize = 40;
const TARGETS: usize = 30;
const REJECTING: usize = 10;
const CRASH_AT_MS: u64 = 1_000;
/// Latency goal of the simulated routes.
const GOAL_MS: u64 = 200;

/// Plays 200 flows a second, 5 at each entry, while a third of the targets rejects flows.
fn play() -> Simulation {
    let mut simulation = Simulation::new(ENTRIES, TARGETS, 2, 30, 4);
    simulation.run_until(CRASH_AT_MS);
    for index in 0..REJECTING {
        simulation.targets[index].rejects_flows = true;
    }
    for index in 0..800_u16 {
        let at_ms = CRASH_AT_MS + u64::from(index) * 5;
        simulation.add_client(
            Client::new(flow(2_000 + index, once_address()), 1, 0),
            at_ms,
        );
    }
    simulation.run_until(CRASH_AT_MS + 6_000);
    simulation
}

/// Guards against rejecting targets that draw nearly all openings because they are idle: each entry
/// avoided them only after it had tried them itself, and for less time than lies between two of its
/// openings. Clients were refused although two thirds of the targets were free.
#[test]
fn flows_are_placed_on_targets_that_accept_them() {
    let simulation = play();

    let answers = simulation.clients.iter().flat_map(|client| &client.answers);
    let in_goal = answers.filter(|a| a.answered_ms - a.sent_ms <= GOAL_MS);
    let in_goal = in_goal.count();
    let refused = simulation.count(Outcome::RefusedOverload);
    // The first openings find out that the targets reject, and one try a second that they still do.
    assert!(
        refused * 100 <= simulation.clients.len(),
        "{refused} refused"
    );
    assert!(
        in_goal * 100 >= simulation.clients.len() * 99,
        "{in_goal} in time"
    );
}
