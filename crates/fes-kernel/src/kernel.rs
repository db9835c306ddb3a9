//! Registration of components, message delivery and timers.

use std::collections::VecDeque;

use fes_protocol::FastMap;
use fes_protocol::MonoTime;

use crate::Component;
use crate::ComponentName;
use crate::Event;
use crate::Outbox;
use crate::TimerToken;
use crate::timers::Timers;

/// A message to a name without a registered component; the driver executes it.
#[derive(Debug, Clone, PartialEq)]
pub struct Effect<M> {
    /// Component that sent the message.
    pub from: ComponentName,
    /// Name that the message was sent to.
    pub to: ComponentName,
    /// Content.
    pub body: M,
}

/// Delivers messages of type `M` and timers to its registered components.
pub struct Kernel<M> {
    components: FastMap<ComponentName, Box<dyn Component<M>>>,
    queue: VecDeque<(ComponentName, Event<M>)>,
    timers: Timers,
}

impl<M> std::fmt::Debug for Kernel<M> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Kernel")
            .field("components", &self.components.len())
            .finish()
    }
}

impl<M> Default for Kernel<M> {
    fn default() -> Self {
        Self {
            components: FastMap::default(),
            queue: VecDeque::new(),
            timers: Timers::default(),
        }
    }
}

impl<M> Kernel<M> {
    /// Creates a kernel without components.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers a component under its name, replacing one of the same name.
    pub fn register(&mut self, component: impl Component<M> + 'static) {
        self.components
            .insert(component.name(), Box::new(component));
    }

    /// Returns whether a component of this name is registered.
    #[must_use]
    pub fn is_registered(&self, name: ComponentName) -> bool {
        self.components.contains_key(&name)
    }

    /// Queues a message from the driver.
    pub fn post(&mut self, from: ComponentName, to: ComponentName, body: M) {
        self.queue.push_back((to, Event::Message { from, body }));
    }

    /// Sets a timer on behalf of a component, for example its initial one.
    pub fn set_timer(&mut self, deadline: MonoTime, owner: ComponentName, token: TimerToken) {
        self.timers.push(deadline, owner, token);
    }

    /// Returns the deadline of the earliest timer.
    #[must_use]
    pub fn next_deadline(&self) -> Option<MonoTime> {
        self.timers.next_deadline()
    }

    /// Delivers all queued messages and due timers. Returns the effects for the driver, in order.
    pub fn run(&mut self, now: MonoTime) -> Vec<Effect<M>> {
        let mut effects = Vec::new();
        loop {
            while let Some((to, event)) = self.queue.pop_front() {
                self.deliver(now, to, event, &mut effects);
            }
            let Some((owner, token)) = self.timers.pop_due(now) else {
                return effects;
            };
            self.deliver(now, owner, Event::Timer(token), &mut effects);
        }
    }

    fn deliver(
        &mut self,
        now: MonoTime,
        to: ComponentName,
        event: Event<M>,
        effects: &mut Vec<Effect<M>>,
    ) {
        let Some(component) = self.components.get_mut(&to) else {
            if let Event::Message { from, body } = event {
                effects.push(Effect { from, to, body });
            }
            return;
        };
        let mut outbox = Outbox::new();
        component.handle(now, event, &mut outbox);
        for (deadline, token) in outbox.timers {
            self.timers.push(deadline, to, token);
        }
        for (target, body) in outbox.messages {
            self.queue
                .push_back((target, Event::Message { from: to, body }));
        }
    }
}
