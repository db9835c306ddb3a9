//! Outcomes of a client's requests.

use std::fmt;

use fes_protocol::ResultCode;
use serde::Serialize;

/// Outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response to this request.
    Answered {
        /// HTTP status.
        status: u16,
    },
    /// An error status without a result code.
    Failed {
        /// HTTP status.
        status: u16,
    },
    /// The server reported that the request did not run.
    NotRun(ResultCode),
    /// The server reported an unknown outcome, or reset the stream after the request may have run.
    Unknown(ResultCode),
    /// The request ended with neither a complete response nor an explicit error, for this reason.
    Lost(String),
    /// The response is not the expected one for this request.
    Misrouted,
    /// The response ended without an error, but its body is incomplete.
    Truncated,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Answered { status } => write!(f, "answered with status {status}"),
            Self::Failed { status } => write!(f, "failed with status {status}"),
            Self::NotRun(code) => write!(f, "not run ({code})"),
            Self::Unknown(code) => write!(f, "outcome unknown ({code})"),
            Self::Lost(reason) => write!(f, "no response ({reason})"),
            Self::Misrouted => f.write_str("response to another request"),
            Self::Truncated => f.write_str("truncated response"),
        }
    }
}

/// Counts of a client's outcomes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct ClientCounts {
    /// Finished requests.
    pub requests: u64,
    /// Complete responses.
    pub answered: u64,
    /// Requests that did not run, as reported by the server.
    pub refused: u64,
    /// Unknown outcomes and reset streams.
    pub unknown: u64,
    /// Responses with an error status and without a result code.
    pub failed: u64,
    /// Requests without an explicit outcome, and truncated responses.
    pub lost: u64,
    /// Responses that are not the expected ones.
    pub misrouted: u64,
    /// Responses whose run count shows that the key was executed more than once.
    pub doubled: u64,
    /// Connections opened.
    pub connections: u64,
    /// Attempts after the first one of each request.
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
