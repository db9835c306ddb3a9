//! What the decisions see of a packet of a pass-through flow.

use std::fmt;
use std::net::SocketAddrV4;

use serde::Deserialize;
use serde::Serialize;

/// Largest distance, in bytes, between the sequence number with which a target accepted a flow and
/// one that the client's first packets acknowledge. Sequence numbers start at random, so a distance
/// beyond this means that another target is meant.
const MAX_FIRST_BYTES: u32 = 1 << 20;

/// Names a flow by its two ends, in the direction from the client to the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FlowKey {
    /// Address of the client's end.
    pub client: SocketAddrV4,
    /// Address that the client connects to.
    pub destination: SocketAddrV4,
}

impl fmt::Display for FlowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}>{}", self.client, self.destination)
    }
}

/// Which end wrote a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sender {
    /// The client.
    Client,
    /// The target.
    Target,
}

/// Header of a packet, independent of its format on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Segment {
    /// Flow of the packet.
    pub flow: FlowKey,
    /// End that wrote it. A returned packet keeps the end that wrote it first.
    pub sender: Sender,
    /// Opens the flow (SYN).
    pub is_syn: bool,
    /// Carries an acknowledgement (ACK).
    pub is_ack: bool,
    /// Ends its sender's half of the flow (FIN).
    pub is_fin: bool,
    /// Breaks the flow off (RST).
    pub is_reset: bool,
    /// The target handed the packet back since it doesn't hold or accept the flow.
    pub is_returned: bool,
    /// Sequence number of the first byte.
    pub sequence: u32,
    /// Next sequence number expected from the other end. In an opening packet of a client, the
    /// number of copies sent before.
    pub acknowledged: u32,
    /// Length of the data in bytes.
    pub payload_bytes: u16,
}

impl Segment {
    /// Returns whether a packet of a flow that was just opened answers the target that accepted it
    /// with `opening_sequence`.
    #[must_use]
    pub const fn acknowledges(&self, opening_sequence: u32) -> bool {
        self.is_ack && self.acknowledged.wrapping_sub(opening_sequence) < MAX_FIRST_BYTES
    }
}
