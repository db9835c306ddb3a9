//! Guards against codecs that accept forged input, panic on malformed input or lose fields in a
//! round trip.

use std::net::SocketAddr;

use fes_protocol::CONTROL_OVERHEAD_BYTES;
use fes_protocol::ConnectionIdCodec;
use fes_protocol::DatagramKind;
use fes_protocol::EncapsulationCodec;
use fes_protocol::EncapsulationHeader;
use fes_protocol::EntryId;
use fes_protocol::KeyEpoch;
use fes_protocol::KeyRing;
use fes_protocol::QuicPacket;
use fes_protocol::ResultCode;
use fes_protocol::RoutableId;
use fes_protocol::SecretKey;
use fes_protocol::ServiceId;
use fes_protocol::TargetId;
use fes_protocol::TicketNumber;
use fes_protocol::decode_control;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use rstest::rstest;

fn key(fill: u8) -> SecretKey {
    SecretKey::new([fill; 16])
}

fn key_ring() -> KeyRing {
    KeyRing::new(KeyEpoch(1), key(1))
}

fn header(client: &str) -> EncapsulationHeader {
    EncapsulationHeader {
        kind: DatagramKind::Forward,
        service: ServiceId(7),
        target: TargetId(70),
        entry: EntryId(3),
        ticket: TicketNumber(12),
        client: client.parse::<SocketAddr>().unwrap(),
        address_tag: 0,
        hop_count: 0,
        sent_ms: 99,
    }
}

#[rstest]
#[case("127.0.0.1:4433")]
#[case("[2001:db8::1]:4433")]
fn encapsulation_round_trip_keeps_header_and_payload(#[case] client: &str) {
    let codec = EncapsulationCodec::new(key_ring());

    let datagram = codec.encode(&header(client), b"payload");

    assert_eq!(
        codec.decode(&datagram),
        Ok((header(client), &b"payload"[..]))
    );
}

#[test]
fn control_message_has_a_short_authenticated_header() {
    let codec = EncapsulationCodec::new(key_ring());
    let control = EncapsulationHeader {
        kind: DatagramKind::Control,
        ..header("127.0.0.1:1")
    };

    let datagram = codec.encode(&control, b"digest");
    let mut forged = datagram.clone();
    forged[3] ^= 1;

    let (decoded, payload) = codec.decode(&datagram).unwrap();
    assert_eq!(
        (decoded.kind, decoded.target, payload),
        (control.kind, control.target, &b"digest"[..])
    );
    assert_eq!(datagram.len(), b"digest".len() + CONTROL_OVERHEAD_BYTES);
    assert_eq!(codec.decode(&forged), Err(ResultCode::DatagramForged));
    assert_eq!(
        codec.decode(&datagram[..20]),
        Err(ResultCode::DatagramTooShort)
    );
}

#[test]
fn previous_key_epoch_is_accepted_and_a_retired_one_rejected() {
    let old = EncapsulationCodec::new(key_ring());
    let rotated = EncapsulationCodec::new(
        KeyRing::new(KeyEpoch(2), key(2)).with_adjacent_key(KeyEpoch(1), key(1)),
    );
    let retired = EncapsulationCodec::new(KeyRing::new(KeyEpoch(2), key(2)));

    let datagram = old.encode(&header("127.0.0.1:1"), b"x");

    assert!(rotated.decode(&datagram).is_ok());
    assert_eq!(
        retired.decode(&datagram),
        Err(ResultCode::DatagramUnknownKeyEpoch)
    );
}

#[test]
fn connection_id_of_another_service_is_rejected() {
    let codec = ConnectionIdCodec::new(&key_ring());
    let id = RoutableId {
        service: ServiceId(1),
        target: TargetId(2),
        nonce: 3,
    };

    let bytes = codec.encode(id, 0xff);

    assert_eq!(codec.decode(&bytes, ServiceId(1)), Some(id));
    assert_eq!(codec.decode(&bytes, ServiceId(2)), None);
}

proptest! {
    #[test]
    fn any_changed_byte_is_detected(position in 0_usize..73, change in 1_u8..) {
        let codec = EncapsulationCodec::new(key_ring());
        let mut datagram = codec.encode(&header("127.0.0.1:4433"), b"payload");
        let position = position % datagram.len();

        datagram[position] ^= change;

        prop_assert!(codec.decode(&datagram).is_err());
    }

    #[test]
    fn decoders_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..1500)) {
        let _ = EncapsulationCodec::new(key_ring()).decode(&bytes);
        let _ = ConnectionIdCodec::new(&key_ring()).decode(&bytes, ServiceId(1));
        let _ = QuicPacket::parse(&bytes);
        let _ = decode_control(&bytes);
    }

    #[test]
    fn connection_id_round_trip(service: u32, target: u32, nonce: u64, random: u8) {
        let codec = ConnectionIdCodec::new(&key_ring());
        let id = RoutableId { service: ServiceId(service), target: TargetId(target), nonce };

        let decoded = codec.decode(&codec.encode(id, random), ServiceId(service));

        prop_assert_eq!(decoded, Some(id));
    }
}
