//! What a peer last reported, checked for plausibility.

use fes_protocol::Incarnation;
use fes_protocol::Lifecycle;
use fes_protocol::MonoTime;
use fes_protocol::PeerHeartbeat;

/// Largest plausible growth of a capacity per second. Learnt speed grows by 1.25 and a reduced
/// limit of one slot doubles with the next slot.
const MAX_GROWTH_PER_SECOND: f64 = 2.5;

/// Largest plausible capacity of a peer that is heard for the first time, as a multiple of this
/// agent's own. The fastest VM of a mixed fleet is a few times as fast as the slowest one.
const MAX_FIRST_RATIO: u32 = 16;

/// Largest plausible demand as a multiple of the capacity.
const MAX_DEMAND_RATIO: u32 = 20;

/// The last plausible report of a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerReport {
    /// The peer's incarnation.
    pub incarnation: Incarnation,
    /// Orders the reports of one incarnation.
    pub sequence: u64,
    /// When the report arrived.
    pub received_at: MonoTime,
    /// Whether the peer takes new work.
    pub serving: bool,
    /// Learnt capacity in milli-slots of a reference VM.
    pub capacity_milli: u32,
    /// Work that arrives from the peer's clients.
    pub demand_milli: u32,
    /// Expected wait of a short request at the time of the report, in milliseconds.
    pub queue_wait_ms: u32,
    /// Expected wait of a long request at the time of the report, in milliseconds.
    pub long_wait_ms: u32,
}

impl PeerReport {
    /// Takes a heartbeat over. Returns `None` if it is older than the report held. Implausible
    /// figures are cut down to what is plausible.
    #[must_use]
    pub fn from_heartbeat(
        held: Option<&Self>,
        now: MonoTime,
        heartbeat: &PeerHeartbeat,
        own_capacity_milli: u32,
    ) -> Option<Self> {
        let same = held.filter(|h| h.incarnation == heartbeat.incarnation);
        if same.is_some_and(|h| h.sequence >= heartbeat.sequence) {
            return None;
        }
        let max_capacity_milli = match same {
            Some(held) => grown(held.capacity_milli, now.us_since(held.received_at)),
            None => own_capacity_milli
                .max(1_000)
                .saturating_mul(MAX_FIRST_RATIO),
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

fn grown(capacity_milli: u32, elapsed_us: u64) -> u32 {
    // A second is added because the report held may have been delayed less than this one.
    let elapsed_s = elapsed_us as f64 / 1e6 + 1.0;
    let factor = MAX_GROWTH_PER_SECOND.powf(elapsed_s);
    (f64::from(capacity_milli.max(1_000)) * factor).min(f64::from(u32::MAX)) as u32
}
