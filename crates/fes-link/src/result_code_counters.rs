//! Counters by result code, such as of dropped datagrams by reason.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use fes_protocol::ResultCode;

/// Counts drops or refusals by result code. Shared between tasks.
#[derive(Debug)]
pub struct ResultCodeCounters {
    counts: Box<[AtomicU64]>,
}

impl Default for ResultCodeCounters {
    fn default() -> Self {
        Self {
            counts: ResultCode::ALL.iter().map(|_| AtomicU64::new(0)).collect(),
        }
    }
}

impl ResultCodeCounters {
    /// Counts one event.
    pub fn count(&self, code: ResultCode) {
        self.add(code, 1);
    }

    /// Counts several events.
    pub fn add(&self, code: ResultCode, count: u64) {
        if let Ok(index) = ResultCode::ALL.binary_search(&code) {
            self.counts[index].fetch_add(count, Ordering::Relaxed);
        }
    }

    /// Returns the count of `code`.
    #[must_use]
    pub fn get(&self, code: ResultCode) -> u64 {
        ResultCode::ALL
            .binary_search(&code)
            .map_or(0, |index| self.counts[index].load(Ordering::Relaxed))
    }

    /// Returns all codes that were counted at least once, in ascending order.
    #[must_use]
    pub fn snapshot(&self) -> Vec<(ResultCode, u64)> {
        ResultCode::ALL
            .iter()
            .map(|code| (*code, self.get(*code)))
            .filter(|(_, count)| *count > 0)
            .collect()
    }
}
