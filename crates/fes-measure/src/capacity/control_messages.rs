//! Measures the size and processor time of periodic control messages.

use std::net::SocketAddr;

use fes_protocol::CONTROL_OVERHEAD_BYTES;
use fes_protocol::ControlMessage;
use fes_protocol::DatagramKind;
use fes_protocol::EncapsulationCodec;
use fes_protocol::EncapsulationHeader;
use fes_protocol::EntryHeartbeat;
use fes_protocol::EntryId;
use fes_protocol::HeardPeer;
use fes_protocol::Incarnation;
use fes_protocol::KeyEpoch;
use fes_protocol::KeyRing;
use fes_protocol::Lifecycle;
use fes_protocol::PeerHeartbeat;
use fes_protocol::SecretKey;
use fes_protocol::ServiceId;
use fes_protocol::TargetId;
use fes_protocol::TicketNumber;
use fes_protocol::decode_control;
use fes_protocol::encode_control;

use super::Point;
use super::Slope;
use super::measurement::ns_per_call;

/// UDP and IPv4 headers, in bytes.
pub(super) const UDP_IP_HEADER_BYTES: f64 = 28.0;

/// Numbers of peers that the measured heartbeats report as heard.
const HEARD_COUNTS: [u32; 4] = [2, 6, 20, 60];
const CALLS: usize = 20_000;

/// An incarnation of realistic magnitude, because small numbers have a shorter encoding.
const INCARNATION: Incarnation = Incarnation(1_796_400_000_000 << 20);

pub(super) fn slopes() -> Vec<Slope> {
    let mut size = Vec::new();
    let mut time = Vec::new();
    for heard in HEARD_COUNTS {
        let message = peer_heartbeat(heard);
        let peers_heard = f64::from(heard);
        size.push(Point {
            size: peers_heard,
            cost: wire_bytes(&message),
        });
        time.push(Point {
            size: peers_heard,
            cost: round_trip_ns(&message),
        });
    }
    let entry = entry_heartbeat();
    // An entry heartbeat has a constant size.
    let constant_points = |cost: f64| {
        HEARD_COUNTS
            .map(|n| Point {
                size: f64::from(n),
                cost,
            })
            .into()
    };
    vec![
        Slope::new("peer_heartbeat_size", "peers heard", "bytes", size),
        Slope::new("peer_heartbeat_time", "peers heard", "ns", time),
        Slope::new(
            "entry_heartbeat_size",
            "any",
            "bytes",
            constant_points(wire_bytes(&entry)),
        ),
        Slope::new(
            "entry_heartbeat_time",
            "any",
            "ns",
            constant_points(round_trip_ns(&entry)),
        ),
    ]
}

/// Returns the size of a message on the wire with headers, in bytes.
fn wire_bytes(message: &ControlMessage) -> f64 {
    let payload_bytes = encode_control(message).map_or(0, |bytes| bytes.len());
    (payload_bytes + CONTROL_OVERHEAD_BYTES) as f64 + UDP_IP_HEADER_BYTES
}

/// Returns the time to encode, authenticate, verify and decode a message once, in nanoseconds.
fn round_trip_ns(message: &ControlMessage) -> f64 {
    let codec = EncapsulationCodec::new(KeyRing::new(KeyEpoch(0), SecretKey::new([7; 16])));
    ns_per_call(CALLS, |_| {
        let payload = encode_control(message).unwrap_or_default();
        let datagram = codec.encode(&header(), &payload);
        codec
            .decode(&datagram)
            .is_ok_and(|(_, payload)| decode_control(payload).is_ok())
    })
}

fn header() -> EncapsulationHeader {
    EncapsulationHeader {
        kind: DatagramKind::Control,
        service: ServiceId(1),
        target: TargetId(2),
        entry: EntryId(0),
        ticket: TicketNumber(4),
        client: SocketAddr::from(([0, 0, 0, 0], 0)),
        hop_count: 0,
        sent_ms: 6,
        address_tag: 0,
    }
}

fn peer_heartbeat(heard: u32) -> ControlMessage {
    let heard_peer = |target: u32| HeardPeer {
        target: TargetId(7_000 + target),
        incarnation_tag: 40_000,
    };
    ControlMessage::PeerHeartbeat(PeerHeartbeat {
        service: ServiceId(1_000),
        target: TargetId(7_000),
        incarnation: INCARNATION,
        sequence: 1_000_000,
        lifecycle: Lifecycle::Serving,
        capacity_milli: 4_000,
        demand_milli: 2_800,
        queue_wait_ms: 120,
        long_wait_ms: 120,
        flow_count: 2_000,
        key_issue_ms: 86_400_000,
        heard: (0..heard).map(heard_peer).collect(),
    })
}

fn entry_heartbeat() -> ControlMessage {
    ControlMessage::EntryHeartbeat(EntryHeartbeat {
        service: ServiceId(1_000),
        target: TargetId(7_000),
        incarnation: INCARNATION,
        sequence: 1_000_000,
        lifecycle: Lifecycle::Serving,
        flow_count: 2_000,
    })
}
