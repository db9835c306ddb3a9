//! The platform comes back from an older copy: its revisions go back and are given out again, and an
//! era of its history begins.

mod support;

use std::net::Ipv4Addr;

use fes_passthrough::Era;
use fes_passthrough::Evacuation;
use fes_passthrough::FleetView;
use fes_passthrough::ListChange;
use fes_passthrough::Message;
use fes_passthrough::TargetRecord;
use fes_passthrough::TargetState;
use fes_passthrough::ViewDigest;
use fes_passthrough::ViewGossip;
use fes_passthrough::decode_message;
use fes_passthrough::encode_message;
use fes_passthrough::era_of;
use fes_passthrough::number_of;
use fes_passthrough::revision_in_era;
use fes_protocol::DataCentreName;
use fes_protocol::MonoTime;
use fes_protocol::UpstreamName;
use rstest::rstest;

use support::entry_fleet::EntryFleet;
use support::fixtures::OTHER_SERVICE;
use support::fixtures::SERVICE;
use support::fixtures::entry_vm;
use support::fixtures::routes;
use support::fixtures::stream_address;
use support::fixtures::target;
use support::fixtures::vm;

/// Time at which the platform is back.
const BACK: MonoTime = MonoTime::from_ms(10_000);
/// Time by which the platform's list is complete again.
const COMPLETE: MonoTime = MonoTime::from_ms(12_300);
/// Number of the platform's revision before it went back, and of that of its copy.
const LAST: u64 = 423;
const COPIED: u64 = 110;

/// Returns the record that target `index` wrote as its `writes`-th one.
fn record(era: Era, number: u64, index: usize, writes: u64) -> TargetRecord {
    TargetRecord {
        revision: revision_in_era(era, number),
        created_revision: revision_in_era(era, 1),
        writes,
        ..target(index, 0)
    }
}

fn draining(record: TargetRecord) -> TargetRecord {
    TargetRecord {
        state: TargetState::Draining,
        ..record
    }
}

fn list(view: &mut FleetView, now: MonoTime, era: Era, number: u64, changes: Vec<ListChange>) {
    let revision = revision_in_era(era, number);
    view.apply_listing(now, changes, revision);
    view.confirm(now, revision);
}

/// Returns a view of the first era, as of the platform's last revision in it.
fn view_before(records: Vec<TargetRecord>) -> FleetView {
    let mut view = FleetView::new();
    let targets = records.into_iter().map(ListChange::Target);
    let changes = targets.chain([ListChange::Routes(routes(8, SERVICE))]);
    list(
        &mut view,
        MonoTime::from_ms(5_000),
        1,
        LAST,
        changes.collect(),
    );
    view
}

/// Applies the listing of the platform's copy, in the given era.
fn come_back(view: &mut FleetView, now: MonoTime, era: Era, records: Vec<TargetRecord>) {
    let targets = records.into_iter().map(ListChange::Target);
    let changes = targets.chain([ListChange::Routes(routes(7, OTHER_SERVICE))]);
    list(view, now, era, COPIED, changes.collect());
}

fn state_of(view: &FleetView, index: usize) -> Option<TargetState> {
    view.target_on(vm(index)).map(|target| target.state)
}

/// Guards against a view that holds on to revisions which the platform no longer has: changes after
/// the return were ignored until the platform had counted up to them again.
#[test]
fn changes_after_the_return_are_believed() {
    let mut view = view_before(vec![record(1, 100, 0, 40)]);

    come_back(&mut view, BACK, 2, vec![record(2, 90, 0, 35)]);
    view.apply(
        BACK.plus_ms(500),
        ListChange::Target(draining(record(2, 112, 0, 45))),
    );

    assert_eq!(
        (era_of(view.revision()), number_of(view.revision())),
        (2, COPIED)
    );
    assert_eq!(view.era(), 2);
    assert_eq!(state_of(&view, 0), Some(TargetState::Draining));
}

/// Guards against a copy that makes a target ready again which drains, or whose address belongs to
/// another one, since.
#[test]
fn the_copy_undoes_nothing_that_a_target_said() {
    let replaced = TargetRecord {
        id: UpstreamName::from("successor"),
        started_at_ms: 9_000,
        ..record(1, 400, 1, 2)
    };
    let drains = draining(record(1, 300, 0, 40));
    let mut view = view_before(vec![drains, replaced]);

    let copied = vec![record(2, 90, 0, 35), record(2, 91, 1, 35)];
    come_back(&mut view, BACK, 2, copied);

    assert_eq!(state_of(&view, 0), Some(TargetState::Draining));
    let on_vm = view.target_on(vm(1)).map(|target| target.id.as_str());
    assert_eq!(on_vm, Some("successor"));
}

/// Guards against a target that left in the lost seconds and is used again, and against one that is
/// kept out although it registers anew.
#[test]
fn a_target_that_left_returns_only_if_it_writes_again() {
    let mut view = view_before(vec![record(1, 100, 0, 40)]);
    let removal = ListChange::NoTarget {
        id: UpstreamName::from("t-0"),
        revision: revision_in_era(1, 200),
    };
    view.apply(MonoTime::from_ms(5_000), removal);
    view.expire(MonoTime::from_ms(8_000));

    come_back(&mut view, BACK, 2, vec![record(2, 90, 0, 35)]);
    let after_return = state_of(&view, 0);
    view.apply(BACK, ListChange::Target(record(2, 115, 0, 41)));

    assert_eq!(after_return, None);
    assert_eq!(state_of(&view, 0), Some(TargetState::Ready));
}

/// Guards against a live target that is dropped because the copy lacks it, and against one that is
/// kept although it doesn't write again in time.
#[rstest]
#[case::one_return(&[2], 12_300)]
#[case::two_returns(&[2, 3], 13_300)]
fn a_target_that_the_copy_lacks_is_kept_until_it_must_have_written(
    #[case] eras: &[Era],
    #[case] dropped_by_ms: u64,
) {
    let mut view = view_before(vec![record(1, 200, 0, 1), record(1, 201, 1, 1)]);
    for (index, era) in eras.iter().enumerate() {
        let now = BACK.plus_ms(1_000 * u64::try_from(index).expect("few eras"));
        come_back(&mut view, now, *era, Vec::new());
    }
    let last = *eras.last().expect("an era");
    let written = ListChange::Target(record(last, 111, 0, 4));

    view.expire(MonoTime::from_ms(dropped_by_ms - 200));
    let kept = (state_of(&view, 0), state_of(&view, 1));
    view.apply(MonoTime::from_ms(dropped_by_ms - 200), written);
    view.expire(MonoTime::from_ms(dropped_by_ms));

    let ready = Some(TargetState::Ready);
    assert_eq!(kept, (ready, ready));
    assert_eq!((state_of(&view, 0), state_of(&view, 1)), (ready, None));
}

/// Guards against a configuration that goes back with the platform.
#[test]
fn no_configuration_goes_back() {
    let mut view = view_before(Vec::new());

    come_back(&mut view, BACK, 2, Vec::new());

    assert_eq!(view.routes().version, 8);
    let route = view.route(stream_address()).expect("route");
    assert_eq!(route.services[0].service, SERVICE);
}

/// Guards against a reply of the former era that arrives late and brings targets back.
#[test]
fn a_listing_of_a_former_era_changes_nothing() {
    let mut view = view_before(Vec::new());
    come_back(&mut view, BACK, 2, Vec::new());

    let late = vec![ListChange::Target(record(1, 500, 0, 60))];
    view.apply_listing(BACK, late, revision_in_era(1, 600));

    assert_eq!(state_of(&view, 0), None);
    assert_eq!(era_of(view.revision()), 2);
}

fn evacuation(era: Era, number: u64, is_in_force: bool) -> ListChange {
    ListChange::Evacuation(Evacuation {
        data_centre: DataCentreName::from("a"),
        revision: revision_in_era(era, number),
        is_in_force,
    })
}

fn is_evacuated(view: &FleetView) -> bool {
    view.evacuations().is_evacuated(&DataCentreName::from("a"))
}

/// Guards against an evacuation that the copy begins or ends against what was acknowledged last, and
/// against one that stays so for good if the operator doesn't write it again.
#[rstest]
#[case::requested_in_the_lost_seconds(true, false)]
#[case::taken_back_in_the_lost_seconds(false, true)]
fn an_evacuation_is_obeyed_as_last_acknowledged(
    #[case] last: bool,
    #[case] copied: bool,
    #[values(true, false)] is_written_again: bool,
) {
    let mut view = view_before(Vec::new());
    let at = MonoTime::from_ms(5_000);
    view.apply(at, evacuation(1, 50, !last));
    view.apply(at, evacuation(1, 400, last));
    let listed = copied
        .then(|| evacuation(2, 50, true))
        .into_iter()
        .collect();
    list(&mut view, BACK, 2, COPIED, listed);
    view.expire(BACK.plus_ms(1_000));
    let after_return = is_evacuated(&view);
    if is_written_again {
        view.apply(BACK.plus_ms(1_000), evacuation(2, 120, last));
    }

    view.expire(COMPLETE);

    let expected = if is_written_again { last } else { copied };
    assert_eq!((after_return, is_evacuated(&view)), (last, expected));
}

/// Encodes and decodes a message as on its way between two processes.
fn encoded(message: Message) -> Message {
    let mut bytes = Vec::new();
    encode_message(&message, &mut bytes).expect("fits");
    decode_message(&bytes).expect("decodes").0
}

/// Encodes and decodes a message between two processes of which one is of a version that knows of no
/// era, so that its digests have none and it ignores those of others.
fn encoded_without_era(message: Message) -> Message {
    match encoded(message) {
        Message::Digest(digest) => Message::Digest(ViewDigest {
            revision: number_of(digest.revision),
            supports_eras: false,
            ..digest
        }),
        message => message,
    }
}

/// Returns two entries with these views that can't reach the platform.
fn two_entries(views: [FleetView; 2], transport: fn(Message) -> Message) -> EntryFleet {
    let mut fleet = EntryFleet::new(2, 2, 1);
    fleet.now = BACK;
    fleet.transport = transport;
    for (node, view) in fleet.nodes.iter_mut().zip(views) {
        node.view = view;
    }
    fleet
}

/// Guards against an entry that doesn't read the platform, or was cut off from it, and holds on to the
/// former era, whose revisions are higher.
#[test]
fn peers_follow_the_reader_into_the_era() {
    let records = || {
        vec![
            record(1, 100, 0, 40),
            draining(record(1, 300, 1, 40)),
            record(1, 301, 2, 9),
        ]
    };
    let views = [view_before(records()), view_before(records())];
    let mut fleet = two_entries(views, encoded);
    let copied = vec![record(2, 90, 0, 35), record(2, 91, 1, 35)];
    let reader = &mut fleet.nodes[0].view;
    come_back(reader, BACK, 2, copied);
    let drains = ListChange::Target(draining(record(2, 112, 0, 45)));
    reader.apply(BACK, drains);
    reader.confirm(BACK, revision_in_era(2, 112));

    fleet.run(1_000);
    let peer = &mut fleet.nodes[1].view;
    let kept = state_of(peer, 2);
    peer.expire(BACK.plus_ms(4_000));

    let view = &fleet.nodes[1].view;
    assert_eq!(view.revision(), revision_in_era(2, 112));
    assert_eq!(state_of(view, 0), Some(TargetState::Draining));
    assert_eq!(state_of(view, 1), Some(TargetState::Draining));
    assert_eq!((kept, state_of(view, 2)), (Some(TargetState::Ready), None));
}

/// Guards against a mixed fleet in which either side makes the other go back, or in which a process of
/// the former version takes a revision with an era for a number of the platform, from which it would
/// watch in vain.
#[test]
fn neither_version_makes_the_other_go_back() {
    let newer = view_before(vec![draining(record(1, 300, 0, 40))]);
    let mut former = FleetView::new();
    let listed = [
        ListChange::Target(record(0, 100, 0, 0)),
        ListChange::Routes(routes(8, SERVICE)),
    ];
    list(&mut former, MonoTime::from_ms(5_000), 0, 350, listed.into());
    let mut fleet = two_entries([newer, former], encoded_without_era);

    fleet.run(1_000);

    let [newer, former] = fleet.nodes.as_slice() else {
        panic!("two entries");
    };
    assert_eq!(newer.view.revision(), revision_in_era(1, LAST));
    assert_eq!(state_of(&newer.view, 0), Some(TargetState::Draining));
    assert_eq!(former.view.revision(), LAST);
    assert_eq!(state_of(&former.view, 0), Some(TargetState::Draining));
}

/// Guards against an entry that starts and serves by the configuration of the platform's copy, although
/// a peer knows a newer one, and against one that waits without a bound, or for nobody.
#[test]
fn an_entry_that_starts_waits_a_moment_for_the_view_of_a_peer() {
    let empty = FleetView::new();
    let seeds = [entry_vm(0), entry_vm(1)];
    let mut seed = ViewGossip::new(entry_vm(0), 1, &seeds);
    let alone = ViewGossip::new(entry_vm(0), 1, &[entry_vm(0)]);

    let requests = seed.on_tick(BACK, &empty);

    let is_request = |(_, message): &(Ipv4Addr, Message)| matches!(message, Message::Digest(digest) if digest.wants_newer);
    assert!(requests.iter().any(is_request), "{requests:?}");
    assert!(seed.awaits_peer_view(BACK.plus_ms(50), &empty));
    assert!(!seed.awaits_peer_view(BACK.plus_ms(50), &view_before(Vec::new())));
    assert!(!seed.awaits_peer_view(BACK.plus_ms(150), &empty));
    assert!(!alone.awaits_peer_view(BACK, &empty));
}
