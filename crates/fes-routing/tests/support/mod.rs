//! Fixtures for the tests of this crate.
#![allow(dead_code, reason = "each test file uses its own part of the fixtures")]

use std::net::SocketAddr;
use std::sync::Arc;

use fes_protocol::KeyEpoch;
use fes_protocol::KeyRing;
use fes_protocol::MonoTime;
use fes_protocol::RoutableId;
use fes_protocol::SecretKey;
use fes_protocol::ServiceId;
use fes_protocol::ServiceSpec;
use fes_protocol::ServiceState;
use fes_protocol::TargetId;
use fes_protocol::TicketNumber;
use fes_protocol::UpstreamSpec;
use fes_protocol::UpstreamState;
use fes_routing::LivenessView;
use fes_routing::RouteTable;
use fes_routing::Router;

pub fn ring() -> KeyRing {
    KeyRing::new(KeyEpoch(0), SecretKey::new([9; 16]))
}

pub fn address(target: u32) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + target as u16))
}

pub fn upstream(target: u32, state: UpstreamState) -> UpstreamSpec {
    UpstreamSpec {
        target: TargetId(target),
        name: format!("upstream-{target}").into(),
        vm: format!("vm-{target}").into(),
        data_centre: "dc1".into(),
        agent_address: address(target),
        link_address: address(target),
        slots: 4,
        state,
    }
}

pub fn service(id: u32, targets: impl IntoIterator<Item = u32>) -> Arc<ServiceSpec> {
    let upstreams = targets
        .into_iter()
        .map(|target| upstream(target, UpstreamState::Active))
        .collect();
    Arc::new(ServiceSpec {
        id: ServiceId(id),
        name: format!("service-{id}").into(),
        state: ServiceState::Active,
        addresses: vec![],
        data_centres: vec!["dc1".into()],
        upstreams,
    })
}

pub fn table(ticket: u64, services: impl IntoIterator<Item = Arc<ServiceSpec>>) -> RouteTable {
    let objects = services
        .into_iter()
        .map(|spec| (TicketNumber(ticket), spec));
    RouteTable::rebuild(&RouteTable::default(), MonoTime::ZERO, objects)
}

pub fn router(table: RouteTable) -> Router {
    Router::new(Arc::new(table), &ring())
}

/// Returns a QUIC Initial packet with this destination connection ID.
pub fn initial(id: &[u8]) -> Vec<u8> {
    let mut datagram = vec![0xc0, 0, 0, 0, 1, id.len() as u8];
    datagram.extend_from_slice(id);
    datagram.resize(1_200, 0);
    datagram
}

/// Returns a QUIC packet of an established flow whose connection ID contains the target.
pub fn established(router: &Router, service: u32, target: u32, nonce: u64) -> Vec<u8> {
    let id = RoutableId {
        service: ServiceId(service),
        target: TargetId(target),
        nonce,
    };
    let mut datagram = vec![0x40];
    datagram.extend_from_slice(&router.connection_ids().encode(id, 1));
    datagram.resize(100, 0);
    datagram
}

/// Liveness view in which the given targets are lost.
pub struct LostTargets(pub Vec<u32>);

impl LivenessView for LostTargets {
    fn accepts_new_flows(&self, _service: ServiceId, target: TargetId) -> bool {
        !self.0.contains(&target.0)
    }

    fn is_confirmed_lost(&self, _service: ServiceId, target: TargetId) -> bool {
        self.0.contains(&target.0)
    }
}
