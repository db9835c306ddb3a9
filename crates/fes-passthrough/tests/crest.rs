//! More requests than the targets can run, for some seconds: how many are answered in time.

mod support;

use support::client::Client;
use support::fixtures::flow;
use support::fixtures::once_address;
use support::fixtures::stream_address;
use support::world::World;

const GOAL_MS: u64 = 200;

/// Plays 3 s of 1.5 times the load that two targets with two slots can run, and returns how many
/// of the requests were answered within the goal and how many at all.
fn play_crest(told_slots: Option<u32>, seed: u64) -> (usize, usize) {
    let mut world = World::new(2, 2, 2, 30, seed);
    if let Some(slots) = told_slots {
        world.tell_slots(slots);
    }
    world.run_until(500);
    for index in 0..600_u16 {
        let destination = if index % 4 == 0 {
            once_address()
        } else {
            stream_address()
        };
        let client = Client::new(flow(2_000 + index, destination), 1, 0);
        world.add_client(client, 500 + 5 * u64::from(index));
    }
    world.run_until(8_000);
    let answers = world.clients.iter().flat_map(|client| &client.answers);
    let in_goal = answers.filter(|a| a.answered_ms - a.sent_ms <= GOAL_MS);
    (in_goal.count(), world.answered())
}

/// Guards against a crest at which a queue in order of arrival makes every request late. The
/// baseline is the target's own queue, which the agent leaves alone if told of very many slots.
#[test]
fn requests_that_can_meet_their_goal_go_first() {
    let (in_goal, answered) = play_crest(None, 1);
    let (in_goal_fifo, answered_fifo) = play_crest(Some(10_000), 1);

    // 3 s of 133 requests/s can be run, of 600 that arrive.
    assert!(
        in_goal >= 300,
        "{in_goal} of {answered} in time, FIFO {in_goal_fifo} of {answered_fifo}"
    );
    assert!(
        in_goal > 2 * in_goal_fifo,
        "{in_goal} against FIFO {in_goal_fifo}"
    );
}
