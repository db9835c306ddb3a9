//! Settings of the offload planner.

use fes_protocol::TargetId;

/// Settings of the offload planner.
#[derive(Debug, Clone, PartialEq)]
pub struct OffloadSettings {
    /// Target of this agent.
    pub local_target: TargetId,
    /// Seed of all random choices.
    pub seed: u64,
    /// Age above which the weight of a report decreases, in milliseconds.
    pub fresh_ms: u64,
    /// Age from which a report has no weight, in milliseconds.
    pub stale_ms: u64,
}

impl OffloadSettings {
    /// Returns settings for a heartbeat interval of 750 ms: the weight of a report decreases after
    /// two missed heartbeats and is zero when the peer is declared dead.
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

/// A peer that is listed in the tickets and may receive offloaded requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OffloadPeer {
    /// The peer's target.
    pub target: TargetId,
    /// Network time of a request to the peer and of its response back, in milliseconds.
    pub round_trip_ms: u32,
}
