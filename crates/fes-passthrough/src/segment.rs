//! Header fields of a packet of a pass-through flow.

use std::fmt;
use std::net::SocketAddrV4;

use serde::Deserialize;
use serde::Serialize;

/// Largest distance, in bytes, between a target's initial sequence number and the numbers that the
/// client's first packets acknowledge. Initial sequence numbers are random, so a larger distance
/// means that the client acknowledges a different target.
const MAX_ACK_DISTANCE_BYTES: u32 = 1 << 20;

/// Key of a flow: its two endpoints, in the direction from the client to the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FlowKey {
    /// Address of the client.
    pub client: SocketAddrV4,
    /// Address that the client connects to.
    pub destination: SocketAddrV4,
}

impl fmt::Display for FlowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}>{}", self.client, self.destination)
    }
}

/// Endpoint that sent a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sender {
    /// The client.
    Client,
    /// The target.
    Target,
}

/// Decoded header of a packet, independent of its format on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Segment {
    /// Flow of the packet.
    pub flow: FlowKey,
    /// Endpoint that sent it. A returned packet keeps its original sender.
    pub sender: Sender,
    /// Opens the flow (SYN).
    pub is_syn: bool,
    /// Carries an acknowledgement (ACK).
    pub is_ack: bool,
    /// Closes the sender's half of the flow (FIN).
    pub is_fin: bool,
    /// Aborts the flow (RST).
    pub is_reset: bool,
    /// Whether the payload begins a response that reports a failure of the target.
    pub is_failure: bool,
    /// Whether the target returned the packet because it doesn't hold or accept the flow.
    pub is_returned: bool,
    /// Sequence number of the first byte.
    pub sequence: u32,
    /// Next sequence number expected from the other endpoint. In a client's opening packet, the
    /// number of earlier transmissions of the packet.
    pub acknowledged: u32,
    /// Length of the payload in bytes.
    pub payload_bytes: u16,
}

impl Segment {
    /// Returns the sequence number after the last byte of the payload.
    #[must_use]
    pub fn end_of_data(&self) -> u32 {
        self.sequence.wrapping_add(u32::from(self.payload_bytes))
    }

    /// Returns whether a packet of a newly opened flow acknowledges the target whose initial
    /// sequence number is `initial_sequence`.
    #[must_use]
    pub const fn acknowledges(&self, initial_sequence: u32) -> bool {
        self.is_ack && self.acknowledged.wrapping_sub(initial_sequence) < MAX_ACK_DISTANCE_BYTES
    }
}

/// Returns whether a sequence number follows another one.
pub(crate) const fn is_ahead(sequence: u32, other: u32) -> bool {
    sequence != other && sequence.wrapping_sub(other) < 1 << 31
}
