//! The view of routes and targets: older states are ignored, and expired records may be listed
//! again.

mod support;

use fes_passthrough::FleetView;
use fes_passthrough::ListChange;
use fes_passthrough::TargetRecord;
use fes_passthrough::TargetState;
use fes_passthrough::ViewDigest;
use fes_passthrough::ViewEvent;
use fes_passthrough::ViewGossip;
use fes_protocol::MonoTime;
use fes_protocol::UpstreamName;
use rstest::rstest;

use support::fixtures::OTHER_SERVICE;
use support::fixtures::SERVICE;
use support::fixtures::routes;
use support::fixtures::stream_address;
use support::fixtures::target;
use support::fixtures::vm;

const START: MonoTime = MonoTime::from_ms(10_000);

fn view_with_targets(count: usize) -> FleetView {
    let mut view = FleetView::new();
    let mut changes: Vec<ListChange> = (0..count)
        .map(|i| ListChange::Target(target(i, 10)))
        .collect();
    changes.push(ListChange::Routes(routes(5, SERVICE)));
    view.apply_listing(START, changes, 20);
    view.confirm(START, 20);
    view
}

fn removal(index: usize, revision: u64) -> ListChange {
    ListChange::NoTarget {
        id: UpstreamName::from(format!("t-{index}")),
        revision,
    }
}

/// Guards against a delayed or stale reply that restores an older configuration.
#[rstest]
#[case(4)]
#[case(5)]
fn an_older_configuration_changes_nothing(#[case] version: u64) {
    let mut view = view_with_targets(1);

    let event = view.apply(START, ListChange::Routes(routes(version, OTHER_SERVICE)));

    assert_eq!(event, None);
    let route = view.route(stream_address()).expect("route");
    assert_eq!(route.services[0].service, SERVICE);
}

/// Guards against a draining target that an older copy of its record makes ready again.
#[test]
fn an_older_record_changes_nothing() {
    let mut view = view_with_targets(1);
    let mut leaving = target(0, 15);
    leaving.state = TargetState::Draining;
    view.apply(START, ListChange::Target(leaving));

    view.apply(START, ListChange::Target(target(0, 14)));

    let record = view.target_on(vm(0)).expect("target");
    assert_eq!(record.state, TargetState::Draining);
}

/// Guards against a removed target that an older copy of its record restores.
#[test]
fn a_removed_target_returns_only_with_a_newer_record() {
    let mut view = view_with_targets(1);
    view.apply(START, removal(0, 30));
    view.expire(START.plus_ms(5_000));

    view.apply(START.plus_ms(5_000), ListChange::Target(target(0, 29)));
    let with_older = view.targets().count();
    view.apply(START.plus_ms(5_000), ListChange::Target(target(0, 31)));

    assert_eq!(with_older, 0);
    assert_eq!(view.targets().count(), 1);
}

/// Guards against a target that is removed immediately when its record expires, and against one
/// that is kept for longer than the bound for leaving targets.
#[rstest]
#[case(100, 1)]
#[case(2_000, 0)]
fn a_removed_target_stays_for_a_grace_period(#[case] after_ms: u64, #[case] expected: usize) {
    let mut view = view_with_targets(1);

    view.apply(START, removal(0, 30));
    view.expire(START.plus_ms(after_ms));

    assert_eq!(view.targets().count(), expected);
}

/// Guards against targets that are removed after an outage of the platform because their records
/// expired in the meantime and couldn't be written again yet.
#[rstest]
#[case(2_000, 1)]
#[case(2_500, 0)]
fn records_that_expired_in_an_outage_may_be_listed_again(
    #[case] after_ms: u64,
    #[case] expected: usize,
) {
    let mut view = view_with_targets(1);
    view.record_outage();

    view.apply_listing(START, Vec::new(), 40);
    view.confirm(START, 40);
    view.expire(START.plus_ms(after_ms));

    assert_eq!(view.targets().count(), expected);
}

/// Guards against the same at an entry that learns of the end of the outage from a peer, and
/// against targets that are kept for too long by an entry that only the platform refuses.
#[rstest]
#[case::outage_for_all(3_000, 1)]
#[case::refused_entry(300, 0)]
fn a_peer_may_report_the_end_of_an_outage(#[case] outage_ms: u64, #[case] expected: usize) {
    let mut view = view_with_targets(1);
    view.record_outage();
    let end = START.plus_ms(outage_ms);

    view.observe_peer_read(Some(end));
    view.apply(end, removal(0, 40));
    view.expire(end.plus_ms(2_000));

    assert_eq!(view.targets().count(), expected);
}

/// Guards against a peer that keeps a target for ever: the difference that it gets after a listing
/// must not lack removals of targets that this view never knew.
#[test]
fn a_listing_may_hide_removals() {
    let mut view = view_with_targets(1);

    view.apply_listing(START, vec![ListChange::Target(target(0, 10))], 200);
    view.confirm(START, 200);

    assert!(!view.knows_removals_after(160));
    assert!(view.knows_removals_after(200));
}

/// Guards against a restarted entry that takes a view of before its start for a current one. It
/// would reset flows of routes and targets that were added since.
#[test]
fn a_view_of_before_the_start_is_not_confirmed() {
    let mut restarted = FleetView::new();
    let now = MonoTime::from_ms(500);
    let mut gossip = ViewGossip::new(vm(1), 2, &[vm(0)]);
    let digest = |age_ms| ViewDigest {
        incarnation: 1,
        revision: 20,
        supports_eras: true,
        routes_version: 0,
        age_ms,
        wants_newer: false,
        entries: Vec::new(),
    };
    restarted.confirm_by_peer(None, 20);

    gossip.on_digest(now, vm(0), &digest(20_000), &mut restarted);
    let age_of_old_ms = restarted.age_ms(now);
    gossip.on_digest(now, vm(0), &digest(100), &mut restarted);

    assert_eq!(age_of_old_ms, None);
    assert_eq!(restarted.age_ms(now), Some(100));
}

/// Guards against an undecodable record that affects other targets than its own.
#[test]
fn an_undecodable_record_removes_only_its_own_target() {
    let mut view = view_with_targets(2);

    let event = view.apply(START, removal(1, 30));
    view.expire(START.plus_ms(5_000));

    assert_eq!(
        event,
        Some(ViewEvent::TargetUnlisted(UpstreamName::from("t-1")))
    );
    assert!(view.target_on(vm(0)).is_some());
    assert!(view.target_on(vm(1)).is_none());
}

/// Guards against packets to an address that a newer target of another service uses.
#[test]
fn an_address_belongs_to_the_target_that_started_last() {
    let mut view = view_with_targets(1);
    let mut both_services = routes(6, SERVICE);
    let route = both_services.routes.get_mut(&stream_address());
    route.expect("route").services[0].service = OTHER_SERVICE;
    view.apply(START, ListChange::Routes(both_services));
    let mut successor = target(7, 25);
    successor.vm = vm(0);
    successor.service = OTHER_SERVICE;
    successor.started_at_ms = 9_000;

    view.apply(START, ListChange::Target(successor));
    view.apply(START, ListChange::Target(target(0, 26)));

    let current = view.target_on(vm(0)).expect("target");
    assert_eq!(current.service, OTHER_SERVICE);
}

/// Guards against an entry of another writer that takes the place of a VM's target: hellos would tell
/// the agent of a service that isn't its own, and searches would leave the target out.
#[rstest]
#[case::listed_before_the_configuration(true)]
#[case::listed_after_the_configuration(false)]
fn a_record_of_an_unnamed_service_hides_no_target(#[case] is_listed_first: bool) {
    let mut view = FleetView::new();
    let foreign = TargetRecord {
        id: UpstreamName::from("foreign"),
        service: OTHER_SERVICE,
        started_at_ms: u64::MAX,
        ..target(0, 11)
    };
    let mut changes = vec![
        ListChange::Routes(routes(5, SERVICE)),
        ListChange::Target(target(0, 10)),
        ListChange::Target(foreign),
    ];
    if is_listed_first {
        changes.reverse();
    }
    view.apply_listing(START, changes, 20);
    let before = view.target_on(vm(0)).map(|target| target.service);

    view.apply(START, removal(0, 21));
    view.expire(START.plus_ms(60_000));

    let after = view.target_on(vm(0)).map(|target| target.service);
    assert_eq!((before, after), (Some(SERVICE), Some(OTHER_SERVICE)));
}
