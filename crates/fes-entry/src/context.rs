//! State shared by the tasks of an entry, and the execution of the components' decisions.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use fes_kernel::Effect;
use fes_kernel::KernelDriver;
use fes_link::TaskSet;
use fes_membership::TargetLivenessAction;
use fes_membership::TargetLivenessEvent;
use fes_membership::lifecycle::LifecycleAction;
use fes_membership::lifecycle::LifecycleEvent;
use fes_membership::lifecycle::WorkInProgress;
use fes_node::HOST;
use fes_node::LIFECYCLE;
use fes_node::TICKETS;
use fes_node::TicketHost;
use fes_node::TicketNotification;
use fes_protocol::ControlMessage;
use fes_protocol::Goodbye;
use fes_protocol::Incarnation;
use fes_protocol::NodeId;
use fes_protocol::ResultCode;
use fes_routing::RouteTable;
use fes_settings::EntrySettings;
use fes_telemetry::Health;
use fes_telemetry::Metrics;
use fes_tickets::DistributionAction;
use fes_tickets::DistributionEvent;
use fes_tickets::Snapshot;
use tokio::sync::watch;

use crate::data_plane::DataPlane;
use crate::message::EntryMessage;
use crate::message::VIEW;
use crate::report::ExportedCounters;
use crate::view_component::SharedView;

/// Shared state of an entry.
pub(crate) struct EntryContext {
    pub(crate) settings: EntrySettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) plane: Rc<DataPlane<SharedView>>,
    pub(crate) driver: KernelDriver<EntryMessage>,
    pub(crate) tickets: TicketHost,
    pub(crate) health: Health,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) exported: RefCell<ExportedCounters>,
    /// Set when the process may exit.
    pub(crate) exit_status: watch::Sender<Option<u8>>,
    pub(crate) tasks: TaskSet,
}

impl EntryContext {
    pub(crate) fn post_view(&self, event: TargetLivenessEvent) {
        self.driver.post(HOST, VIEW, EntryMessage::View(event));
    }

    pub(crate) fn post_tickets(&self, event: DistributionEvent) {
        self.driver.post(HOST, TICKETS, event.into());
    }

    pub(crate) fn post_lifecycle(&self, event: LifecycleEvent) {
        self.driver.post(HOST, LIFECYCLE, event.into());
    }

    /// Executes an effect that a component requested from the host.
    pub(crate) fn on_effect(&self, effect: Effect<EntryMessage>) {
        match effect.body {
            EntryMessage::ViewAction(action) => self.on_view_action(action),
            EntryMessage::TicketsAction(action) => self.on_tickets_action(action),
            EntryMessage::LifecycleAction(action) => self.on_lifecycle_action(action),
            EntryMessage::View(_) | EntryMessage::Tickets(_) | EntryMessage::Lifecycle(_) => {}
        }
    }

    /// Handles a control message from another process. `from` is its source address; `sender` is
    /// the node that sent it, for messages that don't name their sender.
    pub(crate) fn on_control(&self, message: ControlMessage, from: SocketAddr, sender: NodeId) {
        match message {
            ControlMessage::EntryHeartbeat(heartbeat) => {
                self.post_view(TargetLivenessEvent::Heartbeat(heartbeat));
            }
            ControlMessage::Liveness(verdicts) => self.post_view(TargetLivenessEvent::Verdicts {
                from: sender,
                verdicts,
            }),
            ControlMessage::LivenessDigest(digest) => {
                self.post_view(TargetLivenessEvent::Digest(digest));
            }
            ControlMessage::Goodbye(goodbye) => {
                self.post_view(TargetLivenessEvent::Goodbye(goodbye))
            }
            ControlMessage::TicketDigest(digest) => {
                self.post_tickets(DistributionEvent::Digest(digest));
            }
            // Only agents handle these messages.
            ControlMessage::PeerHeartbeat(_) => {
                log::debug!("entry: unexpected peer heartbeat from {from}");
                self.plane.drops.count(ResultCode::ControlMalformed);
            }
        }
    }

    fn on_tickets_action(&self, action: DistributionAction) {
        let send = |to, message: &ControlMessage| self.plane.send_control(to, message);
        match self.tickets.carry_out(action, send) {
            Some(TicketNotification::InForce(snapshot)) => self.apply_tickets(&snapshot),
            Some(TicketNotification::Ready) => self.post_lifecycle(LifecycleEvent::Ready),
            None => {}
        }
    }

    fn apply_tickets(&self, snapshot: &Snapshot) {
        if let Some(epoch) = snapshot.key_epoch() {
            match self.settings.node.keys.ring(epoch.value.current) {
                Some(ring) => self.plane.set_keys(&ring),
                None => {
                    let epoch = epoch.value.current;
                    log::error!("entry: no key of epoch {epoch} in the settings");
                }
            }
        }
        let services = snapshot
            .services()
            .map(|service| (service.version.number, Arc::clone(&service.value)));
        let table = {
            let router = self.plane.router.borrow();
            RouteTable::rebuild(router.table(), self.driver.now(), services)
        };
        self.plane.router.borrow_mut().set_table(Arc::new(table));
        let specs = snapshot.services().map(|s| Arc::clone(&s.value));
        self.post_view(TargetLivenessEvent::Services(specs.collect()));
        let fleets = snapshot.fleets().map(|fleet| Arc::clone(&fleet.value));
        self.post_view(TargetLivenessEvent::Fleets(fleets.collect()));
    }

    fn on_view_action(&self, action: TargetLivenessAction) {
        match action {
            TargetLivenessAction::SendVerdicts { to, verdicts } => {
                self.send_control(to, &ControlMessage::Liveness(verdicts));
            }
            TargetLivenessAction::SendDigest { to, digest } => {
                self.send_control(NodeId::Entry(to), &ControlMessage::LivenessDigest(digest));
            }
            TargetLivenessAction::AssessmentChanged {
                service,
                placeable,
                lost,
                is_in_panic_mode,
            } => log::info!(
                "entry: service {service}: {} placeable, {} lost, panic {is_in_panic_mode}",
                placeable.len(),
                lost.len()
            ),
        }
    }

    fn send_control(&self, to: NodeId, message: &ControlMessage) {
        if let Some(addresses) = self.tickets.addresses(to) {
            self.plane.send_control(addresses.control, message);
        }
    }

    fn on_lifecycle_action(&self, action: LifecycleAction) {
        match action {
            LifecycleAction::Announce(lifecycle) => {
                log::info!("entry: lifecycle state changed to {lifecycle:?}");
                self.health.set(lifecycle, "life cycle");
            }
            LifecycleAction::SendGoodbye => self.send_goodbye(),
            LifecycleAction::LogCutOff(_) => {
                log::error!("entry: {}", ResultCode::DrainBoundReached);
            }
            LifecycleAction::Exit { status } => {
                self.exit_status.send_replace(Some(status));
            }
            // The component sets its own timers, sockets are closed when the process exits, and the
            // other actions concern agents only.
            LifecycleAction::SetTimer(_)
            | LifecycleAction::CloseSockets
            | LifecycleAction::StopAdmission
            | LifecycleAction::ResumeAdmission
            | LifecycleAction::SendGoaway
            | LifecycleAction::CutOffWork(_)
            | LifecycleAction::CloseConnections => {}
        }
    }

    /// Tells the agents of the served services to return datagrams through other entries.
    fn send_goodbye(&self) {
        let goodbye = ControlMessage::Goodbye(Goodbye {
            node: NodeId::Entry(self.settings.entry),
            incarnation: self.incarnation,
        });
        let snapshot = self.tickets.snapshot();
        for listen in &self.settings.listen {
            let Some(service) = snapshot.service(listen.service) else {
                continue;
            };
            for upstream in &service.value.upstreams {
                self.plane.send_control(upstream.agent_address, &goodbye);
            }
        }
    }

    pub(crate) fn work_in_progress(&self) -> WorkInProgress {
        WorkInProgress {
            last_datagram_at: self.plane.counters.last_client_datagram_at.get(),
            ..WorkInProgress::default()
        }
    }
}
