//! Bytes that control traffic takes on the wire.

use fes_protocol::CONTROL_OVERHEAD_BYTES;
use fes_protocol::ControlMessage;
use fes_protocol::MonoTime;
use fes_protocol::encode_control;

/// IPv4 and UDP headers.
const UDP_IP_OVERHEAD_BYTES: usize = 28;

/// Returns the size of a control message on the wire, encapsulation, UDP and IP headers included.
#[must_use]
pub fn datagram_bytes(message: &ControlMessage) -> usize {
    let payload_bytes = encode_control(message).map_or(0, |bytes| bytes.len());
    payload_bytes + CONTROL_OVERHEAD_BYTES + UDP_IP_OVERHEAD_BYTES
}

/// Adds up sent and received bytes of a process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TrafficMeter {
    since: MonoTime,
    sent_bytes: u64,
    received_bytes: u64,
}

impl TrafficMeter {
    /// Starts to count at a time.
    #[must_use]
    pub const fn starting(now: MonoTime) -> Self {
        Self {
            since: now,
            sent_bytes: 0,
            received_bytes: 0,
        }
    }

    /// Counts sent bytes.
    pub const fn count_sent(&mut self, size_bytes: usize) {
        self.sent_bytes += size_bytes as u64;
    }

    /// Counts received bytes.
    pub const fn count_received(&mut self, size_bytes: usize) {
        self.received_bytes += size_bytes as u64;
    }

    /// Returns the mean of sent bytes per second since the start.
    #[must_use]
    pub fn sent_per_second(&self, now: MonoTime) -> u64 {
        self.sent_bytes * 1_000 / now.ms_since(self.since).max(1)
    }

    /// Returns the mean of received bytes per second since the start.
    #[must_use]
    pub fn received_per_second(&self, now: MonoTime) -> u64 {
        self.received_bytes * 1_000 / now.ms_since(self.since).max(1)
    }
}
