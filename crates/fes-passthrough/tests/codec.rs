//! Encoding and decoding of messages between processes.

mod support;

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use fes_passthrough::FlowKey;
use fes_passthrough::FlowUse;
use fes_passthrough::Forward;
use fes_passthrough::ForwardMode;
use fes_passthrough::LoadReport;
use fes_passthrough::Message;
use fes_passthrough::Priority;
use fes_passthrough::ServiceTag;
use fes_passthrough::TargetsPart;
use fes_passthrough::decode_message;
use fes_passthrough::encode_message;
use fes_protocol::ResultCode;
use proptest::prelude::any;
use proptest::prelude::proptest;

use support::fixtures::idle_report;
use support::fixtures::requirements;

/// Guards against a message that no receiver decodes and of whose loss no one knows.
#[test]
fn a_message_that_no_receiver_decodes_is_refused() {
    let removed = (0..2_000).map(|index| (index.to_string().into(), index));
    let message = Message::Targets(TargetsPart {
        revision: 1,
        after_revision: 0,
        routes_version: 1,
        age_ms: 0,
        index: 0,
        count: 1,
        targets: Vec::new(),
        removed: removed.collect(),
        evacuations: None,
    });

    let error = encode_message(&message, &mut Vec::new()).expect_err("too large");

    assert_eq!(error.code(), ResultCode::ControlTooLarge);
}

proptest! {
    /// Guards against a datagram that makes decoding panic.
    #[test]
    fn any_datagram_is_decoded_or_rejected(datagram: Vec<u8>) {
        let _ = decode_message(&datagram);
    }

    /// Guards against a carried packet that is modified by encoding or decoding.
    #[test]
    fn a_carried_packet_is_unchanged(
        packet: Vec<u8>,
        started_at_ms: u64,
        service: u64,
    ) {
        let message = Message::Forward(Forward {
            mode: ForwardMode::Owner,
            service: ServiceTag(service),
            started_at_ms,
            requirements: requirements(FlowUse::NonRepeatable, 200, 1_000),
        });
        let mut datagram = Vec::new();
        encode_message(&message, &mut datagram).expect("fits");
        datagram.extend_from_slice(&packet);

        let (decoded, carried) = decode_message(&datagram).expect("decodes");

        assert_eq!(decoded, message);
        assert_eq!(carried, packet);
    }

    /// Guards against new fields that are lost, and against reports of older versions, which lack
    /// all or the last of them, that are rejected.
    #[test]
    fn an_extension_is_optional(run_time_us: u32) {
        let without_last = LoadReport { run_time_us, ..idle_report() };
        let message = Message::Load(LoadReport { supports_priority: true, ..without_last });
        let mut datagram = Vec::new();
        encode_message(&message, &mut datagram).expect("fits");
        let extension_bytes = match run_time_us {
            0..=250 => 1,
            251..=0xffff => 3,
            _ => 5,
        };
        let previous = &datagram[..datagram.len() - 1];
        let old = &previous[..previous.len() - extension_bytes];

        let (decoded, packet) = decode_message(&datagram).expect("decodes");
        let (decoded_previous, _) = decode_message(previous).expect("decodes");
        let (decoded_old, _) = decode_message(old).expect("decodes");

        assert_eq!(decoded, message);
        assert!(packet.is_empty());
        assert_eq!(decoded_previous, Message::Load(without_last));
        assert_eq!(decoded_old, Message::Load(idle_report()));
    }

    /// Guards against a priority or packet that is lost, and against a priority that changes the
    /// layout of the message that earlier versions read.
    #[test]
    fn a_priority_precedes_the_packet(priority: u8, packet: Vec<u8>) {
        let forward = Forward {
            mode: ForwardMode::Owner,
            service: ServiceTag(7),
            started_at_ms: 1,
            requirements: requirements(FlowUse::NonRepeatable, 200, 1_000),
        };
        let priority = Priority(priority);
        let message = Message::ForwardWithPriority { forward, priority };
        let mut datagram = Vec::new();
        encode_message(&message, &mut datagram).expect("fits");
        datagram.extend_from_slice(&packet);
        let mut with_priority = forward;
        with_priority.requirements.priority = priority;
        let mut previous = Vec::new();
        encode_message(&Message::Forward(with_priority), &mut previous).expect("fits");

        let decoded = decode_message(&datagram).expect("decodes");

        assert_eq!(decoded, (message, packet.as_slice()));
        assert_eq!(previous, [0, 1, 7, 1, 2, 200, 251, 232, 3]);
    }

    /// Guards against a truncated datagram that is accepted as a complete one.
    #[test]
    fn a_truncated_message_is_rejected(ip in any::<u32>(), port: u16, removed_bytes in 1_usize..6) {
        let address = SocketAddrV4::new(Ipv4Addr::from(ip), port);
        let flow = FlowKey { client: address, destination: address };
        let mut datagram = Vec::new();
        encode_message(&Message::NotHeld { flow }, &mut datagram).expect("fits");
        datagram.truncate(datagram.len() - removed_bytes);

        assert!(decode_message(&datagram).is_err());
    }
}
