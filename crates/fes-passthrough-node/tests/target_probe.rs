//! Probe of a draining target, with a listener in the target's place.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;

use fes_passthrough_node::TargetProbe;
use tokio::net::TcpListener;

async fn listener() -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("a free port");
    match listener.local_addr().expect("bound") {
        SocketAddr::V4(address) => (listener, address),
        SocketAddr::V6(_) => unreachable!("bound to an IPv4 address"),
    }
}

/// Guards against searches that wait for the agent of a target that has ended.
#[actix_rt::test]
async fn a_target_that_refuses_connections_after_it_accepted_them_has_ended() {
    let (target, address) = listener().await;
    let probe = TargetProbe::new(address);
    probe.observe().await;
    let before = probe.has_ended().await;
    drop(target);

    let after = probe.has_ended().await;

    assert_eq!((before, after), (false, true));
}

/// Guards against resets of open flows whose target never accepts connections but runs.
#[actix_rt::test]
async fn a_target_that_never_accepted_connections_is_not_taken_to_have_ended() {
    let (target, address) = listener().await;
    drop(target);
    let probe = TargetProbe::new(address);
    probe.observe().await;

    let has_ended = probe.has_ended().await;

    assert!(!has_ended);
}
