//! Recognizes opening packets of a later flow, for which a client uses a port again.

use crate::Segment;

/// Upper bound on the bytes that a client sends in a flow while copies of its opening packet may
/// still arrive.
const MAX_BYTES_SINCE_OPENING: u32 = 1 << 20;

/// Sequence number that a client has used in a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientSequence {
    /// That of the opening packet.
    Opening(u32),
    /// That of a later packet, if the opening packet wasn't seen.
    Later(u32),
}

impl ClientSequence {
    /// Returns whether an opening packet belongs to a later flow. Retransmissions have the sequence
    /// number of the first transmission, which the numbers of later packets follow closely, while
    /// another flow begins at a random number.
    #[must_use]
    pub const fn is_superseded_by(self, opening: &Segment) -> bool {
        match self {
            Self::Opening(sequence) => sequence != opening.sequence,
            Self::Later(sequence) => {
                sequence.wrapping_sub(opening.sequence) > MAX_BYTES_SINCE_OPENING
            }
        }
    }
}
