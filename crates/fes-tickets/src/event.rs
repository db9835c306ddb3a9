//! Inputs and outputs of the distribution of tickets.

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

/// What the platform answered to a read or watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformAnswer {
    /// Index of the answer; grows with every change at the platform.
    pub index: u64,
    /// Highest ticket number at the platform, 0 if it has none.
    pub highest: TicketNumber,
    /// All tickets after a full read, the new ones after a watch.
    pub tickets: Vec<Arc<Ticket>>,
}

/// What the distribution reacts to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DistributionEvent {
    /// The deadline that was returned by `next_deadline` has come.
    Tick,
    /// A digest arrived.
    Digest(TicketDigest),
    /// A message arrived over a link.
    Message {
        /// Sender. Answers go there; a host may send them over the same stream.
        from: Endpoint,
        /// Content.
        message: TicketMessage,
    },
    /// The platform answered the read or watch in flight.
    PlatformAnswered(PlatformAnswer),
    /// The read or watch in flight failed.
    PlatformFailed,
    /// The process was paused or its clock jumped: everything is to be renewed.
    ClockJumped,
}

/// What the host has to do.
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
    /// Start a read of the platform. At most one is in flight; a later one replaces it.
    ReadPlatform(PlatformRead),
    /// A new state is in force.
    InForce {
        /// The whole state.
        snapshot: Arc<Snapshot>,
        /// Objects that changed.
        changed: Vec<ObjectKey>,
    },
    /// The process holds what a peer and the platform hold and may serve.
    Ready,
    /// Tell the operator.
    Report(DistributionReport),
}

/// Something that the operator should know.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DistributionReport {
    /// About a ticket that was offered.
    Ticket(StoreReport),
    /// The platform is behind the tickets in force; its answer is ignored.
    PlatformBehind {
        /// Highest number at the platform.
        platform: TicketNumber,
        /// Highest number in force.
        in_force: TicketNumber,
    },
    /// The platform's index went back, as after a restore from a backup.
    PlatformIndexDecreased,
}

impl DistributionReport {
    /// Returns the numbered code.
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
