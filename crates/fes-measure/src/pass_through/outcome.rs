//! What happened to a request.

use fes_protocol::MonoTime;

use super::load::Request;

/// The run of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Execution {
    pub(crate) target: usize,
    pub(crate) started_at: MonoTime,
    pub(crate) ended_at: MonoTime,
    /// When the answer reaches the client.
    pub(crate) answered_at: MonoTime,
}

/// What the client got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestResult {
    /// An answer within the latency goal.
    InTime,
    /// An answer within the timeout.
    Late,
    /// No answer within the timeout.
    Failed,
}

/// Runs of the requests of a load, by index; none if a request didn't run.
pub(crate) type Executions = Vec<Option<Execution>>;

/// Returns what the client of a request got.
pub(crate) fn result(request: &Request, execution: Option<&Execution>) -> RequestResult {
    match execution {
        Some(execution) if execution.answered_at <= request.goal_at => RequestResult::InTime,
        Some(execution) if execution.answered_at <= request.timeout_at => RequestResult::Late,
        _ => RequestResult::Failed,
    }
}
