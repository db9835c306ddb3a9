//! Low-water mark, expiry and memory pressure.

use super::idempotency_store::IdempotencyStore;
use super::record::RecordKey;
use super::record::RecordState;
use crate::StoreAction;

/// Share of the keys that one early purge forgets: one in this many.
const EARLY_PURGE_SHARE: usize = 16;

impl IdempotencyStore {
    /// Raises the low-water mark; it never moves down, whatever the caller's clock says.
    pub(super) fn raise_low_water(&mut self, issue_ms: u64) {
        self.low_water_ms = self.low_water_ms.max(issue_ms);
    }

    pub(super) fn purge_expired(&mut self, actions: &mut Vec<StoreAction>) {
        let forgotten = self.forget_below_mark();
        self.expired_count += forgotten as u64;
        self.report(forgotten, actions);
    }

    /// Makes room for one key; under pressure the mark moves past the oldest keys.
    pub(super) fn make_room(&mut self, actions: &mut Vec<StoreAction>) {
        if self.records.len() < self.limits.max_keys {
            return;
        }
        self.purge_expired(actions);
        if self.records.len() < self.limits.max_keys {
            return;
        }
        let share = (self.limits.max_keys / EARLY_PURGE_SHARE).max(1);
        let closed = self
            .records
            .iter()
            .filter(|(_, record)| !record.state.is_open());
        let Some(last) = closed.take(share).map(|(key, _)| key.issue_ms).last() else {
            return;
        };
        self.raise_low_water(last.saturating_add(1));
        let forgotten = self.forget_below_mark();
        self.evicted_count += forgotten as u64;
        self.report(forgotten, actions);
    }

    /// Forgets all keys below the mark whose execution is over.
    fn forget_below_mark(&mut self) -> usize {
        let low_water_ms = self.low_water_ms;
        let below: Vec<RecordKey> = self
            .records
            .iter()
            .take_while(|(key, _)| key.issue_ms < low_water_ms)
            .filter(|(_, record)| !record.state.is_open())
            .map(|(key, _)| key.clone())
            .collect();
        for key in &below {
            self.forget(key);
        }
        let records = &self.records;
        self.held.compact(|key| records.contains_key(key));
        below.len()
    }

    fn forget(&mut self, key: &RecordKey) {
        let Some(mut record) = self.records.remove(key) else {
            return;
        };
        if let RecordState::Finished(execution) = &mut record.state
            && let Some(response) = execution.drop_response()
        {
            self.held.release(response.size_bytes());
        }
    }

    /// Drops the responses that finished first until the rest fits.
    pub(super) fn drop_excess_responses(&mut self) {
        while self.held.bytes > self.limits.max_responses_bytes {
            let Some(key) = self.held.pop_oldest() else {
                return;
            };
            let Some(record) = self.records.get_mut(&key) else {
                continue;
            };
            if let RecordState::Finished(execution) = &mut record.state
                && let Some(response) = execution.drop_response()
            {
                self.held.release(response.size_bytes());
            }
        }
    }

    fn report(&self, key_count: usize, actions: &mut Vec<StoreAction>) {
        if key_count > 0 {
            actions.push(StoreAction::KeysPurged {
                key_count,
                low_water_ms: self.low_water_ms,
            });
        }
    }
}
