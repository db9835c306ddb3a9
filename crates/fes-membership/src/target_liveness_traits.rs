//! Implementations of the kernel's and the router's traits for [`TargetLiveness`].

use fes_kernel::Decider;
use fes_protocol::MonoTime;
use fes_protocol::ServiceId;
use fes_protocol::TargetId;
use fes_routing::LivenessView;

use crate::TargetLiveness;
use crate::TargetLivenessAction;
use crate::TargetLivenessEvent;

impl Decider for TargetLiveness {
    type Event = TargetLivenessEvent;
    type Action = TargetLivenessAction;

    fn tick() -> TargetLivenessEvent {
        TargetLivenessEvent::Tick
    }

    fn decide(&mut self, now: MonoTime, event: TargetLivenessEvent) -> Vec<TargetLivenessAction> {
        self.handle(now, event)
    }

    fn next_deadline(&self, _now: MonoTime) -> MonoTime {
        Self::next_deadline(self)
    }
}

impl LivenessView for TargetLiveness {
    fn accepts_new_flows(&self, _service: ServiceId, target: TargetId) -> bool {
        self.placeable(target)
    }

    fn is_confirmed_lost(&self, _service: ServiceId, target: TargetId) -> bool {
        self.confirmed_lost(target)
    }
}
