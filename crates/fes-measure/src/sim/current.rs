//! Current policy: the admission controller and offload planner that agents use.

use fes_admission::AdmissionAction;
use fes_admission::AdmissionController;
use fes_admission::AdmissionEvent;
use fes_admission::AdmissionSettings;
use fes_admission::RequestOrigin;
use fes_idempotency::KeyOwner;
use fes_idempotency::PrefixIssuer;
use fes_protocol::Incarnation;
use fes_protocol::Lifecycle;
use fes_protocol::MonoTime;
use fes_protocol::PeerHeartbeat;
use fes_protocol::RequestId;
use fes_protocol::ResultCode;
use fes_protocol::ServiceId;
use fes_protocol::TargetId;
use fes_routing::LocalLoad;
use fes_routing::OffloadChoice;
use fes_routing::OffloadPeer;
use fes_routing::OffloadPlanner;
use fes_routing::OffloadRequest;
use fes_routing::OffloadSettings;

use super::AgentPolicy;
use super::Arrival;
use super::PolicyAction;

/// Decisions of an agent with admission and offload.
#[derive(Debug)]
pub(crate) struct CurrentAgent {
    own: usize,
    admission: AdmissionController,
    planner: OffloadPlanner,
    issuer: PrefixIssuer,
    heartbeat_sequence: u64,
}

impl CurrentAgent {
    pub(crate) fn new(
        own: usize,
        settings: AdmissionSettings,
        peers: impl IntoIterator<Item = OffloadPeer>,
        seed: u64,
    ) -> Self {
        let mut planner = OffloadPlanner::new(OffloadSettings::new(target(own), seed));
        planner.set_peers(peers);
        Self {
            own,
            admission: AdmissionController::new(MonoTime::ZERO, settings),
            planner,
            issuer: PrefixIssuer::new(KeyOwner {
                service: ServiceId(1),
                target: target(own),
                incarnation: Incarnation(1),
            }),
            heartbeat_sequence: 0,
        }
    }

    fn own_load(&mut self, now: MonoTime) -> LocalLoad {
        let load = self.admission.load(now);
        LocalLoad {
            capacity_milli: load.capacity_milli,
            demand_milli: load.demand_milli,
            movable_milli: load.movable_milli,
            queue_wait_ms: load.queue_wait_ms,
            long_wait_ms: load.long_wait_ms,
            has_free_slot: load.has_free_slot,
        }
    }

    fn offload_request(&mut self, arrival: &Arrival) -> OffloadRequest {
        OffloadRequest {
            deadline: arrival.deadline,
            repeatable: arrival.repeatable,
            already_forwarded: arrival.origin == RequestOrigin::Offloaded,
            long: self.admission.is_long(&arrival.class),
        }
    }

    fn admit(
        &mut self,
        now: MonoTime,
        arrival: &Arrival,
        origin: RequestOrigin,
    ) -> Vec<PolicyAction> {
        let event = AdmissionEvent::Arrive {
            id: arrival.id,
            class: arrival.class.clone(),
            deadline: arrival.deadline,
            repeatable: arrival.repeatable,
            origin,
        };
        let admission_actions = self.admission.handle(now, event);
        let mut actions = Vec::with_capacity(admission_actions.len());
        for action in admission_actions {
            actions.push(match action {
                AdmissionAction::Refuse { id, code } if id == arrival.id => {
                    self.forward_or_refuse(now, arrival, origin, code)
                }
                action => policy_action(action),
            });
        }
        actions
    }

    fn forward_or_refuse(
        &mut self,
        now: MonoTime,
        arrival: &Arrival,
        origin: RequestOrigin,
        code: ResultCode,
    ) -> PolicyAction {
        let is_overload = matches!(
            code,
            ResultCode::NotRunOverloaded | ResultCode::NotRunQueueFull
        );
        if origin == RequestOrigin::Client && is_overload && !self.planner.are_all_peers_full(now) {
            let own = self.own_load(now);
            let request = self.offload_request(arrival);
            let choice = self.planner.choose_for_overflow(now, &own, &request);
            if let OffloadChoice::Peer(peer) = choice
                && self.admission.take_retry_token()
            {
                return PolicyAction::Forward(arrival.id, index(peer), RequestOrigin::Offloaded);
            }
        }
        PolicyAction::Refuse(arrival.id)
    }

    fn handle_admission_event(
        &mut self,
        now: MonoTime,
        event: AdmissionEvent,
    ) -> Vec<PolicyAction> {
        let actions = self.admission.handle(now, event);
        actions.into_iter().map(policy_action).collect()
    }
}

impl AgentPolicy for CurrentAgent {
    fn arrive(&mut self, now: MonoTime, arrival: &Arrival) -> Vec<PolicyAction> {
        if !arrival.repeatable && arrival.owner != self.own {
            return vec![PolicyAction::Forward(
                arrival.id,
                arrival.owner,
                RequestOrigin::Relayed,
            )];
        }
        if arrival.origin == RequestOrigin::Client {
            let own = self.own_load(now);
            let request = self.offload_request(arrival);
            if let OffloadChoice::Peer(peer) = self.planner.choose(now, &own, &request) {
                let class = arrival.class.clone();
                let mut actions =
                    self.handle_admission_event(now, AdmissionEvent::OffloadedToPeer { class });
                actions.push(PolicyAction::Forward(
                    arrival.id,
                    index(peer),
                    RequestOrigin::Offloaded,
                ));
                return actions;
            }
        }
        self.admit(now, arrival, arrival.origin)
    }

    fn finished(&mut self, now: MonoTime, id: RequestId) -> Vec<PolicyAction> {
        self.handle_admission_event(now, AdmissionEvent::Finished { id })
    }

    fn supports_cancellation(&self) -> bool {
        true
    }

    fn cancelled(&mut self, now: MonoTime, id: RequestId) -> Vec<PolicyAction> {
        self.handle_admission_event(now, AdmissionEvent::Cancelled { id })
    }

    fn peer_refused(&mut self, now: MonoTime, peer: usize, arrival: &Arrival) -> Vec<PolicyAction> {
        self.planner.on_refused(now, target(peer));
        // The request was already counted as demand when it was forwarded.
        self.admit(now, arrival, RequestOrigin::Offloaded)
    }

    fn timer(&mut self, now: MonoTime) -> Vec<PolicyAction> {
        self.handle_admission_event(now, AdmissionEvent::Timer)
    }

    fn heartbeat(&mut self, now: MonoTime) -> Option<PeerHeartbeat> {
        let load = self.admission.load(now);
        let spare_milli = load.capacity_milli.saturating_sub(load.demand_milli);
        self.issuer.set_own_spare(spare_milli);
        self.heartbeat_sequence += 1;
        Some(PeerHeartbeat {
            service: ServiceId(1),
            target: target(self.own),
            incarnation: Incarnation(1),
            sequence: self.heartbeat_sequence,
            lifecycle: Lifecycle::Serving,
            capacity_milli: load.capacity_milli,
            demand_milli: load.demand_milli,
            queue_wait_ms: load.queue_wait_ms,
            long_wait_ms: load.long_wait_ms,
            flow_count: 0,
            key_issue_ms: now.as_ms(),
            heard: Vec::new(),
        })
    }

    fn on_heartbeat(&mut self, now: MonoTime, heartbeat: &PeerHeartbeat) {
        let own = self.own_load(now);
        self.planner.on_heartbeat(now, &own, heartbeat);
        self.issuer.observe(now, heartbeat);
    }

    fn issue_prefix(&mut self, now: MonoTime) -> usize {
        index(self.issuer.issue(now).owner.target)
    }
}

fn policy_action(action: AdmissionAction) -> PolicyAction {
    match action {
        AdmissionAction::Start { id } => PolicyAction::Start(id),
        AdmissionAction::Refuse { id, .. } => PolicyAction::Refuse(id),
        AdmissionAction::Timer { at } => PolicyAction::Timer(at),
    }
}

/// Returns the target ID for an agent index; target IDs start at 1.
pub(crate) fn target(index: usize) -> TargetId {
    TargetId(index as u32 + 1)
}

fn index(target: TargetId) -> usize {
    target.0 as usize - 1
}
