//! Starts and stops an entry.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use fes_kernel::Kernel;
use fes_kernel::KernelDriver;
use fes_kernel::ProcessClock;
use fes_link::ControlTraffic;
use fes_link::LinkPool;
use fes_link::LinkServer;
use fes_link::LinkTls;
use fes_link::ResultCodeCounters;
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
use crate::context::EntryContext;
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

/// Handle of a running entry. Dropping it stops the entry immediately.
pub struct EntryHandle {
    context: Rc<EntryContext>,
    link_server: LinkServer,
    status: StatusServer,
}

impl std::fmt::Debug for EntryHandle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EntryHandle")
            .field("entry", &self.context.settings.entry)
            .finish_non_exhaustive()
    }
}

impl Entry {
    /// Starts an entry on the current Actix arbiter.
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
        let context = build_context(settings, LinkPool::new(tls.clone()))?;
        let link_server = start_links(&context, &tls)?;
        let status_context = Rc::downgrade(&context);
        let status = StatusServer::start(
            context.settings.node.status_address,
            Arc::clone(&context.metrics),
            context.health.clone(),
            move || {
                status_context
                    .upgrade()
                    .map_or(Value::Null, |context| context.status())
            },
        )
        .await?;
        start_tasks(&context);
        Ok(EntryHandle {
            context,
            link_server,
            status,
        })
    }
}

impl EntryHandle {
    /// Returns the ID of the entry.
    #[must_use]
    pub fn id(&self) -> EntryId {
        self.context.settings.entry
    }

    /// Returns the address that receives client datagrams of `service`, if the entry serves it.
    #[must_use]
    pub fn service_address(&self, service: ServiceId) -> Option<SocketAddr> {
        let services = &self.context.plane.services;
        let socket = services.iter().find(|s| s.service == service)?;
        socket.socket.local_addr().ok()
    }

    /// Returns the address of the control socket.
    #[must_use]
    pub fn control_address(&self) -> SocketAddr {
        let bound = self.context.plane.control.local_addr();
        bound.unwrap_or(self.context.settings.control_address)
    }

    /// Returns the address that accepts links from other processes.
    #[must_use]
    pub const fn link_address(&self) -> SocketAddr {
        self.link_server.address()
    }

    /// Returns the address of the status server.
    #[must_use]
    pub const fn status_address(&self) -> SocketAddr {
        self.status.address()
    }

    /// Returns the lifecycle state.
    #[must_use]
    pub fn lifecycle(&self) -> Lifecycle {
        self.context.health.lifecycle()
    }

    /// Returns the tickets that are currently applied.
    #[must_use]
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.context.tickets.snapshot()
    }

    /// Applies a ticket and distributes it to other processes, bypassing the platform.
    pub fn inject_ticket(&self, ticket: Arc<Ticket>) {
        let from = Endpoint::Node(NodeId::Entry(self.context.settings.entry));
        let message = TicketMessage::Push(vec![ticket]);
        self.context
            .post_tickets(DistributionEvent::Message { from, message });
    }

    /// Returns the current counters.
    #[must_use]
    pub fn counters(&self) -> EntryCounters {
        self.context.counters()
    }

    /// Starts a graceful shutdown: agents and the network fabric switch to other entries, and
    /// datagrams are forwarded until no more arrive. Calling this again doesn't shorten the drain.
    pub fn stop(&self) {
        // The lifecycle component must know the last datagram before it decides to stop.
        let progress = LifecycleEvent::Progress(self.context.work_in_progress());
        self.context.post_lifecycle(progress);
        let drain = LifecycleEvent::Drain(DrainSource::Signal);
        self.context.post_lifecycle(drain);
    }

    /// Waits until a graceful shutdown has completed; returns the exit status of the process.
    pub async fn stopped(&self) -> u8 {
        let mut exit = self.context.exit_status.subscribe();
        let status = exit.wait_for(Option::is_some).await;
        status.map_or(None, |status| *status).unwrap_or(0)
    }

    /// Shuts down gracefully and waits for completion; returns the exit status of the process.
    pub async fn drain(self) -> u8 {
        self.stop();
        self.stopped().await
    }

    /// Stops immediately, as a crash would.
    pub fn kill(self) {
        drop(self);
    }
}

impl Drop for EntryHandle {
    fn drop(&mut self) {
        self.context.tasks.abort();
        self.context.tickets.stop();
        self.context.driver.clear_effect_handler();
    }
}

fn build_context(settings: EntrySettings, links: LinkPool) -> Result<Rc<EntryContext>> {
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
        drops: ResultCodeCounters::default(),
        control_traffic: ControlTraffic::default(),
    });
    Ok(Rc::new(EntryContext {
        // Incarnation 0 is reserved for "none seen yet".
        incarnation: Incarnation(rand::random::<u64>().max(1)),
        plane,
        driver: KernelDriver::new(kernel, clock),
        tickets,
        health: Health::default(),
        metrics: Arc::default(),
        exported: RefCell::default(),
        exit_status: watch::Sender::new(None),
        tasks: TaskSet::default(),
        settings,
    }))
}
