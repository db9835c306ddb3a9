//! The configuration model: numbered tickets that contain complete objects.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::DataCentreName;
use crate::EntryId;
use crate::KeyEpoch;
use crate::ServiceId;
use crate::ServiceName;
use crate::TargetId;
use crate::TicketNumber;
use crate::UpstreamName;
use crate::VmName;

/// A numbered change. Each object in it is the complete new state of that object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// Number; for each object the highest number wins.
    pub number: TicketNumber,
    /// Objects replaced by this ticket.
    pub objects: Vec<TicketObject>,
}

/// An object that a ticket replaces completely.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TicketObject {
    /// A service with its upstreams.
    Service(Arc<ServiceSpec>),
    /// The entries of one data centre.
    Fleet(Arc<FleetSpec>),
    /// The key epoch for new connection IDs and MACs.
    KeyEpoch(KeyEpochSpec),
}

/// Identity of an object across tickets.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ObjectKey {
    /// A service.
    Service(ServiceId),
    /// The entries of a data centre.
    Fleet(DataCentreName),
    /// The key epoch.
    KeyEpoch,
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Service(id) => write!(f, "service {id}"),
            Self::Fleet(name) => write!(f, "fleet {name}"),
            Self::KeyEpoch => f.write_str("key epoch"),
        }
    }
}

impl TicketObject {
    /// Returns the identity of the object.
    #[must_use]
    pub fn key(&self) -> ObjectKey {
        match self {
            Self::Service(spec) => ObjectKey::Service(spec.id),
            Self::Fleet(spec) => ObjectKey::Fleet(spec.data_centre.clone()),
            Self::KeyEpoch(_) => ObjectKey::KeyEpoch,
        }
    }
}

/// Whether a service takes traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ServiceState {
    /// Takes traffic.
    Active,
    /// Removed; its ID is never used again.
    Retired,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Number of the service.
    pub id: ServiceId,
    /// Name of the service.
    pub name: ServiceName,
    /// Whether the service takes traffic.
    pub state: ServiceState,
    /// Addresses at which clients reach the service.
    pub addresses: Vec<SocketAddr>,
    /// Data centres that the service spans.
    pub data_centres: Vec<DataCentreName>,
    /// All upstreams, in ascending order of target ID.
    pub upstreams: Vec<UpstreamSpec>,
}

/// Whether an upstream takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum UpstreamState {
    /// Takes new work.
    Active,
    /// Serves its established flows and takes no new work.
    Leaving,
}

/// An upstream of a service and the agent beside it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamSpec {
    /// Number of the target.
    pub target: TargetId,
    /// Name of the upstream.
    pub name: UpstreamName,
    /// VM that runs the upstream and its agent.
    pub vm: VmName,
    /// Data centre of the VM.
    pub data_centre: DataCentreName,
    /// UDP address of the agent: encapsulated datagrams and control messages.
    pub agent_address: SocketAddr,
    /// TCP address of the agent: links from other processes.
    pub link_address: SocketAddr,
    /// Requests that the upstream runs at the same time.
    pub slots: u32,
    /// Whether the upstream takes new work.
    pub state: UpstreamState,
}

/// The entries of one data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetSpec {
    /// The data centre.
    pub data_centre: DataCentreName,
    /// Entries in ascending order of ID.
    pub entries: Vec<EntrySpec>,
}

/// An entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntrySpec {
    /// Number of the entry.
    pub id: EntryId,
    /// VM that runs the entry.
    pub vm: VmName,
    /// UDP address for control messages.
    pub control_address: SocketAddr,
    /// TCP address for links from other processes.
    pub link_address: SocketAddr,
}

/// Key epoch for new connection IDs and MACs. The keys themselves come from settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyEpochSpec {
    /// The epoch to use.
    pub current: KeyEpoch,
}
