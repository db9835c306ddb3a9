//! Generators of arbitrary messages, packets and sequences of events.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use fes_passthrough::Evacuation;
use fes_passthrough::FlowKey;
use fes_passthrough::FlowRequirements;
use fes_passthrough::FlowUse;
use fes_passthrough::Forward;
use fes_passthrough::ForwardMode;
use fes_passthrough::Hello;
use fes_passthrough::KnownReader;
use fes_passthrough::LoadReport;
use fes_passthrough::Message;
use fes_passthrough::Priority;
use fes_passthrough::ReturnReason;
use fes_passthrough::Route;
use fes_passthrough::RoutesPart;
use fes_passthrough::Segment;
use fes_passthrough::Sender;
use fes_passthrough::ServiceTag;
use fes_passthrough::ServiceWarmUp;
use fes_passthrough::TargetHint;
use fes_passthrough::TargetRecord;
use fes_passthrough::TargetState;
use fes_passthrough::TargetsPart;
use fes_passthrough::ViewDigest;
use fes_passthrough::WarmUpHint;
use fes_passthrough::WeightedService;
use fes_protocol::DataCentreName;
use fes_protocol::UpstreamName;
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::BoxedStrategy;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;

use crate::support::fixtures::SERVICE;
use crate::support::fixtures::entry_vm;
use crate::support::fixtures::flow;
use crate::support::fixtures::stream_address;
use crate::support::fixtures::vm;

/// An event of a sequence.
#[derive(Debug, Clone)]
pub enum Event {
    Message(Ipv4Addr, Box<Message>, Option<Segment>),
    Packet(Segment),
    Tick(u64),
}

/// Numbers with their extremes, which random values rarely hit.
fn number() -> impl Strategy<Value = u64> {
    prop_oneof![Just(0), Just(1), Just(u64::MAX), 0..100_u64, any::<u64>()]
}

fn small_number() -> impl Strategy<Value = u32> {
    prop_oneof![Just(0), Just(1), Just(u32::MAX), 0..10_u32, any::<u32>()]
}

fn any_vm() -> impl Strategy<Value = Ipv4Addr> {
    prop_oneof![
        (0..4_usize).prop_map(vm),
        (0..4_usize).prop_map(entry_vm),
        any::<u32>().prop_map(Ipv4Addr::from),
    ]
}

fn any_flow() -> impl Strategy<Value = FlowKey> {
    (1..6_u16).prop_map(|port| flow(port, stream_address()))
}

fn any_service() -> impl Strategy<Value = ServiceTag> {
    prop_oneof![Just(SERVICE), number().prop_map(ServiceTag)]
}

fn any_use() -> impl Strategy<Value = FlowUse> {
    prop_oneof![
        Just(FlowUse::Stream),
        Just(FlowUse::Repeatable),
        Just(FlowUse::NonRepeatable)
    ]
}

fn any_requirements() -> impl Strategy<Value = FlowRequirements> {
    (any_use(), small_number(), small_number()).prop_map(|(flow_use, goal, timeout)| {
        FlowRequirements {
            flow_use,
            latency_goal_ms: goal,
            timeout_ms: timeout,
            priority: Priority(timeout as u8),
        }
    })
}

fn any_route() -> BoxedStrategy<Route> {
    let address = prop_oneof![
        Just(stream_address()),
        any::<(u32, u16)>().prop_map(|(ip, port)| SocketAddrV4::new(ip.into(), port)),
    ];
    let service = (any_service(), small_number())
        .prop_map(|(service, weight)| WeightedService { service, weight });
    (address, any_requirements(), vec(service, 0..3))
        .prop_map(|(destination, requirements, services)| Route {
            destination,
            requirements,
            services,
        })
        .boxed()
}

fn any_state() -> impl Strategy<Value = TargetState> {
    prop_oneof![Just(TargetState::Ready), Just(TargetState::Draining)]
}

fn any_record() -> BoxedStrategy<TargetRecord> {
    let times = (number(), small_number(), number(), number());
    (any_vm(), any_service(), any_state(), small_number(), times)
        .prop_map(
            |(
                vm,
                service,
                state,
                slots,
                (started_at_ms, warm_up_ms, revision, created_revision),
            )| {
                TargetRecord {
                    id: UpstreamName::from(format!("t-{vm}")),
                    service,
                    vm,
                    data_centre: DataCentreName::from("a"),
                    slots,
                    state,
                    started_at_ms,
                    warm_up_ms,
                    revision,
                    created_revision,
                    writes: 0,
                }
            },
        )
        .boxed()
}

fn any_hello() -> BoxedStrategy<Message> {
    let hint = (
        any_service(),
        number(),
        any_state(),
        small_number(),
        number(),
    );
    let warm_up = (small_number(), small_number());
    (
        number(),
        small_number(),
        option::of(hint),
        option::of(warm_up),
    )
        .prop_map(|(incarnation, period, hint, warm_up)| {
            Message::Hello(Hello {
                incarnation,
                report_period_ms: period,
                target: hint.map(
                    |(service, started_at_ms, state, slots, revision)| TargetHint {
                        id: UpstreamName::from("t-0"),
                        service,
                        started_at_ms,
                        state,
                        slots,
                        revision,
                    },
                ),
                warm_up: warm_up.map(|(remaining_ms, max_openings_per_s)| WarmUpHint {
                    remaining_ms,
                    max_openings_per_s,
                }),
            })
        })
        .boxed()
}

fn any_load() -> BoxedStrategy<Message> {
    let counts = (
        small_number(),
        small_number(),
        small_number(),
        small_number(),
    );
    let flags = any::<(bool, bool, bool)>();
    (number(), any_service(), number(), counts, flags)
        .prop_map(
            |(
                incarnation,
                service,
                started_at_ms,
                (running, waiting, streams, failures),
                flags,
            )| {
                Message::Load(LoadReport {
                    incarnation,
                    service,
                    started_at_ms,
                    running,
                    waiting,
                    streams,
                    flows: streams,
                    failures_per_mille: failures,
                    is_complete: flags.0,
                    is_silent: flags.1,
                    is_leaving: flags.2,
                    run_time_us: failures,
                    supports_priority: flags.0,
                })
            },
        )
        .boxed()
}

fn any_evacuation() -> impl Strategy<Value = Evacuation> {
    let name = prop_oneof![Just("a"), Just("b"), Just("")];
    (name, number(), any::<bool>()).prop_map(|(name, revision, is_in_force)| Evacuation {
        data_centre: DataCentreName::from(name),
        revision,
        is_in_force,
    })
}

fn any_view_message() -> BoxedStrategy<Message> {
    let digest = (
        number(),
        number(),
        number(),
        number(),
        any::<bool>(),
        vec(any_vm(), 0..4),
    )
        .prop_map(
            |(incarnation, revision, routes_version, age_ms, wants_newer, entries)| {
                Message::Digest(ViewDigest {
                    incarnation,
                    revision,
                    supports_eras: true,
                    routes_version,
                    age_ms,
                    wants_newer,
                    entries,
                })
            },
        );
    let routes = (
        number(),
        number(),
        small_number(),
        small_number(),
        vec(any_route(), 0..3),
        vec((any_service(), small_number()), 0..3),
    )
        .prop_map(
            |(version, idle_timeout_ms, index, count, routes, services)| {
                Message::Routes(RoutesPart {
                    version,
                    idle_timeout_ms,
                    index,
                    count,
                    routes,
                    services: services
                        .into_iter()
                        .map(|(service, openings_per_1000_s)| ServiceWarmUp {
                            service,
                            openings_per_1000_s,
                        })
                        .collect(),
                })
            },
        );
    let position = (
        number(),
        number(),
        number(),
        number(),
        small_number(),
        small_number(),
    );
    let removed = any_vm().prop_map(|vm| UpstreamName::from(format!("t-{vm}")));
    let targets = (
        position,
        vec(any_record(), 0..3),
        vec((removed, number()), 0..2),
        option::of(vec(any_evacuation(), 0..3)),
    )
        .prop_map(
            |(
                (revision, after_revision, routes_version, age_ms, index, count),
                targets,
                removed,
                evacuations,
            )| {
                Message::Targets(TargetsPart {
                    revision,
                    after_revision,
                    routes_version,
                    age_ms,
                    index,
                    count,
                    targets,
                    removed,
                    evacuations,
                })
            },
        );
    prop_oneof![digest, routes, targets].boxed()
}

fn any_flow_message() -> BoxedStrategy<Message> {
    let mode = prop_oneof![
        Just(ForwardMode::Open),
        Just(ForwardMode::Owner),
        Just(ForwardMode::IfHeld)
    ];
    let reason = prop_oneof![
        Just(ReturnReason::NotAccepted),
        Just(ReturnReason::Leaving),
        Just(ReturnReason::WrongService),
        Just(ReturnReason::NotHeld),
        Just(ReturnReason::Stopping),
    ];
    let agents = || vec(any_vm(), 0..4);
    prop_oneof![
        (mode, any_service(), number(), any_requirements()).prop_map(
            |(mode, service, started_at_ms, requirements)| {
                let forward = Forward {
                    mode,
                    service,
                    started_at_ms,
                    requirements,
                };
                let priority = requirements.priority;
                match priority.0 % 2 {
                    0 => Message::Forward(forward),
                    _ => Message::ForwardWithPriority { forward, priority },
                }
            }
        ),
        (any_flow(), small_number(), number()).prop_map(|(flow, sequence, started_at_ms)| {
            Message::Opened {
                flow,
                sequence,
                started_at_ms,
            }
        }),
        (any_flow(), reason).prop_map(|(flow, reason)| Message::Returned { flow, reason }),
        (any_flow(), option::of(any_vm()))
            .prop_map(|(flow, entry)| Message::Lookup { flow, entry }),
        (any_flow(), agents()).prop_map(|(flow, agents)| Message::DelegateLookup { flow, agents }),
        (any_flow(), agents(), agents()).prop_map(|(flow, not_held_by, undetermined)| {
            Message::LookupResults {
                flow,
                not_held_by,
                undetermined,
            }
        }),
        any_flow().prop_map(|flow| Message::Undetermined { flow }),
        (any_flow(), number()).prop_map(|(flow, started_at_ms)| Message::Held {
            flow,
            started_at_ms
        }),
        any_flow().prop_map(|flow| Message::NotHeld { flow }),
        number().prop_map(|incarnation| Message::AgentStopped { incarnation }),
        number().prop_map(|incarnation| Message::TargetEnded { incarnation }),
        vec((any_vm(), number()), 0..4).prop_map(|readers| {
            let reader = |(vm, read_age_ms)| KnownReader { vm, read_age_ms };
            Message::Readers(readers.into_iter().map(reader).collect())
        }),
    ]
    .boxed()
}

pub fn any_segment(sender: Sender) -> BoxedStrategy<Segment> {
    let flags = any::<(bool, bool, bool, bool, bool, bool)>();
    (
        any_flow(),
        flags,
        small_number(),
        small_number(),
        any::<u16>(),
    )
        .prop_map(
            move |(flow, flags, sequence, acknowledged, payload_bytes)| Segment {
                flow,
                sender,
                is_syn: flags.0,
                is_ack: flags.1,
                is_fin: flags.2,
                is_reset: flags.3,
                is_failure: flags.4,
                is_returned: flags.5,
                sequence,
                acknowledged,
                payload_bytes,
            },
        )
        .boxed()
}

pub fn any_message() -> BoxedStrategy<Message> {
    prop_oneof![
        any_hello(),
        any_load(),
        any_view_message(),
        any_flow_message()
    ]
    .boxed()
}

pub fn any_event(sender: Sender) -> BoxedStrategy<Event> {
    let carried = option::of(any_segment(Sender::Client));
    prop_oneof![
        3 => (any_vm(), any_message(), carried)
            .prop_map(|(vm, message, carried)| Event::Message(vm, Box::new(message), carried)),
        2 => any_segment(sender).prop_map(Event::Packet),
        1 => prop_oneof![0..100_u64, number()].prop_map(Event::Tick),
    ]
    .boxed()
}
