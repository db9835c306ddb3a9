//! State shared by the tasks of an agent.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use fes_idempotency::Answer;
use fes_idempotency::Coordinator;
use fes_idempotency::CoordinatorEvent;
use fes_idempotency::Delivery;
use fes_idempotency::RelayEvent;
use fes_idempotency::ResponseMatcher;
use fes_idempotency::ResponsePart;
use fes_idempotency::ResponseTag;
use fes_kernel::Effect;
use fes_kernel::KernelDriver;
use fes_kernel::ProcessClock;
use fes_link::LinkPool;
use fes_link::ResultCodeCounters;
use fes_link::TaskSet;
use fes_membership::PeerTable;
use fes_membership::PeerTableEvent;
use fes_membership::lifecycle::LifecycleEvent;
use fes_membership::lifecycle::WorkInProgress;
use fes_node::HOST;
use fes_node::LIFECYCLE;
use fes_node::TICKETS;
use fes_node::TicketHost;
use fes_protocol::FastMap;
use fes_protocol::Incarnation;
use fes_protocol::MonoTime;
use fes_protocol::RequestId;
use fes_protocol::ResultCode;
use fes_protocol::SecretKey;
use fes_protocol::ServiceSpec;
use fes_protocol::TargetId;
use fes_protocol::headers::KEY_PREFIX;
use fes_settings::AgentSettings;
use fes_telemetry::Health;
use fes_telemetry::Metrics;
use fes_telemetry::Tracer;
use fes_tickets::DistributionEvent;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use quinn::Endpoint;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::AgentCounters;
use crate::counters::LiveCounters;
use crate::decisions::AgentMessage;
use crate::decisions::IDEMPOTENCY;
use crate::decisions::IdempotencyEvent;
use crate::decisions::PEERS;
use crate::decisions::RequestEffect;
use crate::decisions::SCHEDULER;
use crate::decisions::SchedulerEvent;
use crate::decisions::SchedulerStatus;
use crate::quic::EncapsulatedSocket;
use crate::quic::SharedKeys;
use crate::report::ExportedCounters;
use crate::request::Exchange;
use crate::request::RequestStep;
use crate::request::RequestTable;
use crate::request::content_length;
use crate::request::run_keyed;
use crate::upstream::Upstream;

/// Shared state of an agent.
pub(crate) struct AgentContext {
    pub(crate) settings: AgentSettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) driver: KernelDriver<AgentMessage>,
    pub(crate) socket: Arc<EncapsulatedSocket>,
    pub(crate) endpoint: Endpoint,
    pub(crate) keys: SharedKeys,
    pub(crate) upstream: Upstream,
    pub(crate) links: LinkPool,
    pub(crate) requests: RequestTable,
    pub(crate) matcher: RefCell<ResponseMatcher>,
    pub(crate) coordinator: Rc<RefCell<Coordinator>>,
    pub(crate) scheduler_status: Rc<RefCell<SchedulerStatus>>,
    pub(crate) counters: LiveCounters,
    /// Requests that ended with a result code, by code.
    pub(crate) answer_codes: ResultCodeCounters,
    /// Dropped datagrams, by result code.
    pub(crate) drops: Arc<ResultCodeCounters>,
    /// Key of the request digests; random for each incarnation.
    pub(crate) digest_secret: SecretKey,
    pub(crate) max_stored_response_bytes: usize,
    /// Link addresses of the other agents of the service.
    pub(crate) peer_links: RefCell<FastMap<TargetId, SocketAddr>>,
    /// Whether the agent refuses new flows and has sent a GOAWAY on its open connections.
    pub(crate) draining: watch::Sender<bool>,
    /// Notified when a request or a flow ends.
    pub(crate) work_ended: Notify,
    pub(crate) tickets: TicketHost,
    pub(crate) peers: Rc<RefCell<PeerTable>>,
    /// The agent's service, as the applied tickets define it.
    pub(crate) service: RefCell<Option<Arc<ServiceSpec>>>,
    pub(crate) health: Health,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) tracer: Tracer,
    pub(crate) exported: RefCell<ExportedCounters>,
    /// Set when the process may exit.
    pub(crate) exit_status: watch::Sender<Option<u8>>,
    /// Set when the drain bound has passed and open work must end.
    pub(crate) cut_off: watch::Sender<bool>,
    /// Set when all client connections are closed.
    pub(crate) closed: watch::Sender<bool>,
    pub(crate) flows_open: Cell<u32>,
    /// Client requests whose response isn't completely delivered yet.
    pub(crate) streams_open: Cell<u32>,
    pub(crate) handshakes_open: Cell<u32>,
    /// Size of the buffered bodies of client requests.
    pub(crate) buffered_bytes: Cell<u64>,
    /// Number of the latest client connection; the first one is 1.
    pub(crate) last_connection: Cell<u64>,
    pub(crate) tasks: TaskSet,
}

impl AgentContext {
    pub(crate) fn now(&self) -> MonoTime {
        self.driver.now()
    }

    pub(crate) fn clock(&self) -> ProcessClock {
        self.driver.clock()
    }

    pub(crate) fn instant(&self, time: MonoTime) -> tokio::time::Instant {
        self.clock().instant(time).into()
    }

    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.tasks.spawn(task);
    }

    pub(crate) fn post_scheduler(&self, event: SchedulerEvent) {
        self.driver
            .post(HOST, SCHEDULER, AgentMessage::Scheduler(event));
    }

    pub(crate) fn post_idempotency(&self, event: IdempotencyEvent) {
        self.driver
            .post(HOST, IDEMPOTENCY, AgentMessage::Idempotency(event));
    }

    pub(crate) fn post_peers(&self, event: PeerTableEvent) {
        self.driver.post(HOST, PEERS, AgentMessage::Peers(event));
    }

    pub(crate) fn post_tickets(&self, event: DistributionEvent) {
        self.driver.post(HOST, TICKETS, event.into());
    }

    pub(crate) fn post_lifecycle(&self, event: LifecycleEvent) {
        self.driver.post(HOST, LIFECYCLE, event.into());
    }

    pub(crate) fn post_relay(&self, event: RelayEvent) {
        self.post_idempotency(IdempotencyEvent::Coordinator(CoordinatorEvent::Relay(
            event,
        )));
    }

    /// Executes an effect that a component requested from the host.
    pub(crate) fn on_effect(self: &Rc<Self>, effect: Effect<AgentMessage>) {
        match effect.body {
            AgentMessage::Request(effect) => self.on_request_effect(effect),
            AgentMessage::TicketsAction(action) => self.on_tickets_action(action),
            AgentMessage::PeersAction(action) => self.on_peers_action(action),
            AgentMessage::LifecycleAction(action) => self.on_lifecycle_action(action),
            AgentMessage::Scheduler(_)
            | AgentMessage::Idempotency(_)
            | AgentMessage::Peers(_)
            | AgentMessage::Tickets(_)
            | AgentMessage::Lifecycle(_) => {}
        }
    }

    fn on_request_effect(self: &Rc<Self>, effect: RequestEffect) {
        let id = match &effect {
            RequestEffect::Forget { id } => {
                self.requests.remove(*id);
                self.work_ended.notify_waiters();
                return;
            }
            RequestEffect::Start { id } => {
                if let Some(exchange) = self.requests.get(*id).filter(|e| e.is_keyed) {
                    self.spawn(run_keyed(Rc::clone(self), *id, exchange));
                    return;
                }
                *id
            }
            RequestEffect::Answer { id, .. }
            | RequestEffect::Relay { id, .. }
            | RequestEffect::Offload { id, .. } => *id,
        };
        self.requests.send(id, RequestStep::Effect(effect));
    }

    /// Returns the link address of another agent of the service.
    pub(crate) fn link_address(&self, target: TargetId) -> Option<SocketAddr> {
        self.peer_links.borrow().get(&target).copied()
    }

    /// Adds a fresh idempotency key prefix to the head of a response. It replaces the prefix of the
    /// agent that ran a forwarded request.
    pub(crate) fn with_key_prefix(&self, mut head: Response<()>) -> Response<()> {
        let prefix = self.coordinator.borrow_mut().issue_prefix(self.now());
        if let Ok(value) = HeaderValue::from_str(&prefix) {
            let name = HeaderName::from_static(KEY_PREFIX);
            head.headers_mut().insert(name, value);
        }
        head
    }

    /// Registers a response whose head arrived from the upstream; its body parts are matched
    /// against the returned tag.
    pub(crate) fn expect_response(
        &self,
        id: RequestId,
        exchange: &Exchange,
        head: &Response<()>,
    ) -> ResponseTag {
        let mut matcher = self.matcher.borrow_mut();
        let tag = matcher.register(exchange.inbound_stream, id);
        let body_bytes = content_length(&exchange.parts.method, head);
        matcher.receive(tag, ResponsePart::Head { body_bytes });
        tag
    }

    pub(crate) fn receive_part(&self, tag: ResponseTag, part: ResponsePart) -> Delivery {
        self.matcher.borrow_mut().receive(tag, part)
    }

    pub(crate) fn count_code(&self, code: ResultCode) {
        self.answer_codes.count(code);
    }

    pub(crate) fn count_answer(&self, answer: &Answer) {
        match answer {
            Answer::Response(_) => self.counters.finished.add(1),
            Answer::Code { code, .. } => self.answer_codes.count(*code),
        }
    }

    pub(crate) fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// Tells the socket whether the agent accepts new flows.
    pub(crate) fn update_is_full(&self) {
        let is_full = self.is_draining() || self.flows_open.get() >= self.settings.flow_limit;
        self.socket.state().is_full = is_full;
    }

    pub(crate) fn flow_opened(&self) {
        self.counters.flows_opened.add(1);
        self.flows_open.set(self.flows_open.get() + 1);
        self.update_is_full();
    }

    pub(crate) fn work_in_progress(&self) -> WorkInProgress {
        let request_count =
            u32::try_from(self.scheduler_status.borrow().open_requests).unwrap_or(u32::MAX);
        WorkInProgress {
            request_count,
            stream_count: self.streams_open.get().saturating_sub(request_count),
            last_datagram_at: None,
        }
    }

    pub(crate) fn flow_closed(&self) {
        self.flows_open.set(self.flows_open.get().saturating_sub(1));
        self.update_is_full();
        self.work_ended.notify_waiters();
    }

    pub(crate) fn snapshot_counters(&self) -> AgentCounters {
        let status = *self.scheduler_status.borrow();
        let live = &self.counters;
        AgentCounters {
            flows_open: u64::from(self.flows_open.get()),
            flows_opened: live.flows_opened.get(),
            flows_refused: live.flows_refused.get(),
            retries_sent: live.retries_sent.get(),
            first_packets_handed_off: self.socket.state().first_packets_handed_off,
            requests_received: live.received.get(),
            requests_started: live.started.get(),
            requests_finished: live.finished.get(),
            requests_cancelled: live.cancelled.get(),
            requests_rejected: live.rejected.get(),
            requests_offloaded: status.offloaded,
            requests_relayed: status.relayed,
            requests_open: status.open_requests as u64,
            slots_used: u64::from(status.running),
            responses_truncated: live.truncated.get(),
            upstream_refusals: live.upstream_refused.get(),
            answers: self.answer_codes.snapshot(),
            drops: self.drops.snapshot(),
        }
    }
}
