//! Handlers for requests with new and known keys, and for cancellation.

use fes_protocol::MonoTime;
use fes_protocol::RequestId;
use fes_protocol::ResultCode;

use super::idempotency_store::IdempotencyStore;
use super::record::OpenExecution;
use super::record::Record;
use super::record::RecordKey;
use super::record::RecordState;
use crate::Answer;
use crate::AnswerDetail;
use crate::Execution;
use crate::IdempotencyKey;
use crate::NotRun;
use crate::RequestDigest;
use crate::StoreAction;

impl IdempotencyStore {
    pub(super) fn on_request(
        &mut self,
        now: MonoTime,
        request: RequestId,
        key: IdempotencyKey,
        digest: RequestDigest,
        deadline: MonoTime,
        actions: &mut Vec<StoreAction>,
    ) {
        if self.waiting.contains_key(&request) || self.executions.contains_key(&request) {
            self.dropped_event_count += 1;
            return;
        }
        let key = RecordKey::from(key);
        if self.records.contains_key(&key) {
            self.on_known_key(request, &key, digest, actions);
        } else {
            self.on_new_key(now, request, key, digest, deadline, actions);
        }
    }

    fn on_new_key(
        &mut self,
        now: MonoTime,
        request: RequestId,
        key: RecordKey,
        digest: RequestDigest,
        deadline: MonoTime,
        actions: &mut Vec<StoreAction>,
    ) {
        // An expired key is never stored, so it must not evict another key.
        if key.issue_ms >= self.low_water_ms {
            self.ensure_capacity(actions);
        }
        if key.issue_ms < self.low_water_ms {
            let code = ResultCode::UnknownKeyExpired;
            actions.push(answer(request, Answer::code(code)));
            return;
        }
        if self.records.len() >= self.limits.max_keys {
            // The refusal can't be recorded. Raising the low-water mark past the key ensures that
            // the key never runs later.
            self.raise_low_water_mark(key.issue_ms.saturating_add(1));
            let code = NotRun::STORE_FULL.code();
            actions.push(answer(request, Answer::code(code)));
            return;
        }
        if now > deadline {
            let state = RecordState::Refused(NotRun::DEADLINE);
            self.records.insert(key, Record { digest, state });
            let code = NotRun::DEADLINE.code();
            actions.push(answer(request, Answer::code(code)));
            return;
        }
        let state = RecordState::Queued(Box::new(OpenExecution {
            execution: Execution::new(request, deadline),
            waiters: vec![request],
        }));
        self.executions.insert(request, key.clone());
        self.waiting.insert(request, key.clone());
        self.records.insert(key, Record { digest, state });
        actions.push(StoreAction::Enqueue { request, deadline });
    }

    fn on_known_key(
        &mut self,
        request: RequestId,
        key: &RecordKey,
        digest: RequestDigest,
        actions: &mut Vec<StoreAction>,
    ) {
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        if record.digest != digest {
            let code = ResultCode::NotRunKeyReused;
            actions.push(answer(request, Answer::code(code)));
            return;
        }
        if let Some(known) = answer_for_state(&record.state) {
            actions.push(answer(request, known));
            return;
        }
        let execution = record.state.execution();
        if let (Some(waiters), Some(execution)) = (record.state.waiters_mut(), execution) {
            waiters.push(request);
            self.waiting.insert(request, key.clone());
            actions.push(StoreAction::Wait { request, execution });
        }
    }

    pub(super) fn on_cancelled(&mut self, request: RequestId, actions: &mut Vec<StoreAction>) {
        let Some(key) = self.waiting.remove(&request) else {
            self.dropped_event_count += 1;
            return;
        };
        let Some(record) = self.records.get_mut(&key) else {
            return;
        };
        let Some(waiters) = record.state.waiters_mut() else {
            return;
        };
        waiters.retain(|waiter| *waiter != request);
        let has_no_waiters = waiters.is_empty();
        // A started execution continues; its outcome is kept for a retry with the same key.
        if has_no_waiters && matches!(record.state, RecordState::Queued(_)) {
            self.refuse_queued(&key, NotRun::CANCELLED, actions);
        }
    }

    /// Refuses a queued execution and removes it from admission's queue.
    pub(super) fn refuse_queued(
        &mut self,
        key: &RecordKey,
        reason: NotRun,
        actions: &mut Vec<StoreAction>,
    ) {
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        let before = std::mem::replace(&mut record.state, RecordState::Refused(reason));
        let RecordState::Queued(open) = before else {
            record.state = before;
            return;
        };
        let execution = open.execution.request();
        actions.push(StoreAction::Dequeue { request: execution });
        self.close(
            execution,
            &open.waiters,
            &Answer::code(reason.code()),
            actions,
        );
    }

    /// Removes an execution and answers the requests that wait for it.
    pub(super) fn close(
        &mut self,
        execution: RequestId,
        waiters: &[RequestId],
        outcome: &Answer,
        actions: &mut Vec<StoreAction>,
    ) {
        self.executions.remove(&execution);
        for waiter in waiters {
            self.waiting.remove(waiter);
            actions.push(answer(*waiter, outcome.clone()));
        }
    }
}

/// Returns the answer for a key whose execution has ended.
fn answer_for_state(state: &RecordState) -> Option<Answer> {
    match state {
        RecordState::Queued(_) | RecordState::Started(_) => None,
        RecordState::Finished(execution) => Some(match execution.response() {
            Some(response) => Answer::Response(response.clone()),
            None => Answer::code(ResultCode::FinishedNotHeld),
        }),
        RecordState::Refused(first) => Some(Answer::Code {
            code: ResultCode::NotRunSticky,
            detail: AnswerDetail::FirstRefusal(first.code()),
        }),
        RecordState::Unknown(reason) => Some(Answer::code(reason.code())),
    }
}

pub(super) const fn answer(request: RequestId, answer: Answer) -> StoreAction {
    StoreAction::Answer { request, answer }
}
