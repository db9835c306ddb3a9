//! What routing needs to know about the liveness of targets.

use fes_protocol::ServiceId;
use fes_protocol::TargetId;

/// An observer's view of targets. Implementations answer from memory and never block.
pub trait LivenessView {
    /// Returns whether new flows may be placed on the target.
    fn accepts_new_flows(&self, service: ServiceId, target: TargetId) -> bool;

    /// Returns whether enough independent observers agree that the target is gone. A flow of such
    /// a target is answered with a stateless reset.
    fn is_confirmed_lost(&self, service: ServiceId, target: TargetId) -> bool;
}

/// Treats every target as alive.
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
