//! Datagrams that an entry must forward, and those that it must drop and count.

use std::net::SocketAddr;
use std::sync::Arc;

use fes_entry::Entry;
use fes_entry::EntryHandle;
use fes_protocol::ConnectionIdCodec;
use fes_protocol::DatagramKind;
use fes_protocol::Encapsulation;
use fes_protocol::EncapsulationCodec;
use fes_protocol::EntryId;
use fes_protocol::KeyEpoch;
use fes_protocol::KeyRing;
use fes_protocol::ResultCode;
use fes_protocol::RoutableId;
use fes_protocol::SecretKey;
use fes_protocol::ServiceId;
use fes_protocol::ServiceSpec;
use fes_protocol::ServiceState;
use fes_protocol::TargetId;
use fes_protocol::Ticket;
use fes_protocol::TicketNumber;
use fes_protocol::TicketObject;
use fes_protocol::UpstreamSpec;
use fes_protocol::UpstreamState;
use fes_settings::EntrySettings;
use fes_settings::ListenSettings;
use fes_settings::NodeSettings;
use fes_testkit::CertificateAuthority;
use fes_testkit::secret_keys;
use fes_testkit::wait_until;
use rstest::rstest;
use tokio::net::UdpSocket;

const SERVICE: ServiceId = ServiceId(1);
const OTHER_SERVICE: ServiceId = ServiceId(2);
const KEY_SEED: u64 = 7;
const MAX_BYTES: usize = 1_372;

struct Fixture {
    entry: EntryHandle,
    /// Socket in place of the agent of target 1.
    agent: UdpSocket,
    client: UdpSocket,
}

/// Starts an entry whose service has one target.
async fn fixture() -> Fixture {
    let agent = bind().await;
    let client = bind().await;
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let node = NodeSettings::new(
        "dc".into(),
        "entry-vm".into(),
        loopback,
        secret_keys(KEY_SEED),
        CertificateAuthority::new().link_identity(),
    );
    let mut settings = EntrySettings::new(EntryId(1), node);
    for service in [SERVICE, OTHER_SERVICE] {
        settings.listen.push(ListenSettings {
            service,
            address: loopback,
        });
    }
    let entry = Entry::start(settings).await.expect("entry");
    entry.inject_ticket(Arc::new(ticket(agent.local_addr().expect("address"))));
    Fixture {
        entry,
        agent,
        client,
    }
}

fn ticket(agent_address: SocketAddr) -> Ticket {
    let upstream = UpstreamSpec {
        target: TargetId(1),
        name: "upstream-1".into(),
        vm: "vm-1".into(),
        data_centre: "dc".into(),
        agent_address,
        link_address: agent_address,
        slots: 4,
        state: UpstreamState::Active,
    };
    let service = ServiceSpec {
        id: SERVICE,
        name: "auction".into(),
        state: ServiceState::Active,
        addresses: vec![SocketAddr::from(([192, 0, 2, 1], 443))],
        data_centres: vec!["dc".into()],
        upstreams: vec![upstream],
    };
    Ticket {
        number: TicketNumber(1),
        objects: vec![TicketObject::Service(Arc::new(service))],
    }
}

async fn bind() -> UdpSocket {
    UdpSocket::bind("127.0.0.1:0").await.expect("socket")
}

fn ring() -> KeyRing {
    secret_keys(KEY_SEED).initial_ring()
}

/// Returns a short-header packet of a flow of target 1.
fn established(service: ServiceId, length_bytes: usize) -> Vec<u8> {
    let id = RoutableId {
        service,
        target: TargetId(1),
        nonce: 5,
    };
    let id = ConnectionIdCodec::new(&ring()).encode(id, 0);
    let mut datagram = vec![0; length_bytes];
    datagram[0] = 0x40;
    datagram[1..18].copy_from_slice(&id);
    datagram
}

/// Returns an Initial with a client-chosen connection ID.
fn initial() -> Vec<u8> {
    let mut datagram = vec![0; 1_200];
    datagram[..6].copy_from_slice(&[0xc0, 0, 0, 0, 1, 8]);
    datagram[6..14].copy_from_slice(b"chosenid");
    datagram
}

fn return_header(service: ServiceId, client: SocketAddr) -> Encapsulation {
    Encapsulation {
        kind: DatagramKind::Return,
        service,
        target: TargetId(1),
        entry: EntryId(1),
        ticket: TicketNumber(1),
        client,
        address_tag: 0,
        hop_count: 0,
        sent_ms: 0,
    }
}

/// Fails if a client datagram isn't forwarded to the agent that its connection ID or placement
/// selects.
#[rstest]
#[case::established(established(SERVICE, 100))]
#[case::largest(established(SERVICE, MAX_BYTES))]
#[case::first(initial())]
#[actix_rt::test]
async fn a_client_datagram_reaches_the_agent(#[case] datagram: Vec<u8>) {
    let fixture = fixture().await;
    let address = fixture.entry.service_address(SERVICE).expect("address");
    let mut buffer = [0; 2_048];

    fixture
        .client
        .send_to(&datagram, address)
        .await
        .expect("send");
    let (length, _) = fixture.agent.recv_from(&mut buffer).await.expect("receive");

    let codec = EncapsulationCodec::new(ring());
    let (header, payload) = codec.decode(&buffer[..length]).expect("encapsulated");
    assert_eq!(payload, datagram);
    assert_eq!(header.client, fixture.client.local_addr().expect("address"));
    assert_eq!((header.service, header.target), (SERVICE, TargetId(1)));
}

/// Fails if an entry forwards an invalid client datagram, or counts it under a wrong result code.
#[rstest]
#[case::oversized(established(SERVICE, MAX_BYTES + 1), ResultCode::DatagramTooLarge)]
#[case::empty(Vec::new(), ResultCode::DatagramMalformed)]
#[case::short(vec![0x40; 10], ResultCode::DatagramMalformed)]
#[case::not_quic(vec![0; 100], ResultCode::DatagramMalformed)]
#[case::of_another_service(established(OTHER_SERVICE, 100), ResultCode::DatagramUnknownFlow)]
#[case::random_id(vec![0x41; 100], ResultCode::DatagramUnknownFlow)]
#[actix_rt::test]
async fn a_bad_client_datagram_is_counted(#[case] datagram: Vec<u8>, #[case] code: ResultCode) {
    let fixture = fixture().await;
    let address = fixture.entry.service_address(SERVICE).expect("address");

    fixture
        .client
        .send_to(&datagram, address)
        .await
        .expect("send");
    wait_until("it is dropped", || {
        !fixture.entry.counters().drops.is_empty()
    })
    .await;

    assert_eq!(fixture.entry.counters().drops, vec![(code, 1)]);
    assert!(fixture.agent.try_recv_from(&mut [0; 2_048]).is_err());
}

/// Fails if a return datagram that is forged, malformed or of an unserved service reaches a client.
#[rstest]
#[case::forged(forged(), ResultCode::DatagramForged)]
#[case::other_epoch(other_epoch(), ResultCode::DatagramUnknownKeyEpoch)]
#[case::other_version(other_version(), ResultCode::DatagramWrongVersion)]
#[case::short(vec![1; 20], ResultCode::DatagramTooShort)]
#[case::unserved_service(unserved_service(), ResultCode::DatagramWrongService)]
#[actix_rt::test]
async fn a_bad_return_datagram_is_counted(#[case] datagram: Vec<u8>, #[case] code: ResultCode) {
    let fixture = fixture().await;
    let address = fixture.entry.control_address();

    fixture
        .agent
        .send_to(&datagram, address)
        .await
        .expect("send");
    wait_until("it is dropped", || {
        !fixture.entry.counters().drops.is_empty()
    })
    .await;

    assert_eq!(fixture.entry.counters().drops, vec![(code, 1)]);
    assert_eq!(fixture.entry.counters().returned, 0);
}

/// Fails if a returned datagram isn't sent from the socket of its service.
#[rstest]
#[case(SERVICE)]
#[case(OTHER_SERVICE)]
#[actix_rt::test]
async fn a_return_datagram_leaves_from_its_service(#[case] service: ServiceId) {
    let fixture = fixture().await;
    let client = fixture.client.local_addr().expect("address");
    let codec = EncapsulationCodec::new(ring());
    let datagram = codec.encode(&return_header(service, client), b"response");
    let mut buffer = [0; 2_048];

    let control = fixture.entry.control_address();
    fixture
        .agent
        .send_to(&datagram, control)
        .await
        .expect("send");
    let (length, from) = fixture
        .client
        .recv_from(&mut buffer)
        .await
        .expect("receive");

    assert_eq!(&buffer[..length], b"response");
    assert_eq!(Some(from), fixture.entry.service_address(service));
}

fn anyone() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}

fn forged() -> Vec<u8> {
    let keys = KeyRing::new(KeyEpoch(0), SecretKey::new([9; 16]));
    EncapsulationCodec::new(keys).encode(&return_header(SERVICE, anyone()), b"x")
}

fn other_epoch() -> Vec<u8> {
    let keys = KeyRing::new(KeyEpoch(2), ring().current().clone());
    EncapsulationCodec::new(keys).encode(&return_header(SERVICE, anyone()), b"x")
}

fn other_version() -> Vec<u8> {
    let mut datagram = unserved_service();
    datagram[0] = 77;
    datagram
}

fn unserved_service() -> Vec<u8> {
    EncapsulationCodec::new(ring()).encode(&return_header(ServiceId(3), anyone()), b"x")
}
