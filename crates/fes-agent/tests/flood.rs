//! Flood of QUIC handshakes that are never completed.

mod support;

use std::sync::Arc;

use fes_testkit::Outcome;
use fes_testkit::SERVER_NAME;
use fes_testkit::wait_until;
use quinn::ClientConfig;
use quinn::Endpoint;
use quinn::crypto::rustls::QuicClientConfig;
use support::Cluster;
use support::SERVICE;
use support::cluster;
use tokio::net::UdpSocket;

const FLOOD_PACKETS: u64 = 400;

fn client_config(cluster: &Cluster) -> ClientConfig {
    let mut roots = rustls::RootCertStore::empty();
    roots
        .add(cluster.authority.certificate())
        .expect("authority");
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .expect("TLS 1.3")
        .with_root_certificates(roots)
        .with_no_client_auth();
    tls.alpn_protocols = vec![b"h3".to_vec()];
    ClientConfig::new(Arc::new(QuicClientConfig::try_from(tls).expect("QUIC")))
}

/// Sends valid first packets of clients that never receive the response.
async fn flood(cluster: &Cluster) -> Vec<quinn::Connecting> {
    let receiver = UdpSocket::bind("127.0.0.1:0").await.expect("socket");
    let receiver_address = receiver.local_addr().expect("address");
    let mut endpoint = Endpoint::client(([127, 0, 0, 1], 0).into()).expect("endpoint");
    endpoint.set_default_client_config(client_config(cluster));
    let service = cluster.entries[0]
        .service_address(SERVICE)
        .expect("address");
    let mut buffer = [0; 2_048];
    // Dropping an attempt would send CONNECTION_CLOSE, which ends the handshake at the agent.
    let mut attempts = Vec::new();
    for _ in 0..FLOOD_PACKETS {
        let connecting = endpoint
            .connect(receiver_address, SERVER_NAME)
            .expect("connect");
        let (length, _) = receiver.recv_from(&mut buffer).await.expect("first packet");
        receiver
            .send_to(&buffer[..length], service)
            .await
            .expect("send");
        attempts.push(connecting);
    }
    attempts
}

/// Fails if an agent keeps state for every first packet of a flood, or if a legitimate client can't
/// connect during it.
#[actix_rt::test]
async fn a_flood_is_answered_with_retry() {
    let cluster = cluster(1, 1).await;
    let agent = &cluster.agents[0];

    let _attempts = flood(&cluster).await;
    wait_until("the flood is answered with Retry", || {
        agent.counters().retries_sent > 0
    })
    .await;
    let served = cluster.client("buyer").get("/lots/1").await;

    assert_eq!(served, Outcome::Answered { status: 200 });
    assert_eq!(agent.counters().flows_opened, 1);
}
