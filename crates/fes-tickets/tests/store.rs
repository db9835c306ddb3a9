//! Guards against a store whose state depends on the order in which tickets arrive, that
//! reactivates retired services, or that drops a ticket that other processes still need.

use std::sync::Arc;

use fes_protocol::KeyEpoch;
use fes_protocol::KeyEpochSpec;
use fes_protocol::ServiceId;
use fes_protocol::ServiceState;
use fes_protocol::Ticket;
use fes_protocol::TicketNumber;
use fes_protocol::TicketObject;
use fes_tickets::StoreReport;
use fes_tickets::TicketStore;
use fes_tickets::TicketVersion;
use fes_tickets::simulation::FleetShape;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prop_assert_eq;
use proptest::proptest;

fn shape() -> FleetShape {
    FleetShape::scaled(2, 3, 6)
}

fn service_ticket(number: u64, ids: &[u32], slots: u32, state: ServiceState) -> Arc<Ticket> {
    let object = |id: &u32| {
        let mut spec = shape().service(ServiceId(*id));
        spec.upstreams[0].slots = slots;
        spec.state = state;
        TicketObject::Service(Arc::new(spec))
    };
    Arc::new(Ticket {
        number: TicketNumber(number),
        objects: ids.iter().map(object).collect(),
    })
}

fn active(number: u64, ids: &[u32], slots: u32) -> Arc<Ticket> {
    service_ticket(number, ids, slots, ServiceState::Active)
}

fn retired(number: u64, id: u32) -> Arc<Ticket> {
    service_ticket(number, &[id], 1, ServiceState::Retired)
}

fn store_of(tickets: &[Arc<Ticket>]) -> TicketStore {
    let mut store = TicketStore::new();
    for ticket in tickets {
        store.apply(Arc::clone(ticket));
    }
    store
}

fn any_ticket() -> impl Strategy<Value = Arc<Ticket>> {
    let ids = proptest::sample::subsequence(vec![1_u32, 2, 3], 1..=3);
    (1_u64..6, ids, 1_u32..3, 0_u32..5).prop_map(|(number, ids, slots, kind)| {
        let state = if kind == 0 {
            ServiceState::Retired
        } else {
            ServiceState::Active
        };
        service_ticket(number, &ids, slots, state)
    })
}

fn tickets_in_two_orders() -> impl Strategy<Value = (Vec<Arc<Ticket>>, Vec<Arc<Ticket>>)> {
    proptest::collection::vec(any_ticket(), 1..8)
        .prop_flat_map(|tickets| (Just(tickets.clone()), Just(tickets).prop_shuffle()))
}

proptest! {
    #[test]
    fn the_state_does_not_depend_on_the_order_of_arrival((one, other) in tickets_in_two_orders()) {
        let one = store_of(&one);
        let other = store_of(&other);

        prop_assert_eq!(one.state(), other.state());
    }

    #[test]
    fn a_process_that_receives_only_the_held_tickets_reaches_the_same_state(
        (tickets, _) in tickets_in_two_orders()
    ) {
        // A joining process would lack a ticket that is dropped too early.
        let old = store_of(&tickets);

        let held: Vec<Arc<Ticket>> = old.state().tickets().map(|(_, t)| Arc::clone(t)).collect();
        let joined = store_of(&held);

        prop_assert_eq!(joined.state().state_hash(), old.state().state_hash());
    }
}

#[test]
fn a_ticket_is_held_until_none_of_its_objects_is_in_force() {
    let first = active(1, &[1, 2], 1);
    let version = TicketVersion::of(&first);
    let mut store = store_of(&[first]);

    store.apply(active(2, &[1], 1));
    assert!(store.state().ticket(version).is_some());

    store.apply(active(3, &[2], 1));
    assert!(store.state().ticket(version).is_none());
}

#[test]
fn a_retired_service_stays_retired_whatever_comes_later() {
    for tickets in [
        [retired(5, 1), active(9, &[1], 2)],
        [active(9, &[1], 2), retired(5, 1)],
    ] {
        let store = store_of(&tickets);

        let service = store.state().service(ServiceId(1)).unwrap();
        assert_eq!(service.value.state, ServiceState::Retired);
        assert_eq!(service.version.number, TicketNumber(9));
        assert_eq!(store.state().active_services().count(), 0);
    }
}

#[test]
fn a_snapshot_does_not_change() {
    // A snapshot that is modified in place would expose a partially applied ticket to its readers.
    let mut store = store_of(&[active(1, &[1, 2], 1)]);
    let snapshot = store.snapshot();

    store.apply(active(2, &[1, 2], 3));

    let slots = |id| snapshot.service(ServiceId(id)).unwrap().value.upstreams[0].slots;
    assert_eq!((slots(1), slots(2)), (1, 1));
}

#[test]
fn two_services_at_one_address_have_the_same_owner_everywhere() {
    let address = shape().service(ServiceId(2)).addresses[0];
    let mut claimant = shape().service(ServiceId(3));
    claimant.addresses = vec![address];
    let claim = Arc::new(Ticket {
        number: TicketNumber(2),
        objects: vec![TicketObject::Service(Arc::new(claimant))],
    });
    let one = store_of(&[active(1, &[2], 1), Arc::clone(&claim)]);
    let mut other = store_of(&[Arc::clone(&claim)]);

    let reports = other.apply(active(1, &[2], 1)).reports;

    for store in [&one, &other] {
        let owner = store.state().service_at(address).unwrap();
        assert_eq!(owner.value.id, ServiceId(2));
    }
    let (owner, claimant) = (ServiceId(2), ServiceId(3));
    assert_eq!(
        reports,
        [StoreReport::AddressClaimedTwice { owner, claimant }]
    );
}

#[test]
fn the_key_epoch_follows_the_highest_number() {
    let epoch = |number, current| {
        let current = KeyEpoch(current);
        Arc::new(Ticket {
            number: TicketNumber(number),
            objects: vec![TicketObject::KeyEpoch(KeyEpochSpec { current })],
        })
    };

    let store = store_of(&[epoch(4, 2), epoch(3, 1)]);

    assert_eq!(
        store.state().key_epoch().unwrap().value.current,
        KeyEpoch(2)
    );
}
