//! Kernel component for the liveness and load of the other agents of the service.

use std::cell::RefCell;
use std::rc::Rc;

use fes_kernel::Component;
use fes_kernel::ComponentName;
use fes_kernel::Event;
use fes_kernel::Outbox;
use fes_kernel::TimerToken;
use fes_membership::PeerTable;
use fes_membership::PeerTableEvent;
use fes_node::HOST;
use fes_protocol::MonoTime;

use super::AgentMessage;
use super::PEERS;

const TICK: TimerToken = TimerToken(0);

/// Wraps the peer table. The host shares the table to read it.
pub(crate) struct PeersComponent {
    table: Rc<RefCell<PeerTable>>,
    timer_at: MonoTime,
}

impl PeersComponent {
    pub(crate) const fn new(table: Rc<RefCell<PeerTable>>) -> Self {
        Self {
            table,
            timer_at: MonoTime::ZERO,
        }
    }
}

impl Component<AgentMessage> for PeersComponent {
    fn name(&self) -> ComponentName {
        PEERS
    }

    fn handle(
        &mut self,
        now: MonoTime,
        event: Event<AgentMessage>,
        outbox: &mut Outbox<AgentMessage>,
    ) {
        let event = match event {
            Event::Timer(_) => PeerTableEvent::Tick,
            Event::Message {
                body: AgentMessage::Peers(event),
                ..
            } => event,
            Event::Message { .. } => return,
        };
        let mut table = self.table.borrow_mut();
        for action in table.handle(now, event) {
            outbox.send(HOST, AgentMessage::PeersAction(action));
        }
        let deadline = table.next_deadline(now);
        // Timers can't be cancelled, so a timer is set only if no pending one fires in time.
        if deadline < self.timer_at || self.timer_at <= now {
            self.timer_at = deadline.max(now.plus_us(1));
            outbox.set_timer(self.timer_at, TICK);
        }
    }
}
