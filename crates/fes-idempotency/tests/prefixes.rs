//! Guards against keys that are accepted although no agent issued them, and against a "not run"
//! answer for a key that can't be verified.

use fes_idempotency::IdempotencyKey;
use fes_idempotency::KeyClass;
use fes_idempotency::KeyOwner;
use fes_idempotency::KeyPrefix;
use fes_idempotency::MAX_CLIENT_PART_BYTES;
use fes_idempotency::PREFIX_LEN_CHARS;
use fes_idempotency::PrefixCodec;
use fes_idempotency::PrefixIssuer;
use fes_idempotency::RequestDigester;
use fes_protocol::Incarnation;
use fes_protocol::KeyEpoch;
use fes_protocol::KeyRing;
use fes_protocol::Lifecycle;
use fes_protocol::MonoTime;
use fes_protocol::PeerHeartbeat;
use fes_protocol::ResultCode;
use fes_protocol::SecretKey;
use fes_protocol::ServiceId;
use fes_protocol::TargetId;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use rstest::rstest;

fn key(fill: u8) -> SecretKey {
    SecretKey::new([fill; 16])
}

fn codec() -> PrefixCodec {
    PrefixCodec::new(KeyRing::new(KeyEpoch(1), key(1)))
}

fn owner(service: u32, target: u32, incarnation: u64) -> KeyOwner {
    KeyOwner {
        service: ServiceId(service),
        target: TargetId(target),
        incarnation: Incarnation(incarnation),
    }
}

fn issued(owner: KeyOwner) -> String {
    let prefix = KeyPrefix { owner, issue_ms: 5 };
    codec().encode(&prefix) + ".client-part"
}

fn verified(owner: KeyOwner) -> IdempotencyKey {
    IdempotencyKey {
        prefix: KeyPrefix { owner, issue_ms: 5 },
        client_part: "client-part".into(),
    }
}

#[rstest]
#[case::owned(owner(7, 1, 9), KeyClass::Owned(verified(owner(7, 1, 9))))]
#[case::other_service(owner(8, 1, 9), KeyClass::OtherService)]
#[case::other_target(owner(7, 2, 9), KeyClass::OtherTarget(verified(owner(7, 2, 9))))]
#[case::other_incarnation(owner(7, 1, 8), KeyClass::OtherIncarnation(verified(owner(7, 1, 8))))]
fn a_key_is_classified_by_the_owner_that_it_names(
    #[case] named: KeyOwner,
    #[case] expected: KeyClass,
) {
    let value = issued(named);

    let class = KeyClass::classify(value.as_bytes(), &codec(), owner(7, 1, 9));

    assert_eq!(class, expected);
}

/// If an epoch number is reused with another key, an idempotency key of the old epoch must not look
/// forged, because its request may have run.
#[rstest]
#[case::rotated_once(KeyRing::new(KeyEpoch(2), key(2)).with_adjacent_key(KeyEpoch(1), key(1)), None)]
#[case::retired(KeyRing::new(KeyEpoch(3), key(3)), Some(ResultCode::UnknownKeyEpoch))]
#[case::number_reused(KeyRing::new(KeyEpoch(1), key(9)), Some(ResultCode::UnknownKeyEpoch))]
fn a_key_outlives_one_rotation_and_is_unknown_afterwards(
    #[case] keys: KeyRing,
    #[case] expected: Option<ResultCode>,
) {
    let value = issued(owner(7, 1, 9));

    let class = KeyClass::classify(value.as_bytes(), &PrefixCodec::new(keys), owner(7, 1, 9));

    assert_eq!(class.immediate_code(), expected);
}

#[rstest]
#[case::no_prefix("lot-7", ResultCode::NotRunNoKeyPrefix)]
#[case::no_client_part("fk1.", ResultCode::NotRunNoKeyPrefix)]
#[case::later_version("fk2AAAA.part", ResultCode::UnknownKeyEpoch)]
fn a_key_that_no_agent_issued_is_answered_at_once(#[case] value: &str, #[case] code: ResultCode) {
    let class = KeyClass::classify(value.as_bytes(), &codec(), owner(7, 1, 9));

    assert_eq!(class.immediate_code(), Some(code));
}

/// The quoted and the unquoted form must be the same key.
#[test]
fn quotes_of_a_structured_field_do_not_matter() {
    let bare = issued(owner(7, 1, 9));
    let quoted = format!("\"{bare}\"");

    let classes =
        [bare, quoted].map(|value| KeyClass::classify(value.as_bytes(), &codec(), owner(7, 1, 9)));

    assert_eq!(classes[0], classes[1]);
}

/// A client part of any length would leave the memory of a record unbounded.
#[test]
fn a_client_part_is_bounded() {
    let prefix = issued(owner(7, 1, 9)).replace("client-part", "");
    let longest = prefix.clone() + &"x".repeat(MAX_CLIENT_PART_BYTES);
    let longer = longest.clone() + "x";

    let classes = [longest, longer]
        .map(|value| KeyClass::classify(value.as_bytes(), &codec(), owner(7, 1, 9)));

    assert!(matches!(classes[0], KeyClass::Owned(_)));
    assert_eq!(classes[1], KeyClass::Malformed);
}

/// If bytes could move between adjacent fields, two different requests would have the same digest.
#[test]
fn digests_separate_adjacent_fields() {
    let digest = |a: &[u8], b: &[u8]| RequestDigester::new(&key(3)).field(a).field(b).finish();

    let digests = [digest(b"POST", b"/lots"), digest(b"POST/", b"lots")];

    assert_ne!(digests[0], digests[1]);
}

fn heartbeat(
    target: u32,
    sequence: u64,
    capacity_milli: u32,
    lifecycle: Lifecycle,
) -> PeerHeartbeat {
    PeerHeartbeat {
        service: ServiceId(7),
        target: TargetId(target),
        incarnation: Incarnation(u64::from(target) * 10),
        sequence,
        lifecycle,
        capacity_milli,
        demand_milli: 0,
        queue_wait_ms: 0,
        long_wait_ms: 0,
        flow_count: 0,
        key_issue_ms: 77,
        heard: Vec::new(),
    }
}

/// Requests with a prefix that names a silent or draining peer could never be answered.
#[rstest]
#[case::most_spare(0, Lifecycle::Serving, 2, 77)]
#[case::silent(2_001, Lifecycle::Serving, 1, 2_001)]
#[case::draining(0, Lifecycle::Draining, 1, 0)]
fn a_prefix_names_the_serving_peer_with_the_most_spare_capacity(
    #[case] now_ms: u64,
    #[case] lifecycle: Lifecycle,
    #[case] target: u32,
    #[case] issue_ms: u64,
) {
    let mut issuer = PrefixIssuer::new(owner(7, 1, 9));
    issuer.set_own_spare(50);
    issuer.observe(MonoTime::ZERO, &heartbeat(2, 1, 900, Lifecycle::Serving));
    issuer.observe(MonoTime::ZERO, &heartbeat(2, 2, 900, lifecycle));

    let prefix = issuer.issue(MonoTime::from_ms(now_ms));

    assert_eq!(
        (prefix.owner.target, prefix.issue_ms),
        (TargetId(target), issue_ms)
    );
}

/// If all prefixes issued between two heartbeats named the same peer, that peer would be
/// overloaded.
#[test]
fn prefixes_are_spread_in_proportion_to_spare_capacity() {
    let mut issuer = PrefixIssuer::new(owner(7, 1, 9));
    issuer.observe(MonoTime::ZERO, &heartbeat(2, 1, 2_000, Lifecycle::Serving));
    issuer.observe(MonoTime::ZERO, &heartbeat(3, 1, 1_000, Lifecycle::Serving));

    let named = (0..300).map(|_| issuer.issue(MonoTime::ZERO).owner.target);
    let to_second = named.filter(|target| *target == TargetId(2)).count();

    assert_eq!(to_second, 200);
}

/// A late heartbeat would restore an outdated clock and spare capacity.
#[test]
fn heartbeats_out_of_order_are_ignored() {
    let mut issuer = PrefixIssuer::new(owner(7, 1, 9));
    issuer.set_own_spare(50);
    issuer.observe(MonoTime::ZERO, &heartbeat(2, 2, 0, Lifecycle::Serving));
    issuer.observe(MonoTime::ZERO, &heartbeat(2, 1, 900, Lifecycle::Serving));

    let prefix = issuer.issue(MonoTime::ZERO);

    assert_eq!(prefix.owner.target, TargetId(1));
}

/// A draining agent that names itself would issue keys that are always refused.
#[rstest]
#[case::serving(false, 1)]
#[case::draining(true, 2)]
fn a_draining_agent_names_a_peer(#[case] draining: bool, #[case] target: u32) {
    let mut issuer = PrefixIssuer::new(owner(7, 1, 9));
    issuer.set_own_spare(900);
    issuer.set_draining(draining);
    issuer.observe(MonoTime::ZERO, &heartbeat(2, 1, 50, Lifecycle::Serving));

    let prefix = issuer.issue(MonoTime::ZERO);

    assert_eq!(prefix.owner.target, TargetId(target));
}

proptest! {
    #[test]
    fn classification_never_panics(value in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = KeyClass::classify(&value, &codec(), owner(7, 1, 9));
    }

    #[test]
    fn a_changed_prefix_is_never_accepted(position in 0..PREFIX_LEN_CHARS, change in 1_u8..) {
        let mut value = issued(owner(7, 1, 9)).into_bytes();
        value[position] ^= change;

        let class = KeyClass::classify(&value, &codec(), owner(7, 1, 9));

        prop_assert!(class.immediate_code().is_some(), "{class:?}");
    }

    #[test]
    fn a_prefix_round_trips_as_a_header_value(
        service: u32, target: u32, incarnation: u64, issue_ms: u64,
    ) {
        let named = owner(service, target, incarnation);
        let prefix = KeyPrefix { owner: named, issue_ms };
        let value = codec().encode(&prefix) + ".x";

        let class = KeyClass::classify(value.as_bytes(), &codec(), named);

        prop_assert!(value.bytes().all(|byte| byte.is_ascii_graphic()));
        prop_assert_eq!(value.len(), PREFIX_LEN_CHARS + 2);
        prop_assert_eq!(class, KeyClass::Owned(IdempotencyKey { prefix, client_part: "x".into() }));
    }
}
