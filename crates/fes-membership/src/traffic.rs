//! Size of control traffic on the wire.

use fes_protocol::CONTROL_OVERHEAD_BYTES;
use fes_protocol::ControlMessage;
use fes_protocol::MonoTime;
use fes_protocol::encode_control;

/// IPv4 and UDP headers.
const UDP_IP_OVERHEAD_BYTES: usize = 28;

/// Returns the size of a control message on the wire in bytes, including encapsulation, UDP and IP
/// headers.
#[must_use]
pub fn datagram_bytes(message: &ControlMessage) -> usize {
    let payload_bytes = encode_control(message).map_or(0, |bytes| bytes.len());
    payload_bytes + CONTROL_OVERHEAD_BYTES + UDP_IP_OVERHEAD_BYTES
}

/// Counts the bytes that a process sends and receives.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TrafficMeter {
    since: MonoTime,
    sent_bytes: u64,
    received_bytes: u64,
}

impl TrafficMeter {
    /// Creates a meter that starts to count at `now`.
    #[must_use]
    pub const fn starting(now: MonoTime) -> Self {
        Self {
            since: now,
            sent_bytes: 0,
            received_bytes: 0,
        }
    }

    /// Adds sent bytes.
    pub const fn count_sent(&mut self, size_bytes: usize) {
        self.sent_bytes += size_bytes as u64;
    }

    /// Adds received bytes.
    pub const fn count_received(&mut self, size_bytes: usize) {
        self.received_bytes += size_bytes as u64;
    }

    /// Returns the mean of sent bytes per second since the start of counting.
    #[must_use]
    pub fn sent_per_second(&self, now: MonoTime) -> u64 {
        self.sent_bytes * 1_000 / now.ms_since(self.since).max(1)
    }

    /// Returns the mean of received bytes per second since the start of counting.
    #[must_use]
    pub fn received_per_second(&self, now: MonoTime) -> u64 {
        self.received_bytes * 1_000 / now.ms_since(self.since).max(1)
    }
}
