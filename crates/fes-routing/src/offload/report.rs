//! Load reports of peers, limited to plausible values.

use fes_protocol::Incarnation;
use fes_protocol::Lifecycle;
use fes_protocol::MonoTime;
use fes_protocol::PeerHeartbeat;

/// Largest plausible factor by which a capacity grows per second: the estimated speed may grow by a
/// factor of 1.25 while a limit that was reduced to one slot doubles with the second slot.
const MAX_GROWTH_PER_SECOND: f64 = 2.5;

/// Largest plausible capacity in the first report of a peer, as a multiple of this agent's
/// capacity. The fastest VM of a mixed fleet is a few times as fast as the slowest one.
const MAX_FIRST_CAPACITY_RATIO: u32 = 16;

/// Largest plausible demand of a peer, as a multiple of its capacity.
const MAX_DEMAND_RATIO: u32 = 20;

/// Latest report of a peer, limited to plausible values.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerReport {
    /// Incarnation of the peer.
    pub incarnation: Incarnation,
    /// Sequence number of the report within the incarnation.
    pub sequence: u64,
    /// Time at which the report arrived.
    pub received_at: MonoTime,
    /// Whether the peer accepts new work.
    pub serving: bool,
    /// Estimated capacity in milli-slots of a reference VM.
    pub capacity_milli: u32,
    /// Demand from the peer's clients, in milli-slots of a reference VM.
    pub demand_milli: u32,
    /// Expected wait of a short request at the time of the report, in milliseconds.
    pub queue_wait_ms: u32,
    /// Expected wait of a long request at the time of the report, in milliseconds.
    pub long_wait_ms: u32,
}

impl PeerReport {
    /// Converts a heartbeat into a report. Returns `None` if it isn't newer than `current`.
    /// Implausible values are reduced to the largest plausible ones.
    #[must_use]
    pub fn from_heartbeat(
        current: Option<&Self>,
        now: MonoTime,
        heartbeat: &PeerHeartbeat,
        local_capacity_milli: u32,
    ) -> Option<Self> {
        let previous = current.filter(|c| c.incarnation == heartbeat.incarnation);
        if previous.is_some_and(|p| p.sequence >= heartbeat.sequence) {
            return None;
        }
        let max_capacity_milli = match previous {
            Some(report) => {
                max_grown_capacity(report.capacity_milli, now.us_since(report.received_at))
            }
            None => local_capacity_milli
                .max(1_000)
                .saturating_mul(MAX_FIRST_CAPACITY_RATIO),
        };
        let capacity_milli = heartbeat.capacity_milli.min(max_capacity_milli);
        let max_demand_milli = capacity_milli.max(1_000).saturating_mul(MAX_DEMAND_RATIO);
        Some(Self {
            incarnation: heartbeat.incarnation,
            sequence: heartbeat.sequence,
            received_at: now,
            serving: heartbeat.lifecycle == Lifecycle::Serving,
            capacity_milli,
            demand_milli: heartbeat.demand_milli.min(max_demand_milli),
            queue_wait_ms: heartbeat.queue_wait_ms,
            long_wait_ms: heartbeat.long_wait_ms,
        })
    }
}

/// Returns the largest plausible capacity after `elapsed_us` since the previous report.
fn max_grown_capacity(capacity_milli: u32, elapsed_us: u64) -> u32 {
    // One second is added because the previous report may have been delayed longer than this one.
    let elapsed_s = elapsed_us as f64 / 1e6 + 1.0;
    let factor = MAX_GROWTH_PER_SECOND.powf(elapsed_s);
    (f64::from(capacity_milli.max(1_000)) * factor).min(f64::from(u32::MAX)) as u32
}
