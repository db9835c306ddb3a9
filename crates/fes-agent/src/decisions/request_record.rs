//! What the work component remembers of a request.

use fes_admission::ClassName;
use fes_admission::Origin;
use fes_protocol::MonoTime;

/// A request that isn't ended.
#[derive(Debug, Clone)]
pub(crate) struct RequestRecord {
    pub(crate) class: ClassName,
    pub(crate) deadline: MonoTime,
    pub(crate) origin: Origin,
    pub(crate) is_keyed: bool,
    /// Whether admission holds a queue place or slot for it.
    pub(crate) is_admitted: bool,
    /// Whether its sender got the answer or no longer waits.
    pub(crate) is_answered: bool,
    /// Whether it was sent to a peer, and must not be sent to another one.
    pub(crate) was_offloaded: bool,
}

impl RequestRecord {
    /// Returns whether nothing more can happen to the request.
    pub(crate) const fn is_finished(&self) -> bool {
        self.is_answered && !self.is_admitted
    }
}
