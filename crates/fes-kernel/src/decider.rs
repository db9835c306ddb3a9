//! Adapts a state machine with its own event and action types to the component interface.

use fes_protocol::MonoTime;

use crate::Component;
use crate::ComponentName;
use crate::Event;
use crate::Outbox;
use crate::TimerToken;

/// A state machine that turns events into actions, without I/O.
pub trait Decider {
    /// Input of the state machine.
    type Event;
    /// Output, which the host executes.
    type Action;

    /// Returns the event that is delivered when a deadline has passed.
    fn tick() -> Self::Event;

    /// Handles an event and returns the resulting actions.
    fn decide(&mut self, now: MonoTime, event: Self::Event) -> Vec<Self::Action>;

    /// Returns the time at which the next tick is due.
    fn next_deadline(&self, now: MonoTime) -> MonoTime;
}

/// Runs a [`Decider`] as a component: messages that convert into its events are delivered to it and
/// others are ignored, its actions are sent to `host`, and its deadlines become timers. The driver
/// sets the first timer with [`crate::Kernel::set_timer`].
#[derive(Debug)]
pub struct DeciderComponent<D> {
    name: ComponentName,
    host: ComponentName,
    decider: D,
    timer_at: MonoTime,
}

impl<D> DeciderComponent<D> {
    /// Creates a component from a decider.
    pub const fn new(name: ComponentName, host: ComponentName, decider: D) -> Self {
        Self {
            name,
            host,
            decider,
            timer_at: MonoTime::NEVER,
        }
    }
}

impl<M, D> Component<M> for DeciderComponent<D>
where
    D: Decider,
    M: From<D::Action>,
    D::Event: TryFrom<M>,
{
    fn name(&self) -> ComponentName {
        self.name
    }

    fn handle(&mut self, now: MonoTime, event: Event<M>, outbox: &mut Outbox<M>) {
        let event = match event {
            Event::Message { body, .. } => match D::Event::try_from(body) {
                Ok(event) => event,
                Err(_) => return,
            },
            Event::Timer(_) => {
                if now >= self.timer_at {
                    self.timer_at = MonoTime::NEVER;
                }
                D::tick()
            }
        };
        for action in self.decider.decide(now, event) {
            outbox.send(self.host, M::from(action));
        }
        let deadline = self.decider.next_deadline(now);
        if deadline < self.timer_at {
            self.timer_at = deadline;
            outbox.set_timer(deadline, TimerToken(0));
        }
    }
}
