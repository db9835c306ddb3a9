//! Requests that hold slots.

use fes_protocol::MonoTime;
use fes_protocol::RequestId;

use crate::ClassIndex;

/// A request that holds a slot.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RunningRequest {
    pub(crate) id: RequestId,
    pub(crate) class: ClassIndex,
    pub(crate) deadline: MonoTime,
    pub(crate) started_at: MonoTime,
    pub(crate) repeatable: bool,
    pub(crate) long: bool,
}

/// The requests that hold slots. Duplicate reports of an end free a slot only once.
#[derive(Debug, Default)]
pub(crate) struct RunningSet {
    requests: Vec<RunningRequest>,
}

impl RunningSet {
    pub(crate) fn len(&self) -> u32 {
        self.requests.len() as u32
    }

    pub(crate) fn contains(&self, id: RequestId) -> bool {
        self.requests.iter().any(|r| r.id == id)
    }

    pub(crate) fn insert(&mut self, running: RunningRequest) {
        self.requests.push(running);
    }

    pub(crate) fn remove(&mut self, id: RequestId) -> Option<RunningRequest> {
        let position = self.requests.iter().position(|r| r.id == id)?;
        Some(self.requests.swap_remove(position))
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &RunningRequest> {
        self.requests.iter()
    }

    /// Marks requests as long that have run for more than `long_after_us`, whatever their class.
    pub(crate) fn mark_long(&mut self, now: MonoTime, long_after_us: f64) {
        for request in &mut self.requests {
            request.long |= now.us_since(request.started_at) as f64 > long_after_us;
        }
    }

    pub(crate) fn long_count(&self) -> u32 {
        self.requests.iter().filter(|r| r.long).count() as u32
    }
}
