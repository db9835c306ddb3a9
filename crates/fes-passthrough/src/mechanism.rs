//! Mechanisms that can be switched off to measure what each is worth.
//!
//! They can be switched off only in a build with the feature `ablation`. In all other builds the
//! checks are constant.

#[cfg(feature = "ablation")]
use std::sync::atomic::AtomicU32;
#[cfg(feature = "ablation")]
use std::sync::atomic::Ordering;

/// A mechanism of placement or admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mechanism {
    /// Targets that fail their requests get no new flows.
    Outliers,
    /// The cost of a target includes its share of failed requests.
    FailureCost,
    /// The age of a retransmitted opening packet counts.
    OpeningAge,
    /// Queued requests are released by what they can still achieve, not by their arrival.
    ReleaseOrder,
    /// Requests beyond the target's slots are queued by the agent.
    AgentQueue,
    /// The cost of a target that is warming up is higher.
    WarmUpCost,
    /// The cost of a target in another data centre is higher.
    RemoteCost,
    /// The cost of a target in another data centre follows from measured round trips.
    TripCost,
    /// The cost of a target includes its run time relative to the service's other targets.
    CapacityCost,
    /// Another target is tried if none has accepted a flow.
    FurtherAttempts,
}

impl Mechanism {
    /// All mechanisms.
    pub const ALL: [Self; 10] = [
        Self::Outliers,
        Self::FailureCost,
        Self::OpeningAge,
        Self::ReleaseOrder,
        Self::AgentQueue,
        Self::WarmUpCost,
        Self::RemoteCost,
        Self::TripCost,
        Self::CapacityCost,
        Self::FurtherAttempts,
    ];

    /// Returns the name used on the command line.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Outliers => "outliers",
            Self::FailureCost => "failure-cost",
            Self::OpeningAge => "opening-age",
            Self::ReleaseOrder => "release-order",
            Self::AgentQueue => "agent-queue",
            Self::WarmUpCost => "warm-up-cost",
            Self::RemoteCost => "remote-cost",
            Self::TripCost => "trip-cost",
            Self::CapacityCost => "capacity-cost",
            Self::FurtherAttempts => "further-attempts",
        }
    }

    /// Returns whether the mechanism is in use.
    #[cfg(not(feature = "ablation"))]
    #[must_use]
    pub const fn is_enabled(self) -> bool {
        true
    }

    /// Returns whether the mechanism is in use.
    #[cfg(feature = "ablation")]
    #[must_use]
    pub fn is_enabled(self) -> bool {
        DISABLED.load(Ordering::Relaxed) & self.bit() == 0
    }

    /// Switches the mechanism off for this process.
    #[cfg(feature = "ablation")]
    pub fn disable(self) {
        DISABLED.fetch_or(self.bit(), Ordering::Relaxed);
    }

    #[cfg(feature = "ablation")]
    const fn bit(self) -> u32 {
        1 << self as u32
    }
}

#[cfg(feature = "ablation")]
static DISABLED: AtomicU32 = AtomicU32::new(0);
