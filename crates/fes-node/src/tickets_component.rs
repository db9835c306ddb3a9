//! Kernel component for ticket distribution.

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

/// Runs a [`Distribution`] as a kernel component. The daemon shares it to read the snapshot in
/// force.
pub struct TicketsComponent {
    distribution: Rc<RefCell<Distribution>>,
    timer_at: MonoTime,
}

impl std::fmt::Debug for TicketsComponent {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("TicketsComponent").finish_non_exhaustive()
    }
}

impl TicketsComponent {
    /// Creates the component. It needs an initial [`DistributionEvent::Tick`] to start its timer.
    #[must_use]
    pub const fn new(distribution: Rc<RefCell<Distribution>>) -> Self {
        Self {
            distribution,
            timer_at: MonoTime::ZERO,
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
        // Timers can't be cancelled. A new one is set only if no pending one fires by `deadline`.
        if deadline < self.timer_at || self.timer_at <= now {
            self.timer_at = deadline.max(now.plus_us(1));
            outbox.set_timer(self.timer_at, TICK);
        }
    }
}
