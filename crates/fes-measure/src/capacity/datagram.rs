//! Measures the encapsulation of datagrams, which computes one MAC at each end.

use std::net::SocketAddr;

use fes_protocol::DatagramKind;
use fes_protocol::EncapsulationCodec;
use fes_protocol::EncapsulationHeader;
use fes_protocol::EntryId;
use fes_protocol::KeyEpoch;
use fes_protocol::KeyRing;
use fes_protocol::SecretKey;
use fes_protocol::ServiceId;
use fes_protocol::TargetId;
use fes_protocol::TicketNumber;

use super::Point;
use super::Slope;
use super::measurement::ns_per_call;

const PAYLOAD_BYTES: [usize; 4] = [64, 300, 600, 1_200];
const CALLS: usize = 50_000;

pub(super) fn slopes() -> Vec<Slope> {
    let codec = EncapsulationCodec::new(KeyRing::new(KeyEpoch(0), SecretKey::new([7; 16])));
    let mut encode = Vec::new();
    let mut decode = Vec::new();
    for payload_bytes in PAYLOAD_BYTES {
        let payload = vec![1; payload_bytes];
        let datagram = codec.encode(&header(), &payload);
        let size = payload_bytes as f64;
        let cost = ns_per_call(CALLS, |_| codec.encode(&header(), &payload));
        encode.push(Point { size, cost });
        let cost = ns_per_call(CALLS, |_| codec.decode(&datagram).is_ok());
        decode.push(Point { size, cost });
    }
    vec![
        Slope::new("encapsulation_encode", "payload bytes", "ns", encode),
        Slope::new("encapsulation_decode", "payload bytes", "ns", decode),
    ]
}

fn header() -> EncapsulationHeader {
    EncapsulationHeader {
        kind: DatagramKind::Forward,
        service: ServiceId(1),
        target: TargetId(2),
        entry: EntryId(3),
        ticket: TicketNumber(4),
        client: SocketAddr::from(([10, 0, 0, 1], 5)),
        hop_count: 0,
        sent_ms: 6,
        address_tag: 0,
    }
}
