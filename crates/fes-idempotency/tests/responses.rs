//! Guards against responses that reach the wrong stream, arrive twice, or look complete although
//! bytes are missing.

use fes_idempotency::Delivery;
use fes_idempotency::DropReason;
use fes_idempotency::InboundStreamId;
use fes_idempotency::ResponseMatcher;
use fes_idempotency::ResponsePart;
use fes_idempotency::ResponseTag;
use fes_protocol::Incarnation;
use fes_protocol::RequestId;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::proptest;
use rstest::rstest;

const STREAM: InboundStreamId = InboundStreamId {
    connection: 4,
    stream: 8,
};

fn matcher() -> (ResponseMatcher, ResponseTag) {
    let mut matcher = ResponseMatcher::new(Incarnation(1));
    let tag = matcher.register(STREAM, RequestId(1));
    (matcher, tag)
}

#[rstest]
#[case::other_incarnation(|tag: &mut ResponseTag| tag.incarnation = Incarnation(2), DropReason::OtherIncarnation)]
#[case::other_stream(|tag: &mut ResponseTag| tag.inbound_stream.stream = 9, DropReason::Unmatched)]
#[case::other_request(|tag: &mut ResponseTag| tag.request = RequestId(2), DropReason::Unmatched)]
fn a_response_with_another_tag_is_dropped(
    #[case] change: fn(&mut ResponseTag),
    #[case] reason: DropReason,
) {
    let (mut matcher, mut tag) = matcher();
    change(&mut tag);

    let delivery = matcher.receive(tag, ResponsePart::Head { body_bytes: None });

    assert_eq!(delivery, Delivery::Drop(reason));
}

#[test]
fn late_and_duplicate_responses_are_dropped_and_counted() {
    let (mut matcher, duplicate) = matcher();
    let late = matcher.register(STREAM, RequestId(2));
    matcher.receive(
        duplicate,
        ResponsePart::Head {
            body_bytes: Some(0),
        },
    );
    matcher.receive(duplicate, ResponsePart::End);
    matcher.cancel(late.request);

    let deliveries = [duplicate, late].map(|tag| matcher.receive(tag, ResponsePart::End));

    assert_eq!(deliveries[0], Delivery::Drop(DropReason::Duplicate));
    assert_eq!(deliveries[1], Delivery::Drop(DropReason::Late));
    assert_eq!(
        (
            matcher.counters().duplicate_count,
            matcher.counters().late_count
        ),
        (1, 1)
    );
}

fn any_part() -> impl Strategy<Value = ResponsePart> {
    prop_oneof![
        proptest::option::of(0_u64..20).prop_map(|body_bytes| ResponsePart::Head { body_bytes }),
        (0_u64..12).prop_map(|len_bytes| ResponsePart::Body { len_bytes }),
        Just(ResponsePart::End),
        Just(ResponsePart::Aborted),
    ]
}

proptest! {
    /// For any sequence of parts, a response ends once, and it is complete only if its head arrived
    /// first and exactly the announced number of bytes followed.
    #[test]
    fn a_response_is_complete_or_an_explicit_error(
        parts in proptest::collection::vec(any_part(), 1..12),
    ) {
        let (mut matcher, tag) = matcher();
        let (mut announced, mut forwarded_bytes, mut end_count) = (None, 0, 0);

        for part in parts {
            match (matcher.receive(tag, part), part) {
                (Delivery::Forward(_), ResponsePart::Head { body_bytes }) => {
                    prop_assert_eq!(announced, None);
                    announced = Some(body_bytes);
                }
                (Delivery::Forward(_), ResponsePart::Body { len_bytes }) => forwarded_bytes += len_bytes,
                (Delivery::Complete(stream), _) => {
                    end_count += 1;
                    prop_assert_eq!(stream, STREAM);
                    prop_assert!(announced.is_some_and(|all| all.is_none_or(|all| all == forwarded_bytes)));
                }
                (Delivery::Reset(_), _) => end_count += 1,
                (Delivery::Forward(_), other) => prop_assert!(false, "{other:?} was forwarded"),
                (Delivery::Drop(_), _) => prop_assert_eq!(end_count, 1),
            }
        }

        prop_assert!(end_count <= 1);
        prop_assert_eq!(matcher.open_count(), 1 - end_count);
    }
}
