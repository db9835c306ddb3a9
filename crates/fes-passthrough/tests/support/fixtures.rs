//! Fixtures: routes, targets and packets.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use fes_passthrough::FlowKey;
use fes_passthrough::FlowRequirements;
use fes_passthrough::FlowUse;
use fes_passthrough::Hello;
use fes_passthrough::LoadReport;
use fes_passthrough::Message;
use fes_passthrough::Priority;
use fes_passthrough::Route;
use fes_passthrough::RouteSet;
use fes_passthrough::Segment;
use fes_passthrough::Sender;
use fes_passthrough::ServiceTag;
use fes_passthrough::TargetHint;
use fes_passthrough::TargetRecord;
use fes_passthrough::TargetState;
use fes_passthrough::WeightedService;
use fes_protocol::DataCentreName;
use fes_protocol::UpstreamName;

pub const SERVICE: ServiceTag = ServiceTag(7);
pub const OTHER_SERVICE: ServiceTag = ServiceTag(8);

pub fn stream_address() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}

pub fn once_address() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 80)
}

pub fn vm(index: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 1, 0, u8::try_from(index).expect("small index") + 1)
}

pub fn entry_vm(index: usize) -> Ipv4Addr {
    let index = u32::try_from(index).expect("small index");
    Ipv4Addr::from(u32::from(Ipv4Addr::new(10, 2, 0, 1)) + index)
}

pub fn flow(port: u16, destination: SocketAddrV4) -> FlowKey {
    FlowKey {
        client: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), port),
        destination,
    }
}

pub fn requirements(flow_use: FlowUse, latency_goal_ms: u32, timeout_ms: u32) -> FlowRequirements {
    FlowRequirements {
        flow_use,
        latency_goal_ms,
        timeout_ms,
        priority: Priority::LOWEST,
    }
}

pub fn routes(version: u64, service: ServiceTag) -> RouteSet {
    let route = |destination, flow_use| Route {
        destination,
        requirements: requirements(flow_use, 200, 1_000),
        services: vec![WeightedService { service, weight: 1 }],
    };
    let both = [
        route(stream_address(), FlowUse::Stream),
        route(once_address(), FlowUse::NonRepeatable),
    ];
    RouteSet {
        version,
        idle_timeout_ms: 15_000,
        routes: both.into_iter().map(|r| (r.destination, r)).collect(),
        ..RouteSet::default()
    }
}

pub fn target(index: usize, revision: u64) -> TargetRecord {
    TargetRecord {
        id: UpstreamName::from(format!("t-{index}")),
        service: SERVICE,
        vm: vm(index),
        data_centre: DataCentreName::from("a"),
        slots: 2,
        state: TargetState::Ready,
        started_at_ms: 1_000,
        warm_up_ms: 0,
        revision,
        created_revision: 1,
        writes: 0,
    }
}

/// Returns a client's packet without payload, with only the ACK flag set.
pub fn client_segment(flow: FlowKey) -> Segment {
    Segment {
        flow,
        sender: Sender::Client,
        is_syn: false,
        is_ack: true,
        is_fin: false,
        is_reset: false,
        is_failure: false,
        is_returned: false,
        sequence: 1,
        acknowledged: 0,
        payload_bytes: 0,
    }
}

pub fn opening(flow: FlowKey) -> Segment {
    Segment {
        is_syn: true,
        is_ack: false,
        ..client_segment(flow)
    }
}

/// Returns the hello of an entry, by which an agent learns the slots of its target.
pub fn hello(slots: u32) -> Message {
    Message::Hello(Hello {
        incarnation: 1,
        report_period_ms: 100,
        target: Some(TargetHint {
            id: "t-0".into(),
            service: SERVICE,
            started_at_ms: 1_000,
            state: TargetState::Ready,
            slots,
            revision: 1,
        }),
        warm_up: None,
    })
}

/// Returns the report of an agent whose target runs nothing.
pub fn idle_report() -> LoadReport {
    LoadReport {
        incarnation: 1,
        service: SERVICE,
        started_at_ms: 1_000,
        running: 0,
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
