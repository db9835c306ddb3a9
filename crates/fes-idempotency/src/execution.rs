//! Typestate of an execution: `Queued → Started → Finished`.
//!
//! A started execution has no method that returns a [`NotRun`], so the following doesn't compile:
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

/// The execution waits for a slot; nothing was sent to the upstream.
#[derive(Debug, PartialEq, Eq)]
pub struct Queued {
    request: RequestId,
    deadline: MonoTime,
}

/// The request was passed to the upstream.
#[derive(Debug, PartialEq, Eq)]
pub struct Started {
    request: RequestId,
    deadline: MonoTime,
}

/// The upstream completed its response.
#[derive(Debug, PartialEq, Eq)]
pub struct Finished {
    response: Option<Arc<StoredResponse>>,
}

/// Proof that the upstream did not process a request that was passed to it.
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
    /// Returns the refusal for a request that isn't retried.
    #[must_use]
    pub const fn reason(self) -> NotRun {
        match self {
            Self::RefusedStream | Self::GoawayBelow => NotRun::UPSTREAM_REFUSED,
            Self::NotSent => NotRun::UPSTREAM_DOWN,
        }
    }
}

impl Execution<Queued> {
    /// Creates an execution on behalf of `request`, which may start until `deadline`.
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
    /// Returns [`NotRun::DEADLINE`] if the deadline has passed, including after a pause of the
    /// process.
    pub fn start(self, now: MonoTime) -> Result<Execution<Started>, NotRun> {
        let Queued { request, deadline } = self.state;
        if now > deadline {
            return Err(NotRun::DEADLINE);
        }
        Ok(Execution {
            state: Started { request, deadline },
        })
    }

    /// Ends the execution before it starts.
    #[must_use]
    pub const fn refuse(self, reason: NotRun) -> NotRun {
        reason
    }

    /// Returns the request on whose behalf the execution was created.
    #[must_use]
    pub const fn request(&self) -> RequestId {
        self.state.request
    }

    /// Returns the latest time at which the execution may start.
    #[must_use]
    pub const fn deadline(&self) -> MonoTime {
        self.state.deadline
    }
}

impl Execution<Started> {
    /// Ends the execution. `response` is `None` if the complete response isn't stored.
    #[must_use]
    pub const fn finish(self, response: Option<Arc<StoredResponse>>) -> Execution<Finished> {
        Execution {
            state: Finished { response },
        }
    }

    /// Ends the execution with an unknown outcome: the upstream may have run the request.
    #[must_use]
    pub const fn mark_unknown(self, reason: OutcomeUnknown) -> OutcomeUnknown {
        reason
    }

    /// Returns the execution to the queue after the upstream proved that it did not process the
    /// request.
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
    /// Returns the response while it is stored.
    #[must_use]
    pub const fn response(&self) -> Option<&Arc<StoredResponse>> {
        self.state.response.as_ref()
    }

    /// Removes and returns the stored response, if there is one.
    pub fn take_response(&mut self) -> Option<Arc<StoredResponse>> {
        self.state.response.take()
    }
}
