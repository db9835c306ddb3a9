//! Queue of waiting requests in earliest-deadline-first order.

use std::collections::BTreeMap;

use fes_protocol::FastMap;
use fes_protocol::MonoTime;
use fes_protocol::RequestId;

use crate::ClassIndex;

/// A request that waits for a slot.
#[derive(Debug, Clone, Copy)]
pub(crate) struct QueuedRequest {
    pub(crate) id: RequestId,
    pub(crate) class: ClassIndex,
    pub(crate) deadline: MonoTime,
    pub(crate) enqueued_at: MonoTime,
    pub(crate) repeatable: bool,
    /// Whether the class was long when the request was queued.
    pub(crate) long: bool,
}

/// Sort key: deadline, then order of arrival.
type QueueKey = (MonoTime, u64);

/// Queue of waiting requests. Long ones are kept separately, so that they never cause head-of-line
/// blocking of short ones.
#[derive(Debug, Default)]
pub(crate) struct DeadlineQueue {
    short: BTreeMap<QueueKey, QueuedRequest>,
    long: BTreeMap<QueueKey, QueuedRequest>,
    /// Whether a request is long, and its key in `long` or `short`.
    keys: FastMap<RequestId, (bool, QueueKey)>,
    next_sequence: u64,
}

impl DeadlineQueue {
    pub(crate) fn len(&self) -> usize {
        self.keys.len()
    }

    pub(crate) fn contains(&self, id: RequestId) -> bool {
        self.keys.contains_key(&id)
    }

    pub(crate) fn push(&mut self, waiting: QueuedRequest) {
        let key = (waiting.deadline, self.next_sequence);
        self.next_sequence += 1;
        self.keys.insert(waiting.id, (waiting.long, key));
        self.sub_queue(waiting.long).insert(key, waiting);
    }

    pub(crate) fn remove(&mut self, id: RequestId) -> Option<QueuedRequest> {
        let (long, key) = self.keys.remove(&id)?;
        self.sub_queue(long).remove(&key)
    }

    /// Returns the short request with the earliest deadline.
    pub(crate) fn first_short(&self) -> Option<QueuedRequest> {
        self.short.values().next().copied()
    }

    /// Returns the long request with the earliest deadline.
    pub(crate) fn first_long(&self) -> Option<QueuedRequest> {
        self.long.values().next().copied()
    }

    /// Returns all long requests in order of their deadlines.
    pub(crate) fn long(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.long.values()
    }

    /// Returns the earliest deadline of all queued requests.
    pub(crate) fn earliest_deadline(&self) -> Option<MonoTime> {
        let short = self.short.keys().next();
        let long = self.long.keys().next();
        short.into_iter().chain(long).map(|key| key.0).min()
    }

    /// Returns all requests in order of their deadlines.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &QueuedRequest> {
        let mut short = self.short.iter().peekable();
        let mut long = self.long.iter().peekable();
        std::iter::from_fn(move || {
            let long_first = match (short.peek(), long.peek()) {
                (Some((s, _)), Some((l, _))) => l < s,
                (short, _) => short.is_none(),
            };
            let next_queue = if long_first { &mut long } else { &mut short };
            next_queue.next().map(|(_, waiting)| waiting)
        })
    }

    fn sub_queue(&mut self, long: bool) -> &mut BTreeMap<QueueKey, QueuedRequest> {
        if long {
            &mut self.long
        } else {
            &mut self.short
        }
    }
}
