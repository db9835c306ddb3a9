//! Messages about tickets that processes exchange over links.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use fes_protocol::NodeId;
use fes_protocol::ResultCode;
use fes_protocol::Ticket;
use serde::Deserialize;
use serde::Serialize;

use crate::MAX_TICKET_BYTES;
use crate::TicketVersion;
use crate::TicketWire;

/// Maximum size of an encoded message in bytes. It has room for one ticket of the maximum size, or
/// for several smaller ones.
pub const MAX_MESSAGE_BYTES: usize = MAX_TICKET_BYTES + 4_096;

/// Remote end of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Endpoint {
    /// A process that is listed in a ticket, or that identified itself when it opened the link.
    Node(NodeId),
    /// Link address of a seed peer from the settings.
    Seed(SocketAddr),
}

impl fmt::Display for Endpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Node(node) => node.fmt(f),
            Self::Seed(address) => write!(f, "seed {address}"),
        }
    }
}

/// A message about tickets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TicketMessage {
    /// Whole tickets.
    Push(Vec<Arc<Ticket>>),
    /// Versions that the sender holds and that the receiver can pull.
    Offer(Vec<TicketVersion>),
    /// Requests the versions after this one.
    Ask {
        /// Exclusive lower bound.
        after: TicketVersion,
    },
    /// Versions that the sender holds after the requested one, in ascending order.
    Summary {
        /// Exclusive lower bound of the list.
        after: TicketVersion,
        /// Versions held.
        versions: Vec<TicketVersion>,
        /// Whether the list includes the highest version that the sender holds.
        complete: bool,
    },
    /// Requests whole tickets.
    Pull(Vec<TicketVersion>),
}

impl TicketMessage {
    /// Returns the name of the kind of message.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Push(_) => "push",
            Self::Offer(_) => "offer",
            Self::Ask { .. } => "ask",
            Self::Summary { .. } => "summary",
            Self::Pull(_) => "pull",
        }
    }
}

#[derive(Serialize, Deserialize)]
enum MessageWire {
    Push(Vec<TicketWire>),
    Offer(Vec<TicketVersion>),
    Ask {
        after: TicketVersion,
    },
    Summary {
        after: TicketVersion,
        versions: Vec<TicketVersion>,
        complete: bool,
    },
    Pull(Vec<TicketVersion>),
}

impl From<&TicketMessage> for MessageWire {
    fn from(message: &TicketMessage) -> Self {
        match message {
            TicketMessage::Push(tickets) => {
                Self::Push(tickets.iter().map(|t| TicketWire::from(&**t)).collect())
            }
            TicketMessage::Offer(versions) => Self::Offer(versions.clone()),
            TicketMessage::Ask { after } => Self::Ask { after: *after },
            TicketMessage::Summary {
                after,
                versions,
                complete,
            } => Self::Summary {
                after: *after,
                versions: versions.clone(),
                complete: *complete,
            },
            TicketMessage::Pull(versions) => Self::Pull(versions.clone()),
        }
    }
}

impl TryFrom<MessageWire> for TicketMessage {
    type Error = ResultCode;

    fn try_from(wire: MessageWire) -> Result<Self, ResultCode> {
        Ok(match wire {
            MessageWire::Push(tickets) => {
                let read = |wire| Ticket::try_from(wire).map(Arc::new);
                let tickets: Result<Vec<_>, _> = tickets.into_iter().map(read).collect();
                Self::Push(tickets.map_err(|_| ResultCode::TicketInvalid)?)
            }
            MessageWire::Offer(versions) => Self::Offer(versions),
            MessageWire::Ask { after } => Self::Ask { after },
            MessageWire::Summary {
                after,
                versions,
                complete,
            } => Self::Summary {
                after,
                versions,
                complete,
            },
            MessageWire::Pull(versions) => Self::Pull(versions),
        })
    }
}

/// Encodes a message for transmission over a link.
///
/// # Errors
///
/// Returns [`ResultCode::ControlTooLarge`] if it exceeds [`MAX_MESSAGE_BYTES`].
pub fn encode_message(message: &TicketMessage) -> Result<Vec<u8>, ResultCode> {
    let wire = MessageWire::from(message);
    let bytes = bincode::serde::encode_to_vec(&wire, bincode::config::standard())
        .map_err(|_| ResultCode::ControlMalformed)?;
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(ResultCode::ControlTooLarge);
    }
    Ok(bytes)
}

/// Decodes a message and validates its tickets. Trailing bytes are an error.
///
/// # Errors
///
/// Returns [`ResultCode::ControlTooLarge`], [`ResultCode::ControlMalformed`] or
/// [`ResultCode::TicketInvalid`].
pub fn decode_message(bytes: &[u8]) -> Result<TicketMessage, ResultCode> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(ResultCode::ControlTooLarge);
    }
    let config = bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>();
    let (wire, used): (MessageWire, usize) = bincode::serde::decode_from_slice(bytes, config)
        .map_err(|_| ResultCode::ControlMalformed)?;
    if used != bytes.len() {
        return Err(ResultCode::ControlMalformed);
    }
    wire.try_into()
}
