//! Directory of the processes in the state in force, from which gossip selects random peers.

use fes_protocol::DataCentreName;
use fes_protocol::FastMap;
use fes_protocol::NodeId;
use fes_protocol::ObjectKey;
use fes_protocol::ServiceId;
use fes_protocol::ServiceState;
use fes_protocol::TargetId;
use rand::Rng;

use crate::NodeAddresses;
use crate::Snapshot;

/// A process that can be contacted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Peer {
    /// ID of the process.
    pub node: NodeId,
    /// Addresses at which it listens.
    pub addresses: NodeAddresses,
}

/// Distance between two data centres.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Distance {
    /// The same data centre.
    SameDataCentre,
    /// Another data centre of the same region.
    SameRegion,
    /// A data centre of another region.
    OtherRegion,
}

/// The entries of a state and the agents of its active services, grouped by data centre.
///
/// The region of a data centre is the part of its name before the last `.`, for example `north` for
/// `north.a`. Data centres without a `.` in their name form one region.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PeerDirectory {
    peers: Vec<Peer>,
    data_centres: Vec<DataCentreRange>,
    positions: FastMap<NodeId, usize>,
}

/// Positions of the peers of a data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
struct DataCentreRange {
    name: DataCentreName,
    start: usize,
    end: usize,
}

impl PeerDirectory {
    /// Creates a directory of the processes of a state.
    #[must_use]
    pub fn new(state: &Snapshot) -> Self {
        let mut located = processes(state);
        located.sort_by(|a, b| (&a.0, a.1.node).cmp(&(&b.0, b.1.node)));
        located.dedup_by_key(|(_, peer)| peer.node);
        let mut directory = Self::default();
        for (name, peer) in located {
            directory.push(name, peer);
        }
        directory
    }

    /// Returns the number of processes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Returns whether the directory is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns the addresses at which a process listens.
    #[must_use]
    pub fn addresses(&self, node: NodeId) -> Option<NodeAddresses> {
        self.positions
            .get(&node)
            .map(|position| self.peers[*position].addresses)
    }

    /// Returns all processes, ordered by data centre and ID.
    #[must_use]
    pub fn peers(&self) -> &[Peer] {
        &self.peers
    }

    /// Returns all processes with their data centres, ordered by data centre and ID.
    pub fn peers_by_data_centre(&self) -> impl Iterator<Item = (&DataCentreName, &Peer)> {
        let in_range = |range: &DataCentreRange| range.start..range.end;
        self.data_centres.iter().flat_map(move |range| {
            let peers = &self.peers[in_range(range)];
            peers.iter().map(move |peer| (&range.name, peer))
        })
    }

    /// Returns a random process at the given distance from the data centre `from`, or at any
    /// distance if there is none. Never returns `own`.
    pub fn choose(
        &self,
        own: NodeId,
        from: &DataCentreName,
        distance: Distance,
        random: &mut impl Rng,
    ) -> Option<NodeId> {
        let own_position = self.positions.get(&own).copied();
        let at_distance = self
            .data_centres
            .iter()
            .filter(|range| distance_between(from, &range.name) == distance);
        let chosen = choose_within(at_distance, own_position, random);
        let position =
            chosen.or_else(|| choose_within(self.data_centres.iter(), own_position, random))?;
        Some(self.peers[position].node)
    }

    fn push(&mut self, name: DataCentreName, peer: Peer) {
        let position = self.peers.len();
        match self.data_centres.last_mut() {
            Some(range) if range.name == name => range.end = position + 1,
            _ => self.data_centres.push(DataCentreRange {
                name,
                start: position,
                end: position + 1,
            }),
        }
        self.positions.insert(peer.node, position);
        self.peers.push(peer);
    }
}

/// Returns a random position within the ranges, excluding `own_position`.
fn choose_within<'a>(
    ranges: impl Iterator<Item = &'a DataCentreRange> + Clone,
    own_position: Option<usize>,
    random: &mut impl Rng,
) -> Option<usize> {
    let own_position =
        own_position.filter(|position| ranges.clone().any(|r| (r.start..r.end).contains(position)));
    let total: usize = ranges.clone().map(|range| range.end - range.start).sum();
    let candidate_count = total - usize::from(own_position.is_some());
    if candidate_count == 0 {
        return None;
    }
    let mut nth = random.random_range(0..candidate_count);
    for range in ranges {
        let own_in_range =
            own_position.filter(|position| (range.start..range.end).contains(position));
        let len = range.end - range.start - usize::from(own_in_range.is_some());
        if nth < len {
            let position = range.start + nth;
            let is_after_own = own_in_range.is_some_and(|own_position| position >= own_position);
            return Some(position + usize::from(is_after_own));
        }
        nth -= len;
    }
    None
}

/// Returns the distance between two data centres.
#[must_use]
pub fn distance_between(a: &DataCentreName, b: &DataCentreName) -> Distance {
    if a == b {
        return Distance::SameDataCentre;
    }
    if region(a) == region(b) {
        return Distance::SameRegion;
    }
    Distance::OtherRegion
}

fn region(name: &DataCentreName) -> &str {
    name.as_str()
        .rsplit_once('.')
        .map_or("", |(region, _)| region)
}

fn processes(state: &Snapshot) -> Vec<(DataCentreName, Peer)> {
    let mut located = Vec::new();
    for fleet in state.fleets() {
        for entry in &fleet.value.entries {
            let addresses = NodeAddresses {
                control: entry.control_address,
                link: entry.link_address,
            };
            let node = NodeId::Entry(entry.id);
            located.push((fleet.value.data_centre.clone(), Peer { node, addresses }));
        }
    }
    for service in state.active_services() {
        for upstream in &service.value.upstreams {
            let addresses = NodeAddresses {
                control: upstream.agent_address,
                link: upstream.link_address,
            };
            let node = NodeId::Agent(upstream.target);
            located.push((upstream.data_centre.clone(), Peer { node, addresses }));
        }
    }
    located
}

/// Returns whether the processes of any changed object differ between two states. If not, a
/// directory of the first state is valid for the second.
pub fn processes_changed(old: &Snapshot, new: &Snapshot, changed: &[ObjectKey]) -> bool {
    changed.iter().any(|key| match key {
        ObjectKey::Service(id) => agents(old, *id) != agents(new, *id),
        ObjectKey::Fleet(name) => {
            old.fleet(name).map(|f| &f.value) != new.fleet(name).map(|f| &f.value)
        }
        ObjectKey::KeyEpoch => false,
    })
}

fn agents(state: &Snapshot, id: ServiceId) -> Vec<(TargetId, NodeAddresses, DataCentreName)> {
    let service = state.service(id).map(|service| &service.value);
    let service = service.filter(|spec| spec.state == ServiceState::Active);
    let upstreams = service.iter().flat_map(|spec| &spec.upstreams);
    upstreams
        .map(|upstream| {
            let addresses = NodeAddresses {
                control: upstream.agent_address,
                link: upstream.link_address,
            };
            (upstream.target, addresses, upstream.data_centre.clone())
        })
        .collect()
}
