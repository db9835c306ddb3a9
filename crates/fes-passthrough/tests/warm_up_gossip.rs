//! Gossip of the priorities of routes, of the services with a warm-up limit, and of the remaining
//! warm-up time.

mod support;

use fes_passthrough::FleetView;
use fes_passthrough::ListChange;
use fes_passthrough::Message;
use fes_passthrough::Priority;
use fes_passthrough::RouteSet;
use fes_passthrough::RoutesPart;
use fes_passthrough::ServiceTag;
use fes_passthrough::ServiceWarmUp;
use fes_passthrough::TargetRecord;
use fes_passthrough::ViewDigest;
use fes_passthrough::ViewGossip;
use fes_passthrough::decode_message;
use fes_passthrough::encode_message;
use fes_protocol::MonoTime;

use support::fixtures::SERVICE;
use support::fixtures::entry_vm;
use support::fixtures::routes;
use support::fixtures::target;

/// Size of the buffer into which processes receive a datagram.
const MAX_DATAGRAM_BYTES: usize = 4_096;
const READ_AT: MonoTime = MonoTime::ZERO;
const ASKED_AT: MonoTime = MonoTime::from_ms(4_000);

/// Returns a configuration with more limited services than fit into one message.
fn limited_services() -> RouteSet {
    let mut set = routes(3, SERVICE);
    for route in set.routes.values_mut() {
        route.requirements.priority = Priority(1);
    }
    for index in 0..300_u32 {
        // Tags are hashes, which take nine bytes.
        let service = ServiceTag(u64::MAX - u64::from(index));
        let openings_per_1000_s = 70_000 + index;
        let limit = ServiceWarmUp {
            service,
            openings_per_1000_s,
        };
        set.warm_ups.insert(service, limit);
    }
    set
}

/// Returns the messages that an entry sends to a new peer, encoded.
fn response() -> Vec<Vec<u8>> {
    let cold = TargetRecord {
        warm_up_ms: 10_000,
        ..target(0, 10)
    };
    let changes = vec![
        ListChange::Target(cold),
        ListChange::Routes(limited_services()),
    ];
    let mut view = FleetView::new();
    view.apply_listing(READ_AT, changes, 20);
    view.confirm(READ_AT, 20);
    let mut gossip = ViewGossip::new(entry_vm(0), 1, &[entry_vm(0)]);
    let request = ViewDigest {
        incarnation: 2,
        revision: 0,
        supports_eras: true,
        routes_version: 0,
        age_ms: u64::MAX,
        wants_newer: true,
        entries: Vec::new(),
    };
    let answers = gossip.on_digest(ASKED_AT, entry_vm(1), &request, &mut view);
    let encoded = answers.into_iter().map(|(_, message)| {
        let mut datagram = Vec::new();
        encode_message(&message, &mut datagram).expect("encodes");
        datagram
    });
    encoded.collect()
}

fn receive(view: &mut FleetView, now: MonoTime, datagrams: &[Vec<u8>], has_extension: bool) {
    let mut gossip = ViewGossip::new(entry_vm(1), 2, &[entry_vm(0)]);
    for datagram in datagrams {
        let (mut message, _) = decode_message(datagram).expect("decodes");
        match &mut message {
            Message::Routes(part) => {
                if !has_extension {
                    // The previous version ends before the priorities: their number and a byte for
                    // each. Older versions have no services either.
                    let previous = &datagram[..datagram.len() - 1 - part.routes.len()];
                    let (previous, _) = decode_message(previous).expect("decodes");
                    let Message::Routes(previous) = previous else {
                        panic!("routes: {previous:?}");
                    };
                    assert_eq!(previous.services, part.services);
                    *part = RoutesPart {
                        services: Vec::new(),
                        ..previous
                    };
                }
                let change = gossip.on_routes(entry_vm(0), part);
                change.map(|change| view.apply(now, change));
            }
            Message::Targets(part) => {
                for change in gossip.on_targets(now, entry_vm(0), part, view).changes {
                    view.apply(now, change);
                }
            }
            _ => {}
        }
    }
}

/// Guards against services that are lost or don't fit into a datagram, and against limits and
/// priorities that an entry never learns because a peer of an older version sent it the routes.
#[test]
fn services_are_learnt_also_after_a_peer_without_them() {
    let datagrams = response();
    let mut view = FleetView::new();

    receive(&mut view, ASKED_AT, &datagrams, false);
    let without = view.routes().warm_ups.len();
    receive(&mut view, ASKED_AT, &datagrams, true);

    assert!(datagrams.iter().all(|d| d.len() <= MAX_DATAGRAM_BYTES));
    assert_eq!(without, 0);
    assert_eq!(*view.routes(), limited_services());
}

/// Guards against a target that counts as cold for longer at each entry that learns of it later, or
/// learns of it again.
#[test]
fn the_warm_up_does_not_begin_anew_at_a_peer() {
    let datagrams = response();
    let id = &target(0, 10).id;
    let later = MonoTime::from_ms(5_000);
    let mut view = FleetView::new();

    receive(&mut view, ASKED_AT, &datagrams, true);
    let at_first = view.warm_up_remaining_ms(ASKED_AT, id);
    receive(&mut view, later, &datagrams, true);

    assert_eq!(at_first, 6_000);
    assert_eq!(view.warm_up_remaining_ms(later, id), 5_000);
}
