//! Tests of the forwarding and the injected faults of the fabric double.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use fes_testkit::Fabric;
use fes_testkit::wait_until;
use tokio::net::UdpSocket;

const SEED: u64 = 7;

async fn socket() -> UdpSocket {
    UdpSocket::bind("127.0.0.1:0").await.expect("socket")
}

async fn entries(count: usize) -> (Vec<UdpSocket>, Vec<SocketAddr>) {
    let mut sockets = Vec::new();
    for _ in 0..count {
        sockets.push(socket().await);
    }
    let addresses = sockets.iter().map(|s| s.local_addr().expect("address"));
    let addresses = addresses.collect();
    (sockets, addresses)
}

async fn receive(socket: &UdpSocket) -> (Vec<u8>, SocketAddr) {
    let mut buffer = [0; 2_048];
    let (length, from) = socket.recv_from(&mut buffer).await.expect("datagram");
    (buffer[..length].to_vec(), from)
}

/// Guards against a fabric with flow affinity, which would hide all failures that occur when the
/// datagrams of a flow reach different entries.
#[actix_rt::test]
async fn datagrams_of_one_client_reach_all_entries() {
    let (sockets, addresses) = entries(3).await;
    let fabric = Fabric::start(addresses, SEED).expect("fabric");
    let client = socket().await;

    for _ in 0..64 {
        client.send_to(b"x", fabric.address()).await.expect("send");
    }

    for socket in &sockets {
        receive(socket).await;
    }
}

/// Guards against clients with the same address, and against answers to the wrong client.
#[actix_rt::test]
async fn each_client_has_its_own_address_and_gets_its_own_answer() {
    let (sockets, addresses) = entries(1).await;
    let fabric = Fabric::start(addresses, SEED).expect("fabric");
    let clients = [socket().await, socket().await];
    let mut seen = BTreeSet::new();

    for (index, client) in clients.iter().enumerate() {
        let name = [u8::try_from(index).expect("small")];
        client.send_to(&name, fabric.address()).await.expect("send");
        let (datagram, from) = receive(&sockets[0]).await;
        seen.insert(from);
        sockets[0].send_to(&datagram, from).await.expect("answer");
    }

    assert_eq!(seen.len(), 2);
    assert_eq!(receive(&clients[0]).await.0, [0]);
    assert_eq!(receive(&clients[1]).await.0, [1]);
}

/// Guards against a blackholed client whose flow still works, or that affects other clients.
#[actix_rt::test]
async fn a_blackholed_client_does_not_affect_others() {
    let (sockets, addresses) = entries(1).await;
    let fabric = Fabric::start(addresses, SEED).expect("fabric");
    let (dropped, other) = (socket().await, socket().await);
    fabric.blackhole_client(dropped.local_addr().expect("address"));

    dropped
        .send_to(b"lost", fabric.address())
        .await
        .expect("send");
    other
        .send_to(b"kept", fabric.address())
        .await
        .expect("send");

    assert_eq!(receive(&sockets[0]).await.0, b"kept");
    wait_until("the datagram is lost", || fabric.counts().lost == 1).await;
    assert_eq!(fabric.counts().forwarded, 1);
}

/// Guards against a blackholed entry whose datagrams are still forwarded.
#[actix_rt::test]
async fn a_blackholed_entry_loses_both_directions() {
    let (sockets, addresses) = entries(1).await;
    let fabric = Fabric::start(addresses.clone(), SEED).expect("fabric");
    let client = socket().await;
    client
        .send_to(b"first", fabric.address())
        .await
        .expect("send");
    let (_, from) = receive(&sockets[0]).await;

    fabric.blackhole_entry(addresses[0]);
    client
        .send_to(b"second", fabric.address())
        .await
        .expect("send");
    sockets[0].send_to(b"answer", from).await.expect("answer");

    wait_until("both are lost", || fabric.counts().lost == 2).await;
    assert_eq!(fabric.counts().returned, 0);
}

/// Guards against losses that differ between runs with the same seed.
#[actix_rt::test]
async fn losses_are_reproducible_from_the_seed() {
    let mut runs = Vec::new();
    for _ in 0..2 {
        let (_sockets, addresses) = entries(1).await;
        let fabric = Fabric::start(addresses, SEED).expect("fabric");
        fabric.set_loss_percent(50);
        let client = socket().await;
        for _ in 0..100 {
            client.send_to(b"x", fabric.address()).await.expect("send");
        }
        let handled = || fabric.counts().forwarded + fabric.counts().lost;
        wait_until("all are handled", || handled() == 100).await;
        runs.push(fabric.counts());
    }

    assert_eq!(runs[0], runs[1]);
    assert!((25..=75).contains(&runs[0].lost), "seed {SEED}: {runs:?}");
}

/// Guards against a rebound client that keeps its address or no longer receives answers.
#[actix_rt::test]
async fn a_rebound_client_has_a_new_address_and_still_receives_answers() {
    let (sockets, addresses) = entries(1).await;
    let fabric = Fabric::start(addresses, SEED).expect("fabric");
    fabric.set_delay_ms(1);
    let client = socket().await;
    client.send_to(b"x", fabric.address()).await.expect("send");
    let (_, before) = receive(&sockets[0]).await;

    fabric.rebind_client(client.local_addr().expect("address"));
    client.send_to(b"y", fabric.address()).await.expect("send");
    let (_, after) = receive(&sockets[0]).await;
    sockets[0].send_to(b"z", after).await.expect("answer");

    assert_ne!(before, after);
    assert_eq!(receive(&client).await.0, b"z");
}
