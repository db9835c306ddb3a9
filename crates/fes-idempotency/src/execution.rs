//! Typestate of one execution: `Queued → Started → Finished`.
//!
//! A started execution has no method that yields a [`NotRun`]; the following doesn't compile:
//!
//! ```compile_fail
//! use fes_idempotency::{Execution, NotRun, Started};
//!
//! fn refuse(started: Execution<Started>) -> NotRun {
//!     started.refuse(NotRun::DEADLINE)
//! }
//! ```

use std::sync::Arc;

use fes_protocol::MonoTime;
use fes_protocol::RequestId;

use crate::NotRun;
use crate::OutcomeUnknown;
use crate::StoredResponse;

/// An execution in state `S`.
#[derive(Debug, PartialEq, Eq)]
pub struct Execution<S> {
    state: S,
}

/// Waits for a slot; nothing was sent to the upstream.
#[derive(Debug, PartialEq, Eq)]
pub struct Queued {
    request: RequestId,
    deadline: MonoTime,
}

/// Was handed to the upstream.
#[derive(Debug, PartialEq, Eq)]
pub struct Started {
    request: RequestId,
    deadline: MonoTime,
}

/// The upstream answered completely.
#[derive(Debug, PartialEq, Eq)]
pub struct Finished {
    response: Option<Arc<StoredResponse>>,
}

/// Proof that the upstream did not process a request that was handed to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamRefusal {
    /// The upstream reset the stream with HTTP/2 REFUSED_STREAM.
    RefusedStream,
    /// The upstream sent a GOAWAY whose last stream ID is below the request's stream.
    GoawayBelow,
    /// No byte of the request was written to a connection.
    NotSent,
}

impl UpstreamRefusal {
    /// Returns the answer if the execution isn't queued again.
    #[must_use]
    pub const fn reason(self) -> NotRun {
        match self {
            Self::RefusedStream | Self::GoawayBelow => NotRun::UPSTREAM_REFUSED,
            Self::NotSent => NotRun::UPSTREAM_DOWN,
        }
    }
}

impl Execution<Queued> {
    /// Records an execution on behalf of `request`, which may start until `deadline`.
    #[must_use]
    pub const fn new(request: RequestId, deadline: MonoTime) -> Self {
        Self {
            state: Queued { request, deadline },
        }
    }

    /// Starts the execution.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the deadline has passed, however long the process was paused.
    pub fn start(self, now: MonoTime) -> Result<Execution<Started>, NotRun> {
        let Queued { request, deadline } = self.state;
        if now > deadline {
            return Err(NotRun::DEADLINE);
        }
        Ok(Execution {
            state: Started { request, deadline },
        })
    }

    /// Ends the execution before its start.
    #[must_use]
    pub const fn refuse(self, reason: NotRun) -> NotRun {
        reason
    }

    /// Returns the request on whose behalf the execution is recorded.
    #[must_use]
    pub const fn request(&self) -> RequestId {
        self.state.request
    }

    /// Returns the latest start.
    #[must_use]
    pub const fn deadline(&self) -> MonoTime {
        self.state.deadline
    }
}

impl Execution<Started> {
    /// Ends the execution with a complete response, or with none if it isn't held.
    #[must_use]
    pub const fn finish(self, response: Option<Arc<StoredResponse>>) -> Execution<Finished> {
        Execution {
            state: Finished { response },
        }
    }

    /// Ends the execution without knowing whether the upstream ran it.
    #[must_use]
    pub const fn mark_unknown(self, reason: OutcomeUnknown) -> OutcomeUnknown {
        reason
    }

    /// Takes back the start, because the upstream proved that it did not process the request.
    #[must_use]
    pub fn requeue(self, _proof: UpstreamRefusal) -> Execution<Queued> {
        let Started { request, deadline } = self.state;
        Execution::new(request, deadline)
    }

    /// Returns the request on whose behalf the execution runs.
    #[must_use]
    pub const fn request(&self) -> RequestId {
        self.state.request
    }
}

impl Execution<Finished> {
    /// Returns the response while it is held.
    #[must_use]
    pub const fn response(&self) -> Option<&Arc<StoredResponse>> {
        self.state.response.as_ref()
    }

    /// Drops the response and returns it, if it was held.
    pub fn drop_response(&mut self) -> Option<Arc<StoredResponse>> {
        self.state.response.take()
    }
}
