//! When the list is read again, and the reasons that calls are counted under.

use fes_passthrough_node::ListPlan;
use fes_passthrough_node::NextRead;
use fes_protocol::MonoTime;
use fes_telemetry::PlatformReadReason;
use rstest::fixture;
use rstest::rstest;

const FAILED_AT: MonoTime = MonoTime::from_ms(5_000);
const REVISION: u64 = 20;

const AFTER_OUTAGE: NextRead = NextRead::List(PlatformReadReason::ListingAfterOutage);
const AFTER_PEERS: NextRead = NextRead::Watch {
    revision: REVISION,
    reason: PlatformReadReason::WatchAfterPeers,
};

#[fixture]
fn plan() -> ListPlan {
    ListPlan::default()
}

/// Guards against an entry that lists after its start although a peer has sent the view, and against
/// one that watches without a view.
#[rstest]
#[case::no_view(None, NextRead::List(PlatformReadReason::FirstListing))]
#[case::view_of_a_peer(Some(REVISION), AFTER_PEERS)]
fn an_entry_lists_at_its_start_only_without_a_view(
    mut plan: ListPlan,
    #[case] known: Option<u64>,
    #[case] expected: NextRead,
) {
    plan.on_waited_for_peers(None);

    assert_eq!(plan.next_read(known), expected);
}

/// Guards against a listing by every entry after an outage, and against an entry that takes a
/// confirmation from before the outage for one that covers it: it would miss items that expired.
#[rstest]
#[case::no_peer(None, AFTER_OUTAGE)]
#[case::confirmed_before(Some(4_900), AFTER_OUTAGE)]
#[case::confirmed_after(Some(5_100), AFTER_PEERS)]
fn a_later_confirmation_by_peers_covers_an_outage(
    mut plan: ListPlan,
    #[case] confirmed_ms: Option<u64>,
    #[case] expected: NextRead,
) {
    plan.on_watch();
    plan.on_failure(FAILED_AT, Some(REVISION));

    plan.on_waited_for_peers(confirmed_ms.map(MonoTime::from_ms));

    assert_eq!(plan.next_read(Some(REVISION)), expected);
}

/// Guards against an entry whose first listing fails and that lists although its peers have sent the
/// view since.
#[rstest]
fn a_view_of_peers_replaces_a_first_listing_that_failed(mut plan: ListPlan) {
    plan.on_failure(FAILED_AT, None);

    plan.on_waited_for_peers(Some(MonoTime::from_ms(5_100)));

    assert_eq!(plan.next_read(Some(REVISION)), AFTER_PEERS);
}

/// Guards against a watch from a revision whose later changes the platform no longer has, also if
/// the platform fails before the list was read.
#[rstest]
fn lost_history_is_listed_whatever_peers_say(mut plan: ListPlan) {
    plan.on_history_lost();
    plan.on_failure(FAILED_AT, Some(REVISION));
    plan.on_waited_for_peers(Some(FAILED_AT.plus_ms(100)));

    let expected = NextRead::List(PlatformReadReason::ListingAfterLostHistory);
    assert_eq!(plan.next_read(Some(REVISION)), expected);
}

/// Guards against attempts during an outage that are counted as listings.
#[rstest]
fn the_first_call_after_a_failure_is_a_retry(mut plan: ListPlan) {
    let listing = PlatformReadReason::ListingAfterOutage;
    assert_eq!(plan.first_reason(listing), listing);

    plan.on_failure(FAILED_AT, Some(REVISION));
    assert_eq!(plan.first_reason(listing), PlatformReadReason::Retry);

    plan.on_watch();
    assert_eq!(plan.first_reason(listing), listing);
}
