//! Executes the components' decisions about tickets, peers and the lifecycle.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fes_idempotency::CoordinatorEvent;
use fes_membership::PeerState;
use fes_membership::PeerTableAction;
use fes_membership::PeerTableEvent;
use fes_membership::lifecycle::DrainSource;
use fes_membership::lifecycle::LifecycleAction;
use fes_membership::lifecycle::LifecycleEvent;
use fes_node::TicketNotification;
use fes_protocol::ControlMessage;
use fes_protocol::EncapsulationCodec;
use fes_protocol::Goodbye;
use fes_protocol::KeyRing;
use fes_protocol::NodeId;
use fes_protocol::ResultCode;
use fes_protocol::ServiceSpec;
use fes_protocol::TicketNumber;
use fes_protocol::UpstreamState;
use fes_routing::OffloadPeer;
use fes_routing::ReturnEntry;
use fes_routing::RouteTable;
use fes_tickets::DistributionAction;
use fes_tickets::DistributionEvent;
use fes_tickets::Snapshot;
use quinn::VarInt;

use crate::context::AgentContext;
use crate::decisions::IdempotencyEvent;
use crate::decisions::SchedulerEvent;
use crate::quic::ControlDatagram;

const H3_NO_ERROR: u32 = 0x100;
const H3_INTERNAL_ERROR: u32 = 0x102;

/// How long a stopping agent waits until its last responses are delivered.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Round-trip time to a peer in the same data centre, in milliseconds.
const LOCAL_RTT_MS: u32 = 1;

/// Round-trip time to a peer in another data centre, in milliseconds: twice the one-way delay
/// of 4 ms in current deployments.
const REMOTE_RTT_MS: u32 = 8;

/// Panic threshold: if more than 1/`PANIC_DIVISOR` of the upstreams appear dead, the agent's own
/// view is probably wrong, and dead targets stay eligible for placement.
const PANIC_DIVISOR: usize = 2;

impl AgentContext {
    /// Handles a control message from another process.
    pub(crate) fn on_control(&self, datagram: ControlDatagram) {
        match datagram.message {
            ControlMessage::PeerHeartbeat(heartbeat) => {
                if heartbeat.service != self.settings.service {
                    self.drops.count(ResultCode::DatagramWrongService);
                    return;
                }
                self.post_peers(PeerTableEvent::Heartbeat(heartbeat.clone()));
                self.post_scheduler(SchedulerEvent::PeerHeartbeat(heartbeat.clone()));
                self.post_idempotency(IdempotencyEvent::PeerHeartbeat(heartbeat));
            }
            ControlMessage::TicketDigest(digest) => {
                if let NodeId::Entry(entry) = digest.node {
                    let entry = ReturnEntry {
                        entry,
                        address: datagram.from,
                    };
                    let mut state = self.socket.state();
                    state.return_path.record_entry(self.now(), entry);
                }
                self.post_tickets(DistributionEvent::Digest(digest));
            }
            ControlMessage::Liveness(verdicts) => {
                self.post_peers(PeerTableEvent::Verdicts(verdicts));
            }
            ControlMessage::Goodbye(goodbye) => {
                if let NodeId::Entry(entry) = goodbye.node {
                    self.socket.state().return_path.remove(entry);
                }
            }
            // Only entries handle these messages.
            ControlMessage::EntryHeartbeat(_) | ControlMessage::LivenessDigest(_) => {
                self.drops.count(ResultCode::ControlMalformed);
            }
        }
    }

    /// Executes an action of the ticket distribution.
    pub(crate) fn on_tickets_action(&self, action: DistributionAction) {
        let send = |to, message: &ControlMessage| self.socket.send_control(to, message);
        match self.tickets.execute(action, send) {
            Some(TicketNotification::InForce(snapshot)) => self.apply_tickets(&snapshot),
            Some(TicketNotification::Ready) => self.post_lifecycle(LifecycleEvent::Ready),
            None => {}
        }
    }

    fn apply_tickets(&self, snapshot: &Snapshot) {
        if let Some(epoch) = snapshot.key_epoch() {
            if let Some(ring) = self.settings.node.keys.ring(epoch.value.current) {
                self.apply_keys(&ring);
            } else {
                log::error!(
                    "agent: no key of epoch {} in the settings; the process keeps its current keys",
                    epoch.value.current
                );
            }
        }
        let fleets: Vec<_> = snapshot.fleets().map(|f| Arc::clone(&f.value)).collect();
        self.socket.state().configured_entries = fleets
            .iter()
            .flat_map(|fleet| &fleet.entries)
            .map(|entry| ReturnEntry {
                entry: entry.id,
                address: entry.control_address,
            })
            .collect();
        self.post_peers(PeerTableEvent::Fleets(fleets));
        if let Some(service) = snapshot.service(self.settings.service) {
            self.apply_service(service.version.number, &service.value);
        }
    }

    fn apply_service(&self, number: TicketNumber, spec: &Arc<ServiceSpec>) {
        let links = spec.upstreams.iter().map(|u| (u.target, u.link_address));
        *self.peer_links.borrow_mut() = links.collect();
        {
            let mut state = self.socket.state();
            let services = [(number, Arc::clone(spec))];
            let table = RouteTable::rebuild(state.router.table(), self.now(), services);
            state.router.set_table(Arc::new(table));
        }
        *self.service.borrow_mut() = Some(Arc::clone(spec));
        self.post_peers(PeerTableEvent::Service(Arc::clone(spec)));
        self.update_peers();
        let own = spec
            .upstreams
            .iter()
            .find(|u| u.target == self.settings.target);
        self.post_lifecycle(match own.map(|own| own.state) {
            Some(UpstreamState::Active) => LifecycleEvent::Withdrawn(DrainSource::Ticket),
            Some(UpstreamState::Leaving) | None => LifecycleEvent::Drain(DrainSource::Ticket),
        });
    }

    fn apply_keys(&self, ring: &KeyRing) {
        self.keys.replace(ring);
        let mut state = self.socket.state();
        state.codec = EncapsulationCodec::new(ring.clone());
        state.router.set_keys(ring);
        drop(state);
        self.post_idempotency(IdempotencyEvent::SetKeys(ring.clone()));
    }

    /// Executes an action of the peer table.
    pub(crate) fn on_peers_action(&self, action: PeerTableAction) {
        match action {
            PeerTableAction::SendHeartbeat { to, heartbeat } => {
                let message = ControlMessage::PeerHeartbeat(heartbeat);
                self.send_control(NodeId::Agent(to), &message);
            }
            PeerTableAction::SendEntryHeartbeat { to, heartbeat } => {
                let message = ControlMessage::EntryHeartbeat(heartbeat);
                self.send_control(NodeId::Entry(to), &message);
            }
            PeerTableAction::SendVerdicts { to, verdicts } => {
                self.send_control(NodeId::Entry(to), &ControlMessage::Liveness(verdicts));
            }
            PeerTableAction::PeerChanged { target, state } => {
                log::info!("agent: peer {target} is {state:?}");
                self.update_peers();
            }
        }
    }

    fn send_control(&self, to: NodeId, message: &ControlMessage) {
        let addresses = self.tickets.addresses(to);
        if let Some(addresses) = addresses {
            self.socket.send_control(addresses.control, message);
        }
    }

    /// Updates the peers that first-packet handling and offload may use.
    pub(crate) fn update_peers(&self) {
        let Some(spec) = self.service.borrow().clone() else {
            return;
        };
        let own = self.settings.target;
        let table = self.peers.borrow();
        let mut state = self.socket.state();
        let view = &mut state.peers;
        view.flow_counts = table
            .peers()
            .filter(|(_, state, ..)| state.accepts_work())
            .map(|(target, _, _, load)| (target, load.flow_count))
            .collect();
        let in_state = |wanted: &[PeerState]| {
            let peers = table
                .peers()
                .filter(|(_, state, ..)| wanted.contains(state));
            peers.map(|(target, ..)| target).collect()
        };
        view.confirmed_lost = in_state(&[PeerState::Dead]);
        view.excluded_from_placement = in_state(&[PeerState::Dead, PeerState::Leaving]);
        if view.confirmed_lost.len() > spec.upstreams.len() / PANIC_DIVISOR {
            view.excluded_from_placement = in_state(&[PeerState::Leaving]);
        }
        drop(state);
        let active = spec.upstreams.iter().filter(|upstream| {
            upstream.target != own
                && upstream.state == UpstreamState::Active
                && table.state(upstream.target).accepts_work()
        });
        let peers = active.map(|upstream| OffloadPeer {
            target: upstream.target,
            round_trip_ms: match upstream.data_centre == self.settings.node.data_centre {
                true => LOCAL_RTT_MS,
                false => REMOTE_RTT_MS,
            },
        });
        let peers = peers.collect();
        drop(table);
        self.post_scheduler(SchedulerEvent::SetPeers(peers));
    }

    /// Executes an action of the lifecycle component.
    pub(crate) fn on_lifecycle_action(self: &Rc<Self>, action: LifecycleAction) {
        match action {
            LifecycleAction::Announce(lifecycle) => {
                log::info!("agent: lifecycle state changed to {lifecycle:?}");
                self.health.set(lifecycle, "life cycle");
                self.post_peers(PeerTableEvent::Lifecycle(lifecycle));
            }
            LifecycleAction::StopAdmission => {
                self.post_scheduler(SchedulerEvent::Drain);
                self.post_idempotency(IdempotencyEvent::SetDraining(true));
            }
            LifecycleAction::ResumeAdmission => {
                self.draining.send_replace(false);
                self.update_is_full();
                self.post_scheduler(SchedulerEvent::Resume);
                self.post_idempotency(IdempotencyEvent::SetDraining(false));
            }
            LifecycleAction::SendGoaway => {
                self.draining.send_replace(true);
                self.update_is_full();
            }
            LifecycleAction::SendGoodbye => self.send_goodbye(),
            // The component sets its own timers, and dropping the handle closes the sockets.
            LifecycleAction::SetTimer(_) | LifecycleAction::CloseSockets => {}
            LifecycleAction::CutOffWork(_) => {
                self.post_idempotency(IdempotencyEvent::Coordinator(
                    CoordinatorEvent::DrainBoundReached,
                ));
                self.cut_off.send_replace(true);
            }
            LifecycleAction::LogCutOff(cut_off) => log::error!(
                "agent: {}: aborting {} requests and {} streams",
                ResultCode::DrainBoundReached,
                cut_off.request_count,
                cut_off.stream_count
            ),
            LifecycleAction::CloseConnections => {
                self.spawn(close_connections(Rc::clone(self)));
            }
            LifecycleAction::Exit { status } => {
                self.exit_status.send_replace(Some(status));
            }
        }
    }

    fn send_goodbye(&self) {
        let goodbye = ControlMessage::Goodbye(Goodbye {
            node: NodeId::Agent(self.settings.target),
            incarnation: self.incarnation,
        });
        let spec = self.service.borrow().clone();
        let own = self.settings.target;
        let peers = spec.iter().flat_map(|spec| &spec.upstreams);
        for upstream in peers.filter(|upstream| upstream.target != own) {
            self.socket.send_control(upstream.agent_address, &goodbye);
        }
        let entries = self.socket.state().configured_entries.clone();
        for entry in entries {
            self.socket.send_control(entry.address, &goodbye);
        }
    }
}

/// Closes the client connections when the last responses are acknowledged, or after a timeout.
async fn close_connections(context: Rc<AgentContext>) {
    let delivered = async {
        loop {
            let ended = context.work_ended.notified();
            if context.streams_open.get() == 0 {
                return;
            }
            ended.await;
        }
    };
    // Clients that disconnected never acknowledge their responses.
    let _ = tokio::time::timeout(CLOSE_TIMEOUT, delivered).await;
    let code = match context.streams_open.get() {
        0 => H3_NO_ERROR,
        _ => H3_INTERNAL_ERROR,
    };
    context.endpoint.close(VarInt::from_u32(code), b"stopped");
    context.endpoint.wait_idle().await;
    context.closed.send_replace(true);
}
