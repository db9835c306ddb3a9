//! Overload for some seconds: the number of requests that are answered within their latency goal.

mod support;

use support::client::Client;
use support::fixtures::flow;
use support::fixtures::once_address;
use support::fixtures::stream_address;
use support::simulation::Simulation;

const GOAL_MS: u64 = 200;

/// Simulates 3 s of 1.5 times the load that two targets with two slots can run. Returns the number
/// of requests that were answered within the goal, and of all that were answered.
fn run_overload(reported_slots: Option<u32>, seed: u64) -> (usize, usize) {
    let mut simulation = Simulation::new(2, 2, 2, 30, seed);
    if let Some(slots) = reported_slots {
        simulation.override_reported_slots(slots);
    }
    simulation.run_until(500);
    for index in 0..600_u16 {
        let destination = if index % 4 == 0 {
            once_address()
        } else {
            stream_address()
        };
        let client = Client::new(flow(2_000 + index, destination), 1, 0);
        simulation.add_client(client, 500 + 5 * u64::from(index));
    }
    simulation.run_until(8_000);
    let answers = simulation.clients.iter().flat_map(|client| &client.answers);
    let in_goal = answers.filter(|a| a.answered_ms - a.sent_ms <= GOAL_MS);
    (in_goal.count(), simulation.answered())
}

/// Guards against a peak of load at which a FIFO queue makes every request late. The baseline is
/// the target's own FIFO queue: with very many reported slots, the agent delivers all requests
/// immediately.
#[test]
fn requests_that_can_meet_their_goal_go_first() {
    let (in_goal, answered) = run_overload(None, 1);
    let (in_goal_fifo, answered_fifo) = run_overload(Some(10_000), 1);

    // The targets can run 133 requests/s, for 3 s, of the 600 requests that arrive.
    assert!(
        in_goal >= 300,
        "{in_goal} of {answered} in time, FIFO {in_goal_fifo} of {answered_fifo}"
    );
    assert!(
        in_goal > 2 * in_goal_fifo,
        "{in_goal} against FIFO {in_goal_fifo}"
    );
}
