//! Datagrams that an agent must drop and count.

mod support;

use std::net::SocketAddr;

use fes_protocol::ConnectionIdCodec;
use fes_protocol::ControlMessage;
use fes_protocol::DatagramKind;
use fes_protocol::EncapsulationCodec;
use fes_protocol::EncapsulationHeader;
use fes_protocol::EntryId;
use fes_protocol::Incarnation;
use fes_protocol::KeyEpoch;
use fes_protocol::KeyRing;
use fes_protocol::Lifecycle;
use fes_protocol::PeerHeartbeat;
use fes_protocol::ResultCode;
use fes_protocol::RoutableId;
use fes_protocol::SecretKey;
use fes_protocol::ServiceId;
use fes_protocol::TargetId;
use fes_protocol::TicketNumber;
use fes_protocol::encode_control;
use fes_testkit::Outcome;
use fes_testkit::secret_keys;
use fes_testkit::wait_until;
use rstest::rstest;
use support::KEY_SEED;
use support::SERVICE;
use support::cluster;
use tokio::net::UdpSocket;

const OTHER_SERVICE: ServiceId = ServiceId(2);

fn ring() -> KeyRing {
    secret_keys(KEY_SEED).initial_ring()
}

fn header(kind: DatagramKind, service: ServiceId) -> EncapsulationHeader {
    EncapsulationHeader {
        kind,
        service,
        target: TargetId(1),
        entry: EntryId(9),
        ticket: TicketNumber(1),
        client: SocketAddr::from(([127, 0, 0, 1], 9)),
        address_tag: 0,
        hop_count: 0,
        sent_ms: 0,
    }
}

/// Returns a QUIC packet with a short header whose connection ID names `service`.
fn packet(service: ServiceId) -> Vec<u8> {
    let id = RoutableId {
        service,
        target: TargetId(1),
        nonce: 5,
    };
    let id = ConnectionIdCodec::new(&ring()).encode(id, 0);
    let mut datagram = vec![0; 100];
    // First byte of a QUIC short header; the 17-byte connection ID follows.
    datagram[0] = 0x40;
    datagram[1..18].copy_from_slice(&id);
    datagram
}

fn forward(service: ServiceId, payload: &[u8]) -> Vec<u8> {
    EncapsulationCodec::new(ring()).encode(&header(DatagramKind::Forward, service), payload)
}

/// Returns a datagram that is encoded with a key which the agent doesn't have.
fn forged() -> Vec<u8> {
    let keys = KeyRing::new(KeyEpoch(0), SecretKey::new([9; 16]));
    let header = header(DatagramKind::Forward, SERVICE);
    EncapsulationCodec::new(keys).encode(&header, &packet(SERVICE))
}

fn changed_payload() -> Vec<u8> {
    let mut datagram = forward(SERVICE, &packet(SERVICE));
    if let Some(last) = datagram.last_mut() {
        *last ^= 1;
    }
    datagram
}

/// Returns a datagram of a kind that only entries receive.
fn returned() -> Vec<u8> {
    EncapsulationCodec::new(ring()).encode(&header(DatagramKind::Return, SERVICE), b"x")
}

fn control(payload: &[u8]) -> Vec<u8> {
    EncapsulationCodec::new(ring()).encode(&header(DatagramKind::Control, SERVICE), payload)
}

fn heartbeat_of_another_service() -> Vec<u8> {
    let heartbeat = PeerHeartbeat {
        service: OTHER_SERVICE,
        target: TargetId(2),
        incarnation: Incarnation(1),
        sequence: 1,
        lifecycle: Lifecycle::Serving,
        capacity_milli: 1_000,
        demand_milli: 0,
        queue_wait_ms: 0,
        long_wait_ms: 0,
        flow_count: 0,
        key_issue_ms: 0,
        heard: Vec::new(),
    };
    control(
        &encode_control(&ControlMessage::PeerHeartbeat(heartbeat)).expect("fits in one datagram"),
    )
}

/// Fails if an agent accepts a datagram that is forged, malformed or of another service, or if it
/// counts the datagram under a wrong result code.
#[rstest]
#[case::forged(forged(), ResultCode::DatagramForged)]
#[case::changed_payload(changed_payload(), ResultCode::DatagramForged)]
#[case::too_short(vec![1; 20], ResultCode::DatagramTooShort)]
#[case::empty(Vec::new(), ResultCode::DatagramTooShort)]
#[case::wrong_service(
    forward(OTHER_SERVICE, &packet(OTHER_SERVICE)),
    ResultCode::DatagramWrongService
)]
#[case::flow_of_another_service(
    forward(SERVICE, &packet(OTHER_SERVICE)),
    ResultCode::DatagramUnknownFlow
)]
#[case::not_quic(forward(SERVICE, &[0; 100]), ResultCode::DatagramMalformed)]
#[case::unexpected_kind(returned(), ResultCode::DatagramMalformed)]
#[case::malformed_control(control(&[0xff; 40]), ResultCode::ControlMalformed)]
#[case::heartbeat_of_another_service(
    heartbeat_of_another_service(),
    ResultCode::DatagramWrongService
)]
#[actix_rt::test]
async fn a_bad_datagram_is_counted(#[case] datagram: Vec<u8>, #[case] code: ResultCode) {
    let cluster = cluster(1, 1).await;
    let agent = &cluster.agents[0];
    let sender = UdpSocket::bind("127.0.0.1:0").await.expect("socket");

    sender
        .send_to(&datagram, agent.agent_address())
        .await
        .expect("send");
    wait_until("the datagram is dropped", || {
        agent.counters().dropped(code) == 1
    })
    .await;

    assert_eq!(agent.counters().drops, vec![(code, 1)]);
    let outcome = cluster.client("buyer").get("/lots/1").await;
    assert_eq!(outcome, Outcome::Answered { status: 200 });
}
