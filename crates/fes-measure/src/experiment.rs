//! Names of the experiments.

/// An experiment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Experiment {
    /// Flows broken by planned changes, entry crashes and target crashes.
    BrokenFlows,
    /// Spread of utilisation over upstreams of different speeds.
    Imbalance,
    /// Goodput and latency around demand peaks.
    DemandPeak,
    /// Head-of-line blocking: queueing of short requests behind long ones.
    HeadOfLine,
    /// All experiments.
    All,
}

impl Experiment {
    /// All variants, [`Experiment::All`] last.
    pub const ALL: [Self; 5] = [
        Self::BrokenFlows,
        Self::Imbalance,
        Self::DemandPeak,
        Self::HeadOfLine,
        Self::All,
    ];

    /// Returns the name used on the command line.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::BrokenFlows => "broken-flows",
            Self::Imbalance => "imbalance",
            // "Crest" is the name on the command line and in reports.
            Self::DemandPeak => "crest",
            Self::HeadOfLine => "head-of-line",
            Self::All => "all",
        }
    }

    /// Returns the experiment with this name.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|e| e.name() == name)
    }

    /// Returns the experiments to run: all of them for [`Experiment::All`], otherwise this one.
    #[must_use]
    pub fn expand(self) -> Vec<Self> {
        if self == Self::All {
            return Self::ALL[..4].to_vec();
        }
        vec![self]
    }
}
