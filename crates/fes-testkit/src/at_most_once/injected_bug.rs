//! Deliberate bugs of simulated agents, which prove that the checks of a history detect them.

/// A bug of a simulated agent; each one violates a rule that a check covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InjectedBug {
    /// The agent is correct.
    None,
    /// A request that was answered "not run" may run when its key is sent again.
    RunsAfterRefusal,
    /// The record of a finished key expires after 50 ms.
    ExpiresKeysEarly,
    /// A restarted agent answers "not run" for keys of an earlier incarnation.
    RestartAnswersNotRun,
    /// An agent runs a request itself if the owner of its key is unreachable.
    RunsForUnreachableOwner,
    /// A request is sent again after the upstream connection was lost.
    RetriesAfterUpstreamLoss,
    /// Duplicates of a request in progress never receive an answer.
    DropsWaiters,
    /// Responses are matched by request ID without the incarnation.
    IgnoresIncarnation,
    /// A truncated response is answered as a complete one.
    AcceptsTruncatedResponse,
    /// A request whose upstream connection was lost is answered "not run".
    LostUpstreamAnswersNotRun,
    /// A request that is running at the drain bound is answered "not run".
    DrainBoundAnswersNotRun,
    /// The deadline isn't checked when a request is started.
    IgnoresDeadline,
}
