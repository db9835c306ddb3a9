//! Token bucket that limits the bytes per second of one kind of message.

use fes_protocol::MonoTime;

/// Token bucket whose tokens are bytes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ByteBudget {
    bytes_per_second: u64,
    burst_bytes: u64,
    available_bytes: u64,
    refilled_at: MonoTime,
}

impl ByteBudget {
    /// Creates a full bucket.
    pub(crate) const fn new(now: MonoTime, bytes_per_second: u64, burst_bytes: u64) -> Self {
        Self {
            bytes_per_second,
            burst_bytes,
            available_bytes: burst_bytes,
            refilled_at: now,
        }
    }

    /// Takes `cost_bytes` if that many are available. Returns whether they were.
    pub(crate) fn try_spend(&mut self, now: MonoTime, cost_bytes: u64) -> bool {
        let refill_bytes = now.ms_since(self.refilled_at) * self.bytes_per_second / 1_000;
        if refill_bytes > 0 {
            self.available_bytes = (self.available_bytes + refill_bytes).min(self.burst_bytes);
            self.refilled_at = now;
        }
        let is_enough = cost_bytes <= self.available_bytes;
        if is_enough {
            self.available_bytes -= cost_bytes;
        }
        is_enough
    }
}
