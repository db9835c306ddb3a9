//! Guards against messages between processes that are altered by the encoding, exceed the maximum
//! size, or make the receiver panic.

use std::sync::Arc;

use fes_protocol::ResultCode;
use fes_protocol::TicketNumber;
use fes_tickets::MAX_MESSAGE_BYTES;
use fes_tickets::TicketMessage;
use fes_tickets::TicketVersion;
use fes_tickets::decode_message;
use fes_tickets::encode_message;
use fes_tickets::simulation::FleetShape;
use proptest::prelude::any;
use proptest::proptest;
use rstest::rstest;

fn version(number: u64) -> TicketVersion {
    TicketVersion {
        number: TicketNumber(number),
        digest: number * 7,
    }
}

#[rstest]
#[case::push(TicketMessage::Push(FleetShape::scaled(3, 2, 6).tickets()))]
#[case::offer(TicketMessage::Offer(vec![version(1), version(2)]))]
#[case::ask(TicketMessage::Ask { after: version(3) })]
#[case::summary(TicketMessage::Summary { after: version(0), versions: vec![version(4)], complete: true })]
#[case::pull(TicketMessage::Pull(vec![version(5)]))]
fn a_message_round_trips_through_the_encoding(#[case] message: TicketMessage) {
    let bytes = encode_message(&message).unwrap();

    assert_eq!(decode_message(&bytes), Ok(message));
}

#[test]
fn a_message_above_the_maximum_size_is_neither_encoded_nor_decoded() {
    let tickets = FleetShape::scaled(100, 3_000, 30_000).tickets();
    let message = TicketMessage::Push(tickets.iter().map(Arc::clone).collect());
    let bytes = vec![0; MAX_MESSAGE_BYTES + 1];

    assert_eq!(encode_message(&message), Err(ResultCode::ControlTooLarge));
    assert_eq!(decode_message(&bytes), Err(ResultCode::ControlTooLarge));
}

proptest! {
    #[test]
    fn malformed_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = decode_message(&bytes);
    }
}
