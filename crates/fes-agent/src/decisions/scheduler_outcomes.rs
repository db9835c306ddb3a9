//! Handles outcomes of upstream attempts and decisions of the idempotency component.

use fes_admission::AdmissionAction;
use fes_admission::AdmissionEvent;
use fes_idempotency::CoordinatorAction;
use fes_idempotency::CoordinatorEvent;
use fes_idempotency::RelayAction;
use fes_idempotency::StoreAction;
use fes_idempotency::StoreEvent;
use fes_idempotency::UpstreamRefusal;
use fes_kernel::Outbox;
use fes_protocol::MonoTime;
use fes_protocol::RequestId;
use fes_protocol::ResultCode;

use super::AgentMessage;
use super::IDEMPOTENCY;
use super::IdempotencyEvent;
use super::REQUESTS;
use super::RequestEffect;
use super::SchedulerComponent;
use super::UpstreamOutcome;
use super::scheduler_component::ADMISSION_TIMER;
use super::scheduler_component::send_store_event;

impl SchedulerComponent {
    pub(super) fn on_outcome(
        &mut self,
        now: MonoTime,
        id: RequestId,
        outcome: UpstreamOutcome,
        outbox: &mut Outbox<AgentMessage>,
    ) {
        if outcome == UpstreamOutcome::Refused(UpstreamRefusal::NotSent) {
            self.handle_admission(now, AdmissionEvent::UpstreamDown, outbox);
        }
        if self.is_keyed(id) {
            self.on_keyed_outcome(now, id, outcome, outbox);
            return;
        }
        match outcome {
            UpstreamOutcome::Finished(_) => {
                self.release(now, AdmissionEvent::Finished { id }, id, outbox);
                self.on_answered(id, outbox);
            }
            UpstreamOutcome::Refused(UpstreamRefusal::NotSent) => {
                self.release(now, AdmissionEvent::Failed { id }, id, outbox);
                self.on_refused(now, id, ResultCode::NotRunUpstreamDown, outbox);
            }
            UpstreamOutcome::Refused(_) => {
                self.handle_admission(now, AdmissionEvent::UpstreamShed { id }, outbox);
            }
            UpstreamOutcome::Lost => {
                self.release(now, AdmissionEvent::Failed { id }, id, outbox);
                self.on_answered(id, outbox);
            }
        }
    }

    fn on_keyed_outcome(
        &mut self,
        now: MonoTime,
        id: RequestId,
        outcome: UpstreamOutcome,
        outbox: &mut Outbox<AgentMessage>,
    ) {
        let (event, store) = match outcome {
            UpstreamOutcome::Finished(response) => (
                AdmissionEvent::Finished { id },
                StoreEvent::UpstreamFinished {
                    request: id,
                    response,
                },
            ),
            UpstreamOutcome::Refused(proof) => {
                let retry = proof != UpstreamRefusal::NotSent && self.admission.take_retry_token();
                let event = match proof {
                    UpstreamRefusal::NotSent => AdmissionEvent::Failed { id },
                    _ => AdmissionEvent::UpstreamShed { id },
                };
                (
                    event,
                    StoreEvent::UpstreamRefused {
                        request: id,
                        proof,
                        retry,
                    },
                )
            }
            UpstreamOutcome::Lost => (
                AdmissionEvent::Failed { id },
                StoreEvent::UpstreamLost { request: id },
            ),
        };
        // The store gets the outcome first. If the upstream shed the request, admission then
        // refuses it; that refusal is ignored below, so that the store can't take it for the
        // outcome.
        send_store_event(store, outbox);
        if let Some(record) = self.records.get_mut(&id) {
            record.is_admitted = false;
        }
        for action in self.admission.handle(now, event) {
            match action {
                AdmissionAction::Refuse { id: refused, .. } if refused == id => {}
                AdmissionAction::Refuse { id, code } => self.on_refused(now, id, code, outbox),
                AdmissionAction::Start { id } => self.start_request(id, outbox),
                AdmissionAction::Timer { at } => outbox.set_timer(at, ADMISSION_TIMER),
            }
        }
        self.forget_if_finished(id, outbox);
    }

    pub(super) fn on_cancelled(
        &mut self,
        now: MonoTime,
        id: RequestId,
        outbox: &mut Outbox<AgentMessage>,
    ) {
        if self.is_keyed(id) {
            let event = CoordinatorEvent::ClientCancelled { request: id };
            outbox.send(
                IDEMPOTENCY,
                AgentMessage::Idempotency(IdempotencyEvent::Coordinator(event)),
            );
        } else {
            self.release(now, AdmissionEvent::Cancelled { id }, id, outbox);
        }
        self.on_answered(id, outbox);
    }

    pub(super) fn on_coordinator_action(
        &mut self,
        now: MonoTime,
        action: CoordinatorAction,
        outbox: &mut Outbox<AgentMessage>,
    ) {
        match action {
            CoordinatorAction::Store(StoreAction::Enqueue { request, .. }) => {
                self.admit(now, request, false, outbox);
            }
            CoordinatorAction::Store(
                StoreAction::Dequeue { request } | StoreAction::ReleaseSlot { request },
            ) => {
                let event = AdmissionEvent::Cancelled { id: request };
                self.release(now, event, request, outbox);
                self.forget_if_finished(request, outbox);
            }
            CoordinatorAction::Store(StoreAction::Start { request, .. }) => {
                let effect = RequestEffect::Start { id: request };
                outbox.send(REQUESTS, AgentMessage::Request(effect));
            }
            CoordinatorAction::Answer { request, answer }
            | CoordinatorAction::Store(StoreAction::Answer { request, answer })
            | CoordinatorAction::Relay(RelayAction::Answer { request, answer }) => {
                self.answer(request, answer, outbox);
            }
            CoordinatorAction::Relay(RelayAction::Forward {
                request,
                owner,
                deadline,
            }) => {
                self.status.borrow_mut().relayed += 1;
                let effect = RequestEffect::Relay {
                    id: request,
                    owner,
                    deadline,
                };
                outbox.send(REQUESTS, AgentMessage::Request(effect));
            }
            // A waiting request is answered later. A cancelled relay needs no action, because the
            // request's task has ended and thereby reset the link stream.
            CoordinatorAction::Store(StoreAction::Wait { .. } | StoreAction::KeysPurged { .. })
            | CoordinatorAction::Relay(RelayAction::Cancel { .. }) => {}
        }
    }
}
