//! How an entry's view is hosted by a kernel and asked by routing.

use fes_kernel::Decider;
use fes_protocol::MonoTime;
use fes_protocol::ServiceId;
use fes_protocol::TargetId;
use fes_routing::LivenessView;

use crate::EntryView;
use crate::EntryViewAction;
use crate::EntryViewEvent;

impl Decider for EntryView {
    type Event = EntryViewEvent;
    type Action = EntryViewAction;

    fn tick() -> EntryViewEvent {
        EntryViewEvent::Tick
    }

    fn decide(&mut self, now: MonoTime, event: EntryViewEvent) -> Vec<EntryViewAction> {
        self.handle(now, event)
    }

    fn next_deadline(&self, _now: MonoTime) -> MonoTime {
        Self::next_deadline(self)
    }
}

impl LivenessView for EntryView {
    fn accepts_new_flows(&self, _service: ServiceId, target: TargetId) -> bool {
        self.placeable(target)
    }

    fn is_confirmed_lost(&self, _service: ServiceId, target: TargetId) -> bool {
        self.confirmed_lost(target)
    }
}
