//! Immutable snapshot of the state that results from the held tickets.

use std::collections::BTreeMap;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::Arc;

use fes_protocol::DataCentreName;
use fes_protocol::FastMap;
use fes_protocol::FleetSpec;
use fes_protocol::KeyEpochSpec;
use fes_protocol::NodeId;
use fes_protocol::ObjectKey;
use fes_protocol::ServiceId;
use fes_protocol::ServiceSpec;
use fes_protocol::ServiceState;
use fes_protocol::Ticket;
use fes_protocol::TicketNumber;
use siphasher::sip::SipHasher24;

use crate::TicketVersion;

/// An object and the ticket that put it in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InForce<T> {
    /// Ticket that carries the object.
    pub version: TicketVersion,
    /// The object.
    pub value: T,
}

/// A ticket that is kept, to be sent to other processes, while any of its objects or retirements is
/// in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct HeldTicket {
    pub(crate) ticket: Arc<Ticket>,
    /// Number of objects and retirements of the ticket that are in force.
    pub(crate) reference_count: usize,
}

/// Addresses of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct NodeAddresses {
    /// UDP address for control messages.
    pub control: SocketAddr,
    /// TCP address for links.
    pub link: SocketAddr,
}

/// State in force at one time. It is immutable; the store replaces it as a whole.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    pub(crate) services: FastMap<ServiceId, InForce<Arc<ServiceSpec>>>,
    pub(crate) retired: FastMap<ServiceId, TicketVersion>,
    pub(crate) fleets: BTreeMap<DataCentreName, InForce<Arc<FleetSpec>>>,
    pub(crate) key_epoch: Option<InForce<KeyEpochSpec>>,
    pub(crate) held: BTreeMap<TicketVersion, HeldTicket>,
    pub(crate) by_address: FastMap<SocketAddr, ServiceId>,
    pub(crate) state_hash: u64,
}

impl Snapshot {
    /// Returns whether no ticket is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Returns a service, retired ones included.
    #[must_use]
    pub fn service(&self, id: ServiceId) -> Option<&InForce<Arc<ServiceSpec>>> {
        self.services.get(&id)
    }

    /// Returns the active service at an address. If several services claim the address, it belongs
    /// to the one with the lowest ID, so that all processes agree.
    #[must_use]
    pub fn service_at(&self, address: SocketAddr) -> Option<&InForce<Arc<ServiceSpec>>> {
        self.services.get(self.by_address.get(&address)?)
    }

    /// Returns all services in no particular order, retired ones included.
    pub fn services(&self) -> impl Iterator<Item = &InForce<Arc<ServiceSpec>>> {
        self.services.values()
    }

    /// Returns the active services in no particular order.
    pub fn active_services(&self) -> impl Iterator<Item = &InForce<Arc<ServiceSpec>>> {
        self.services()
            .filter(|service| service.value.state == ServiceState::Active)
    }

    /// Returns whether any ticket retired the service.
    #[must_use]
    pub fn is_retired(&self, id: ServiceId) -> bool {
        self.retired.contains_key(&id)
    }

    /// Returns the entries of a data centre.
    #[must_use]
    pub fn fleet(&self, data_centre: &DataCentreName) -> Option<&InForce<Arc<FleetSpec>>> {
        self.fleets.get(data_centre)
    }

    /// Returns all fleets in order of their data centre.
    pub fn fleets(&self) -> impl Iterator<Item = &InForce<Arc<FleetSpec>>> {
        self.fleets.values()
    }

    /// Returns the key epoch for new connection IDs and MACs.
    #[must_use]
    pub const fn key_epoch(&self) -> Option<&InForce<KeyEpochSpec>> {
        self.key_epoch.as_ref()
    }

    /// Returns the version of the ticket that put an object in force.
    #[must_use]
    pub fn version_of(&self, key: &ObjectKey) -> Option<TicketVersion> {
        match key {
            ObjectKey::Service(id) => self.services.get(id).map(|o| o.version),
            ObjectKey::Fleet(name) => self.fleets.get(name).map(|o| o.version),
            ObjectKey::KeyEpoch => self.key_epoch.as_ref().map(|o| o.version),
        }
    }

    /// Returns all objects in force with the versions of their tickets, in no particular order.
    pub fn versions(&self) -> impl Iterator<Item = (ObjectKey, TicketVersion)> {
        let services = self.services.iter();
        let fleets = self.fleets.iter();
        let key_epoch = self.key_epoch.iter();
        services
            .map(|(id, object)| (ObjectKey::Service(*id), object.version))
            .chain(fleets.map(|(name, object)| (ObjectKey::Fleet(name.clone()), object.version)))
            .chain(key_epoch.map(|object| (ObjectKey::KeyEpoch, object.version)))
    }

    /// Returns the held tickets in ascending order of their version.
    pub fn tickets(&self) -> impl DoubleEndedIterator<Item = (TicketVersion, &Arc<Ticket>)> {
        self.held
            .iter()
            .map(|(version, held)| (*version, &held.ticket))
    }

    /// Returns the held tickets after a version, in ascending order.
    pub fn tickets_after(
        &self,
        after: TicketVersion,
    ) -> impl Iterator<Item = (TicketVersion, &Arc<Ticket>)> + Clone {
        let range = (Bound::Excluded(after), Bound::Unbounded);
        self.held
            .range(range)
            .map(|(version, held)| (*version, &held.ticket))
    }

    /// Returns a held ticket.
    #[must_use]
    pub fn ticket(&self, version: TicketVersion) -> Option<&Arc<Ticket>> {
        self.held.get(&version).map(|held| &held.ticket)
    }

    /// Returns the highest held ticket number, or 0 if no ticket is held.
    #[must_use]
    pub fn highest(&self) -> TicketNumber {
        self.held
            .last_key_value()
            .map_or(TicketNumber(0), |(version, _)| version.number)
    }

    /// Returns a hash of all objects in force and all retirements. It doesn't depend on the order
    /// in which the tickets arrived.
    #[must_use]
    pub const fn state_hash(&self) -> u64 {
        self.state_hash
    }

    /// Returns the addresses of an entry or agent. The search takes linear time in the number of
    /// processes; a lookup in [`crate::PeerDirectory`] takes constant time.
    #[must_use]
    pub fn addresses_of(&self, node: NodeId) -> Option<NodeAddresses> {
        match node {
            NodeId::Entry(id) => {
                let mut entries = self.fleets().flat_map(|fleet| &fleet.value.entries);
                let entry = entries.find(|entry| entry.id == id)?;
                Some(NodeAddresses {
                    control: entry.control_address,
                    link: entry.link_address,
                })
            }
            NodeId::Agent(target) => {
                let mut upstreams = self.services().flat_map(|service| &service.value.upstreams);
                let upstream = upstreams.find(|upstream| upstream.target == target)?;
                Some(NodeAddresses {
                    control: upstream.agent_address,
                    link: upstream.link_address,
                })
            }
        }
    }
}

/// Returns the term of the state hash for an object in force. The state hash is the sum of all
/// terms, so that it doesn't depend on their order.
pub(crate) fn hash_term(key: &ObjectKey, version: TicketVersion) -> u64 {
    let mut hasher = SipHasher24::new();
    match key {
        ObjectKey::Service(id) => {
            hasher.write_u8(1);
            hasher.write_u32(id.0);
        }
        ObjectKey::Fleet(name) => {
            hasher.write_u8(2);
            hasher.write(name.as_str().as_bytes());
        }
        ObjectKey::KeyEpoch => hasher.write_u8(3),
    }
    hasher.write_u64(version.number.0);
    hasher.write_u64(version.digest);
    hasher.finish()
}

/// Returns the term of the state hash for the retirement of a service. It is rotated to differ from
/// the term of the service itself, which the same ticket can put in force.
pub(crate) fn retirement_hash_term(id: ServiceId, version: TicketVersion) -> u64 {
    hash_term(&ObjectKey::Service(id), version).rotate_left(17)
}
