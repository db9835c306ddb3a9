//! Measures the decisions of an entry about pass-through flows.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use fes_passthrough::EntryCore;
use fes_passthrough::FlowKey;
use fes_passthrough::FlowRequirements;
use fes_passthrough::FlowUse;
use fes_passthrough::ListChange;
use fes_passthrough::LoadReport;
use fes_passthrough::Message;
use fes_passthrough::Priority;
use fes_passthrough::Route;
use fes_passthrough::RouteSet;
use fes_passthrough::Segment;
use fes_passthrough::Sender;
use fes_passthrough::ServiceTag;
use fes_passthrough::TargetRecord;
use fes_passthrough::TargetState;
use fes_passthrough::WeightedService;
use fes_protocol::DataCentreName;
use fes_protocol::MonoTime;

use super::DesignSize;
use super::Point;
use super::Slope;
use super::measurement::ns_per_call;

const SERVICE_COUNTS: [u32; 4] = [150, 300, 600, 1_200];

/// Open flows per entry at the design size.
const FLOWS: usize = 7_089;

const DECISIONS: usize = 100_000;
const OPENINGS: usize = 5_000;
const PACKET: [u8; 40] = [0; 40];

pub(super) fn slopes(design: &DesignSize) -> Vec<Slope> {
    let per_service = design.targets_per_service();
    let mut established = Vec::new();
    let mut opening = Vec::new();
    for services in SERVICE_COUNTS {
        let targets = (f64::from(services) * per_service).round() as u32;
        let mut entry = entry(services, targets);
        let point = |cost| Point {
            size: f64::from(targets),
            cost,
        };
        opening.push(point(opening_ns(&mut entry, services)));
        established.push(point(established_ns(&mut entry, services)));
    }
    vec![
        Slope::new("pass_through_established", "targets", "ns", established),
        Slope::new("pass_through_opening", "targets", "ns", opening),
    ]
}

/// Creates an entry that knows all routes and targets and has received a load report from every
/// agent.
fn entry(services: u32, targets: u32) -> EntryCore {
    let now = MonoTime::from_ms(1);
    let own = Ipv4Addr::new(10, 200, 0, 1);
    let mut entry = EntryCore::new(1, own, DataCentreName::from("north-1"), &[]);
    let mut changes: Vec<ListChange> = (0..targets)
        .map(|target| ListChange::Target(record(target, services)))
        .collect();
    changes.push(ListChange::Routes(routes(services)));
    let mut out = Vec::new();
    entry.on_listing(now, changes, 1, &mut out);
    entry.view_mut().confirm(now, 1);
    for target in 0..targets {
        let report = Message::Load(report(target, services));
        entry.on_message(now, vm(target), &report, &[], &mut out);
    }
    entry
}

/// Returns the time of a decision about a packet of an established flow, in nanoseconds.
fn established_ns(entry: &mut EntryCore, services: u32) -> f64 {
    let now = MonoTime::from_ms(2);
    let mut out = Vec::new();
    for flow in 0..FLOWS {
        let segment = segment(flow, services, true);
        entry.on_client_packet(now, &segment, &PACKET, &mut out);
        // Only one target was tried, so the next packet of the client confirms it as the owner.
        let segment = self::segment(flow, services, false);
        entry.on_client_packet(now, &segment, &PACKET, &mut out);
    }
    ns_per_call(DECISIONS, |call| {
        out.clear();
        // The stride spreads successive calls over the flows.
        let segment = segment(call.wrapping_mul(7_919) % FLOWS, services, false);
        entry.on_client_packet(now, &segment, &PACKET, &mut out);
        out.len()
    })
}

/// Returns the time to place a new flow, in nanoseconds.
fn opening_ns(entry: &mut EntryCore, services: u32) -> f64 {
    let now = MonoTime::from_ms(2);
    let mut out = Vec::new();
    let mut next = FLOWS;
    ns_per_call(OPENINGS, |_| {
        out.clear();
        next += 1;
        let segment = segment(next, services, true);
        entry.on_client_packet(now, &segment, &PACKET, &mut out);
        out.len()
    })
}

fn segment(flow: usize, services: u32, is_syn: bool) -> Segment {
    let number = u32::try_from(flow).unwrap_or(u32::MAX);
    Segment {
        flow: FlowKey {
            client: SocketAddrV4::new(Ipv4Addr::from(0x6440_0000 | number), 40_001),
            destination: address(number.wrapping_mul(31) % services),
        },
        sender: Sender::Client,
        is_syn,
        is_ack: !is_syn,
        is_fin: false,
        is_reset: false,
        is_failure: false,
        is_returned: false,
        sequence: 1,
        acknowledged: 0,
        payload_bytes: 0,
    }
}

fn routes(services: u32) -> RouteSet {
    let route = |service| Route {
        destination: address(service),
        requirements: FlowRequirements {
            flow_use: FlowUse::NonRepeatable,
            latency_goal_ms: 200,
            timeout_ms: 2_000,
            priority: Priority::default(),
        },
        services: vec![WeightedService {
            service: tag(service),
            weight: 1,
        }],
    };
    RouteSet {
        version: 1,
        idle_timeout_ms: 15_000,
        routes: (0..services)
            .map(|service| (address(service), route(service)))
            .collect(),
        ..RouteSet::default()
    }
}

fn record(target: u32, services: u32) -> TargetRecord {
    let data_centre = match target / services % 3 {
        0 => "north-1",
        1 => "north-2",
        _ => "south-1",
    };
    TargetRecord {
        id: format!("t-{target}").into(),
        service: tag(target % services),
        vm: vm(target),
        data_centre: DataCentreName::from(data_centre),
        slots: 1 + target % 4,
        state: TargetState::Ready,
        started_at_ms: 1,
        warm_up_ms: 0,
        revision: 1,
        created_revision: 1,
        writes: 0,
    }
}

fn report(target: u32, services: u32) -> LoadReport {
    LoadReport {
        incarnation: 1,
        service: tag(target % services),
        started_at_ms: 1,
        running: target % 3,
        waiting: 0,
        streams: 0,
        flows: 0,
        failures_per_mille: 0,
        is_complete: true,
        is_silent: false,
        is_leaving: false,
        run_time_us: 0,
        supports_priority: false,
    }
}

fn address(service: u32) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(0xc612_0000 | service), 443)
}

fn vm(target: u32) -> Ipv4Addr {
    Ipv4Addr::from(0x0a01_0000 | target)
}

const fn tag(service: u32) -> ServiceTag {
    ServiceTag(service as u64)
}
