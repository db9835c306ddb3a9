//! Settings of the offload planner.

use fes_protocol::TargetId;

/// Settings of the offload planner.
#[derive(Debug, Clone, PartialEq)]
pub struct OffloadSettings {
    /// This agent's target.
    pub local_target: TargetId,
    /// Seed of all random choices.
    pub seed: u64,
    /// Age from which a report counts less, in milliseconds.
    pub fresh_ms: u64,
    /// Age from which a report is not used, in milliseconds.
    pub stale_ms: u64,
}

impl OffloadSettings {
    /// Returns settings for heartbeats every 750 ms: a report counts less after two missed
    /// heartbeats and is dropped when the peer is declared dead.
    #[must_use]
    pub const fn new(local_target: TargetId, seed: u64) -> Self {
        Self {
            local_target,
            seed,
            fresh_ms: 1_500,
            stale_ms: 3_000,
        }
    }
}

/// A peer that tickets name and that may take new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OffloadPeer {
    /// The peer's target.
    pub target: TargetId,
    /// Time that a request spends on the way to the peer and its response on the way back, in
    /// milliseconds.
    pub hop_ms: u32,
}
