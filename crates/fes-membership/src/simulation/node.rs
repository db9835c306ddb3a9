//! One simulated entry or agent.

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

/// Something that a node sends.
pub(crate) enum Sent {
    Datagram(NodeId, ControlMessage),
    Link(Endpoint, TicketMessage),
    Read(PlatformRead),
}

#[derive(Debug)]
enum Role {
    Entry(Box<TargetLiveness>),
    Agent {
        table: Box<PeerTable>,
        service: ServiceId,
        target: TargetId,
        leaving: LeaveRequests,
        vms: VmList,
    },
}

/// An entry or agent with its decisions about tickets and membership.
#[derive(Debug)]
pub struct SimulatedNode {
    pub(crate) data_centre: DataCentreName,
    pub(crate) distribution: Distribution,
    role: Role,
    pub(crate) started_at: MonoTime,
    pub(crate) paused_until: MonoTime,
    pub(crate) timer_at: MonoTime,
    pub(crate) stopped: bool,
    pub(crate) meter: TrafficMeter,
    /// When the node last learnt that a target takes no new work, per change.
    pub(crate) placement_log: Vec<(MonoTime, ServiceId, Vec<TargetId>)>,
}

impl SimulatedNode {
    pub(crate) fn entry(
        now: MonoTime,
        data_centre: DataCentreName,
        distribution: Distribution,
        view: TargetLiveness,
    ) -> Self {
        Self::new(now, data_centre, distribution, Role::Entry(Box::new(view)))
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
        let mut table = PeerTable::new(MonoTime::ZERO, identity);
        table.handle(
            MonoTime::ZERO,
            PeerTableEvent::Lifecycle(Lifecycle::Serving),
        );
        let role = Role::Agent {
            table: Box::new(table),
            service,
            target,
            leaving: LeaveRequests::default(),
            vms: VmList::default(),
        };
        Self::new(now, data_centre, distribution, role)
    }

    fn new(
        now: MonoTime,
        data_centre: DataCentreName,
        distribution: Distribution,
        role: Role,
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

    /// Returns the entry's view of liveness, if the node is an entry.
    #[must_use]
    pub fn view(&self) -> Option<&TargetLiveness> {
        match &self.role {
            Role::Entry(view) => Some(view),
            Role::Agent { .. } => None,
        }
    }

    /// Returns the agent's table of peers, if the node is an agent.
    #[must_use]
    pub fn table(&self) -> Option<&PeerTable> {
        match &self.role {
            Role::Entry(_) => None,
            Role::Agent { table, .. } => Some(table),
        }
    }

    /// Returns whether the node is an agent that admits no work.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        match &self.role {
            Role::Entry(_) => false,
            Role::Agent { leaving, .. } => leaving.is_leaving(),
        }
    }

    /// Returns the tickets in force.
    #[must_use]
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.distribution.snapshot()
    }

    /// Returns the node's own clock at a time of the simulation.
    #[must_use]
    pub const fn local_time(&self, now: MonoTime) -> MonoTime {
        MonoTime::from_us(now.us_since(self.started_at))
    }

    pub(crate) fn next_deadline(&self, now: MonoTime) -> MonoTime {
        let local = self.local_time(now);
        let role = match &self.role {
            Role::Entry(view) => view.next_deadline(),
            Role::Agent { table, .. } => table.next_deadline(local),
        };
        let deadline = self.distribution.next_deadline().min(role);
        self.started_at.plus_us(deadline.as_us())
    }

    /// Tells the membership part about all tickets that are in force at the start.
    pub(crate) fn take_snapshot(&mut self, now: MonoTime) -> Vec<Sent> {
        let snapshot = self.snapshot();
        let changed: Vec<ObjectKey> = snapshot.versions().map(|(key, _)| key).collect();
        self.put_in_force(now, &snapshot, &changed)
    }

    pub(crate) fn tick(&mut self, now: MonoTime) -> Vec<Sent> {
        let mut sent = self.distribute(now, DistributionEvent::Tick);
        let local = self.local_time(now);
        let role = match &mut self.role {
            Role::Entry(view) => {
                let actions = view.handle(local, TargetLivenessEvent::Tick);
                self.carry_out_view(now, actions)
            }
            Role::Agent { table, .. } => {
                let actions = table.handle(local, PeerTableEvent::Tick);
                carry_out_table(actions)
            }
        };
        sent.extend(role);
        sent
    }

    pub(crate) fn distribute(&mut self, now: MonoTime, event: DistributionEvent) -> Vec<Sent> {
        let local = self.local_time(now);
        let mut sent = Vec::new();
        for action in self.distribution.handle(local, event) {
            match action {
                DistributionAction::SendDigest { to, digest } => {
                    sent.push(Sent::Datagram(to, ControlMessage::TicketDigest(digest)));
                }
                DistributionAction::Send { to, message } => sent.push(Sent::Link(to, message)),
                DistributionAction::ReadPlatform(read) => sent.push(Sent::Read(read)),
                DistributionAction::InForce { snapshot, changed } => {
                    sent.extend(self.put_in_force(now, &snapshot, &changed));
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
    ) -> Vec<Sent> {
        let local = self.local_time(now);
        match (message.clone(), &mut self.role) {
            (ControlMessage::TicketDigest(digest), _) => {
                self.distribute(now, DistributionEvent::Digest(digest))
            }
            (ControlMessage::PeerHeartbeat(heartbeat), Role::Agent { table, .. }) => {
                carry_out_table(table.handle(local, PeerTableEvent::Heartbeat(heartbeat)))
            }
            (ControlMessage::Liveness(verdicts), Role::Agent { table, .. }) => {
                carry_out_table(table.handle(local, PeerTableEvent::Verdicts(verdicts)))
            }
            (ControlMessage::EntryHeartbeat(heartbeat), Role::Entry(view)) => {
                let actions = view.handle(local, TargetLivenessEvent::Heartbeat(heartbeat));
                self.carry_out_view(now, actions)
            }
            (ControlMessage::Liveness(verdicts), Role::Entry(view)) => {
                let event = TargetLivenessEvent::Verdicts { from, verdicts };
                let actions = view.handle(local, event);
                self.carry_out_view(now, actions)
            }
            (ControlMessage::LivenessDigest(digest), Role::Entry(view)) => {
                let actions = view.handle(local, TargetLivenessEvent::Digest(digest));
                self.carry_out_view(now, actions)
            }
            (ControlMessage::Goodbye(goodbye), Role::Entry(view)) => {
                let actions = view.handle(local, TargetLivenessEvent::Goodbye(goodbye));
                self.carry_out_view(now, actions)
            }
            _ => Vec::new(),
        }
    }

    pub(crate) fn read_vm_list(&mut self, now: MonoTime, hints: &[VmHint]) -> Vec<Sent> {
        let local = self.local_time(now);
        match &mut self.role {
            Role::Entry(view) => {
                let actions = view.handle(local, TargetLivenessEvent::VmList(hints.to_vec()));
                self.carry_out_view(now, actions)
            }
            Role::Agent { vms, .. } => {
                vms.set(hints);
                self.update_leaving(now)
            }
        }
    }

    /// Delivers SIGTERM to an agent.
    pub(crate) fn terminate(&mut self, now: MonoTime) -> Vec<Sent> {
        if let Role::Agent { leaving, .. } = &mut self.role {
            leaving.add_sigterm();
        }
        self.update_leaving(now)
    }

    fn put_in_force(
        &mut self,
        now: MonoTime,
        snapshot: &Snapshot,
        changed: &[ObjectKey],
    ) -> Vec<Sent> {
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
            Role::Entry(view) => {
                let mut actions = Vec::new();
                if fleets_changed {
                    actions.extend(view.handle(local, TargetLivenessEvent::Fleets(fleets)));
                }
                let services = services.collect();
                actions.extend(view.handle(local, TargetLivenessEvent::Services(services)));
                self.carry_out_view(now, actions)
            }
            Role::Agent { table, service, .. } => {
                let mut actions = Vec::new();
                if fleets_changed {
                    actions.extend(table.handle(local, PeerTableEvent::Fleets(fleets)));
                }
                let own = *service;
                for spec in services.filter(|spec| spec.id == own) {
                    actions.extend(table.handle(local, PeerTableEvent::Service(spec)));
                }
                let mut sent = carry_out_table(actions);
                sent.extend(self.update_leaving(now));
                sent
            }
        }
    }

    fn update_leaving(&mut self, now: MonoTime) -> Vec<Sent> {
        let local = self.local_time(now);
        let snapshot = self.distribution.snapshot();
        let Role::Agent {
            table,
            service,
            target,
            leaving,
            vms,
        } = &mut self.role
        else {
            return Vec::new();
        };
        if let Some(spec) = snapshot.service(*service) {
            leaving.set_service(&spec.value, *target);
            leaving.set_vm_list(vms, &spec.value, *target);
        }
        let lifecycle = if leaving.is_leaving() {
            Lifecycle::Draining
        } else {
            Lifecycle::Serving
        };
        carry_out_table(table.handle(local, PeerTableEvent::Lifecycle(lifecycle)))
    }

    fn carry_out_view(&mut self, now: MonoTime, actions: Vec<TargetLivenessAction>) -> Vec<Sent> {
        let mut sent = Vec::new();
        for action in actions {
            match action {
                TargetLivenessAction::SendVerdicts { to, verdicts } => {
                    sent.push(Sent::Datagram(to, ControlMessage::Liveness(verdicts)));
                }
                TargetLivenessAction::SendDigest { to, digest } => {
                    let message = ControlMessage::LivenessDigest(digest);
                    sent.push(Sent::Datagram(NodeId::Entry(to), message));
                }
                TargetLivenessAction::ServiceChanged {
                    service, placeable, ..
                } => self.placement_log.push((now, service, placeable)),
            }
        }
        sent
    }
}

fn carry_out_table(actions: Vec<PeerTableAction>) -> Vec<Sent> {
    let mut sent = Vec::new();
    for action in actions {
        match action {
            PeerTableAction::SendHeartbeat { to, heartbeat } => {
                let message = ControlMessage::PeerHeartbeat(heartbeat);
                sent.push(Sent::Datagram(NodeId::Agent(to), message));
            }
            PeerTableAction::SendEntryHeartbeat { to, heartbeat } => {
                let message = ControlMessage::EntryHeartbeat(heartbeat);
                sent.push(Sent::Datagram(NodeId::Entry(to), message));
            }
            PeerTableAction::SendVerdicts { to, verdicts } => {
                let message = ControlMessage::Liveness(verdicts);
                sent.push(Sent::Datagram(NodeId::Entry(to), message));
            }
            PeerTableAction::PeerChanged { .. } => {}
        }
    }
    sent
}
