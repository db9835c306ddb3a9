//! Low-water mark, expiry of keys and eviction under memory pressure.

use super::idempotency_store::IdempotencyStore;
use super::record::RecordKey;
use super::record::RecordState;
use crate::StoreAction;

/// An eviction removes about one in this many keys.
const EVICTION_DIVISOR: usize = 16;

impl IdempotencyStore {
    /// Raises the low-water mark. The mark never decreases, even if the given time does.
    pub(super) fn raise_low_water_mark(&mut self, issue_ms: u64) {
        self.low_water_ms = self.low_water_ms.max(issue_ms);
    }

    pub(super) fn purge_expired(&mut self, actions: &mut Vec<StoreAction>) {
        let removed = self.remove_below_low_water();
        self.expired_count += removed as u64;
        self.report_purged(removed, actions);
    }

    /// Ensures that the store can take one more key. If purging expired keys is not enough, raises
    /// the low-water mark past the oldest keys and evicts them.
    pub(super) fn ensure_capacity(&mut self, actions: &mut Vec<StoreAction>) {
        if self.records.len() < self.limits.max_keys {
            return;
        }
        self.purge_expired(actions);
        if self.records.len() < self.limits.max_keys {
            return;
        }
        let eviction_count = (self.limits.max_keys / EVICTION_DIVISOR).max(1);
        let ended = self
            .records
            .iter()
            .filter(|(_, record)| !record.state.is_open());
        let Some(last) = ended
            .take(eviction_count)
            .map(|(key, _)| key.issue_ms)
            .last()
        else {
            return;
        };
        self.raise_low_water_mark(last.saturating_add(1));
        let removed = self.remove_below_low_water();
        self.evicted_count += removed as u64;
        self.report_purged(removed, actions);
    }

    /// Removes all keys below the low-water mark whose execution has ended, and returns their
    /// number.
    fn remove_below_low_water(&mut self) -> usize {
        let low_water_ms = self.low_water_ms;
        let keys: Vec<RecordKey> = self
            .records
            .iter()
            .take_while(|(key, _)| key.issue_ms < low_water_ms)
            .filter(|(_, record)| !record.state.is_open())
            .map(|(key, _)| key.clone())
            .collect();
        for key in &keys {
            self.remove_record(key);
        }
        let records = &self.records;
        self.responses.compact(|key| records.contains_key(key));
        keys.len()
    }

    fn remove_record(&mut self, key: &RecordKey) {
        let Some(mut record) = self.records.remove(key) else {
            return;
        };
        if let RecordState::Finished(execution) = &mut record.state
            && let Some(response) = execution.take_response()
        {
            self.responses.release(response.size_bytes());
        }
    }

    /// Drops stored responses, oldest first, until the rest fits the limit.
    pub(super) fn evict_responses(&mut self) {
        while self.responses.bytes > self.limits.max_responses_bytes {
            let Some(key) = self.responses.pop_oldest() else {
                return;
            };
            let Some(record) = self.records.get_mut(&key) else {
                continue;
            };
            if let RecordState::Finished(execution) = &mut record.state
                && let Some(response) = execution.take_response()
            {
                self.responses.release(response.size_bytes());
            }
        }
    }

    fn report_purged(&self, key_count: usize, actions: &mut Vec<StoreAction>) {
        if key_count > 0 {
            actions.push(StoreAction::KeysPurged {
                key_count,
                low_water_ms: self.low_water_ms,
            });
        }
    }
}
