//! Kernel component that ensures that non-repeatable requests run at most once.

use std::cell::RefCell;
use std::rc::Rc;

use fes_idempotency::Coordinator;
use fes_idempotency::CoordinatorEvent;
use fes_idempotency::PURGE_PERIOD_MS;
use fes_kernel::Component;
use fes_kernel::ComponentName;
use fes_kernel::Event;
use fes_kernel::Outbox;
use fes_kernel::TimerToken;
use fes_protocol::MonoTime;

use super::AgentMessage;
use super::IDEMPOTENCY;
use super::IdempotencyEvent;
use super::SCHEDULER;
use super::SchedulerEvent;

const PURGE: TimerToken = TimerToken(0);
const RELAY_TIMEOUT: TimerToken = TimerToken(1);

/// Wraps the coordinator of this incarnation. The host shares the coordinator to issue key
/// prefixes.
pub(crate) struct IdempotencyComponent {
    coordinator: Rc<RefCell<Coordinator>>,
}

impl IdempotencyComponent {
    /// Token of the timer that the host sets at startup.
    pub(crate) const INITIAL_TIMER: TimerToken = PURGE;

    pub(crate) const fn new(coordinator: Rc<RefCell<Coordinator>>) -> Self {
        Self { coordinator }
    }

    fn coordinate(
        &self,
        now: MonoTime,
        event: CoordinatorEvent,
        outbox: &mut Outbox<AgentMessage>,
    ) {
        let mut coordinator = self.coordinator.borrow_mut();
        for action in coordinator.handle(now, event) {
            outbox.send(
                SCHEDULER,
                AgentMessage::Scheduler(SchedulerEvent::CoordinatorAction(action)),
            );
        }
        if let Some(deadline) = coordinator.next_timer() {
            outbox.set_timer(deadline, RELAY_TIMEOUT);
        }
    }
}

impl Component<AgentMessage> for IdempotencyComponent {
    fn name(&self) -> ComponentName {
        IDEMPOTENCY
    }

    fn handle(
        &mut self,
        now: MonoTime,
        event: Event<AgentMessage>,
        outbox: &mut Outbox<AgentMessage>,
    ) {
        let event = match event {
            Event::Timer(token) => {
                if token == PURGE {
                    outbox.set_timer(now.plus_ms(PURGE_PERIOD_MS), PURGE);
                }
                IdempotencyEvent::Coordinator(CoordinatorEvent::Timer)
            }
            Event::Message {
                body: AgentMessage::Idempotency(event),
                ..
            } => event,
            Event::Message { .. } => return,
        };
        match event {
            IdempotencyEvent::Coordinator(event) => self.coordinate(now, event, outbox),
            IdempotencyEvent::PeerHeartbeat(heartbeat) => {
                self.coordinator.borrow_mut().observe_peer(now, &heartbeat);
            }
            IdempotencyEvent::SpareCapacity(spare_milli) => {
                let mut coordinator = self.coordinator.borrow_mut();
                coordinator.issuer_mut().set_own_spare(spare_milli);
            }
            IdempotencyEvent::SetKeys(keys) => self.coordinator.borrow_mut().set_keys(keys),
            IdempotencyEvent::SetDraining(draining) => {
                let mut coordinator = self.coordinator.borrow_mut();
                coordinator.issuer_mut().set_draining(draining);
            }
        }
    }
}
