//! Messages between simulated processes.

use std::sync::Arc;

use fes_protocol::ControlMessage;
use fes_tickets::Endpoint;
use fes_tickets::PlatformAnswer;
use fes_tickets::PlatformRead;
use fes_tickets::TicketMessage;

#[derive(Debug, Clone)]
pub(crate) enum Packet {
    Control(Arc<ControlMessage>),
    Tickets {
        from: Endpoint,
        message: Arc<TicketMessage>,
    },
    Read(PlatformRead),
    Answer(PlatformAnswer),
}
