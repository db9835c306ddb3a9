//! The error type that all crates share.

use snafu::Snafu;

use crate::ResultCode;

/// Result with the shared error type.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// An error with a numbered code and a description. The code also has advice for the operator.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// A failure without an underlying system error.
    #[snafu(display("{code}: {detail}"))]
    Coded {
        /// Numbered code.
        code: ResultCode,
        /// What happened, in one sentence.
        detail: String,
    },
    /// An operating system call failed.
    #[snafu(display("{code}: {detail}: {source}"))]
    Io {
        /// Numbered code.
        code: ResultCode,
        /// What was attempted.
        detail: String,
        /// The system's error.
        source: std::io::Error,
    },
}

impl Error {
    /// Creates an error from its code and a sentence on what happened.
    pub fn coded(code: ResultCode, detail: impl Into<String>) -> Self {
        Self::Coded {
            code,
            detail: detail.into(),
        }
    }

    /// Creates an error from a failed system call.
    pub fn io(code: ResultCode, detail: impl Into<String>, source: std::io::Error) -> Self {
        Self::Io {
            code,
            detail: detail.into(),
            source,
        }
    }

    /// Returns the numbered code.
    #[must_use]
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::Coded { code, .. } | Self::Io { code, .. } => *code,
        }
    }

    /// Returns what the operator can do.
    #[must_use]
    pub const fn help(&self) -> &'static str {
        self.code().help()
    }
}
