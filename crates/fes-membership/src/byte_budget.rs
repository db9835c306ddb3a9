//! Bounds the bytes per second of one kind of message.

use fes_protocol::MonoTime;

/// A token bucket of bytes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ByteBudget {
    per_second: u64,
    burst_bytes: u64,
    left_bytes: u64,
    earned_until: MonoTime,
}

impl ByteBudget {
    /// Makes a full bucket.
    pub(crate) const fn new(now: MonoTime, per_second: u64, burst_bytes: u64) -> Self {
        Self {
            per_second,
            burst_bytes,
            left_bytes: burst_bytes,
            earned_until: now,
        }
    }

    /// Takes bytes. Returns whether there were enough; takes nothing otherwise.
    pub(crate) fn spend(&mut self, now: MonoTime, cost_bytes: u64) -> bool {
        let earned_bytes = now.ms_since(self.earned_until) * self.per_second / 1_000;
        if earned_bytes > 0 {
            self.left_bytes = (self.left_bytes + earned_bytes).min(self.burst_bytes);
            self.earned_until = now;
        }
        let enough = cost_bytes <= self.left_bytes;
        if enough {
            self.left_bytes -= cost_bytes;
        }
        enough
    }
}
