//! Guards against a relayed request that is relayed again, and against wrong answers while agents
//! rotate their keys at different times.

use fes_idempotency::Answer;
use fes_idempotency::AnswerDetail;
use fes_idempotency::Coordinator;
use fes_idempotency::CoordinatorAction;
use fes_idempotency::CoordinatorEvent;
use fes_idempotency::KeyOwner;
use fes_idempotency::RequestDigest;
use fes_idempotency::StoreLimits;
use fes_protocol::Incarnation;
use fes_protocol::KeyEpoch;
use fes_protocol::KeyRing;
use fes_protocol::MonoTime;
use fes_protocol::RequestId;
use fes_protocol::ResultCode;
use fes_protocol::SecretKey;
use fes_protocol::ServiceId;
use fes_protocol::TargetId;
use rstest::rstest;

fn key(fill: u8) -> SecretKey {
    SecretKey::new([fill; 16])
}

fn old_keys() -> KeyRing {
    KeyRing::new(KeyEpoch(1), key(1))
}

fn agent(target: u32, keys: KeyRing) -> Coordinator {
    let local_owner = KeyOwner {
        service: ServiceId(7),
        target: TargetId(target),
        incarnation: Incarnation(u64::from(target)),
    };
    Coordinator::new(local_owner, keys, StoreLimits::default())
}

fn request(key: &str, relayed: bool) -> CoordinatorEvent {
    CoordinatorEvent::Request {
        request: RequestId(1),
        key_value: key.as_bytes().to_vec(),
        digest: RequestDigest([1; 16]),
        deadline: MonoTime::from_ms(1_000),
        relayed,
    }
}

fn answer(code: ResultCode, detail: AnswerDetail) -> Vec<CoordinatorAction> {
    let answer = Answer::Code { code, detail };
    let request = RequestId(1);
    vec![CoordinatorAction::Answer { request, answer }]
}

/// If a relayed request were relayed again, two agents with different tickets could send it back
/// and forth without end.
#[test]
fn a_relayed_request_is_never_relayed_again() {
    let key = agent(1, old_keys()).issue_prefix(MonoTime::ZERO) + ".x";
    let mut other = agent(2, old_keys());

    let actions = other.handle(MonoTime::ZERO, request(&key, true));

    let (code, detail) = (
        ResultCode::UnknownOwnerUnreachable,
        AnswerDetail::NotForwarded,
    );
    assert_eq!(actions, answer(code, detail));
}

/// A prefix of an epoch that the owner doesn't accept yet must be answered "outcome unknown", not
/// with a final refusal, because the key becomes usable once the owner has rotated.
#[rstest]
#[case::before_the_owner_rotates(false)]
#[case::after_the_owner_rotated(true)]
fn a_prefix_of_the_next_epoch_is_unknown_until_the_owner_rotates(#[case] rotated: bool) {
    let new_keys = KeyRing::new(KeyEpoch(2), key(2)).with_adjacent_key(KeyEpoch(1), key(1));
    let mut owner = agent(1, old_keys());
    let key = agent(1, new_keys.clone()).issue_prefix(MonoTime::ZERO) + ".x";
    let early = owner.handle(MonoTime::ZERO, request(&key, false));
    if rotated {
        owner.set_keys(new_keys);
    }

    let actions = owner.handle(MonoTime::ZERO, request(&key, false));

    let unknown = answer(ResultCode::UnknownKeyEpoch, AnswerDetail::None);
    assert_eq!(early, unknown);
    assert_eq!(actions != unknown, rotated);
}
