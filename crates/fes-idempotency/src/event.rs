//! Events and actions of the idempotency store.

use std::sync::Arc;

use fes_protocol::MonoTime;
use fes_protocol::RequestId;

use crate::Answer;
use crate::IdempotencyKey;
use crate::NotRun;
use crate::RequestDigest;
use crate::StoredResponse;
use crate::UpstreamRefusal;

/// How the store receives a complete response of the upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FinishedResponse {
    /// The response was buffered; the store answers every waiting request with it.
    Buffered(Arc<StoredResponse>),
    /// The response was streamed to the first request as it arrived and isn't stored.
    Streamed,
}

/// Input of [`crate::IdempotencyStore::handle`]. An execution is identified by the first request
/// that arrived with its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreEvent {
    /// A request arrived whose key names this incarnation.
    Request {
        /// ID that the agent assigned to the request.
        request: RequestId,
        /// Verified idempotency key.
        key: IdempotencyKey,
        /// Digest of method, path, credentials and body.
        digest: RequestDigest,
        /// Latest time at which the request may start.
        deadline: MonoTime,
    },
    /// Admission granted a slot to an execution.
    SlotGranted {
        /// The execution.
        request: RequestId,
    },
    /// Admission refused an execution.
    AdmissionRefused {
        /// The execution.
        request: RequestId,
        /// Reason of the refusal.
        code: NotRun,
    },
    /// The upstream completed its response.
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
        /// Proof that the request did not run.
        proof: UpstreamRefusal,
        /// Whether the retry budget permits another attempt.
        retry: bool,
    },
    /// The upstream connection was lost, or the response ended early.
    UpstreamLost {
        /// The execution.
        request: RequestId,
    },
    /// The client cancelled a request or its flow ended.
    ClientCancelled {
        /// The request.
        request: RequestId,
    },
    /// The drain bound passed and the process is about to stop.
    DrainBoundReached,
    /// Due every [`crate::PURGE_PERIOD_MS`].
    Timer,
}

/// Output of [`crate::IdempotencyStore::handle`], to be carried out by the host in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreAction {
    /// Request a slot from admission.
    Enqueue {
        /// The execution.
        request: RequestId,
        /// Latest time at which the request may start.
        deadline: MonoTime,
    },
    /// Remove an execution from admission's queue.
    Dequeue {
        /// The execution.
        request: RequestId,
    },
    /// Send the request to the upstream now.
    Start {
        /// The execution.
        request: RequestId,
        /// Latest time at which the request may start.
        deadline: MonoTime,
    },
    /// Release the slot of an execution that will not start.
    ReleaseSlot {
        /// The execution.
        request: RequestId,
    },
    /// Answer a request. A request is answered at most once.
    Answer {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: Answer,
    },
    /// Keep the request open until the execution in progress that it joined has ended.
    Wait {
        /// The request.
        request: RequestId,
        /// The execution.
        execution: RequestId,
    },
    /// Keys were purged. The outcome of a key that was issued before the low-water mark and is not
    /// in the store is unknown.
    KeysPurged {
        /// Number of purged keys.
        key_count: usize,
        /// Low-water mark, in milliseconds on the monotonic clock of this process.
        low_water_ms: u64,
    },
}
