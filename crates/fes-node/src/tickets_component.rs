//! Hosts the distribution of tickets.

use std::cell::RefCell;
use std::rc::Rc;

use fes_kernel::Component;
use fes_kernel::ComponentName;
use fes_kernel::Event;
use fes_kernel::Outbox;
use fes_kernel::TimerToken;
use fes_protocol::MonoTime;
use fes_tickets::Distribution;
use fes_tickets::DistributionEvent;

use crate::HOST;
use crate::HostMessage;
use crate::TICKETS;

const TICK: TimerToken = TimerToken(0);

/// Wraps the distribution. The daemon shares it to read the state in force.
pub struct TicketsComponent {
    distribution: Rc<RefCell<Distribution>>,
    armed: MonoTime,
}

impl std::fmt::Debug for TicketsComponent {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("TicketsComponent").finish_non_exhaustive()
    }
}

impl TicketsComponent {
    /// Makes the component. It needs a first [`DistributionEvent::Tick`] to start its timer.
    #[must_use]
    pub const fn new(distribution: Rc<RefCell<Distribution>>) -> Self {
        Self {
            distribution,
            armed: MonoTime::ZERO,
        }
    }
}

impl<M: HostMessage> Component<M> for TicketsComponent {
    fn name(&self) -> ComponentName {
        TICKETS
    }

    fn handle(&mut self, now: MonoTime, event: Event<M>, outbox: &mut Outbox<M>) {
        let event = match event {
            Event::Timer(_) => DistributionEvent::Tick,
            Event::Message { body, .. } => match body.into_tickets_event() {
                Some(event) => event,
                None => return,
            },
        };
        let mut distribution = self.distribution.borrow_mut();
        for action in distribution.handle(now, event) {
            outbox.send(HOST, action.into());
        }
        let deadline = distribution.next_deadline();
        // Timers can't be cancelled, so only a deadline that no pending timer covers sets one.
        if deadline < self.armed || self.armed <= now {
            self.armed = deadline.max(now.plus_us(1));
            outbox.set_timer(self.armed, TICK);
        }
    }
}
