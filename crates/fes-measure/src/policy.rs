//! Policies that experiments compare.

/// Policy that entries and agents follow in a simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Policy {
    /// The decisions of the production code in this workspace.
    Current,
    /// Placement by hash modulo the number of targets, FIFO queues, key prefixes assigned
    /// round-robin, no refusal and no offload.
    Baseline,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 2] = [Self::Current, Self::Baseline];

    /// Returns the name used on the command line.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Current => "current",
            Self::Baseline => "baseline",
        }
    }

    /// Returns the policy with this name.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|policy| policy.name() == name)
    }
}
