//! Policies that are compared.

/// Which decisions the agents make.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Policy {
    /// The decision crates of this project.
    Current,
    /// Plain hash placement, first in first out, key prefixes in turn, no refusal.
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

    /// Returns the policy of this name.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|policy| policy.name() == name)
    }
}
