//! All processes that the held tickets name, ordered for the random choice of gossip peers.

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

/// A process to talk to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Peer {
    /// Which process.
    pub node: NodeId,
    /// Where it listens.
    pub addresses: NodeAddresses,
}

/// How far away a peer is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Distance {
    /// In the own data centre.
    SameDataCentre,
    /// In another data centre of the own region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

/// The processes that the held tickets name.
///
/// The region of a data centre is its name up to the last `.`, for example `north` for
/// `north.a`. Names without `.` form one region.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PeerDirectory {
    peers: Vec<Peer>,
    data_centres: Vec<DataCentreRange>,
    positions: FastMap<NodeId, usize>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct DataCentreRange {
    name: DataCentreName,
    start: usize,
    end: usize,
}

impl PeerDirectory {
    /// Collects the processes of a state.
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

    /// Returns whether no process is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns where a process listens.
    #[must_use]
    pub fn addresses(&self, node: NodeId) -> Option<NodeAddresses> {
        self.positions
            .get(&node)
            .map(|at| self.peers[*at].addresses)
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

    /// Returns a random process at the given distance from `home`, or at any distance if there is
    /// none. Never returns `own`.
    pub fn choose(
        &self,
        own: NodeId,
        home: &DataCentreName,
        distance: Distance,
        random: &mut impl Rng,
    ) -> Option<NodeId> {
        let own_at = self.positions.get(&own).copied();
        let near = self
            .data_centres
            .iter()
            .filter(|range| distance_between(home, &range.name) == distance);
        let chosen = choose_within(near, own_at, random);
        let at = chosen.or_else(|| choose_within(self.data_centres.iter(), own_at, random))?;
        Some(self.peers[at].node)
    }

    fn push(&mut self, name: DataCentreName, peer: Peer) {
        let at = self.peers.len();
        match self.data_centres.last_mut() {
            Some(range) if range.name == name => range.end = at + 1,
            _ => self.data_centres.push(DataCentreRange {
                name,
                start: at,
                end: at + 1,
            }),
        }
        self.positions.insert(peer.node, at);
        self.peers.push(peer);
    }
}

/// Returns a random position within the ranges, never `own_at`.
fn choose_within<'a>(
    ranges: impl Iterator<Item = &'a DataCentreRange> + Clone,
    own_at: Option<usize>,
    random: &mut impl Rng,
) -> Option<usize> {
    let own_at = own_at.filter(|at| ranges.clone().any(|r| (r.start..r.end).contains(at)));
    let total: usize = ranges.clone().map(|range| range.end - range.start).sum();
    let candidates = total - usize::from(own_at.is_some());
    if candidates == 0 {
        return None;
    }
    let mut nth = random.random_range(0..candidates);
    for range in ranges {
        let own_here = own_at.filter(|at| (range.start..range.end).contains(at));
        let len = range.end - range.start - usize::from(own_here.is_some());
        if nth < len {
            let at = range.start + nth;
            let skip_own = own_here.is_some_and(|own_at| at >= own_at);
            return Some(at + usize::from(skip_own));
        }
        nth -= len;
    }
    None
}

/// Returns how far apart two data centres are.
#[must_use]
pub fn distance_between(home: &DataCentreName, other: &DataCentreName) -> Distance {
    if home == other {
        return Distance::SameDataCentre;
    }
    if region(home) == region(other) {
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

/// Returns whether the processes of any changed object differ between two states. If none do, a
/// directory of the first state serves for the second.
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
