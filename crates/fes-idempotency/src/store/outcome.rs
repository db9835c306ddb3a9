//! Handlers for events of admission and of the upstream.

use std::sync::Arc;

use fes_protocol::MonoTime;
use fes_protocol::RequestId;
use fes_protocol::ResultCode;

use super::idempotency_store::IdempotencyStore;
use super::record::OpenExecution;
use super::record::RecordKey;
use super::record::RecordState;
use crate::Answer;
use crate::FinishedResponse;
use crate::NotRun;
use crate::OutcomeUnknown;
use crate::Queued;
use crate::Started;
use crate::StoreAction;
use crate::StoredResponse;
use crate::UpstreamRefusal;

impl IdempotencyStore {
    pub(super) fn on_slot_granted(
        &mut self,
        now: MonoTime,
        request: RequestId,
        actions: &mut Vec<StoreAction>,
    ) {
        if !self.executions.contains_key(&request) {
            actions.push(StoreAction::ReleaseSlot { request });
            return;
        }
        let Some((key, open)) = self.take_queued(request) else {
            self.dropped_event_count += 1;
            return;
        };
        let OpenExecution { execution, waiters } = *open;
        let deadline = execution.deadline();
        match execution.start(now) {
            Ok(execution) => {
                let started = Box::new(OpenExecution { execution, waiters });
                self.set_state(&key, RecordState::Started(started));
                actions.push(StoreAction::Start { request, deadline });
            }
            Err(reason) => {
                actions.push(StoreAction::ReleaseSlot { request });
                self.refuse(&key, request, &waiters, reason, actions);
            }
        }
    }

    pub(super) fn on_admission_refused(
        &mut self,
        request: RequestId,
        code: NotRun,
        actions: &mut Vec<StoreAction>,
    ) {
        let Some((key, open)) = self.take_queued(request) else {
            self.dropped_event_count += 1;
            return;
        };
        let reason = open.execution.refuse(code);
        self.refuse(&key, request, &open.waiters, reason, actions);
    }

    pub(super) fn on_finished(
        &mut self,
        request: RequestId,
        response: FinishedResponse,
        actions: &mut Vec<StoreAction>,
    ) {
        let Some((key, open)) = self.take_started(request) else {
            self.dropped_event_count += 1;
            return;
        };
        let OpenExecution { execution, waiters } = *open;
        match response {
            FinishedResponse::Buffered(response) => {
                let stored = self.store_response(&key, &response);
                self.set_state(&key, RecordState::Finished(execution.finish(stored)));
                self.close(request, &waiters, &Answer::Response(response), actions);
            }
            FinishedResponse::Streamed => {
                self.set_state(&key, RecordState::Finished(execution.finish(None)));
                // The first request received the response as a stream.
                self.waiting.remove(&request);
                let others: Vec<RequestId> =
                    waiters.into_iter().filter(|id| *id != request).collect();
                let outcome = Answer::code(ResultCode::FinishedNotHeld);
                self.close(request, &others, &outcome, actions);
            }
        }
        self.evict_responses();
    }

    pub(super) fn on_upstream_refused(
        &mut self,
        now: MonoTime,
        request: RequestId,
        proof: UpstreamRefusal,
        retry: bool,
        actions: &mut Vec<StoreAction>,
    ) {
        let Some((key, open)) = self.take_started(request) else {
            self.dropped_event_count += 1;
            return;
        };
        let OpenExecution { execution, waiters } = *open;
        let execution = execution.requeue(proof);
        let deadline = execution.deadline();
        if retry && now <= deadline {
            let queued = Box::new(OpenExecution { execution, waiters });
            self.set_state(&key, RecordState::Queued(queued));
            actions.push(StoreAction::Enqueue { request, deadline });
        } else {
            let reason = execution.refuse(proof.reason());
            self.refuse(&key, request, &waiters, reason, actions);
        }
    }

    pub(super) fn end_with_unknown_outcome(
        &mut self,
        request: RequestId,
        reason: OutcomeUnknown,
        actions: &mut Vec<StoreAction>,
    ) {
        let Some((key, open)) = self.take_started(request) else {
            self.dropped_event_count += 1;
            return;
        };
        let reason = open.execution.mark_unknown(reason);
        self.set_state(&key, RecordState::Unknown(reason));
        let outcome = Answer::code(reason.code());
        self.close(request, &open.waiters, &outcome, actions);
    }

    pub(super) fn on_drain_bound(&mut self, actions: &mut Vec<StoreAction>) {
        let mut open: Vec<(RequestId, RecordKey)> = self
            .executions
            .iter()
            .map(|(request, key)| (*request, key.clone()))
            .collect();
        open.sort_unstable();
        for (request, key) in open {
            let queued = self
                .records
                .get(&key)
                .is_some_and(|record| matches!(record.state, RecordState::Queued(_)));
            if queued {
                self.refuse_queued(&key, NotRun::DRAINING, actions);
            } else {
                self.end_with_unknown_outcome(request, OutcomeUnknown::DRAIN_BOUND, actions);
            }
        }
    }

    fn refuse(
        &mut self,
        key: &RecordKey,
        execution: RequestId,
        waiters: &[RequestId],
        reason: NotRun,
        actions: &mut Vec<StoreAction>,
    ) {
        self.set_state(key, RecordState::Refused(reason));
        self.close(execution, waiters, &Answer::code(reason.code()), actions);
    }

    fn set_state(&mut self, key: &RecordKey, state: RecordState) {
        if let Some(record) = self.records.get_mut(key) {
            record.state = state;
        }
    }

    /// Takes the queued execution out of its record, which holds a placeholder until the caller
    /// sets its next state.
    fn take_queued(
        &mut self,
        request: RequestId,
    ) -> Option<(RecordKey, Box<OpenExecution<Queued>>)> {
        let key = self.executions.get(&request)?.clone();
        let record = self.records.get_mut(&key)?;
        match std::mem::replace(&mut record.state, RecordState::Refused(NotRun::CANCELLED)) {
            RecordState::Queued(open) => Some((key, open)),
            other => {
                record.state = other;
                None
            }
        }
    }

    /// Takes the started execution out of its record, which holds a placeholder until the caller
    /// sets its next state.
    fn take_started(
        &mut self,
        request: RequestId,
    ) -> Option<(RecordKey, Box<OpenExecution<Started>>)> {
        let key = self.executions.get(&request)?.clone();
        let record = self.records.get_mut(&key)?;
        let placeholder = RecordState::Unknown(OutcomeUnknown::UPSTREAM_LOST);
        match std::mem::replace(&mut record.state, placeholder) {
            RecordState::Started(open) => Some((key, open)),
            other => {
                record.state = other;
                None
            }
        }
    }

    /// Stores and returns a copy of the response, unless it exceeds the size limit.
    fn store_response(
        &mut self,
        key: &RecordKey,
        response: &Arc<StoredResponse>,
    ) -> Option<Arc<StoredResponse>> {
        let bytes = response.size_bytes();
        if bytes > self.limits.max_response_bytes {
            return None;
        }
        self.responses.push(key.clone(), bytes);
        Some(Arc::new(response.compact()))
    }
}
