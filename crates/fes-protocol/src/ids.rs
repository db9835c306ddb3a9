//! Numeric identifiers.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

macro_rules! numeric_id {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl From<$inner> for $name {
            fn from(value: $inner) -> Self {
                Self(value)
            }
        }
    };
}

numeric_id!(
    /// Number of a service, unique in the system and never reused.
    ServiceId,
    u32
);
numeric_id!(
    /// Number of a target, that is, of an upstream and its agent; unique in the system and never
    /// reused.
    TargetId,
    u32
);
numeric_id!(
    /// Number of an entry, unique in the system.
    EntryId,
    u32
);
numeric_id!(
    /// Random number that identifies one run of a process. It isn't a start time, and where safety
    /// depends on it, it is compared for equality only, because the clock of a replaced VM may be
    /// behind.
    Incarnation,
    u64
);
numeric_id!(
    /// Number of a change ticket. A higher number replaces a lower one, per object.
    TicketNumber,
    u64
);
numeric_id!(
    /// Epoch of a secret key, 0 to 3. The current and one adjacent epoch are accepted.
    KeyEpoch,
    u8
);
numeric_id!(
    /// Identifies one request within an agent incarnation.
    RequestId,
    u64
);

impl Incarnation {
    /// Returns a short tag that differs between incarnations of one process with high probability.
    #[must_use]
    pub const fn tag(self) -> u16 {
        let folded = self.0 ^ (self.0 >> 16) ^ (self.0 >> 32) ^ (self.0 >> 48);
        (folded & 0xffff) as u16
    }
}

/// A process of the system: an entry or the agent of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum NodeId {
    /// An entry.
    Entry(EntryId),
    /// The agent beside the upstream with this target ID.
    Agent(TargetId),
}

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Entry(id) => write!(f, "entry-{id}"),
            Self::Agent(id) => write!(f, "agent-{id}"),
        }
    }
}
