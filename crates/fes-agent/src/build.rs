//! Builds the shared state of an agent from its settings.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use fes_admission::AdmissionController;
use fes_admission::AdmissionSettings;
use fes_admission::ClassName;
use fes_idempotency::Coordinator;
use fes_idempotency::KeyOwner;
use fes_idempotency::ResponseMatcher;
use fes_idempotency::StoreLimits;
use fes_kernel::Kernel;
use fes_kernel::KernelDriver;
use fes_kernel::ProcessClock;
use fes_link::LinkPool;
use fes_link::ResultCodeCounters;
use fes_link::TaskSet;
use fes_membership::AgentIdentity;
use fes_membership::PeerTable;
use fes_membership::lifecycle::LifecycleMachine;
use fes_membership::lifecycle::LifecycleSettings;
use fes_membership::lifecycle::Role;
use fes_node::LifecycleComponent;
use fes_node::TicketHost;
use fes_node::TicketsComponent;
use fes_protocol::EncapsulationCodec;
use fes_protocol::Error;
use fes_protocol::Incarnation;
use fes_protocol::KeyRing;
use fes_protocol::MonoTime;
use fes_protocol::NodeId;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use fes_protocol::SecretKey;
use fes_routing::AgentIngress;
use fes_routing::OffloadPlanner;
use fes_routing::OffloadSettings;
use fes_routing::PlacementHasher;
use fes_routing::Router;
use fes_settings::AgentSettings;
use fes_telemetry::Health;
use fes_telemetry::Tracer;
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;

use crate::context::AgentContext;
use crate::decisions::AgentMessage;
use crate::decisions::IDEMPOTENCY;
use crate::decisions::IdempotencyComponent;
use crate::decisions::PeersComponent;
use crate::decisions::SchedulerComponent;
use crate::decisions::SchedulerStatus;
use crate::quic::ControlDatagram;
use crate::quic::EncapsulatedSocket;
use crate::quic::IngressState;
use crate::quic::SharedKeys;
use crate::quic::make_endpoint;
use crate::request::RequestTable;
use crate::upstream::Upstream;

/// Number of finished spans kept in memory.
const RECENT_SPANS: usize = 256;

/// State that kernel components share with the host.
struct ComponentState {
    coordinator: Rc<RefCell<Coordinator>>,
    scheduler_status: Rc<RefCell<SchedulerStatus>>,
    peers: Rc<RefCell<PeerTable>>,
}

/// Binds the agent's UDP socket and builds its shared state.
pub(crate) fn build_context(
    settings: AgentSettings,
    links: LinkPool,
    control: UnboundedSender<ControlDatagram>,
) -> Result<Rc<AgentContext>> {
    let clock = ProcessClock::start();
    let ring = settings.node.keys.initial_ring();
    let drops = Arc::new(ResultCodeCounters::default());
    let socket = bind_socket(&settings, clock, &ring, &drops, control)?;
    let keys = SharedKeys::new(&ring);
    let endpoint = make_endpoint(
        Arc::clone(&socket),
        &keys,
        settings.service,
        settings.target,
        &settings.client_tls,
    )?;
    // Incarnation 0 is reserved for "none seen yet".
    let incarnation = Incarnation(rand::random::<u64>().max(1));
    let limits = StoreLimits {
        max_keys: settings.key_limit as usize,
        max_responses_bytes: usize::try_from(settings.response_store_bytes).unwrap_or(usize::MAX),
        ..StoreLimits::default()
    };
    let component_state = make_component_state(&settings, clock, incarnation, ring, limits);
    let tickets = TicketHost::new(
        clock.now(),
        NodeId::Agent(settings.target),
        &settings.node,
        links.clone(),
        rand::random(),
    );
    let kernel = make_kernel(&settings, clock, &component_state, &tickets);
    Ok(Rc::new(AgentContext {
        upstream: Upstream::new(settings.upstream_address),
        tickets,
        links,
        requests: RequestTable::default(),
        matcher: RefCell::new(ResponseMatcher::new(incarnation)),
        coordinator: component_state.coordinator,
        scheduler_status: component_state.scheduler_status,
        peers: component_state.peers,
        service: RefCell::default(),
        health: Health::default(),
        metrics: Arc::default(),
        tracer: make_tracer(&settings)?,
        exported: RefCell::default(),
        exit_status: watch::Sender::new(None),
        cut_off: watch::Sender::new(false),
        closed: watch::Sender::new(false),
        counters: Default::default(),
        answer_codes: ResultCodeCounters::default(),
        drops,
        digest_secret: SecretKey::new(rand::random()),
        max_stored_response_bytes: limits.max_response_bytes,
        peer_links: RefCell::default(),
        draining: watch::Sender::new(false),
        work_ended: Notify::new(),
        flows_open: Cell::new(0),
        streams_open: Cell::new(0),
        handshakes_open: Cell::new(0),
        buffered_bytes: Cell::new(0),
        last_connection: Cell::new(0),
        tasks: TaskSet::default(),
        driver: KernelDriver::new(kernel, clock),
        settings,
        incarnation,
        socket,
        endpoint,
        keys,
    }))
}

fn make_tracer(settings: &AgentSettings) -> Result<Tracer> {
    let tracer = Tracer::disabled().with_recent_spans(RECENT_SPANS);
    match &settings.node.otlp_endpoint {
        Some(endpoint) => tracer.with_otlp(endpoint, &format!("agent-{}", settings.target)),
        None => Ok(tracer),
    }
}

fn bind_socket(
    settings: &AgentSettings,
    clock: ProcessClock,
    ring: &KeyRing,
    drops: &Arc<ResultCodeCounters>,
    control: UnboundedSender<ControlDatagram>,
) -> Result<Arc<EncapsulatedSocket>> {
    let udp = fes_link::bind_udp(settings.agent_address)?;
    let placement = PlacementHasher::new(ring.current().clone());
    let state = IngressState::new(
        EncapsulationCodec::new(ring.clone()),
        Router::new(Arc::default(), ring),
        AgentIngress::new(settings.service, settings.target, placement),
    );
    let socket = EncapsulatedSocket::new(
        udp,
        settings.service,
        settings.target,
        clock,
        state,
        Arc::clone(drops),
        control,
    );
    let read_failed = |e| Error::io(ResultCode::BindFailed, "reading the agent's address", e);
    socket.map(Arc::new).map_err(read_failed)
}

fn make_component_state(
    settings: &AgentSettings,
    clock: ProcessClock,
    incarnation: Incarnation,
    ring: KeyRing,
    limits: StoreLimits,
) -> ComponentState {
    let owner = KeyOwner {
        service: settings.service,
        target: settings.target,
        incarnation,
    };
    let identity = AgentIdentity {
        service: settings.service,
        target: settings.target,
        incarnation,
        data_centre: settings.node.data_centre.clone(),
    };
    ComponentState {
        coordinator: Rc::new(RefCell::new(Coordinator::new(owner, ring, limits))),
        scheduler_status: Rc::default(),
        peers: Rc::new(RefCell::new(PeerTable::new(clock.now(), identity))),
    }
}

fn make_kernel(
    settings: &AgentSettings,
    clock: ProcessClock,
    component_state: &ComponentState,
    tickets: &TicketHost,
) -> Kernel<AgentMessage> {
    let lifecycle = LifecycleSettings {
        drain_bound_ms: settings.drain_bound_ms,
        ..LifecycleSettings::default()
    };
    let machine = LifecycleMachine::new(Role::Agent, lifecycle);
    let planner = OffloadPlanner::new(OffloadSettings::new(settings.target, rand::random()));
    let admission = AdmissionController::new(clock.now(), admission_settings(settings));
    let scheduler_status = Rc::clone(&component_state.scheduler_status);
    let mut kernel = Kernel::new();
    kernel.register(SchedulerComponent::new(
        admission,
        planner,
        scheduler_status,
    ));
    kernel.register(IdempotencyComponent::new(Rc::clone(
        &component_state.coordinator,
    )));
    kernel.register(PeersComponent::new(Rc::clone(&component_state.peers)));
    kernel.register(TicketsComponent::new(Rc::clone(tickets.distribution())));
    kernel.register(LifecycleComponent::new(machine));
    kernel.set_timer(
        MonoTime::ZERO,
        IDEMPOTENCY,
        IdempotencyComponent::INITIAL_TIMER,
    );
    kernel
}

fn admission_settings(settings: &AgentSettings) -> AdmissionSettings {
    let mut admission = AdmissionSettings::for_slots(settings.slots);
    admission.queue_capacity = settings.queue_limit_requests as usize;
    let priors = settings.class_priors.iter();
    priors.fold(admission, |admission, prior| {
        let class = ClassName::from(prior.class.as_str());
        admission.with_prior(class, prior.mean_ms.saturating_mul(1_000))
    })
}
