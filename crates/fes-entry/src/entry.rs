//! Start and stop of an entry.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use fes_kernel::Kernel;
use fes_kernel::KernelDriver;
use fes_kernel::ProcessClock;
use fes_link::ControlTraffic;
use fes_link::DropCounters;
use fes_link::LinkPool;
use fes_link::LinkServer;
use fes_link::LinkTls;
use fes_link::TaskSet;
use fes_membership::TargetLiveness;
use fes_membership::lifecycle::DrainSource;
use fes_membership::lifecycle::LifecycleEvent;
use fes_membership::lifecycle::LifecycleMachine;
use fes_membership::lifecycle::LifecycleSettings;
use fes_membership::lifecycle::Role;
use fes_node::LifecycleComponent;
use fes_node::TicketHost;
use fes_node::TicketsComponent;
use fes_protocol::EncapsulationCodec;
use fes_protocol::EntryId;
use fes_protocol::Incarnation;
use fes_protocol::Lifecycle;
use fes_protocol::NodeId;
use fes_protocol::Result;
use fes_protocol::ServiceId;
use fes_protocol::Ticket;
use fes_routing::Router;
use fes_settings::EntrySettings;
use fes_telemetry::Health;
use fes_telemetry::StatusServer;
use fes_tickets::DistributionEvent;
use fes_tickets::Endpoint;
use fes_tickets::Snapshot;
use fes_tickets::TicketMessage;
use serde_json::Value;
use tokio::sync::watch;

use crate::EntryCounters;
use crate::core::EntryCore;
use crate::data_plane::DataPlane;
use crate::data_plane::ServiceSocket;
use crate::message::EntryMessage;
use crate::tasks::start_links;
use crate::tasks::start_tasks;
use crate::view_component::SharedView;
use crate::view_component::ViewComponent;

/// The entry daemon.
#[derive(Debug)]
pub struct Entry;

/// A running entry. Dropping the handle stops it at once.
pub struct EntryHandle {
    core: Rc<EntryCore>,
    link_server: LinkServer,
    status: StatusServer,
}

impl std::fmt::Debug for EntryHandle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EntryHandle")
            .field("entry", &self.core.settings.entry)
            .finish_non_exhaustive()
    }
}

impl Entry {
    /// Starts an entry on the current arbiter.
    ///
    /// # Errors
    ///
    /// Returns [`fes_protocol::ResultCode::BindFailed`] or
    /// [`fes_protocol::ResultCode::SettingsBadCertificate`].
    pub async fn start(settings: EntrySettings) -> Result<EntryHandle> {
        let identity = &settings.node.link_tls;
        let tls = LinkTls::new(
            identity.authorities.clone(),
            identity.certificates.clone(),
            identity.private_key.clone_key(),
        )?;
        let core = build_core(settings, LinkPool::new(tls.clone()))?;
        let link_server = start_links(&core, &tls)?;
        let status_core = Rc::downgrade(&core);
        let status = StatusServer::start(
            core.settings.node.status_address,
            Arc::clone(&core.metrics),
            core.health.clone(),
            move || {
                status_core
                    .upgrade()
                    .map_or(Value::Null, |core| core.status())
            },
        )
        .await?;
        start_tasks(&core);
        Ok(EntryHandle {
            core,
            link_server,
            status,
        })
    }
}

impl EntryHandle {
    /// Returns the number of the entry.
    #[must_use]
    pub fn id(&self) -> EntryId {
        self.core.settings.entry
    }

    /// Returns the address at which clients of `service` are heard, if the entry serves it.
    #[must_use]
    pub fn service_address(&self, service: ServiceId) -> Option<SocketAddr> {
        let services = &self.core.plane.services;
        let socket = services.iter().find(|s| s.service == service)?;
        socket.socket.local_addr().ok()
    }

    /// Returns the address of the control socket.
    #[must_use]
    pub fn control_address(&self) -> SocketAddr {
        let bound = self.core.plane.control.local_addr();
        bound.unwrap_or(self.core.settings.control_address)
    }

    /// Returns the address for links.
    #[must_use]
    pub const fn link_address(&self) -> SocketAddr {
        self.link_server.address()
    }

    /// Returns the address of the status server.
    #[must_use]
    pub const fn status_address(&self) -> SocketAddr {
        self.status.address()
    }

    /// Returns the phase of life.
    #[must_use]
    pub fn lifecycle(&self) -> Lifecycle {
        self.core.health.lifecycle()
    }

    /// Returns the tickets in force.
    #[must_use]
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.core.tickets.snapshot()
    }

    /// Puts a ticket in force and passes it on, as if the platform had just served it.
    pub fn inject_ticket(&self, ticket: Arc<Ticket>) {
        let from = Endpoint::Node(NodeId::Entry(self.core.settings.entry));
        let message = TicketMessage::Push(vec![ticket]);
        self.core
            .post_tickets(DistributionEvent::Message { from, message });
    }

    /// Returns the current counters.
    #[must_use]
    pub fn counters(&self) -> EntryCounters {
        self.core.counters()
    }

    /// Starts a graceful stop: agents and the fabric choose other entries, and datagrams are
    /// forwarded until none arrive any more. A second call doesn't shorten it.
    pub fn stop(&self) {
        // The life cycle must know when the last datagram came before it decides to stop.
        let progress = LifecycleEvent::Progress(self.core.work_in_progress());
        self.core.post_lifecycle(progress);
        let drain = LifecycleEvent::Drain(DrainSource::Signal);
        self.core.post_lifecycle(drain);
    }

    /// Waits for the end of a graceful stop; returns the exit status of the process.
    pub async fn stopped(&self) -> u8 {
        let mut exit = self.core.exit_status.subscribe();
        let status = exit.wait_for(Option::is_some).await;
        status.map_or(None, |status| *status).unwrap_or(0)
    }

    /// Stops gracefully and waits for the end; returns the exit status of the process.
    pub async fn drain(self) -> u8 {
        self.stop();
        self.stopped().await
    }

    /// Stops at once, as a crash would.
    pub fn kill(self) {
        drop(self);
    }
}

impl Drop for EntryHandle {
    fn drop(&mut self) {
        self.core.tasks.abort();
        self.core.tickets.stop();
        self.core.driver.clear_effect_handler();
    }
}

fn build_core(settings: EntrySettings, links: LinkPool) -> Result<Rc<EntryCore>> {
    let clock = ProcessClock::start();
    let now = clock.now();
    let keys = settings.node.keys.initial_ring();
    let services = settings
        .listen
        .iter()
        .map(|listen| ServiceSocket::bind(listen.service, listen.address))
        .collect::<Result<Vec<_>>>()?;
    let view = TargetLiveness::new(now, settings.entry, rand::random());
    let view = SharedView(Rc::new(RefCell::new(view)));
    let node = NodeId::Entry(settings.entry);
    let tickets = TicketHost::new(now, node, &settings.node, links, rand::random());
    let mut kernel: Kernel<EntryMessage> = Kernel::new();
    kernel.register(ViewComponent::new(view.clone()));
    kernel.register(TicketsComponent::new(Rc::clone(tickets.distribution())));
    let machine = LifecycleMachine::new(Role::Entry, LifecycleSettings::default());
    kernel.register(LifecycleComponent::new(machine));
    let plane = Rc::new(DataPlane {
        entry: settings.entry,
        clock,
        control: fes_link::bind_udp(settings.control_address)?,
        services,
        router: RefCell::new(Router::new(Arc::default(), &keys)),
        codec: RefCell::new(EncapsulationCodec::new(keys)),
        liveness: view,
        counters: Default::default(),
        drops: DropCounters::default(),
        control_traffic: ControlTraffic::default(),
    });
    Ok(Rc::new(EntryCore {
        // 0 stands for an incarnation that was never heard.
        incarnation: Incarnation(rand::random::<u64>().max(1)),
        plane,
        driver: KernelDriver::new(kernel, clock),
        tickets,
        health: Health::default(),
        metrics: Arc::default(),
        reported: RefCell::default(),
        exit_status: watch::Sender::new(None),
        tasks: TaskSet::default(),
        settings,
    }))
}
