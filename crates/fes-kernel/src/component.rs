//! The interface of a component.

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

/// Tells a component which of its timers fired.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerToken(pub u64);

/// What a component reacts to.
#[derive(Debug, Clone, PartialEq)]
pub enum Event<M> {
    /// A message from another component or from the driver.
    Message {
        /// Sender.
        from: ComponentName,
        /// Content.
        body: M,
    },
    /// A timer that the component set.
    Timer(TimerToken),
}

/// Collects what a component sends and which timers it sets.
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

    /// Sends a message to a component or, if none has this name, to the driver.
    pub fn send(&mut self, to: ComponentName, body: M) {
        self.messages.push((to, body));
    }

    /// Sets a timer. Timers can't be cancelled; a component ignores one it no longer needs.
    pub fn set_timer(&mut self, deadline: MonoTime, token: TimerToken) {
        self.timers.push((deadline, token));
    }
}

/// A decision component. It must depend on nothing but its state, `now` and the event.
pub trait Component<M> {
    /// Name under which others reach the component.
    fn name(&self) -> ComponentName;

    /// Reacts to an event.
    fn handle(&mut self, now: MonoTime, event: Event<M>, outbox: &mut Outbox<M>);
}
