//! Hosts a decision maker with its own event and action types as a component.

use fes_protocol::MonoTime;

use crate::Component;
use crate::ComponentName;
use crate::Event;
use crate::Outbox;
use crate::TimerToken;

/// A decision maker that turns events into actions.
pub trait Decider {
    /// What it reacts to.
    type Event;
    /// What its host has to do.
    type Action;

    /// Returns the event that tells it that a deadline has come.
    fn tick() -> Self::Event;

    /// Reacts to an event.
    fn decide(&mut self, now: MonoTime, event: Self::Event) -> Vec<Self::Action>;

    /// Returns when the next tick is due.
    fn next_deadline(&self, now: MonoTime) -> MonoTime;
}

/// A [`Decider`] as a component: messages that convert into its events reach it, its actions go to
/// `host` as messages, and its deadlines become timers. The driver sets the first timer with
/// [`crate::Kernel::set_timer`].
#[derive(Debug)]
pub struct DeciderComponent<D> {
    name: ComponentName,
    host: ComponentName,
    decider: D,
    timer_at: MonoTime,
}

impl<D> DeciderComponent<D> {
    /// Makes a component from a decider.
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
