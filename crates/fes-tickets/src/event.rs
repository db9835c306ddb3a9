//! Events and actions of the ticket distribution.

use std::fmt;
use std::sync::Arc;

use fes_protocol::NodeId;
use fes_protocol::ObjectKey;
use fes_protocol::ResultCode;
use fes_protocol::Ticket;
use fes_protocol::TicketDigest;
use fes_protocol::TicketNumber;

use crate::Endpoint;
use crate::PlatformRead;
use crate::Snapshot;
use crate::StoreReport;
use crate::TicketMessage;

/// Answer of the platform to a read or watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformAnswer {
    /// Index of the content, which increases with every change at the platform.
    pub index: u64,
    /// Highest ticket number at the platform, 0 if it has none.
    pub highest: TicketNumber,
    /// All tickets for a full read; only the new ones for a watch.
    pub tickets: Vec<Arc<Ticket>>,
}

/// Input of the distribution.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DistributionEvent {
    /// The deadline that `next_deadline` returned has passed.
    Tick,
    /// A digest arrived.
    Digest(TicketDigest),
    /// A message arrived over a link.
    Message {
        /// Sender, which receives the answers. The host may send them over the same stream.
        from: Endpoint,
        /// Content.
        message: TicketMessage,
    },
    /// The platform answered the read or watch in flight.
    PlatformAnswered(PlatformAnswer),
    /// The read or watch in flight failed.
    PlatformFailed,
    /// The process was paused or its clock jumped, so its state may be out of date.
    ClockJumped,
}

/// Action that the host carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DistributionAction {
    /// Send a digest as a datagram.
    SendDigest {
        /// Receiver.
        to: NodeId,
        /// Content.
        digest: TicketDigest,
    },
    /// Send a message over a link.
    Send {
        /// Receiver.
        to: Endpoint,
        /// Content.
        message: TicketMessage,
    },
    /// Start a read of the platform. At most one read is in flight: a later one replaces it.
    ReadPlatform(PlatformRead),
    /// Put a new state in force.
    InForce {
        /// The whole state.
        snapshot: Arc<Snapshot>,
        /// Objects that differ from the previous state.
        changed: Vec<ObjectKey>,
    },
    /// Start serving: the process holds the tickets of a peer and of the platform, or of one of
    /// them if the other didn't answer in time.
    Ready,
    /// Report to the operator.
    Report(DistributionReport),
}

/// Event that is reported to the operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DistributionReport {
    /// Report of the store about an offered ticket.
    Ticket(StoreReport),
    /// The platform's highest ticket number is below the one in force. The tickets in force are
    /// kept.
    PlatformBehind {
        /// Highest number at the platform.
        platform: TicketNumber,
        /// Highest number in force.
        in_force: TicketNumber,
    },
    /// The platform's index decreased, for example after a restore from a backup.
    PlatformIndexDecreased,
}

impl DistributionReport {
    /// Returns the result code.
    #[must_use]
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::Ticket(report) => report.code(),
            Self::PlatformBehind { .. } | Self::PlatformIndexDecreased => ResultCode::PlatformStale,
        }
    }
}

impl fmt::Display for DistributionReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Ticket(report) => report.fmt(f),
            Self::PlatformBehind { platform, in_force } => {
                write!(
                    f,
                    "the platform has ticket {platform}, {in_force} is in force"
                )
            }
            Self::PlatformIndexDecreased => f.write_str("the platform's index went back"),
        }
    }
}
