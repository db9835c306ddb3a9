//! Simulated entry or agent.

use std::sync::Arc;

use fes_protocol::ControlMessage;
use fes_protocol::DataCentreName;
use fes_protocol::FleetSpec;
use fes_protocol::Incarnation;
use fes_protocol::Lifecycle;
use fes_protocol::MonoTime;
use fes_protocol::NodeId;
use fes_protocol::ObjectKey;
use fes_protocol::ServiceId;
use fes_protocol::TargetId;
use fes_tickets::Distribution;
use fes_tickets::DistributionAction;
use fes_tickets::DistributionEvent;
use fes_tickets::Endpoint;
use fes_tickets::PlatformRead;
use fes_tickets::Snapshot;
use fes_tickets::TicketMessage;

use crate::AgentIdentity;
use crate::LeaveRequests;
use crate::PeerTable;
use crate::PeerTableAction;
use crate::PeerTableEvent;
use crate::TargetLiveness;
use crate::TargetLivenessAction;
use crate::TargetLivenessEvent;
use crate::TrafficMeter;
use crate::VmHint;
use crate::VmList;

/// A message that a node sends.
pub(crate) enum Outgoing {
    Datagram(NodeId, ControlMessage),
    Link(Endpoint, TicketMessage),
    Read(PlatformRead),
}

#[derive(Debug)]
enum NodeRole {
    Entry(Box<TargetLiveness>),
    Agent {
        peer_table: Box<PeerTable>,
        service: ServiceId,
        target: TargetId,
        leave_requests: LeaveRequests,
        vm_list: VmList,
    },
}

/// Entry or agent with its ticket distribution and membership state.
#[derive(Debug)]
pub struct SimulatedNode {
    pub(crate) data_centre: DataCentreName,
    pub(crate) distribution: Distribution,
    role: NodeRole,
    pub(crate) started_at: MonoTime,
    pub(crate) paused_until: MonoTime,
    pub(crate) timer_at: MonoTime,
    pub(crate) stopped: bool,
    pub(crate) meter: TrafficMeter,
    /// Placeable targets of a service after each change, with its time.
    pub(crate) placement_log: Vec<(MonoTime, ServiceId, Vec<TargetId>)>,
}

impl SimulatedNode {
    pub(crate) fn entry(
        now: MonoTime,
        data_centre: DataCentreName,
        distribution: Distribution,
        liveness: TargetLiveness,
    ) -> Self {
        Self::new(
            now,
            data_centre,
            distribution,
            NodeRole::Entry(Box::new(liveness)),
        )
    }

    pub(crate) fn agent(
        now: MonoTime,
        data_centre: DataCentreName,
        distribution: Distribution,
        service: ServiceId,
        target: TargetId,
        incarnation: Incarnation,
    ) -> Self {
        let identity = AgentIdentity {
            service,
            target,
            incarnation,
            data_centre: data_centre.clone(),
        };
        let mut peer_table = PeerTable::new(MonoTime::ZERO, identity);
        peer_table.handle(
            MonoTime::ZERO,
            PeerTableEvent::Lifecycle(Lifecycle::Serving),
        );
        let role = NodeRole::Agent {
            peer_table: Box::new(peer_table),
            service,
            target,
            leave_requests: LeaveRequests::default(),
            vm_list: VmList::default(),
        };
        Self::new(now, data_centre, distribution, role)
    }

    fn new(
        now: MonoTime,
        data_centre: DataCentreName,
        distribution: Distribution,
        role: NodeRole,
    ) -> Self {
        Self {
            data_centre,
            distribution,
            role,
            started_at: now,
            paused_until: MonoTime::ZERO,
            timer_at: MonoTime::NEVER,
            stopped: false,
            meter: TrafficMeter::starting(now),
            placement_log: Vec::new(),
        }
    }

    /// Returns the liveness of all targets, if the node is an entry.
    #[must_use]
    pub fn liveness(&self) -> Option<&TargetLiveness> {
        match &self.role {
            NodeRole::Entry(liveness) => Some(liveness),
            NodeRole::Agent { .. } => None,
        }
    }

    /// Returns the peer table, if the node is an agent.
    #[must_use]
    pub fn peer_table(&self) -> Option<&PeerTable> {
        match &self.role {
            NodeRole::Entry(_) => None,
            NodeRole::Agent { peer_table, .. } => Some(peer_table),
        }
    }

    /// Returns whether the node is an agent that admits no work.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        match &self.role {
            NodeRole::Entry(_) => false,
            NodeRole::Agent { leave_requests, .. } => leave_requests.is_leaving(),
        }
    }

    /// Returns the tickets in force.
    #[must_use]
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.distribution.snapshot()
    }

    /// Converts simulation time to the node's monotonic clock, which starts at 0 with the node.
    #[must_use]
    pub const fn local_time(&self, now: MonoTime) -> MonoTime {
        MonoTime::from_us(now.us_since(self.started_at))
    }

    pub(crate) fn next_deadline(&self, now: MonoTime) -> MonoTime {
        let local = self.local_time(now);
        let role_deadline = match &self.role {
            NodeRole::Entry(liveness) => liveness.next_deadline(),
            NodeRole::Agent { peer_table, .. } => peer_table.next_deadline(local),
        };
        let deadline = self.distribution.next_deadline().min(role_deadline);
        self.started_at.plus_us(deadline.as_us())
    }

    /// Applies all tickets in force at the start to membership.
    pub(crate) fn apply_snapshot(&mut self, now: MonoTime) -> Vec<Outgoing> {
        let snapshot = self.snapshot();
        let changed: Vec<ObjectKey> = snapshot.versions().map(|(key, _)| key).collect();
        self.apply_tickets(now, &snapshot, &changed)
    }

    pub(crate) fn tick(&mut self, now: MonoTime) -> Vec<Outgoing> {
        let mut sent = self.distribute(now, DistributionEvent::Tick);
        let local = self.local_time(now);
        let role_messages = match &mut self.role {
            NodeRole::Entry(liveness) => {
                let actions = liveness.handle(local, TargetLivenessEvent::Tick);
                self.perform_liveness_actions(now, actions)
            }
            NodeRole::Agent { peer_table, .. } => {
                let actions = peer_table.handle(local, PeerTableEvent::Tick);
                perform_table_actions(actions)
            }
        };
        sent.extend(role_messages);
        sent
    }

    pub(crate) fn distribute(&mut self, now: MonoTime, event: DistributionEvent) -> Vec<Outgoing> {
        let local = self.local_time(now);
        let mut sent = Vec::new();
        for action in self.distribution.handle(local, event) {
            match action {
                DistributionAction::SendDigest { to, digest } => {
                    sent.push(Outgoing::Datagram(to, ControlMessage::TicketDigest(digest)));
                }
                DistributionAction::Send { to, message } => sent.push(Outgoing::Link(to, message)),
                DistributionAction::ReadPlatform(read) => sent.push(Outgoing::Read(read)),
                DistributionAction::InForce { snapshot, changed } => {
                    sent.extend(self.apply_tickets(now, &snapshot, &changed));
                }
                DistributionAction::Ready | DistributionAction::Report(_) => {}
            }
        }
        sent
    }

    pub(crate) fn receive(
        &mut self,
        now: MonoTime,
        from: NodeId,
        message: &ControlMessage,
    ) -> Vec<Outgoing> {
        let local = self.local_time(now);
        match (message.clone(), &mut self.role) {
            (ControlMessage::TicketDigest(digest), _) => {
                self.distribute(now, DistributionEvent::Digest(digest))
            }
            (ControlMessage::PeerHeartbeat(heartbeat), NodeRole::Agent { peer_table, .. }) => {
                perform_table_actions(
                    peer_table.handle(local, PeerTableEvent::Heartbeat(heartbeat)),
                )
            }
            (ControlMessage::Liveness(verdicts), NodeRole::Agent { peer_table, .. }) => {
                perform_table_actions(peer_table.handle(local, PeerTableEvent::Verdicts(verdicts)))
            }
            (ControlMessage::EntryHeartbeat(heartbeat), NodeRole::Entry(liveness)) => {
                let actions = liveness.handle(local, TargetLivenessEvent::Heartbeat(heartbeat));
                self.perform_liveness_actions(now, actions)
            }
            (ControlMessage::Liveness(verdicts), NodeRole::Entry(liveness)) => {
                let event = TargetLivenessEvent::Verdicts { from, verdicts };
                let actions = liveness.handle(local, event);
                self.perform_liveness_actions(now, actions)
            }
            (ControlMessage::LivenessDigest(digest), NodeRole::Entry(liveness)) => {
                let actions = liveness.handle(local, TargetLivenessEvent::Digest(digest));
                self.perform_liveness_actions(now, actions)
            }
            (ControlMessage::Goodbye(goodbye), NodeRole::Entry(liveness)) => {
                let actions = liveness.handle(local, TargetLivenessEvent::Goodbye(goodbye));
                self.perform_liveness_actions(now, actions)
            }
            _ => Vec::new(),
        }
    }

    pub(crate) fn read_vm_list(&mut self, now: MonoTime, hints: &[VmHint]) -> Vec<Outgoing> {
        let local = self.local_time(now);
        match &mut self.role {
            NodeRole::Entry(liveness) => {
                let actions = liveness.handle(local, TargetLivenessEvent::VmList(hints.to_vec()));
                self.perform_liveness_actions(now, actions)
            }
            NodeRole::Agent { vm_list, .. } => {
                vm_list.set(hints);
                self.update_leaving(now)
            }
        }
    }

    /// Delivers SIGTERM to an agent.
    pub(crate) fn terminate(&mut self, now: MonoTime) -> Vec<Outgoing> {
        if let NodeRole::Agent { leave_requests, .. } = &mut self.role {
            leave_requests.add_sigterm();
        }
        self.update_leaving(now)
    }

    fn apply_tickets(
        &mut self,
        now: MonoTime,
        snapshot: &Snapshot,
        changed: &[ObjectKey],
    ) -> Vec<Outgoing> {
        let local = self.local_time(now);
        let services = changed.iter().filter_map(|key| match key {
            ObjectKey::Service(id) => snapshot.service(*id).map(|s| Arc::clone(&s.value)),
            ObjectKey::Fleet(_) | ObjectKey::KeyEpoch => None,
        });
        let fleets_changed = changed.iter().any(|key| matches!(key, ObjectKey::Fleet(_)));
        let fleets: Vec<Arc<FleetSpec>> = snapshot
            .fleets()
            .map(|fleet| Arc::clone(&fleet.value))
            .collect();
        match &mut self.role {
            NodeRole::Entry(liveness) => {
                let mut actions = Vec::new();
                if fleets_changed {
                    actions.extend(liveness.handle(local, TargetLivenessEvent::Fleets(fleets)));
                }
                let services = services.collect();
                actions.extend(liveness.handle(local, TargetLivenessEvent::Services(services)));
                self.perform_liveness_actions(now, actions)
            }
            NodeRole::Agent {
                peer_table,
                service,
                ..
            } => {
                let mut actions = Vec::new();
                if fleets_changed {
                    actions.extend(peer_table.handle(local, PeerTableEvent::Fleets(fleets)));
                }
                let own = *service;
                for spec in services.filter(|spec| spec.id == own) {
                    actions.extend(peer_table.handle(local, PeerTableEvent::Service(spec)));
                }
                let mut sent = perform_table_actions(actions);
                sent.extend(self.update_leaving(now));
                sent
            }
        }
    }

    fn update_leaving(&mut self, now: MonoTime) -> Vec<Outgoing> {
        let local = self.local_time(now);
        let snapshot = self.distribution.snapshot();
        let NodeRole::Agent {
            peer_table,
            service,
            target,
            leave_requests,
            vm_list,
        } = &mut self.role
        else {
            return Vec::new();
        };
        if let Some(spec) = snapshot.service(*service) {
            leave_requests.set_service(&spec.value, *target);
            leave_requests.set_vm_list(vm_list, &spec.value, *target);
        }
        let lifecycle = if leave_requests.is_leaving() {
            Lifecycle::Draining
        } else {
            Lifecycle::Serving
        };
        perform_table_actions(peer_table.handle(local, PeerTableEvent::Lifecycle(lifecycle)))
    }

    fn perform_liveness_actions(
        &mut self,
        now: MonoTime,
        actions: Vec<TargetLivenessAction>,
    ) -> Vec<Outgoing> {
        let mut sent = Vec::new();
        for action in actions {
            match action {
                TargetLivenessAction::SendVerdicts { to, verdicts } => {
                    sent.push(Outgoing::Datagram(to, ControlMessage::Liveness(verdicts)));
                }
                TargetLivenessAction::SendDigest { to, digest } => {
                    let message = ControlMessage::LivenessDigest(digest);
                    sent.push(Outgoing::Datagram(NodeId::Entry(to), message));
                }
                TargetLivenessAction::AssessmentChanged {
                    service, placeable, ..
                } => self.placement_log.push((now, service, placeable)),
            }
        }
        sent
    }
}

fn perform_table_actions(actions: Vec<PeerTableAction>) -> Vec<Outgoing> {
    let mut sent = Vec::new();
    for action in actions {
        match action {
            PeerTableAction::SendHeartbeat { to, heartbeat } => {
                let message = ControlMessage::PeerHeartbeat(heartbeat);
                sent.push(Outgoing::Datagram(NodeId::Agent(to), message));
            }
            PeerTableAction::SendEntryHeartbeat { to, heartbeat } => {
                let message = ControlMessage::EntryHeartbeat(heartbeat);
                sent.push(Outgoing::Datagram(NodeId::Entry(to), message));
            }
            PeerTableAction::SendVerdicts { to, verdicts } => {
                let message = ControlMessage::Liveness(verdicts);
                sent.push(Outgoing::Datagram(NodeId::Entry(to), message));
            }
            PeerTableAction::PeerChanged { .. } => {}
        }
    }
    sent
}
