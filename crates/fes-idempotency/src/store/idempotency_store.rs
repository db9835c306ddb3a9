//! State of the store and dispatch of its events.

use std::collections::BTreeMap;

use fes_protocol::FastMap;
use fes_protocol::MonoTime;
use fes_protocol::RequestId;

use super::record::HeldResponses;
use super::record::Record;
use super::record::RecordKey;
use crate::KEY_VALIDITY_MS;
use crate::OutcomeUnknown;
use crate::StoreAction;
use crate::StoreEvent;
use crate::StoreLimits;

/// Counters and gauges of a store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreStatistics {
    /// Keys held.
    pub key_count: usize,
    /// Executions queued or started.
    pub open_count: usize,
    /// Responses held.
    pub response_count: usize,
    /// Bytes of responses held.
    pub responses_bytes: usize,
    /// Keys issued before this time and not held are unknown, in milliseconds.
    pub low_water_ms: u64,
    /// Keys forgotten because their prefix expired.
    pub expired_count: u64,
    /// Keys forgotten early because the store was full.
    pub evicted_count: u64,
    /// Events that came too late or twice and were dropped.
    pub dropped_event_count: u64,
}

/// Decides on requests whose key names this incarnation.
#[derive(Debug)]
pub struct IdempotencyStore {
    pub(super) limits: StoreLimits,
    pub(super) records: BTreeMap<RecordKey, Record>,
    pub(super) executions: FastMap<RequestId, RecordKey>,
    pub(super) waiting: FastMap<RequestId, RecordKey>,
    pub(super) held: HeldResponses,
    pub(super) low_water_ms: u64,
    pub(super) expired_count: u64,
    pub(super) evicted_count: u64,
    pub(super) dropped_event_count: u64,
}

impl IdempotencyStore {
    /// Makes an empty store.
    #[must_use]
    pub fn new(limits: StoreLimits) -> Self {
        Self {
            limits,
            records: BTreeMap::new(),
            executions: FastMap::default(),
            waiting: FastMap::default(),
            held: HeldResponses::default(),
            low_water_ms: 0,
            expired_count: 0,
            evicted_count: 0,
            dropped_event_count: 0,
        }
    }

    /// Returns counters and gauges.
    #[must_use]
    pub fn statistics(&self) -> StoreStatistics {
        StoreStatistics {
            key_count: self.records.len(),
            open_count: self.executions.len(),
            response_count: self.held.count,
            responses_bytes: self.held.bytes,
            low_water_ms: self.low_water_ms,
            expired_count: self.expired_count,
            evicted_count: self.evicted_count,
            dropped_event_count: self.dropped_event_count,
        }
    }

    /// Reacts to an event; the host carries out the actions in order.
    pub fn handle(&mut self, now: MonoTime, event: StoreEvent) -> Vec<StoreAction> {
        self.raise_low_water(now.as_ms().saturating_sub(KEY_VALIDITY_MS));
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
                self.on_lost(request, OutcomeUnknown::UPSTREAM_LOST, &mut actions);
            }
            StoreEvent::ClientCancelled { request } => self.on_cancelled(request, &mut actions),
            StoreEvent::DrainBoundReached => self.on_drain_bound(&mut actions),
            StoreEvent::Timer => self.purge_expired(&mut actions),
        }
        actions
    }
}
