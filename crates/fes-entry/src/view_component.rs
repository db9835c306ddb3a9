//! Kernel component for the entry's view of the liveness of targets.

use std::cell::RefCell;
use std::rc::Rc;

use fes_kernel::Component;
use fes_kernel::ComponentName;
use fes_kernel::Event;
use fes_kernel::Outbox;
use fes_kernel::TimerToken;
use fes_membership::TargetLiveness;
use fes_membership::TargetLivenessEvent;
use fes_node::HOST;
use fes_protocol::MonoTime;
use fes_protocol::ServiceId;
use fes_protocol::TargetId;
use fes_routing::LivenessView;

use crate::message::EntryMessage;
use crate::message::VIEW;

const TICK: TimerToken = TimerToken(0);

/// Liveness view of the entry, shared with the router.
#[derive(Debug, Clone)]
pub(crate) struct SharedView(pub(crate) Rc<RefCell<TargetLiveness>>);

impl LivenessView for SharedView {
    fn accepts_new_flows(&self, _service: ServiceId, target: TargetId) -> bool {
        self.0.borrow().placeable(target)
    }

    fn is_confirmed_lost(&self, _service: ServiceId, target: TargetId) -> bool {
        self.0.borrow().confirmed_lost(target)
    }
}

/// Wraps the liveness view.
pub(crate) struct ViewComponent {
    view: SharedView,
    timer_at: MonoTime,
}

impl ViewComponent {
    pub(crate) const fn new(view: SharedView) -> Self {
        Self {
            view,
            timer_at: MonoTime::ZERO,
        }
    }
}

impl Component<EntryMessage> for ViewComponent {
    fn name(&self) -> ComponentName {
        VIEW
    }

    fn handle(
        &mut self,
        now: MonoTime,
        event: Event<EntryMessage>,
        outbox: &mut Outbox<EntryMessage>,
    ) {
        let event = match event {
            Event::Timer(_) => TargetLivenessEvent::Tick,
            Event::Message {
                body: EntryMessage::View(event),
                ..
            } => event,
            Event::Message { .. } => return,
        };
        let mut view = self.view.0.borrow_mut();
        for action in view.handle(now, event) {
            outbox.send(HOST, EntryMessage::ViewAction(action));
        }
        let deadline = view.next_deadline();
        // Timers can't be cancelled, so a timer is set only if no pending one fires in time.
        if deadline < self.timer_at || self.timer_at <= now {
            self.timer_at = deadline.max(now.plus_us(1));
            outbox.set_timer(self.timer_at, TICK);
        }
    }
}
