//! Policies that the experiment compares.

/// How requests of pass-through flows are assigned to slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FlowPolicy {
    /// A random target, and first come, first served.
    Random,
    /// A random target, and the queue of the production code.
    RandomQueued,
    /// The target with the least requests per slot according to the same reports, and the queue of
    /// the production code.
    LeastRequests,
    /// The decisions of the production code.
    Current,
    /// The ceiling, but the requests of a long flow run on the target of the flow.
    CeilingPinned,
    /// The ceiling, but run times are unknown until a request has ended.
    CeilingUnknownRunTimes,
    /// A scheduler that knows run times and may run any request on any slot.
    Ceiling,
}

impl FlowPolicy {
    /// All policies, [`FlowPolicy::Ceiling`] last.
    pub const ALL: [Self; 7] = [
        Self::Random,
        Self::RandomQueued,
        Self::LeastRequests,
        Self::Current,
        Self::CeilingPinned,
        Self::CeilingUnknownRunTimes,
        Self::Ceiling,
    ];

    /// Returns the name used in reports.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::RandomQueued => "random-queued",
            Self::LeastRequests => "least-requests",
            Self::Current => "current",
            Self::CeilingPinned => "ceiling-pinned",
            Self::CeilingUnknownRunTimes => "ceiling-unknown-run-times",
            Self::Ceiling => "ceiling",
        }
    }
}
