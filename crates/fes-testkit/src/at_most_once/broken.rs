//! Deliberate faults of a simulated agent. Each one breaks a rule that a check must watch.

/// Which rule an agent breaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Broken {
    /// None.
    Nothing,
    /// A key that was answered "not run" may run later.
    RefusalNotFinal,
    /// The record of a finished key is gone after 50 ms.
    ForgetsEarly,
    /// A restarted agent answers keys of its earlier incarnation "not run".
    RestartAnswersNotRun,
    /// An agent runs a request itself if the owner of its key can't be reached.
    RunsForLostOwner,
    /// A request is sent again after the upstream connection was lost.
    RetriesLostUpstream,
    /// Duplicates of a request in progress never get an answer.
    SwallowsWaiters,
    /// Responses are matched by request ID alone.
    IgnoresIncarnation,
    /// A response that ended early is passed on as a complete one.
    TruncatedIsWhole,
    /// A request whose upstream connection was lost is answered "not run".
    LostUpstreamAnswersNotRun,
    /// A request that runs at the drain bound is answered "not run".
    DrainBoundAnswersNotRun,
    /// The deadline isn't checked at the start.
    IgnoresDeadline,
}
