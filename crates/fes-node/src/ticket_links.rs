//! Ticket messages over links.
//!
//! Replies to a message are sent on its own stream, so that they also reach a process that no
//! ticket names yet.

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

/// Kind of link message that carries ticket messages.
pub const TICKETS_KIND: &str = "tickets";

#[derive(Serialize, Deserialize)]
struct EnvelopeWire {
    from: NodeId,
    message: Vec<u8>,
}

#[derive(Serialize, Deserialize)]
struct RepliesWire {
    messages: Vec<Vec<u8>>,
}

/// Sends and receives ticket messages.
#[derive(Debug)]
pub struct TicketLinks {
    local_node: NodeId,
    links: LinkPool,
    /// The process whose message is being handled, and the replies to it so far.
    current_call: RefCell<Option<(Endpoint, Vec<TicketMessage>)>>,
}

impl TicketLinks {
    /// Creates the ticket links of the process `local_node`.
    #[must_use]
    pub const fn new(local_node: NodeId, links: LinkPool) -> Self {
        Self {
            local_node,
            links,
            current_call: RefCell::new(None),
        }
    }

    /// Collects a message as a reply if its receiver is the process whose message is being handled.
    /// Otherwise returns it, to be sent on a stream of its own.
    #[must_use]
    pub fn collect_reply(&self, to: Endpoint, message: TicketMessage) -> Option<TicketMessage> {
        match &mut *self.current_call.borrow_mut() {
            Some((from, replies)) if *from == to => {
                replies.push(message);
                None
            }
            _ => Some(message),
        }
    }

    /// Sends a message and returns the replies.
    ///
    /// # Errors
    ///
    /// Returns the link's error.
    pub async fn send(
        &self,
        address: SocketAddr,
        message: &TicketMessage,
    ) -> Result<Vec<TicketMessage>> {
        let message = encode_message(message).map_err(ticket_message_error)?;
        let envelope = EnvelopeWire {
            from: self.local_node,
            message,
        };
        let replies: RepliesWire = self.links.call(address, TICKETS_KIND, &envelope).await?;
        let decoded = replies.messages.iter().map(|bytes| decode_message(bytes));
        decoded
            .collect::<Result<_, _>>()
            .map_err(ticket_message_error)
    }

    /// Handles a message with `post`, which must execute all resulting actions before it returns,
    /// and sends the replies on the same stream.
    ///
    /// # Errors
    ///
    /// Returns why the message was dropped or the link closed.
    pub async fn serve(
        &self,
        request: LinkRequest,
        post: impl FnOnce(Endpoint, TicketMessage),
    ) -> Result<()> {
        let decoded = decode_head::<EnvelopeWire>(&request.head).and_then(|wire| {
            Ok((
                wire.from,
                decode_message(&wire.message).map_err(ticket_message_error)?,
            ))
        });
        let (from, message) = match decoded {
            Ok(decoded) => decoded,
            Err(e) => {
                request.responder.reject();
                return Err(e);
            }
        };
        let from = Endpoint::Node(from);
        *self.current_call.borrow_mut() = Some((from, Vec::new()));
        post(from, message);
        let current_call = self.current_call.borrow_mut().take();
        let replies = current_call.map_or_else(Vec::new, |(_, replies)| replies);
        let messages = replies.iter().map(encode_message);
        let messages = messages
            .collect::<Result<_, _>>()
            .map_err(ticket_message_error)?;
        request.responder.reply(&RepliesWire { messages }).await
    }
}

fn ticket_message_error(code: fes_protocol::ResultCode) -> fes_protocol::Error {
    fes_protocol::Error::coded(code, "a ticket message can't be encoded or decoded")
}
