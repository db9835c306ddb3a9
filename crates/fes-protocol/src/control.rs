//! Control messages between processes, carried as encapsulated datagrams.

use serde::Deserialize;
use serde::Serialize;

use crate::EntryId;
use crate::Incarnation;
use crate::NodeId;
use crate::ResultCode;
use crate::ServiceId;
use crate::TargetId;
use crate::TicketNumber;

/// Largest control message that is accepted, in bytes.
const MAX_CONTROL_BYTES: usize = 1_372;

/// Lifecycle state that a process announces to other processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Lifecycle {
    /// Not ready to accept work.
    Starting,
    /// Accepts new work.
    Serving,
    /// Completes work in progress and accepts no new work.
    Draining,
    /// Stopped as planned.
    Stopped,
}

/// A peer that the sender of a heartbeat heard from recently.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeardPeer {
    /// The peer's target.
    pub target: TargetId,
    /// Tag of the latest incarnation heard from. The full incarnation would make a heartbeat among
    /// seven agents a third larger.
    pub incarnation_tag: u16,
}

/// Heartbeat between the agents of one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// Sender's service.
    pub service: ServiceId,
    /// Sender's target.
    pub target: TargetId,
    /// Sender's incarnation.
    pub incarnation: Incarnation,
    /// Increases by one with each heartbeat of an incarnation.
    pub sequence: u64,
    /// Sender's lifecycle state.
    pub lifecycle: Lifecycle,
    /// Estimated capacity in thousandths of a slot of the reference VM: 1,000 is one such slot.
    pub capacity_milli: u32,
    /// Work arriving at the sender, in the unit of `capacity_milli`.
    pub demand_milli: u32,
    /// Expected queue wait of a short request at the sender, in milliseconds.
    pub queue_wait_ms: u32,
    /// Expected queue wait of a long request behind other long ones at the sender, in
    /// milliseconds; 0 while long requests may use another slot.
    pub long_wait_ms: u32,
    /// Open flows at the sender.
    pub flow_count: u32,
    /// The sender's monotonic clock in milliseconds, for idempotency key prefixes issued by the
    /// sender.
    pub key_issue_ms: u64,
    /// Peers that the sender heard from within its suspicion timeout.
    pub heard: Vec<HeardPeer>,
}

/// Heartbeat from an agent to the entries that monitor it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryHeartbeat {
    /// Sender's service.
    pub service: ServiceId,
    /// Sender's target.
    pub target: TargetId,
    /// Sender's incarnation.
    pub incarnation: Incarnation,
    /// Increases with each heartbeat of an incarnation.
    pub sequence: u64,
    /// Sender's lifecycle state.
    pub lifecycle: Lifecycle,
    /// Open flows at the sender.
    pub flow_count: u32,
}

/// An observer's assessment of a target's liveness.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// Heard from recently.
    Alive,
    /// Not heard from within the failure timeout.
    Dead,
    /// Accepts no new work.
    Leaving,
    /// Heard from, but its link works in one direction only or fails repeatedly; gets no new work
    /// while this lasts.
    Impaired,
}

/// A verdict disseminated by gossip.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LivenessVerdict {
    /// The process that holds the verdict. Receivers count distinct observers, because a single
    /// verdict must not cause a reset.
    pub observer: NodeId,
    /// Service of the target.
    pub service: ServiceId,
    /// The target that the verdict is about.
    pub target: TargetId,
    /// The incarnation that the verdict is about; it doesn't apply to other incarnations.
    pub incarnation: Incarnation,
    /// The verdict itself.
    pub verdict: Verdict,
    /// Orders the verdicts of one observer about one target; the higher one wins.
    pub version: u32,
}

/// Summary of the verdicts that a process holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LivenessDigest {
    /// Sender.
    pub node: NodeId,
    /// Order-independent hash over all verdicts held.
    pub hash: u64,
    /// Number of verdicts held.
    pub count: u32,
    /// Hashes per range of targets, which request the receiver's verdicts in the ranges that
    /// differ. Empty in a periodic digest.
    pub ranges: Vec<RangeHash>,
}

/// Short order-independent hash over the targets in one range that enough observers exclude from
/// placement. It also depends on the sender's hash over all verdicts, so that a collision between
/// two ranges that differ doesn't persist.
pub type RangeHash = u8;

/// Announces a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Goodbye {
    /// The process that stops.
    pub node: NodeId,
    /// The incarnation that stops.
    pub incarnation: Incarnation,
}

/// Summary of the tickets that a process holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketDigest {
    /// Sender.
    pub node: NodeId,
    /// Entry with the most recent platform contact that the sender knows of, if any.
    pub reader: Option<EntryId>,
    /// Highest ticket number held.
    pub highest: TicketNumber,
    /// Order-independent hash over all objects in force with their numbers.
    pub state_hash: u64,
    /// Age of the most recent platform contact known, in milliseconds.
    pub platform_age_ms: u32,
}

/// A control message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ControlMessage {
    /// Heartbeat between agents.
    PeerHeartbeat(PeerHeartbeat),
    /// Heartbeat to an entry.
    EntryHeartbeat(EntryHeartbeat),
    /// Planned stop.
    Goodbye(Goodbye),
    /// Summary of tickets held.
    TicketDigest(TicketDigest),
    /// Verdicts disseminated by gossip.
    Liveness(Vec<LivenessVerdict>),
    /// Summary of verdicts held.
    LivenessDigest(LivenessDigest),
}

/// Encodes a control message.
///
/// # Errors
///
/// Returns [`ResultCode::ControlTooLarge`] if it doesn't fit into one datagram.
pub fn encode_control(message: &ControlMessage) -> Result<Vec<u8>, ResultCode> {
    let bytes = bincode::serde::encode_to_vec(message, bincode::config::standard())
        .map_err(|_| ResultCode::ControlMalformed)?;
    if bytes.len() > MAX_CONTROL_BYTES {
        return Err(ResultCode::ControlTooLarge);
    }
    Ok(bytes)
}

/// Decodes a control message; trailing bytes are an error.
///
/// # Errors
///
/// Returns [`ResultCode::ControlTooLarge`] or [`ResultCode::ControlMalformed`].
pub fn decode_control(bytes: &[u8]) -> Result<ControlMessage, ResultCode> {
    if bytes.len() > MAX_CONTROL_BYTES {
        return Err(ResultCode::ControlTooLarge);
    }
    let config = bincode::config::standard().with_limit::<MAX_CONTROL_BYTES>();
    let (message, used) = bincode::serde::decode_from_slice(bytes, config)
        .map_err(|_| ResultCode::ControlMalformed)?;
    if used != bytes.len() {
        return Err(ResultCode::ControlMalformed);
    }
    Ok(message)
}
