//! Guards against forwarding loops, handshakes that are split over two agents, and resets of flows
//! that are still draining.

mod support;

use fes_protocol::DatagramKind;
use fes_protocol::EncapsulationHeader;
use fes_protocol::EntryId;
use fes_protocol::MonoTime;
use fes_protocol::ResultCode;
use fes_protocol::ServiceId;
use fes_protocol::TargetId;
use fes_protocol::TicketNumber;
use fes_routing::AgentIngress;
use fes_routing::AllAlive;
use fes_routing::IngressDecision;
use fes_routing::IngressQuery;
use fes_routing::PlacementHasher;
use fes_routing::Router;
use support::LostTargets;
use support::address;
use support::established;
use support::initial;
use support::ring;
use support::router;
use support::service;
use support::table;

fn ingress(target: u32) -> AgentIngress {
    let hasher = PlacementHasher::new(ring().current().clone());
    AgentIngress::new(ServiceId(1), TargetId(target), hasher)
}

fn header(ticket: u64, hop_count: u8) -> EncapsulationHeader {
    EncapsulationHeader {
        kind: DatagramKind::Forward,
        service: ServiceId(1),
        target: TargetId(1),
        entry: EntryId(1),
        ticket: TicketNumber(ticket),
        client: address(900),
        address_tag: 0,
        hop_count,
        sent_ms: 0,
    }
}

fn decide(
    ingress: &mut AgentIngress,
    router: &Router,
    header: &EncapsulationHeader,
    datagram: &[u8],
    is_full: bool,
) -> IngressDecision {
    let query = IngressQuery {
        header,
        datagram,
        is_full,
        liveness: &AllAlive,
        peer_flow_count: |target: TargetId| Some(target.0),
    };
    ingress.decide(MonoTime::from_ms(1), router, &query)
}

fn connection_id_owned_by(router: &Router, target: u32) -> [u8; 8] {
    let table = router.table().service(ServiceId(1)).unwrap();
    let owned =
        |id: &[u8; 8]| router.placement_owner(table, id, &AllAlive) == Some(TargetId(target));
    (0..=255).map(|byte| [byte; 8]).find(owned).unwrap()
}

#[test]
fn first_packet_of_another_owner_is_forwarded_only_once() {
    let router = router(table(2, [service(1, 1..=2)]));
    let datagram = initial(&connection_id_owned_by(&router, 2));
    let mut ingress = ingress(1);

    let fresh = decide(&mut ingress, &router, &header(2, 0), &datagram, false);
    let forwarded = decide(&mut ingress, &router, &header(2, 1), &datagram, false);

    let expected = IngressDecision::Forward {
        target: TargetId(2),
        agent_address: address(2),
    };
    assert_eq!(fresh, expected);
    assert_eq!(forwarded, IngressDecision::Accept);
}

#[test]
fn agent_on_an_older_ticket_accepts_what_a_newer_entry_sends() {
    let router = router(table(1, [service(1, 1..=2)]));
    let datagram = initial(&connection_id_owned_by(&router, 2));

    let decision = decide(&mut ingress(1), &router, &header(5, 0), &datagram, false);

    assert_eq!(decision, IngressDecision::Accept);
}

#[test]
fn retransmissions_follow_the_first_decision() {
    let router = router(table(2, [service(1, 1..=4)]));
    let datagram = initial(&connection_id_owned_by(&router, 1));
    let mut accepted = ingress(1);
    let mut full = ingress(1);

    let first = decide(&mut accepted, &router, &header(2, 0), &datagram, false);
    let again = decide(&mut accepted, &router, &header(2, 0), &datagram, true);
    let first_full = decide(&mut full, &router, &header(2, 0), &datagram, true);
    let again_with_room = decide(&mut full, &router, &header(2, 0), &datagram, false);

    assert_eq!(
        (first, again),
        (IngressDecision::Accept, IngressDecision::Accept)
    );
    assert!(matches!(first_full, IngressDecision::Forward { .. }));
    assert_eq!(first_full, again_with_room);
}

#[test]
fn full_agent_refuses_a_forwarded_packet() {
    let router = router(table(2, [service(1, 1..=2)]));
    let datagram = initial(&connection_id_owned_by(&router, 1));

    let decision = decide(&mut ingress(1), &router, &header(2, 1), &datagram, true);

    assert_eq!(decision, IngressDecision::RefuseNewFlow);
}

#[test]
fn flow_of_a_draining_target_is_forwarded_and_of_a_lost_one_is_reset() {
    let router = router(table(2, [service(1, 1..=2)]));
    let datagram = established(&router, 1, 2, 5);
    let header = header(2, 0);
    let lost = IngressQuery {
        header: &header,
        datagram: &datagram,
        is_full: false,
        liveness: &LostTargets(vec![2]),
        peer_flow_count: |_| None,
    };

    let draining = decide(&mut ingress(1), &router, &header, &datagram, false);
    let reset = ingress(1).decide(MonoTime::from_ms(1), &router, &lost);

    let expected = IngressDecision::Forward {
        target: TargetId(2),
        agent_address: address(2),
    };
    assert_eq!(draining, expected);
    assert_eq!(reset, IngressDecision::Accept);
}

#[test]
fn datagram_for_another_service_is_dropped() {
    let router = router(table(2, [service(1, 1..=2)]));
    let wrong = EncapsulationHeader {
        service: ServiceId(2),
        ..header(2, 0)
    };

    let decision = decide(&mut ingress(1), &router, &wrong, &initial(&[1; 8]), false);

    assert_eq!(
        decision,
        IngressDecision::Drop(ResultCode::DatagramWrongService)
    );
}

#[test]
fn flood_of_first_packets_keeps_memory_bounded() {
    let router = router(table(2, [service(1, 1..=2)]));
    let mut ingress = ingress(1);

    for id in 0..70_000_u64 {
        decide(
            &mut ingress,
            &router,
            &header(2, 0),
            &initial(&id.to_be_bytes()),
            false,
        );
    }

    assert_eq!(ingress.recent_first_packet_count(), 65_536);
}
