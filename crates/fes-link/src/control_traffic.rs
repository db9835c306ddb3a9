//! Byte counters of control messages.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use fes_protocol::CONTROL_OVERHEAD_BYTES;

/// Counts the bytes of control messages including their encapsulation. Shared between tasks.
#[derive(Debug, Default)]
pub struct ControlTraffic {
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
}

impl ControlTraffic {
    /// Counts a sent message; `payload_bytes` is its length without encapsulation.
    pub fn count_sent(&self, payload_bytes: usize) {
        let size_bytes = payload_bytes + CONTROL_OVERHEAD_BYTES;
        self.sent_bytes
            .fetch_add(size_bytes as u64, Ordering::Relaxed);
    }

    /// Counts a received message; `payload_bytes` is its length without encapsulation.
    pub fn count_received(&self, payload_bytes: usize) {
        let size_bytes = payload_bytes + CONTROL_OVERHEAD_BYTES;
        self.received_bytes
            .fetch_add(size_bytes as u64, Ordering::Relaxed);
    }

    /// Returns the bytes sent.
    #[must_use]
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }

    /// Returns the bytes received.
    #[must_use]
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes.load(Ordering::Relaxed)
    }
}
