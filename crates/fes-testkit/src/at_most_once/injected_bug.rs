//! Deliberate faults of a simulated agent. Each one breaks a rule that a check must watch.

/// Which rule an agent breaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InjectedBug {
    /// None.
    None,
    /// A key that was answered "not run" may run later.
    RunsAfterRefusal,
    /// The record of a finished key is gone after 50 ms.
    ExpiresKeysEarly,
    /// A restarted agent answers keys of its earlier incarnation "not run".
    RestartAnswersNotRun,
    /// An agent runs a request itself if the owner of its key can't be reached.
    RunsForUnreachableOwner,
    /// A request is sent again after the upstream connection was lost.
    RetriesAfterUpstreamLoss,
    /// Duplicates of a request in progress never get an answer.
    DropsWaiters,
    /// Responses are matched by request ID alone.
    IgnoresIncarnation,
    /// A response that ended early is passed on as a complete one.
    AcceptsTruncatedResponse,
    /// A request whose upstream connection was lost is answered "not run".
    LostUpstreamAnswersNotRun,
    /// A request that runs at the drain bound is answered "not run".
    DrainBoundAnswersNotRun,
    /// The deadline isn't checked at the start.
    IgnoresDeadline,
}
