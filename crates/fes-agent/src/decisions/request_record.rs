//! State of a request in the scheduler component.

use fes_admission::ClassName;
use fes_admission::RequestOrigin;
use fes_protocol::MonoTime;

/// A request that isn't finished yet.
#[derive(Debug, Clone)]
pub(crate) struct RequestRecord {
    pub(crate) class: ClassName,
    pub(crate) deadline: MonoTime,
    pub(crate) origin: RequestOrigin,
    pub(crate) is_keyed: bool,
    /// Whether the request holds a queue position or a slot.
    pub(crate) is_admitted: bool,
    /// Whether the sender has its answer or no longer waits for it.
    pub(crate) is_answered: bool,
    /// Whether the request was offloaded to a peer; it must not be offloaded again.
    pub(crate) was_offloaded: bool,
}

impl RequestRecord {
    /// Returns whether the state of the request can be discarded.
    pub(crate) const fn is_finished(&self) -> bool {
        self.is_answered && !self.is_admitted
    }
}
