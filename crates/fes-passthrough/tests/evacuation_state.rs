//! State of evacuations in a view: order of changes, bounds, and the exchange between entries.

mod support;

use fes_passthrough::Evacuation;
use fes_passthrough::FleetView;
use fes_passthrough::ListChange;
use fes_passthrough::Message;
use fes_passthrough::TargetsPart;
use fes_passthrough::ViewDigest;
use fes_passthrough::ViewGossip;
use fes_passthrough::ViewUpdate;
use fes_passthrough::decode_message;
use fes_passthrough::encode_message;
use fes_protocol::DataCentreName;
use fes_protocol::MonoTime;
use rstest::rstest;

use support::fixtures::entry_vm;
use support::fixtures::target;

const START: MonoTime = MonoTime::from_ms(10_000);
const MAX_NAMES: usize = 64;

fn change(data_centre: &str, revision: u64, is_in_force: bool) -> ListChange {
    ListChange::Evacuation(Evacuation {
        data_centre: DataCentreName::from(data_centre),
        revision,
        is_in_force,
    })
}

fn view_at(revision: u64, changes: Vec<ListChange>) -> FleetView {
    let mut view = FleetView::new();
    view.apply_listing(START, changes, revision);
    view.confirm(START, revision);
    view
}

fn is_evacuated(view: &FleetView, data_centre: &str) -> bool {
    let data_centre = DataCentreName::from(data_centre);
    view.evacuations().is_evacuated(&data_centre)
}

/// Returns the parts that a peer with this view sends to an entry that knows nothing, as decoded.
fn response(view: &mut FleetView) -> Vec<TargetsPart> {
    let mut gossip = ViewGossip::new(entry_vm(0), 1, &[]);
    let request = ViewDigest {
        incarnation: 2,
        revision: 0,
        supports_eras: true,
        routes_version: 0,
        age_ms: u64::MAX,
        wants_newer: true,
        entries: Vec::new(),
    };
    let sent = gossip.on_digest(START, entry_vm(1), &request, view);
    let decoded = sent.into_iter().map(|(_, message)| {
        let mut bytes = Vec::new();
        encode_message(&message, &mut bytes).expect("encoded");
        decode_message(&bytes).expect("decoded").0
    });
    let part = |message| match message {
        Message::Targets(part) => Some(part),
        _ => None,
    };
    decoded.filter_map(part).collect()
}

fn receive(view: &mut FleetView, part: &TargetsPart) -> ViewUpdate {
    let mut gossip = ViewGossip::new(entry_vm(1), 2, &[]);
    let update = gossip.on_targets(START, entry_vm(0), part, view);
    for change in update.changes.clone() {
        view.apply(START, change);
    }
    update
}

/// Guards against an evacuation that is removed and requested again in quick succession and then
/// depends on the order in which the copies of the changes arrive.
#[rstest]
#[case([0, 1, 2])]
#[case([0, 2, 1])]
#[case([1, 0, 2])]
#[case([1, 2, 0])]
#[case([2, 0, 1])]
#[case([2, 1, 0])]
fn the_highest_revision_decides(#[case] order: [usize; 3], #[values(true, false)] last: bool) {
    let changes = [
        change("b", 11, last),
        change("b", 12, !last),
        change("b", 13, last),
    ];
    let mut view = FleetView::new();

    for index in order {
        view.apply(START, changes[index].clone());
    }

    assert_eq!(is_evacuated(&view, "b"), last);
}

/// Guards against an evacuation that ends while the platform can't be read.
#[test]
fn an_outage_keeps_the_state() {
    let mut view = view_at(20, vec![change("b", 15, true)]);

    view.record_outage();
    view.expire(START.plus_ms(600_000));

    assert!(is_evacuated(&view, "b"));
}

/// Guards against a listing that ends an evacuation which was requested after it was read.
#[rstest]
#[case::requested_before(15, false)]
#[case::requested_after(21, true)]
fn a_listing_ends_only_older_evacuations(#[case] revision: u64, #[case] expected: bool) {
    let mut view = FleetView::new();
    view.apply(START, change("b", revision, true));

    view.apply_listing(START, Vec::new(), 20);

    assert_eq!(is_evacuated(&view, "b"), expected);
}

/// Guards against memory and messages that grow with the number and length of names, and against
/// the loss of a new request because of ended or older ones.
#[rstest]
#[case::short_names(8, MAX_NAMES)]
#[case::long_names(60, 25)]
fn names_are_bounded(#[case] length: usize, #[case] expected: usize) {
    let name = |index: u64| format!("{index:0length$}");
    let mut view = view_at(
        1,
        (0..40)
            .map(|index| ListChange::Target(target(index, 1)))
            .collect(),
    );
    view.apply(START, change("ended", 900, false));
    for index in 0..200 {
        view.apply(START, change(&name(index), 10 + index, true));
    }
    let too_long = "z".repeat(65);

    view.apply(START, change(&too_long, 1_000, true));
    let event_of_oldest = view.apply(START, change(&name(0), 10, true));
    view.confirm(START, 1_000);
    let parts = response(&mut view);

    let known = parts[0].evacuations.as_ref().expect("extension");
    assert_eq!(known.len(), expected);
    assert!(known.iter().all(|evacuation| evacuation.is_in_force));
    assert!(is_evacuated(&view, &name(199)));
    assert!(!is_evacuated(&view, &too_long));
    assert_eq!(event_of_oldest, None);
}

/// Guards against an evacuation that an entry keeps although its peer, which read the platform
/// later, no longer knows it.
#[test]
fn an_evacuation_that_the_peer_does_not_know_has_ended() {
    let mut view = view_at(20, vec![change("b", 15, true)]);
    let parts = response(&mut view_at(30, vec![change("c", 25, true)]));

    let update = receive(&mut view, &parts[0]);

    assert_eq!(update.confirmed.map(|(revision, _)| revision), Some(30));
    assert!(!is_evacuated(&view, "b"));
    assert!(is_evacuated(&view, "c"));
}

/// Guards against an old copy from a peer that restores an evacuation.
#[test]
fn an_ended_evacuation_is_not_restored_by_an_old_copy() {
    let mut view = view_at(20, vec![change("b", 15, true)]);
    view.apply(START, change("b", 18, false));
    let parts = response(&mut view_at(20, vec![change("b", 15, true)]));

    receive(&mut view, &parts[0]);

    assert!(!is_evacuated(&view, "b"));
}

/// Guards against a revision that counts as known although the sender, of an older version, can't
/// know its evacuations.
#[test]
fn a_peer_without_the_extension_confirms_no_revision() {
    let mut view = view_at(20, vec![change("b", 15, true)]);
    let mut part = response(&mut view_at(30, vec![ListChange::Target(target(0, 25))])).remove(0);
    part.evacuations = None;

    let update = receive(&mut view, &part);

    assert_eq!(update.confirmed, None);
    assert!(is_evacuated(&view, "b"));
    assert_eq!(view.targets().count(), 1);
}
