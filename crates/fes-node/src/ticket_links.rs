//! Messages about tickets over links.
//!
//! Answers to a message return on its own stream, so that a process that no ticket names yet gets
//! them too.

use std::cell::RefCell;
use std::net::SocketAddr;

use fes_link::LinkPool;
use fes_link::LinkRequest;
use fes_link::decode_head;
use fes_protocol::NodeId;
use fes_protocol::Result;
use fes_tickets::Endpoint;
use fes_tickets::TicketMessage;
use fes_tickets::decode_message;
use fes_tickets::encode_message;
use serde::Deserialize;
use serde::Serialize;

/// Kind of link message that carries tickets.
pub const TICKETS_KIND: &str = "tickets";

#[derive(Serialize, Deserialize)]
struct EnvelopeWire {
    from: NodeId,
    message: Vec<u8>,
}

#[derive(Serialize, Deserialize)]
struct AnswersWire {
    messages: Vec<Vec<u8>>,
}

/// Sends and receives messages about tickets.
#[derive(Debug)]
pub struct TicketLinks {
    own: NodeId,
    links: LinkPool,
    /// The process whose message is being handled, and the answers to it so far.
    answering: RefCell<Option<(Endpoint, Vec<TicketMessage>)>>,
}

impl TicketLinks {
    /// Makes the links of the process `own`.
    #[must_use]
    pub const fn new(own: NodeId, links: LinkPool) -> Self {
        Self {
            own,
            links,
            answering: RefCell::new(None),
        }
    }

    /// Keeps a message as an answer if its receiver is the process whose message is being handled.
    /// Otherwise returns it; it then takes a stream of its own.
    #[must_use]
    pub fn collect_reply(&self, to: Endpoint, message: TicketMessage) -> Option<TicketMessage> {
        match &mut *self.answering.borrow_mut() {
            Some((from, answers)) if *from == to => {
                answers.push(message);
                None
            }
            _ => Some(message),
        }
    }

    /// Sends a message; returns the answers.
    ///
    /// # Errors
    ///
    /// Returns the link's error.
    pub async fn send(
        &self,
        address: SocketAddr,
        message: &TicketMessage,
    ) -> Result<Vec<TicketMessage>> {
        let message = encode_message(message).map_err(coded)?;
        let envelope = EnvelopeWire {
            from: self.own,
            message,
        };
        let answers: AnswersWire = self.links.call(address, TICKETS_KIND, &envelope).await?;
        let decoded = answers.messages.iter().map(|bytes| decode_message(bytes));
        decoded.collect::<Result<_, _>>().map_err(coded)
    }

    /// Handles a message with `post`, which must carry out all consequences before it returns,
    /// and answers on the same stream.
    ///
    /// # Errors
    ///
    /// Returns why the message was dropped or the link closed.
    pub async fn serve(
        &self,
        request: LinkRequest,
        post: impl FnOnce(Endpoint, TicketMessage),
    ) -> Result<()> {
        let decoded = decode_head::<EnvelopeWire>(&request.head)
            .and_then(|wire| Ok((wire.from, decode_message(&wire.message).map_err(coded)?)));
        let (from, message) = match decoded {
            Ok(decoded) => decoded,
            Err(e) => {
                request.responder.reject();
                return Err(e);
            }
        };
        let from = Endpoint::Node(from);
        *self.answering.borrow_mut() = Some((from, Vec::new()));
        post(from, message);
        let answering = self.answering.borrow_mut().take();
        let answers = answering.map_or_else(Vec::new, |(_, answers)| answers);
        let messages = answers.iter().map(encode_message);
        let messages = messages.collect::<Result<_, _>>().map_err(coded)?;
        request.responder.reply(&AnswersWire { messages }).await
    }
}

fn coded(code: fes_protocol::ResultCode) -> fes_protocol::Error {
    fes_protocol::Error::coded(code, "a message about tickets")
}
