//! State of the store and dispatch of events.

use std::collections::BTreeMap;

use fes_protocol::FastMap;
use fes_protocol::MonoTime;
use fes_protocol::RequestId;

use super::record::Record;
use super::record::RecordKey;
use super::record::ResponseQueue;
use crate::KEY_VALIDITY_MS;
use crate::OutcomeUnknown;
use crate::StoreAction;
use crate::StoreEvent;
use crate::StoreLimits;

/// Statistics of a store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreStatistics {
    /// Keys in the store.
    pub key_count: usize,
    /// Executions that are queued or started.
    pub open_count: usize,
    /// Stored responses.
    pub response_count: usize,
    /// Size of the stored responses, in bytes.
    pub responses_bytes: usize,
    /// Low-water mark, in milliseconds on the owner's monotonic clock. The outcome of a key that
    /// was issued before it and is not in the store is unknown.
    pub low_water_ms: u64,
    /// Keys purged because their prefix expired.
    pub expired_count: u64,
    /// Keys evicted before their expiry because the store was full.
    pub evicted_count: u64,
    /// Late and duplicate events that were dropped.
    pub dropped_event_count: u64,
}

/// Idempotency store of one agent incarnation: decides how to handle requests whose key names this
/// incarnation.
#[derive(Debug)]
pub struct IdempotencyStore {
    pub(super) limits: StoreLimits,
    pub(super) records: BTreeMap<RecordKey, Record>,
    /// Executions in progress, by the request on whose behalf they were created.
    pub(super) executions: FastMap<RequestId, RecordKey>,
    /// Requests that wait for the outcome of an execution, including the one that it was created
    /// for.
    pub(super) waiting: FastMap<RequestId, RecordKey>,
    pub(super) responses: ResponseQueue,
    pub(super) low_water_ms: u64,
    pub(super) expired_count: u64,
    pub(super) evicted_count: u64,
    pub(super) dropped_event_count: u64,
}

impl IdempotencyStore {
    /// Creates an empty store.
    #[must_use]
    pub fn new(limits: StoreLimits) -> Self {
        Self {
            limits,
            records: BTreeMap::new(),
            executions: FastMap::default(),
            waiting: FastMap::default(),
            responses: ResponseQueue::default(),
            low_water_ms: 0,
            expired_count: 0,
            evicted_count: 0,
            dropped_event_count: 0,
        }
    }

    /// Returns the current statistics.
    #[must_use]
    pub fn statistics(&self) -> StoreStatistics {
        StoreStatistics {
            key_count: self.records.len(),
            open_count: self.executions.len(),
            response_count: self.responses.count,
            responses_bytes: self.responses.bytes,
            low_water_ms: self.low_water_ms,
            expired_count: self.expired_count,
            evicted_count: self.evicted_count,
            dropped_event_count: self.dropped_event_count,
        }
    }

    /// Processes an event and returns the actions that the host must carry out, in order.
    pub fn handle(&mut self, now: MonoTime, event: StoreEvent) -> Vec<StoreAction> {
        self.raise_low_water_mark(now.as_ms().saturating_sub(KEY_VALIDITY_MS));
        let mut actions = Vec::new();
        match event {
            StoreEvent::Request {
                request,
                key,
                digest,
                deadline,
            } => self.on_request(now, request, key, digest, deadline, &mut actions),
            StoreEvent::SlotGranted { request } => self.on_slot_granted(now, request, &mut actions),
            StoreEvent::AdmissionRefused { request, code } => {
                self.on_admission_refused(request, code, &mut actions);
            }
            StoreEvent::UpstreamFinished { request, response } => {
                self.on_finished(request, response, &mut actions);
            }
            StoreEvent::UpstreamRefused {
                request,
                proof,
                retry,
            } => self.on_upstream_refused(now, request, proof, retry, &mut actions),
            StoreEvent::UpstreamLost { request } => {
                self.end_with_unknown_outcome(request, OutcomeUnknown::UPSTREAM_LOST, &mut actions);
            }
            StoreEvent::ClientCancelled { request } => self.on_cancelled(request, &mut actions),
            StoreEvent::DrainBoundReached => self.on_drain_bound(&mut actions),
            StoreEvent::Timer => self.purge_expired(&mut actions),
        }
        actions
    }
}
