//! Which entries read the platform, and how often, in fleets of several sizes.

mod support;

use fes_passthrough::retry_delay_ms;
use rstest::rstest;

use support::entry_fleet::EntryFleet;

/// Guards against a number of readers that grows with the fleet: each entry counted only the
/// readers of which it had just got a digest, so that 10 of 59 entries read the platform.
#[rstest]
fn three_entries_read_the_platform(#[values(4, 15, 60, 200)] entries: usize) {
    let mut fleet = EntryFleet::new(entries, 0, 1);
    fleet.run(10_000);

    let reads = fleet.reads_during(7_000);

    // Three readers with a read every 700 ms, which the tick rounds up.
    assert!(reads <= 3 * 10, "{reads} reads in 7 s");
    assert!(fleet.oldest_view_ms() < 2_000);
}

/// Guards against entries that count on readers which the platform refuses: every view became
/// outdated before another entry read, and then all read at once.
#[rstest]
fn entries_that_are_refused_are_replaced(#[values(4, 15, 60)] entries: usize) {
    let refused = 3;
    let mut fleet = EntryFleet::new(entries, refused, 1);
    fleet.run(10_000);

    let reads = fleet.reads_during(7_000);

    let attempts_of_refused =
        refused * 7_000 / usize::try_from(retry_delay_ms(entries - 1)).expect("small");
    assert!(
        reads <= 3 * 10 + attempts_of_refused,
        "{reads} reads in 7 s"
    );
    assert!(fleet.oldest_view_ms() < 2_000);
}

/// Guards against an entry that reads the whole list at each of its starts although others know it,
/// and against one that waits for seeds that don't answer.
#[rstest]
#[case::seeds_answer(0, 0)]
#[case::seeds_have_no_view(3, 1)]
fn an_entry_that_starts_asks_the_seeds_first(#[case] refused: usize, #[case] reads: usize) {
    let mut fleet = EntryFleet::new(8, refused, 1);
    fleet.run(5_000);
    if refused > 0 {
        // The seeds know nothing either, as after a start of all processes.
        (0..refused).for_each(|index| fleet.restart(index));
    }
    fleet.restart(7);

    fleet.run(200);

    let node = &fleet.nodes[7];
    assert!(node.reads <= reads, "{} reads", node.reads);
    assert_eq!(node.view.targets().count(), 1);
}

/// Guards against a rate of attempts at a platform that is down that grows with the fleet.
#[rstest]
#[case::small(4, 250)]
#[case::medium(30, 600)]
#[case::large(790, 1_000)]
fn attempts_become_rarer_in_a_larger_fleet(#[case] entries: usize, #[case] delay_ms: u64) {
    assert_eq!(retry_delay_ms(entries), delay_ms);
}
