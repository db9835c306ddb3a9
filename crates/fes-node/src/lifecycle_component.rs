//! Kernel component for the lifecycle of the process.

use fes_kernel::Component;
use fes_kernel::ComponentName;
use fes_kernel::Event;
use fes_kernel::Outbox;
use fes_kernel::TimerToken;
use fes_membership::lifecycle::LifecycleAction;
use fes_membership::lifecycle::LifecycleEvent;
use fes_membership::lifecycle::LifecycleMachine;
use fes_protocol::MonoTime;

use crate::HOST;
use crate::HostMessage;
use crate::LIFECYCLE;

const TICK: TimerToken = TimerToken(0);

/// Runs a [`LifecycleMachine`] as a kernel component.
#[derive(Debug)]
pub struct LifecycleComponent {
    machine: LifecycleMachine,
}

impl LifecycleComponent {
    /// Creates the component.
    #[must_use]
    pub const fn new(machine: LifecycleMachine) -> Self {
        Self { machine }
    }
}

impl<M: HostMessage> Component<M> for LifecycleComponent {
    fn name(&self) -> ComponentName {
        LIFECYCLE
    }

    fn handle(&mut self, now: MonoTime, event: Event<M>, outbox: &mut Outbox<M>) {
        let event = match event {
            Event::Timer(_) => LifecycleEvent::Timer,
            Event::Message { body, .. } => match body.into_lifecycle_event() {
                Some(event) => event,
                None => return,
            },
        };
        for action in self.machine.handle(now, event) {
            match action {
                LifecycleAction::SetTimer(deadline) => outbox.set_timer(deadline, TICK),
                action => outbox.send(HOST, action.into()),
            }
        }
    }
}
