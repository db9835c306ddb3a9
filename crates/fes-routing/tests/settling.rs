//! Guards against resets of flows of a new target that not every process knows yet, and against
//! flows of a lost target that depend on the answer of a single agent.

mod support;

use std::collections::BTreeSet;
use std::sync::Arc;

use fes_protocol::DatagramKind;
use fes_protocol::EncapsulationHeader;
use fes_protocol::EntryId;
use fes_protocol::MonoTime;
use fes_protocol::ServiceId;
use fes_protocol::TargetId;
use fes_protocol::TicketNumber;
use fes_routing::AgentIngress;
use fes_routing::AllAlive;
use fes_routing::Decision;
use fes_routing::IngressDecision;
use fes_routing::IngressQuery;
use fes_routing::PlacementHasher;
use fes_routing::RouteTable;
use fes_routing::Router;
use support::LostTargets;
use support::address;
use support::established;
use support::initial;
use support::ring;
use support::router;
use support::service;
use support::table;

const NEW_TARGET: TargetId = TargetId(3);

/// Returns routers with the tables before and after a ticket that adds target 3 at 10 s.
fn before_and_after() -> (Router, Router) {
    let before = table(1, [service(1, 1..=2)]);
    let objects = [(TicketNumber(2), service(1, 1..=3))];
    let after = RouteTable::rebuild(&before, MonoTime::from_ms(10_000), objects);
    (router(before), router(after))
}

fn first_packet_at_new_target(now_ms: u64, router: &Router, hop_count: u8) -> IngressDecision {
    let hasher = PlacementHasher::new(ring().current().clone());
    let mut ingress = AgentIngress::new(ServiceId(1), NEW_TARGET, hasher);
    let header = EncapsulationHeader {
        kind: DatagramKind::Forward,
        service: ServiceId(1),
        target: NEW_TARGET,
        entry: EntryId(1),
        ticket: TicketNumber(2),
        client: address(900),
        address_tag: 0,
        hop_count,
        sent_ms: 0,
    };
    let query = IngressQuery {
        header: &header,
        datagram: &owned_by_new_target(),
        is_full: false,
        liveness: &AllAlive,
        peer_flow_count: |target: TargetId| Some(target.0),
    };
    ingress.decide(MonoTime::from_ms(now_ms), router, &query)
}

fn owned_by_new_target() -> Vec<u8> {
    let (_, after) = before_and_after();
    let table = Arc::clone(after.table().service(ServiceId(1)).unwrap());
    let owned = |id: &[u8; 8]| after.placement_owner(&table, id, &AllAlive) == Some(NEW_TARGET);
    initial(&(0..=255).map(|byte| [byte; 8]).find(owned).unwrap())
}

/// Fails if a new target opens a flow while an entry may still lack the ticket that adds it. That
/// entry would send the next datagram of the flow to another agent, which would reset the flow.
#[test]
fn new_target_opens_no_flow_until_every_process_knows_it() {
    let (before, after) = before_and_after();

    let without_ticket = first_packet_at_new_target(11_000, &before, 0);
    let early = first_packet_at_new_target(16_999, &after, 0);
    let early_forwarded = first_packet_at_new_target(16_999, &after, 1);
    let propagated = first_packet_at_new_target(17_000, &after, 0);

    assert!(
        matches!(without_ticket, IngressDecision::Forward { target, .. } if target != NEW_TARGET)
    );
    assert!(matches!(early, IngressDecision::Forward { target, .. } if target != NEW_TARGET));
    assert_eq!(early_forwarded, IngressDecision::RefuseNewFlow);
    assert_eq!(propagated, IngressDecision::Accept);
}

/// Fails if each ticket restarts the propagation time of a target, which would keep the target from
/// opening flows during a series of tickets.
#[test]
fn later_tickets_dont_restart_the_propagation_time() {
    let (_, after) = before_and_after();
    let objects = [(TicketNumber(3), service(1, 1..=4))];
    let later = RouteTable::rebuild(after.table(), MonoTime::from_ms(16_000), objects);

    let propagated = first_packet_at_new_target(17_000, &router(later), 1);

    assert_eq!(propagated, IngressDecision::Accept);
}

/// Fails if all packets of a flow whose target is lost or unknown to the entry go to the same
/// agent. If that agent fails as well, the flow is neither reset nor forwarded to its target.
#[test]
fn packets_for_a_lost_target_spread_over_the_agents() {
    let router = router(table(1, [service(1, 1..=7)]));
    let flow = established(&router, 1, 4, 1);

    let answering: BTreeSet<u32> = (0..64_u8)
        .map(|tag| {
            let mut datagram = flow.clone();
            datagram.extend([tag; 16]);
            datagram
        })
        .filter_map(|datagram| {
            match router.decide(ServiceId(1), &datagram, &LostTargets(vec![4])) {
                Decision::Forward { target, .. } => Some(target.0),
                Decision::Drop(_) => None,
            }
        })
        .collect();

    assert_eq!(answering, BTreeSet::from([1, 2, 3, 5, 6, 7]));
}
