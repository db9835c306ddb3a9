//! Measures the route tables and routing decisions of an entry.

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
use fes_routing::AllAlive;
use fes_routing::RouteTable;
use fes_routing::Router;
use serde::Serialize;

use super::DesignSize;
use super::Point;
use super::Slope;
use super::measurement::ns_per_call;
use super::resident_memory::bytes_per_value;

const SERVICE_COUNTS: [u32; 4] = [150, 300, 600, 1_200];
const DECISIONS: usize = 200_000;
const REBUILDS: usize = 5;

/// Flows that the measurement of decisions cycles through; too many for the processor caches.
const FLOWS: usize = 65_536;

/// Cost of a routing decision at 8,000 targets and 1,200 services, in nanoseconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct DecisionCost {
    /// Decision about a datagram of an established flow.
    pub established_ns: f64,
    /// Decision about the first packet of a flow.
    pub first_packet_ns: f64,
}

/// Measures the cost of a routing decision at the design size.
#[must_use]
pub fn decision_cost() -> DecisionCost {
    let design = DesignSize::required();
    let specs = service_specs(design.services as u32, design.targets_per_service());
    let router = Router::new(Arc::new(build(&RouteTable::default(), &specs)), &keys());
    DecisionCost {
        established_ns: established_ns(&router, &specs),
        first_packet_ns: first_packet_ns(&router, &specs),
    }
}

pub(super) fn slopes(design: &DesignSize) -> Vec<Slope> {
    let per_service = design.targets_per_service();
    let mut memory = Vec::new();
    let mut established = Vec::new();
    let mut first_packet = Vec::new();
    let mut full_rebuild = Vec::new();
    let mut one_change = Vec::new();
    for services in SERVICE_COUNTS {
        let specs = service_specs(services, per_service);
        let targets = specs.iter().map(|spec| spec.upstreams.len()).sum::<usize>() as f64;
        let table = build(&RouteTable::default(), &specs);
        let router = Router::new(Arc::new(table.clone()), &keys());
        let point = |cost| Point {
            size: targets,
            cost,
        };
        memory.push(point(bytes_per_value(|| {
            build(&RouteTable::default(), &specs)
        })));
        established.push(point(established_ns(&router, &specs)));
        first_packet.push(point(first_packet_ns(&router, &specs)));
        let full_ns = ns_per_call(REBUILDS, |_| build(&RouteTable::default(), &specs));
        full_rebuild.push(point(full_ns / 1e3));
        one_change.push(point(one_change_us(&table, &specs)));
    }
    vec![
        Slope::new("route_table_memory", "targets", "bytes", memory),
        Slope::new("decision_established", "targets", "ns", established),
        Slope::new("decision_first_packet", "targets", "ns", first_packet),
        Slope::new("route_table_full_rebuild", "targets", "us", full_rebuild),
        Slope::new("route_table_one_change", "targets", "us", one_change),
    ]
}

/// Returns service specifications with `per_service` targets on average.
pub(super) fn service_specs(services: u32, per_service: f64) -> Vec<Arc<ServiceSpec>> {
    let first_target = |service: u32| (f64::from(service) * per_service).round() as u32;
    let spec = |service: u32| {
        let targets = first_target(service)..first_target(service + 1);
        Arc::new(ServiceSpec {
            id: ServiceId(service),
            name: format!("service-{service}").into(),
            state: ServiceState::Active,
            addresses: vec![address(service)],
            data_centres: vec!["north-1".into(), "north-2".into(), "south-1".into()],
            upstreams: targets.map(upstream).collect(),
        })
    };
    (0..services).map(spec).collect()
}

fn upstream(target: u32) -> UpstreamSpec {
    UpstreamSpec {
        target: TargetId(target),
        name: format!("upstream-{target}").into(),
        vm: format!("vm-{target}").into(),
        data_centre: "north-1".into(),
        agent_address: address(target),
        link_address: address(target),
        slots: 1 + target % 4,
        state: UpstreamState::Active,
    }
}

fn address(number: u32) -> SocketAddr {
    let [_, a, b, c] = number.to_be_bytes();
    SocketAddr::from(([10, a, b, c], 4_433))
}

fn keys() -> KeyRing {
    KeyRing::new(KeyEpoch(0), SecretKey::new([7; 16]))
}

fn build(previous: &RouteTable, specs: &[Arc<ServiceSpec>]) -> RouteTable {
    let objects = specs.iter().map(|spec| (TicketNumber(1), Arc::clone(spec)));
    RouteTable::rebuild(previous, MonoTime::ZERO, objects)
}

/// Returns the time to rebuild the table after a change of one service, in microseconds.
fn one_change_us(table: &RouteTable, specs: &[Arc<ServiceSpec>]) -> f64 {
    let changed = |index: usize| {
        let objects = specs.iter().enumerate().map(|(position, spec)| {
            let number = if position == index { 2 } else { 1 };
            (TicketNumber(number), Arc::clone(spec))
        });
        RouteTable::rebuild(table, MonoTime::ZERO, objects)
    };
    ns_per_call(REBUILDS, changed) / 1e3
}

fn established_ns(router: &Router, specs: &[Arc<ServiceSpec>]) -> f64 {
    let flows: Vec<(ServiceId, [u8; 64])> = (0..FLOWS)
        .map(|flow| {
            let spec = &specs[flow * 31 % specs.len()];
            let upstream = &spec.upstreams[flow % spec.upstreams.len()];
            let id = RoutableId {
                service: spec.id,
                target: upstream.target,
                nonce: flow as u64,
            };
            // A short header, then the connection ID.
            let mut datagram = [0x40; 64];
            datagram[1..18].copy_from_slice(&router.connection_ids().encode(id, 0));
            (spec.id, datagram)
        })
        .collect();
    ns_per_call(DECISIONS, |call| {
        // The stride spreads successive calls over the flows.
        let (service, datagram) = &flows[call.wrapping_mul(7_919) % FLOWS];
        router.decide(*service, datagram, &AllAlive)
    })
}

fn first_packet_ns(router: &Router, specs: &[Arc<ServiceSpec>]) -> f64 {
    ns_per_call(DECISIONS, |call| {
        // The long header of an Initial packet of QUIC version 1, with a connection ID of 8 bytes
        // that Knuth's multiplicative hash makes different for each call.
        let mut datagram = [0; 64];
        datagram[..6].copy_from_slice(&[0xc0, 0, 0, 0, 1, 8]);
        datagram[6..14].copy_from_slice(&call.wrapping_mul(2_654_435_761).to_be_bytes());
        router.decide(specs[call % specs.len()].id, &datagram, &AllAlive)
    })
}
