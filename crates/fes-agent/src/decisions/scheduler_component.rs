//! Kernel component that decides when and where requests run: admission and offload, also for
//! requests with an idempotency key.

use std::cell::RefCell;
use std::rc::Rc;

use fes_admission::AdmissionAction;
use fes_admission::AdmissionController;
use fes_admission::AdmissionEvent;
use fes_admission::Load;
use fes_admission::RequestOrigin;
use fes_idempotency::Answer;
use fes_idempotency::CoordinatorEvent;
use fes_idempotency::NotRun;
use fes_idempotency::StoreEvent;
use fes_kernel::Component;
use fes_kernel::ComponentName;
use fes_kernel::Event;
use fes_kernel::Outbox;
use fes_kernel::TimerToken;
use fes_protocol::FastMap;
use fes_protocol::MonoTime;
use fes_protocol::RequestId;
use fes_protocol::ResultCode;
use fes_protocol::TargetId;
use fes_routing::LocalLoad;
use fes_routing::OffloadChoice;
use fes_routing::OffloadPlanner;
use fes_routing::OffloadRequest;

use super::AgentMessage;
use super::IDEMPOTENCY;
use super::IdempotencyEvent;
use super::REQUESTS;
use super::RequestArrival;
use super::RequestEffect;
use super::SCHEDULER;
use super::SchedulerEvent;
use super::request_record::RequestRecord;

pub(super) const ADMISSION_TIMER: TimerToken = TimerToken(0);

/// Current load and counters, which the host reads for heartbeats, metrics and `/status`.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct SchedulerStatus {
    pub(crate) load: Load,
    pub(crate) running: u32,
    pub(crate) queued: usize,
    pub(crate) open_requests: usize,
    pub(crate) offloaded: u64,
    pub(crate) relayed: u64,
}

/// Admission and offload of one agent.
pub(crate) struct SchedulerComponent {
    pub(super) admission: AdmissionController,
    planner: OffloadPlanner,
    pub(super) records: FastMap<RequestId, RequestRecord>,
    pub(super) status: Rc<RefCell<SchedulerStatus>>,
}

impl SchedulerComponent {
    pub(crate) fn new(
        admission: AdmissionController,
        planner: OffloadPlanner,
        status: Rc<RefCell<SchedulerStatus>>,
    ) -> Self {
        Self {
            admission,
            planner,
            records: FastMap::default(),
            status,
        }
    }

    fn on_event(
        &mut self,
        now: MonoTime,
        event: SchedulerEvent,
        outbox: &mut Outbox<AgentMessage>,
    ) {
        match event {
            SchedulerEvent::Arrive(arrival) => self.on_arrival(now, arrival, outbox),
            SchedulerEvent::Outcome { id, outcome } => self.on_outcome(now, id, outcome, outbox),
            SchedulerEvent::Cancelled { id } => self.on_cancelled(now, id, outbox),
            SchedulerEvent::CoordinatorAction(action) => {
                self.on_coordinator_action(now, action, outbox)
            }
            SchedulerEvent::Answered { id } => self.on_answered(id, outbox),
            SchedulerEvent::OffloadFailed {
                id,
                target,
                may_have_run,
            } => self.on_offload_failed(now, id, target, may_have_run, outbox),
            SchedulerEvent::PeerHeartbeat(heartbeat) => {
                let local = self.local_load(now);
                self.planner.on_heartbeat(now, &local, &heartbeat);
            }
            SchedulerEvent::SetPeers(peers) => self.planner.set_peers(peers),
            SchedulerEvent::UpstreamUp => {
                self.handle_admission(now, AdmissionEvent::UpstreamUp, outbox)
            }
            SchedulerEvent::UpstreamDown => {
                self.handle_admission(now, AdmissionEvent::UpstreamDown, outbox)
            }
            SchedulerEvent::Drain => self.handle_admission(now, AdmissionEvent::Drain, outbox),
            SchedulerEvent::Resume => self.handle_admission(now, AdmissionEvent::Resume, outbox),
        }
    }

    fn on_arrival(
        &mut self,
        now: MonoTime,
        arrival: RequestArrival,
        outbox: &mut Outbox<AgentMessage>,
    ) {
        let id = arrival.id;
        let record = RequestRecord {
            class: arrival.class,
            deadline: arrival.deadline,
            origin: arrival.origin,
            is_keyed: arrival.key.is_some(),
            is_admitted: false,
            is_answered: false,
            was_offloaded: false,
        };
        self.records.insert(id, record);
        if let Some(key) = arrival.key {
            let event = CoordinatorEvent::Request {
                request: id,
                key_value: key.key_value,
                digest: key.digest,
                deadline: arrival.deadline,
                relayed: arrival.origin == RequestOrigin::Relayed,
            };
            outbox.send(
                IDEMPOTENCY,
                AgentMessage::Idempotency(IdempotencyEvent::Coordinator(event)),
            );
            return;
        }
        let local = self.local_load(now);
        match self.build_offload_request(id) {
            Some(request) => match self.planner.choose(now, &local, &request) {
                OffloadChoice::Peer(target) => {
                    self.offload_before_admission(now, id, target, outbox)
                }
                OffloadChoice::Local => self.admit(now, id, true, outbox),
            },
            None => self.admit(now, id, true, outbox),
        }
    }

    fn build_offload_request(&mut self, id: RequestId) -> Option<OffloadRequest> {
        let record = self.records.get(&id)?;
        Some(OffloadRequest {
            deadline: record.deadline,
            repeatable: !record.is_keyed,
            already_forwarded: record.origin != RequestOrigin::Client || record.was_offloaded,
            long: self.admission.is_long(&record.class),
        })
    }

    /// Offloads a request that hasn't been passed to admission, and counts it as demand.
    fn offload_before_admission(
        &mut self,
        now: MonoTime,
        id: RequestId,
        target: TargetId,
        outbox: &mut Outbox<AgentMessage>,
    ) {
        let class = self.records.get(&id).map(|record| record.class.clone());
        self.offload(id, target, outbox);
        if let Some(class) = class {
            self.handle_admission(now, AdmissionEvent::OffloadedToPeer { class }, outbox);
        }
    }

    fn offload(&mut self, id: RequestId, target: TargetId, outbox: &mut Outbox<AgentMessage>) {
        if let Some(record) = self.records.get_mut(&id) {
            record.was_offloaded = true;
            self.status.borrow_mut().offloaded += 1;
            let effect = RequestEffect::Offload { id, target };
            outbox.send(REQUESTS, AgentMessage::Request(effect));
        }
    }

    fn on_offload_failed(
        &mut self,
        now: MonoTime,
        id: RequestId,
        target: TargetId,
        may_have_run: bool,
        outbox: &mut Outbox<AgentMessage>,
    ) {
        self.planner.on_refused(now, target);
        if !self.records.contains_key(&id) {
            return;
        }
        // A retry of a request that may have run at the peer takes a token from the retry budget.
        if may_have_run && !self.admission.take_retry_token() {
            self.answer(id, Answer::code(ResultCode::UnknownUpstreamLost), outbox);
            return;
        }
        self.admit(now, id, true, outbox);
    }

    pub(super) fn admit(
        &mut self,
        now: MonoTime,
        id: RequestId,
        repeatable: bool,
        outbox: &mut Outbox<AgentMessage>,
    ) {
        let Some(record) = self.records.get_mut(&id) else {
            return;
        };
        record.is_admitted = true;
        // The demand of a request that failed at a peer is already counted. Admission doesn't count
        // a request of origin `Offloaded`.
        let origin = match record.was_offloaded {
            true => RequestOrigin::Offloaded,
            false => record.origin,
        };
        let event = AdmissionEvent::Arrive {
            id,
            class: record.class.clone(),
            deadline: record.deadline,
            repeatable,
            origin,
        };
        self.handle_admission(now, event, outbox);
    }

    pub(super) fn handle_admission(
        &mut self,
        now: MonoTime,
        event: AdmissionEvent,
        outbox: &mut Outbox<AgentMessage>,
    ) {
        for action in self.admission.handle(now, event) {
            match action {
                AdmissionAction::Start { id } => self.start_request(id, outbox),
                AdmissionAction::Refuse { id, code } => self.on_refused(now, id, code, outbox),
                AdmissionAction::Timer { at } => outbox.set_timer(at, ADMISSION_TIMER),
            }
        }
    }

    pub(super) fn start_request(&self, id: RequestId, outbox: &mut Outbox<AgentMessage>) {
        if self.is_keyed(id) {
            send_store_event(StoreEvent::SlotGranted { request: id }, outbox);
            return;
        }
        let effect = RequestEffect::Start { id };
        outbox.send(REQUESTS, AgentMessage::Request(effect));
    }

    pub(super) fn on_refused(
        &mut self,
        now: MonoTime,
        id: RequestId,
        code: ResultCode,
        outbox: &mut Outbox<AgentMessage>,
    ) {
        if let Some(record) = self.records.get_mut(&id) {
            record.is_admitted = false;
        }
        if self.is_keyed(id) {
            if let Ok(code) = NotRun::try_from(code) {
                send_store_event(StoreEvent::AdmissionRefused { request: id, code }, outbox);
            }
            return;
        }
        if let Some(target) = self.find_fallback_peer(now, id, code) {
            self.offload(id, target, outbox);
            return;
        }
        self.answer(id, Answer::code(code), outbox);
    }

    /// Returns a peer that can run a repeatable request which this agent had to refuse.
    fn find_fallback_peer(
        &mut self,
        now: MonoTime,
        id: RequestId,
        code: ResultCode,
    ) -> Option<TargetId> {
        let may_run_elsewhere = matches!(
            code,
            ResultCode::NotRunOverloaded
                | ResultCode::NotRunQueueFull
                | ResultCode::NotRunUpstreamDown
                | ResultCode::NotRunUpstreamRefused
        );
        if !may_run_elsewhere {
            return None;
        }
        let request = self.build_offload_request(id)?;
        let mut local = self.local_load(now);
        if code == ResultCode::NotRunUpstreamDown {
            // Any queue at a peer is better than an unreachable upstream.
            local.queue_wait_ms = u32::MAX;
            local.long_wait_ms = u32::MAX;
        }
        match self.planner.choose_for_overflow(now, &local, &request) {
            OffloadChoice::Peer(target) => Some(target),
            OffloadChoice::Local => None,
        }
    }

    pub(super) fn answer(
        &mut self,
        id: RequestId,
        answer: Answer,
        outbox: &mut Outbox<AgentMessage>,
    ) {
        let effect = RequestEffect::Answer { id, answer };
        outbox.send(REQUESTS, AgentMessage::Request(effect));
        self.on_answered(id, outbox);
    }

    pub(super) fn on_answered(&mut self, id: RequestId, outbox: &mut Outbox<AgentMessage>) {
        if let Some(record) = self.records.get_mut(&id) {
            record.is_answered = true;
        }
        self.forget_if_finished(id, outbox);
    }

    /// Passes an event to admission that releases the queue position or slot of a request.
    pub(super) fn release(
        &mut self,
        now: MonoTime,
        event: AdmissionEvent,
        id: RequestId,
        outbox: &mut Outbox<AgentMessage>,
    ) {
        if let Some(record) = self.records.get_mut(&id) {
            record.is_admitted = false;
        }
        self.handle_admission(now, event, outbox);
    }

    pub(super) fn forget_if_finished(&mut self, id: RequestId, outbox: &mut Outbox<AgentMessage>) {
        if self
            .records
            .get(&id)
            .is_some_and(RequestRecord::is_finished)
        {
            self.records.remove(&id);
            let effect = RequestEffect::Forget { id };
            outbox.send(REQUESTS, AgentMessage::Request(effect));
        }
    }

    pub(super) fn is_keyed(&self, id: RequestId) -> bool {
        self.records.get(&id).is_some_and(|record| record.is_keyed)
    }

    fn local_load(&mut self, now: MonoTime) -> LocalLoad {
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

    fn update_status(&mut self, now: MonoTime) {
        let mut status = self.status.borrow_mut();
        status.load = self.admission.load(now);
        status.running = self.admission.running_count();
        status.queued = self.admission.queued_count();
        status.open_requests = self.records.len();
    }
}

impl Component<AgentMessage> for SchedulerComponent {
    fn name(&self) -> ComponentName {
        SCHEDULER
    }

    fn handle(
        &mut self,
        now: MonoTime,
        event: Event<AgentMessage>,
        outbox: &mut Outbox<AgentMessage>,
    ) {
        match event {
            Event::Timer(_) => self.handle_admission(now, AdmissionEvent::Timer, outbox),
            Event::Message {
                body: AgentMessage::Scheduler(event),
                ..
            } => self.on_event(now, event, outbox),
            Event::Message { .. } => {}
        }
        self.update_status(now);
    }
}

pub(super) fn send_store_event(event: StoreEvent, outbox: &mut Outbox<AgentMessage>) {
    let event = IdempotencyEvent::Coordinator(CoordinatorEvent::Store(event));
    outbox.send(IDEMPOTENCY, AgentMessage::Idempotency(event));
}
