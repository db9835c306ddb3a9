//! The component interface and its types.

use std::fmt;

use fes_protocol::MonoTime;

/// Name under which a component is registered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ComponentName(pub &'static str);

impl fmt::Display for ComponentName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

/// Identifies a timer of a component.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerToken(pub u64);

/// Input of a component.
#[derive(Debug, Clone, PartialEq)]
pub enum Event<M> {
    /// A message from another component or from the driver.
    Message {
        /// Sender.
        from: ComponentName,
        /// Content.
        body: M,
    },
    /// A timer of the component fired.
    Timer(TimerToken),
}

/// Collects the messages that a component sends and the timers that it sets.
#[derive(Debug)]
pub struct Outbox<M> {
    pub(crate) messages: Vec<(ComponentName, M)>,
    pub(crate) timers: Vec<(MonoTime, TimerToken)>,
}

impl<M> Outbox<M> {
    pub(crate) const fn new() -> Self {
        Self {
            messages: Vec::new(),
            timers: Vec::new(),
        }
    }

    /// Sends a message to a component or, if none is registered under this name, to the driver.
    pub fn send(&mut self, to: ComponentName, body: M) {
        self.messages.push((to, body));
    }

    /// Sets a timer. Timers can't be cancelled; a component ignores those that it no longer needs.
    pub fn set_timer(&mut self, deadline: MonoTime, token: TimerToken) {
        self.timers.push((deadline, token));
    }
}

/// A deterministic component: its reaction must depend only on its state, `now` and the event.
pub trait Component<M> {
    /// Name under which the component is registered.
    fn name(&self) -> ComponentName;

    /// Handles an event; messages and timers go to `outbox`.
    fn handle(&mut self, now: MonoTime, event: Event<M>, outbox: &mut Outbox<M>);
}
