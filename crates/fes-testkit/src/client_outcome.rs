//! What a client saw of its requests.

use fes_protocol::ResultCode;
use serde::Serialize;

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response to this very request.
    Answered {
        /// HTTP status.
        status: u16,
    },
    /// A response with an error status and without a result code.
    Failed {
        /// HTTP status.
        status: u16,
    },
    /// Refused as not run.
    NotRun(ResultCode),
    /// Explicitly unknown, or ended by an explicit error.
    Unknown(ResultCode),
    /// No complete response and no explicit error.
    Lost(String),
    /// The response belongs to another request.
    Misrouted,
    /// The response claims to be complete but isn't.
    Truncated,
}

/// What a client counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct ClientCounts {
    /// Requests that have ended.
    pub requests: u64,
    /// Complete responses.
    pub answered: u64,
    /// Refusals as not run.
    pub refused: u64,
    /// Explicitly unknown outcomes.
    pub unknown: u64,
    /// Responses with an error status and without a result code.
    pub failed: u64,
    /// Requests without any outcome, and truncated responses.
    pub lost: u64,
    /// Responses that belong to another request.
    pub misrouted: u64,
    /// Responses whose upstream double says that it ran the key before.
    pub doubled: u64,
    /// Connections opened.
    pub connections: u64,
    /// Sends of a request after its first.
    pub repeats: u64,
}

impl ClientCounts {
    /// Adds the counts of another client.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.answered += other.answered;
        self.refused += other.refused;
        self.unknown += other.unknown;
        self.failed += other.failed;
        self.lost += other.lost;
        self.misrouted += other.misrouted;
        self.doubled += other.doubled;
        self.connections += other.connections;
        self.repeats += other.repeats;
    }

    pub(crate) fn record(&mut self, outcome: &Outcome) {
        self.requests += 1;
        match outcome {
            Outcome::Answered { .. } => self.answered += 1,
            Outcome::Failed { .. } => self.failed += 1,
            Outcome::NotRun(_) => self.refused += 1,
            Outcome::Unknown(_) => self.unknown += 1,
            Outcome::Lost(_) | Outcome::Truncated => self.lost += 1,
            Outcome::Misrouted => self.misrouted += 1,
        }
    }
}
