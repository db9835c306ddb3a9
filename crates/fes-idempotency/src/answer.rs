//! Answers to non-repeatable requests.

use std::fmt;
use std::sync::Arc;

use bytes::Bytes;

use fes_protocol::ResultCode;

/// A result code for a request that did not run and never will.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct NotRun(ResultCode);

impl NotRun {
    /// The deadline passed before the request started.
    pub const DEADLINE: Self = Self(ResultCode::NotRunDeadline);
    /// The client cancelled before the request started.
    pub const CANCELLED: Self = Self(ResultCode::NotRunCancelled);
    /// The agent is draining.
    pub const DRAINING: Self = Self(ResultCode::NotRunDraining);
    /// The store has no room for another key.
    pub const STORE_FULL: Self = Self(ResultCode::NotRunStoreFull);
    /// The upstream refused the request without running it.
    pub const UPSTREAM_REFUSED: Self = Self(ResultCode::NotRunUpstreamRefused);

    /// The agent has no connection to its upstream.
    pub const UPSTREAM_DOWN: Self = Self(ResultCode::NotRunUpstreamDown);

    /// Returns the code.
    #[must_use]
    pub const fn code(self) -> ResultCode {
        self.0
    }
}

impl TryFrom<ResultCode> for NotRun {
    type Error = ResultCode;

    /// Accepts the codes of the group 2xxx (not run) and returns any other code as the error.
    fn try_from(code: ResultCode) -> Result<Self, ResultCode> {
        if code.is_not_run() {
            Ok(Self(code))
        } else {
            Err(code)
        }
    }
}

/// A result code for a request that may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct OutcomeUnknown(ResultCode);

impl OutcomeUnknown {
    /// The upstream connection was lost after the request was sent.
    pub const UPSTREAM_LOST: Self = Self(ResultCode::UnknownUpstreamLost);
    /// The drain bound passed while the request was running.
    pub const DRAIN_BOUND: Self = Self(ResultCode::UnknownDrainBound);

    /// Returns the code.
    #[must_use]
    pub const fn code(self) -> ResultCode {
        self.0
    }
}

/// A complete response, stored for retries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Header fields in order.
    pub fields: Vec<(Box<str>, Bytes)>,
    /// The whole body.
    pub body: Bytes,
}

impl StoredResponse {
    /// Returns the memory that the stored response occupies, in bytes.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        let field_bytes = |(name, value): &(Box<str>, Bytes)| {
            name.len() + value.len() + size_of::<(Box<str>, Bytes)>()
        };
        size_of::<Self>() + self.body.len() + self.fields.iter().map(field_bytes).sum::<usize>()
    }

    /// Returns a deep copy, so that the stored response keeps no larger receive buffer alive.
    pub(crate) fn compact(&self) -> Self {
        let copy =
            |(name, value): &(Box<str>, Bytes)| (name.clone(), Bytes::copy_from_slice(value));
        Self {
            status: self.status,
            fields: self.fields.iter().map(copy).collect(),
            body: Bytes::copy_from_slice(&self.body),
        }
    }
}

/// Details of an answer beyond its result code.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AnswerDetail {
    /// No details.
    None,
    /// The key was refused before, with this code. The refusal is final.
    FirstRefusal(ResultCode),
    /// This attempt was not forwarded to the owner; an earlier attempt may have run.
    NotForwarded,
    /// The request was forwarded to the owner, which did not answer.
    Forwarded,
}

impl fmt::Display for AnswerDetail {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::None => Ok(()),
            Self::FirstRefusal(code) => {
                write!(f, "the first refusal was F{}", code.number())
            }
            Self::NotForwarded => f.write_str("nothing was forwarded; an earlier try may have run"),
            Self::Forwarded => f.write_str("the request was forwarded; no answer came back"),
        }
    }
}

/// The answer to a request. Each request gets exactly one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The request ran; this is its complete response.
    Response(Arc<StoredResponse>),
    /// A result code instead of a response.
    Code {
        /// The code.
        code: ResultCode,
        /// Details beyond the code.
        detail: AnswerDetail,
    },
}

impl Answer {
    /// Creates an answer without details.
    #[must_use]
    pub const fn code(code: ResultCode) -> Self {
        Self::Code {
            code,
            detail: AnswerDetail::None,
        }
    }
}
