//! Records of the idempotency store.

use std::collections::VecDeque;
use std::sync::Arc;

use fes_protocol::RequestId;

use crate::Execution;
use crate::Finished;
use crate::IdempotencyKey;
use crate::NotRun;
use crate::OutcomeUnknown;
use crate::Queued;
use crate::RequestDigest;
use crate::Started;

/// Key of a record, ordered by issue time so that a purge removes records from one end. Service,
/// target and incarnation are left out, because they are the same for all keys of a store.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RecordKey {
    pub(super) issue_ms: u64,
    pub(super) client_part: Arc<str>,
}

impl From<IdempotencyKey> for RecordKey {
    fn from(key: IdempotencyKey) -> Self {
        Self {
            issue_ms: key.prefix.issue_ms,
            client_part: key.client_part.into(),
        }
    }
}

/// An execution in progress and the requests that wait for its outcome.
#[derive(Debug)]
pub(super) struct OpenExecution<S> {
    pub(super) execution: Execution<S>,
    pub(super) waiters: Vec<RequestId>,
}

/// State of a key.
#[derive(Debug)]
pub(super) enum RecordState {
    Queued(Box<OpenExecution<Queued>>),
    Started(Box<OpenExecution<Started>>),
    Finished(Execution<Finished>),
    Refused(NotRun),
    Unknown(OutcomeUnknown),
}

impl RecordState {
    /// Returns whether an execution is in progress. The record must not be removed while it is.
    pub(super) const fn is_open(&self) -> bool {
        matches!(self, Self::Queued(_) | Self::Started(_))
    }

    pub(super) fn waiters_mut(&mut self) -> Option<&mut Vec<RequestId>> {
        match self {
            Self::Queued(open) => Some(&mut open.waiters),
            Self::Started(open) => Some(&mut open.waiters),
            Self::Finished(_) | Self::Refused(_) | Self::Unknown(_) => None,
        }
    }

    pub(super) const fn execution(&self) -> Option<RequestId> {
        match self {
            Self::Queued(open) => Some(open.execution.request()),
            Self::Started(open) => Some(open.execution.request()),
            Self::Finished(_) | Self::Refused(_) | Self::Unknown(_) => None,
        }
    }
}

/// Record of a key, with the digest of the first request that used the key.
#[derive(Debug)]
pub(super) struct Record {
    pub(super) digest: RequestDigest,
    pub(super) state: RecordState,
}

/// Keys with a stored response, in the order in which their executions finished.
#[derive(Debug, Default)]
pub(super) struct ResponseQueue {
    order: VecDeque<RecordKey>,
    pub(super) count: usize,
    pub(super) bytes: usize,
}

impl ResponseQueue {
    pub(super) fn push(&mut self, key: RecordKey, bytes: usize) {
        self.order.push_back(key);
        self.count += 1;
        self.bytes += bytes;
    }

    /// Removes and returns the key that finished first. Its record may no longer exist.
    pub(super) fn pop_oldest(&mut self) -> Option<RecordKey> {
        self.order.pop_front()
    }

    pub(super) fn release(&mut self, bytes: usize) {
        self.count -= 1;
        self.bytes -= bytes;
    }

    /// Drops the keys of removed records once they outnumber the others.
    pub(super) fn compact(&mut self, exists: impl Fn(&RecordKey) -> bool) {
        if self.order.len() > 2 * self.count {
            self.order.retain(exists);
        }
    }
}
