//! Liveness of targets as routing needs it.

use fes_protocol::ServiceId;
use fes_protocol::TargetId;

/// Liveness of targets as one process sees it. Implementations answer from memory and don't block.
pub trait LivenessView {
    /// Returns whether the target accepts new flows.
    fn accepts_new_flows(&self, service: ServiceId, target: TargetId) -> bool;

    /// Returns whether the loss of the target is confirmed. For an entry, enough independent
    /// observers must agree or no ticket may list the target; for an agent, the target must be
    /// silent and heard by no peer. Flows of such a target are ended by a stateless reset.
    fn is_confirmed_lost(&self, service: ServiceId, target: TargetId) -> bool;
}

/// Liveness view in which every target is alive.
#[derive(Debug, Clone, Copy, Default)]
pub struct AllAlive;

impl LivenessView for AllAlive {
    fn accepts_new_flows(&self, _service: ServiceId, _target: TargetId) -> bool {
        true
    }

    fn is_confirmed_lost(&self, _service: ServiceId, _target: TargetId) -> bool {
        false
    }
}
