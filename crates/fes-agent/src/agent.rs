//! Start and stop of an agent.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fes_admission::Admission;
use fes_admission::AdmissionSettings;
use fes_admission::ClassName;
use fes_idempotency::Coordinator;
use fes_idempotency::CoordinatorEvent;
use fes_idempotency::KeyOwner;
use fes_idempotency::ResponseMatcher;
use fes_idempotency::StoreLimits;
use fes_kernel::Kernel;
use fes_kernel::KernelDriver;
use fes_kernel::ProcessClock;
use fes_link::DropCounters;
use fes_link::LinkPool;
use fes_link::LinkServer;
use fes_link::LinkTls;
use fes_link::Tasks;
use fes_protocol::EncapsulationCodec;
use fes_protocol::Incarnation;
use fes_protocol::MonoTime;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use fes_protocol::SecretKey;
use fes_protocol::ServiceSpec;
use fes_protocol::TicketNumber;
use fes_protocol::UpstreamState;
use fes_routing::AgentIngress;
use fes_routing::OffloadPeer;
use fes_routing::OffloadPlanner;
use fes_routing::OffloadSettings;
use fes_routing::PlacementHasher;
use fes_routing::RouteTable;
use fes_routing::Router;
use fes_settings::AgentSettings;
use quinn::VarInt;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::AgentCounters;
use crate::core::AgentCore;
use crate::decisions::AgentMessage;
use crate::decisions::KEYS;
use crate::decisions::KeysComponent;
use crate::decisions::KeysEvent;
use crate::decisions::WorkComponent;
use crate::decisions::WorkEvent;
use crate::http3_server::accept_connections;
use crate::quic::EncapsulatedSocket;
use crate::quic::IngressState;
use crate::quic::SharedKeys;
use crate::quic::make_endpoint;
use crate::relay::REQUEST_KIND;
use crate::relay::serve_peer;
use crate::request::RequestTable;
use crate::upstream::Upstream;

const H3_NO_ERROR: u32 = 0x100;

/// Period at which a lost upstream connection is tried again.
const UPSTREAM_PROBE: Duration = Duration::from_millis(200);

/// Expected way to a peer and back, in milliseconds, until it is measured.
const HOP_MS: u32 = 8;

/// The agent daemon.
#[derive(Debug)]
pub struct Agent;

/// A running agent. Dropping the handle stops it at once.
pub struct AgentHandle {
    core: Rc<AgentCore>,
    link_server: LinkServer,
    agent_address: SocketAddr,
}

impl std::fmt::Debug for AgentHandle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("AgentHandle")
            .field("target", &self.core.settings.target)
            .finish_non_exhaustive()
    }
}

impl Agent {
    /// Starts an agent on the current arbiter.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::BindFailed`] or [`ResultCode::SettingsBadCertificate`].
    pub async fn start(settings: AgentSettings) -> Result<AgentHandle> {
        let clock = ProcessClock::start();
        let ring = settings.node.keys.initial_ring();
        let udp = fes_link::bind_udp(settings.agent_address)?;
        let drops = Arc::new(DropCounters::default());
        let (control, _control_receiver) = mpsc::unbounded_channel();
        let placement = PlacementHasher::new(ring.current().clone());
        let state = IngressState::new(
            EncapsulationCodec::new(ring.clone()),
            Router::new(Arc::default(), &ring),
            AgentIngress::new(settings.service, settings.target, placement),
        );
        let socket = EncapsulatedSocket::new(
            udp,
            settings.service,
            settings.target,
            clock,
            state,
            Arc::clone(&drops),
            control,
        );
        let socket = Arc::new(socket.map_err(|e| {
            fes_protocol::Error::io(ResultCode::BindFailed, "reading the agent's address", e)
        })?);
        let agent_address =
            quinn::AsyncUdpSocket::local_addr(socket.as_ref()).unwrap_or(settings.agent_address);
        let keys = SharedKeys::new(&ring);
        let endpoint = make_endpoint(
            Arc::clone(&socket),
            &keys,
            settings.service,
            settings.target,
            &settings.client_tls,
        )?;
        let incarnation = Incarnation(rand::random());
        let limits = StoreLimits {
            max_keys: settings.key_limit as usize,
            max_responses_bytes: settings.response_store_bytes as usize,
            ..StoreLimits::default()
        };
        let owner = KeyOwner {
            service: settings.service,
            target: settings.target,
            incarnation,
        };
        let coordinator = Rc::new(RefCell::new(Coordinator::new(owner, ring, limits)));
        let work = Rc::default();
        let planner = OffloadPlanner::new(OffloadSettings::new(settings.target, rand::random()));
        let admission = Admission::new(clock.now(), admission_settings(&settings));
        let mut kernel: Kernel<AgentMessage> = Kernel::new();
        kernel.register(WorkComponent::new(admission, planner, Rc::clone(&work)));
        kernel.register(KeysComponent::new(Rc::clone(&coordinator)));
        kernel.set_timer(MonoTime::ZERO, KEYS, KeysComponent::FIRST_TIMER);
        let identity = &settings.node.link_tls;
        let tls = LinkTls::new(
            identity.authorities.clone(),
            identity.certificates.clone(),
            identity.private_key.clone_key(),
        )?;
        let core = Rc::new(AgentCore {
            upstream: Upstream::new(settings.upstream_address),
            links: LinkPool::new(tls.clone()),
            requests: RequestTable::default(),
            matcher: RefCell::new(ResponseMatcher::new(incarnation)),
            coordinator,
            work,
            counters: Default::default(),
            codes: DropCounters::default(),
            drops,
            digest_secret: SecretKey::new(rand::random()),
            max_held_response_bytes: limits.max_response_bytes,
            peer_links: RefCell::default(),
            draining: watch::Sender::new(false),
            ended: Notify::new(),
            flows_open: Cell::new(0),
            handshakes_open: Cell::new(0),
            buffered_bytes: Cell::new(0),
            next_connection: Cell::new(0),
            tasks: Tasks::default(),
            driver: KernelDriver::new(kernel, clock),
            settings,
            incarnation,
            socket,
            endpoint,
            keys,
        });
        let link_server = start_links(&core, &tls)?;
        start_tasks(&core);
        Ok(AgentHandle {
            core,
            link_server,
            agent_address,
        })
    }
}

impl AgentHandle {
    /// Returns the address of the socket for encapsulated datagrams.
    #[must_use]
    pub const fn agent_address(&self) -> SocketAddr {
        self.agent_address
    }

    /// Returns the address for links.
    #[must_use]
    pub const fn link_address(&self) -> SocketAddr {
        self.link_server.address()
    }

    /// Returns the incarnation.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.core.incarnation
    }

    /// Puts the agent's service in force, as a ticket would.
    pub fn apply(&self, ticket: TicketNumber, spec: &Arc<ServiceSpec>) {
        let core = &self.core;
        let links = spec.upstreams.iter().map(|u| (u.target, u.link_address));
        *core.peer_links.borrow_mut() = links.collect();
        let peers = spec
            .upstreams
            .iter()
            .filter(|u| u.state == UpstreamState::Active)
            .map(|u| OffloadPeer {
                target: u.target,
                hop_ms: HOP_MS,
            });
        core.post_work(WorkEvent::SetPeers(peers.collect()));
        let mut state = core.socket.state();
        let services = [(ticket, Arc::clone(spec))];
        let table = RouteTable::rebuild(state.router.table(), core.now(), services);
        state.router.set_table(Arc::new(table));
    }

    /// Returns the current counters.
    #[must_use]
    pub fn counters(&self) -> AgentCounters {
        self.core.snapshot()
    }

    /// Stops gracefully: refuses new work, completes what is in progress, and closes at the drain
    /// bound with explicit errors.
    pub async fn drain(self) {
        let core = &self.core;
        core.draining.send_replace(true);
        core.update_fullness();
        core.post_work(WorkEvent::Drain);
        core.post_keys(KeysEvent::Drain);
        let bound = core.now().plus_ms(core.settings.drain_bound_ms);
        let is_complete = tokio::time::timeout_at(core.instant(bound), idle(core)).await;
        if is_complete.is_err() {
            let open = core.work.borrow().open_requests;
            log::error!("agent: {}: {open} requests", ResultCode::DrainBoundReached);
            core.post_keys(KeysEvent::Coordinator(CoordinatorEvent::DrainBoundReached));
        }
        core.endpoint
            .close(VarInt::from_u32(H3_NO_ERROR), b"stopped");
        core.endpoint.wait_idle().await;
    }

    /// Stops at once, as a crash would: nothing more is sent.
    pub fn kill(self) {
        drop(self);
    }
}

impl Drop for AgentHandle {
    fn drop(&mut self) {
        let core = &self.core;
        core.socket.kill();
        core.endpoint.close(VarInt::from_u32(H3_NO_ERROR), b"");
        core.upstream.close();
        core.links.close();
        core.tasks.abort();
        core.requests.clear();
        core.driver.clear_effects();
    }
}

async fn idle(core: &Rc<AgentCore>) {
    loop {
        let ended = core.ended.notified();
        if core.work.borrow().open_requests == 0 && core.flows_open.get() == 0 {
            return;
        }
        ended.await;
    }
}

fn admission_settings(settings: &AgentSettings) -> AdmissionSettings {
    let mut admission = AdmissionSettings::for_slots(settings.slots);
    admission.queue_capacity = settings.queue_limit_requests as usize;
    settings
        .class_priors
        .iter()
        .fold(admission, |admission, prior| {
            let class = ClassName::from(prior.class.as_str());
            admission.with_prior(class, prior.mean_ms.saturating_mul(1_000))
        })
}

fn start_links(core: &Rc<AgentCore>, tls: &LinkTls) -> Result<LinkServer> {
    let weak = Rc::downgrade(core);
    let handler = Rc::new(move |request: fes_link::LinkRequest| {
        let core = weak.upgrade();
        let serving: std::pin::Pin<Box<dyn Future<Output = ()>>> = Box::pin(async move {
            match core {
                Some(core) if request.kind == REQUEST_KIND => serve_peer(core, request).await,
                _ => request.responder.reject(),
            }
        });
        serving
    });
    LinkServer::start(core.settings.node.link_address, tls, handler)
}

fn start_tasks(core: &Rc<AgentCore>) {
    let handler_core = Rc::downgrade(core);
    core.driver.on_effect(move |effect| {
        if let Some(core) = handler_core.upgrade() {
            core.on_effect(effect);
        }
    });
    let driver = core.driver.clone();
    core.spawn(async move { driver.run_timers().await });
    core.spawn(accept_connections(Rc::clone(core)));
    core.spawn(watch_upstream(Rc::clone(core)));
}

/// Opens the upstream connection before it is needed and tells admission when it is lost.
async fn watch_upstream(core: Rc<AgentCore>) {
    let mut is_up = true;
    loop {
        let is_ready = core.upstream.ready().await.is_ok();
        if is_ready != is_up {
            is_up = is_ready;
            core.post_work(match is_up {
                true => WorkEvent::UpstreamUp,
                false => WorkEvent::UpstreamDown,
            });
        }
        tokio::time::sleep(UPSTREAM_PROBE).await;
    }
}
