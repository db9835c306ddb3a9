//! Guards against flows that move to another agent, reach another service or break when the
//! tickets, targets or keys change.

mod support;

use std::sync::Arc;

use fes_protocol::KeyEpoch;
use fes_protocol::KeyRing;
use fes_protocol::MonoTime;
use fes_protocol::ResultCode;
use fes_protocol::SecretKey;
use fes_protocol::ServiceId;
use fes_protocol::TargetId;
use fes_protocol::TicketNumber;
use fes_protocol::UpstreamState;
use fes_routing::AllAlive;
use fes_routing::Decision;
use fes_routing::RouteTable;
use fes_routing::RoutingRule;
use rstest::rstest;
use support::LostTargets;
use support::established;
use support::initial;
use support::ring;
use support::router;
use support::service;
use support::table;
use support::upstream;

fn target_of(decision: Decision) -> Option<(u32, RoutingRule)> {
    match decision {
        Decision::Forward { target, rule, .. } => Some((target.0, rule)),
        Decision::Drop(_) => None,
    }
}

#[test]
fn established_flow_follows_its_connection_id_under_any_ticket() {
    let old = router(table(1, [service(1, 1..=7)]));
    let new = router(table(2, [service(1, 3..=12)]));
    let datagram = established(&old, 1, 5, 77);

    let by_old = old.decide(ServiceId(1), &datagram, &AllAlive);
    let by_new = new.decide(ServiceId(1), &datagram, &AllAlive);

    assert_eq!(target_of(by_old), Some((5, RoutingRule::ConnectionId)));
    assert_eq!(target_of(by_new), Some((5, RoutingRule::ConnectionId)));
}

#[test]
fn removed_target_keeps_its_flows_and_gets_no_new_ones() {
    let before = table(1, [service(1, 1..=3)]);
    let objects = [(TicketNumber(2), service(1, 2..=3))];
    let after = router(RouteTable::rebuild(&before, MonoTime::from_ms(5), objects));

    let kept = after.decide(ServiceId(1), &established(&after, 1, 1, 9), &AllAlive);
    let placed: Vec<_> = (0..200_u16)
        .map(|id| {
            after.decide(
                ServiceId(1),
                &initial(&[id.to_be_bytes(); 4].concat()),
                &AllAlive,
            )
        })
        .filter_map(target_of)
        .collect();

    assert_eq!(target_of(kept), Some((1, RoutingRule::ConnectionId)));
    assert_eq!(placed.len(), 200);
    assert!(placed.iter().all(|(target, _)| *target != 1));
}

#[test]
fn leaving_target_gets_no_new_flows() {
    let mut spec = (*service(1, 1..=2)).clone();
    spec.upstreams[0] = upstream(1, UpstreamState::Leaving);
    let router = router(table(1, [Arc::new(spec)]));

    let placed: Vec<_> = (0..100_u8)
        .filter_map(|id| target_of(router.decide(ServiceId(1), &initial(&[id; 8]), &AllAlive)))
        .collect();

    assert!(
        placed
            .iter()
            .all(|placed| *placed == (2, RoutingRule::Placement))
    );
}

#[test]
fn only_flows_of_a_lost_target_move() {
    let router = router(table(1, [service(1, 1..=7)]));
    let lost = LostTargets(vec![4]);

    let moved = router.decide(ServiceId(1), &established(&router, 1, 4, 1), &lost);
    let others: Vec<_> = [1, 2, 3, 5, 6, 7]
        .map(|t| target_of(router.decide(ServiceId(1), &established(&router, 1, t, 1), &lost)))
        .to_vec();

    assert!(matches!(target_of(moved), Some((t, RoutingRule::LostTarget)) if t != 4));
    assert_eq!(
        others,
        [1, 2, 3, 5, 6, 7]
            .map(|t| Some((t, RoutingRule::ConnectionId)))
            .to_vec()
    );
}

#[test]
fn datagram_of_another_service_is_dropped() {
    let router = router(table(1, [service(1, 1..=3), service(2, 4..=6)]));
    let datagram = established(&router, 1, 2, 3);

    let decision = router.decide(ServiceId(2), &datagram, &AllAlive);

    assert_eq!(decision, Decision::Drop(ResultCode::DatagramUnknownFlow));
}

#[test]
fn key_rotation_keeps_flows() {
    let old = router(table(1, [service(1, 1..=3)]));
    let datagram = established(&old, 1, 3, 8);
    let mut rotated = old.clone();

    rotated.set_keys(
        &KeyRing::new(KeyEpoch(1), SecretKey::new([8; 16]))
            .with_adjacent_key(KeyEpoch(0), ring().current().clone()),
    );

    let decision = rotated.decide(ServiceId(1), &datagram, &AllAlive);
    assert_eq!(target_of(decision), Some((3, RoutingRule::ConnectionId)));
}

#[rstest]
#[case::empty(&[], ResultCode::DatagramMalformed)]
#[case::short(&[0x40, 1, 2], ResultCode::DatagramMalformed)]
#[case::forged(&[0x40; 60], ResultCode::DatagramUnknownFlow)]
#[case::oversized(&[0x40; 1_373], ResultCode::DatagramTooLarge)]
fn bad_input_is_dropped_with_its_reason(#[case] datagram: &[u8], #[case] code: ResultCode) {
    let router = router(table(1, [service(1, 1..=3)]));

    let decision = router.decide(ServiceId(1), datagram, &AllAlive);

    assert_eq!(decision, Decision::Drop(code));
}

#[test]
fn entries_agree_on_placement_without_communication() {
    let one = router(table(1, [service(1, 1..=7)]));
    let other = router(table(1, [service(1, (1..=7).rev())]));

    for id in 0..100_u8 {
        let datagram = initial(&[id; 8]);
        let first = one.decide(ServiceId(1), &datagram, &AllAlive);
        let second = other.decide(ServiceId(1), &datagram, &AllAlive);
        assert_eq!(target_of(first), target_of(second));
    }
    assert_eq!(one.table().target(ServiceId(1), TargetId(9)), None);
}
