//! What the store reacts to and what it decides.

use std::sync::Arc;

use fes_protocol::MonoTime;
use fes_protocol::RequestId;

use crate::Answer;
use crate::IdempotencyKey;
use crate::NotRun;
use crate::RequestDigest;
use crate::StoredResponse;
use crate::UpstreamRefusal;

/// How an upstream's complete response reaches the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FinishedResponse {
    /// The whole response; the store answers every waiting request with it.
    Buffered(Arc<StoredResponse>),
    /// The response was streamed to the first request as it arrived and isn't held.
    Streamed,
}

/// What happened. An execution is known by the ID of the request that was first seen with its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreEvent {
    /// A request whose key names this incarnation.
    Request {
        /// ID that the agent gave to this request.
        request: RequestId,
        /// Its verified key.
        key: IdempotencyKey,
        /// Digest of method, path, credentials and body.
        digest: RequestDigest,
        /// Latest start.
        deadline: MonoTime,
    },
    /// Admission gave a slot to an execution.
    SlotGranted {
        /// The execution.
        request: RequestId,
    },
    /// Admission refused an execution.
    AdmissionRefused {
        /// The execution.
        request: RequestId,
        /// Why.
        code: NotRun,
    },
    /// The upstream answered completely.
    UpstreamFinished {
        /// The execution.
        request: RequestId,
        /// The response.
        response: FinishedResponse,
    },
    /// The upstream proved that it did not process the request.
    UpstreamRefused {
        /// The execution.
        request: RequestId,
        /// The upstream's statement.
        proof: UpstreamRefusal,
        /// Whether the retry budget allows to queue the execution again.
        retry: bool,
    },
    /// The upstream connection was lost, or the response ended early.
    UpstreamLost {
        /// The execution.
        request: RequestId,
    },
    /// The client cancelled a request or its flow is gone.
    ClientCancelled {
        /// The request.
        request: RequestId,
    },
    /// The drain bound passed; the process is about to stop.
    DrainBoundReached,
    /// Due every [`crate::PURGE_PERIOD_MS`].
    Timer,
}

/// What the host has to do, in this order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreAction {
    /// Ask admission for a slot.
    Enqueue {
        /// The execution.
        request: RequestId,
        /// Latest start.
        deadline: MonoTime,
    },
    /// Take an execution out of admission's queue.
    Dequeue {
        /// The execution.
        request: RequestId,
    },
    /// Send the request to the upstream now.
    Start {
        /// The execution.
        request: RequestId,
        /// Latest start.
        deadline: MonoTime,
    },
    /// Give back the slot of an execution that does not start.
    ReleaseSlot {
        /// The execution.
        request: RequestId,
    },
    /// Answer a request. Each request gets at most one answer.
    Answer {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: Answer,
    },
    /// Keep the request open; it gets the outcome of an execution in progress.
    Wait {
        /// The request.
        request: RequestId,
        /// The execution.
        execution: RequestId,
    },
    /// Keys were forgotten; those issued before the low-water mark and not held are unknown.
    KeysPurged {
        /// Keys forgotten.
        key_count: usize,
        /// Low-water mark, in milliseconds on this process's monotonic clock.
        low_water_ms: u64,
    },
}
