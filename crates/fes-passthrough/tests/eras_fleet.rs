//! How fast all entries follow a platform that comes back from an older copy, and what they read.

mod support;

use fes_passthrough::ListChange;
use fes_passthrough::TargetRecord;
use fes_passthrough::TargetState;
use fes_passthrough::era_of;
use fes_passthrough::revision_in_era;
use rstest::rstest;

use support::entry_fleet::EntryFleet;
use support::fixtures::SERVICE;
use support::fixtures::routes;
use support::fixtures::target;
use support::fixtures::vm;

const TARGETS: usize = 20;
const POLL_MS: u64 = 20;
/// Bound on the time from the return until all entries follow.
const MAX_AGREEMENT_MS: u64 = 2_000;

/// Returns the list of the platform. `lost` says whether it lacks what was written last: that target 0
/// drains, and that the last target exists.
fn listing(era: u16, number: u64, lost: bool) -> Vec<ListChange> {
    let record = |index: usize| TargetRecord {
        revision: revision_in_era(era, number),
        state: match index == 0 && !lost {
            true => TargetState::Draining,
            false => TargetState::Ready,
        },
        writes: if lost { 35 } else { 40 },
        ..target(index, 0)
    };
    let count = TARGETS - usize::from(lost);
    let targets = (0..count).map(|index| ListChange::Target(record(index)));
    targets
        .chain([ListChange::Routes(routes(8, SERVICE))])
        .collect()
}

/// What happened after a return.
#[derive(Debug, Clone, Copy)]
struct Agreement {
    after_ms: u64,
    /// Number of samples in which an entry took the draining target for ready, or had dropped the
    /// live target that the copy lacks.
    wrong: usize,
}

fn play_return(entries: usize, seed: u64) -> Agreement {
    let mut fleet = EntryFleet::new(entries, 0, seed);
    fleet.listing = listing(1, 423, false);
    fleet.revision = revision_in_era(1, 423);
    fleet.run(10_000 + 37 * seed);
    fleet.listing = listing(2, 110, true);
    fleet.revision = revision_in_era(2, 110);
    let back_at = fleet.now;
    let mut wrong = 0;
    loop {
        fleet.run(POLL_MS);
        let views = || fleet.nodes.iter().map(|node| &node.view);
        let state = |index| {
            move |view: &fes_passthrough::FleetView| {
                view.target_on(vm(index)).map(|target| target.state)
            }
        };
        wrong += views()
            .filter(|view| state(0)(view) != Some(TargetState::Draining))
            .count();
        wrong += views()
            .filter(|view| state(TARGETS - 1)(view).is_none())
            .count();
        let after_ms = fleet.now.ms_since(back_at);
        let is_agreed = views().all(|view| era_of(view.revision()) == 2);
        if is_agreed || after_ms > 2 * MAX_AGREEMENT_MS {
            return Agreement { after_ms, wrong };
        }
    }
}

/// Guards against entries that follow the platform late, and against wrong decisions meanwhile.
#[rstest]
fn all_entries_follow_a_return_in_time(#[values(4, 30, 300)] entries: usize) {
    let mut agreements: Vec<Agreement> = (1..=5).map(|seed| play_return(entries, seed)).collect();

    agreements.sort_unstable_by_key(|agreement| agreement.after_ms);
    println!("{entries} entries: {agreements:?}");
    assert!(agreements[2].after_ms <= MAX_AGREEMENT_MS, "{agreements:?}");
    assert!(
        agreements.iter().all(|agreement| agreement.wrong == 0),
        "{agreements:?}"
    );
}

/// Guards against returns that make more entries read, or readers read more often.
#[rstest]
fn a_return_costs_no_further_reads(#[values(4, 200)] entries: usize) {
    let mut fleet = EntryFleet::new(entries, 0, 1);
    fleet.listing = listing(1, 423, false);
    fleet.revision = revision_in_era(1, 423);
    fleet.run(10_000);
    let before = fleet.reads_during(4_200);
    fleet.listing = listing(2, 110, true);
    fleet.revision = revision_in_era(2, 110);

    let after = fleet.reads_during(4_200);

    // Three readers, whose reads may fall to either side of the limits of the time.
    assert!(
        after <= before + 3,
        "{before} reads before and {after} after"
    );
}
