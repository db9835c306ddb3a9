//! Routing state of the encapsulated socket: entries, peers and whether this agent accepts flows.

use std::net::SocketAddr;

use fes_protocol::EncapsulationCodec;
use fes_protocol::EncapsulationHeader;
use fes_protocol::EntryId;
use fes_protocol::FastMap;
use fes_protocol::FastSet;
use fes_protocol::MonoTime;
use fes_protocol::ServiceId;
use fes_protocol::TargetId;
use fes_routing::AgentIngress;
use fes_routing::IngressDecision;
use fes_routing::IngressQuery;
use fes_routing::LivenessView;
use fes_routing::ReturnEntry;
use fes_routing::ReturnPath;
use fes_routing::Router;

/// Maximum number of clients whose last entry is tracked. The map is cleared when it is full.
const MAX_TRACKED_CLIENTS: usize = 65_536;

/// The entry that delivered a client's latest accepted datagram.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EntryHop {
    pub(crate) entry: EntryId,
    /// Wall clock of the entry when it sent the datagram, in milliseconds modulo 2^32.
    pub(crate) sent_ms: u32,
}

/// Routing state of the socket. The agent updates it when tickets, keys or peers change.
#[derive(Debug)]
pub(crate) struct IngressState {
    pub(crate) codec: EncapsulationCodec,
    pub(crate) router: Router,
    pub(crate) ingress: AgentIngress,
    pub(crate) return_path: ReturnPath,
    /// Entries named by the tickets, used while the return path knows no entry.
    pub(crate) configured_entries: Vec<ReturnEntry>,
    pub(crate) peers: PeerView,
    /// Whether the agent refuses new flows, because it drains or is at its flow limit.
    pub(crate) is_full: bool,
    /// First packets of flows handed off to other agents.
    pub(crate) first_packets_handed_off: u64,
    entry_hops: FastMap<SocketAddr, EntryHop>,
    configured_index: usize,
}

/// Liveness and load of the other agents of the service.
#[derive(Debug, Default)]
pub(crate) struct PeerView {
    /// Targets that new flows aren't placed on.
    pub(crate) excluded_from_placement: FastSet<TargetId>,
    /// Targets that are confirmed lost.
    pub(crate) confirmed_lost: FastSet<TargetId>,
    /// Flow counts of the peers that accept new work.
    pub(crate) flow_counts: FastMap<TargetId, u32>,
}

impl LivenessView for PeerView {
    fn accepts_new_flows(&self, _service: ServiceId, target: TargetId) -> bool {
        !self.excluded_from_placement.contains(&target)
    }

    fn is_confirmed_lost(&self, _service: ServiceId, target: TargetId) -> bool {
        self.confirmed_lost.contains(&target)
    }
}

impl IngressState {
    pub(crate) fn new(codec: EncapsulationCodec, router: Router, ingress: AgentIngress) -> Self {
        Self {
            codec,
            router,
            ingress,
            return_path: ReturnPath::new(),
            configured_entries: Vec::new(),
            peers: PeerView::default(),
            is_full: false,
            first_packets_handed_off: 0,
            entry_hops: FastMap::default(),
            configured_index: 0,
        }
    }

    /// Decides about a datagram and records the entry that delivered it. `from` is the address of
    /// that entry, or of another agent if `hop_count` isn't 0.
    pub(crate) fn decide(
        &mut self,
        now: MonoTime,
        header: &EncapsulationHeader,
        datagram: &[u8],
        from: SocketAddr,
    ) -> IngressDecision {
        let query = IngressQuery {
            header,
            datagram,
            is_full: self.is_full,
            liveness: &self.peers,
            peer_flow_count: |target| self.peers.flow_counts.get(&target).copied(),
        };
        let decision = self.ingress.decide(now, &self.router, &query);
        if matches!(decision, IngressDecision::Accept) {
            if self.entry_hops.len() >= MAX_TRACKED_CLIENTS {
                self.entry_hops.clear();
            }
            let hop = EntryHop {
                entry: header.entry,
                sent_ms: header.sent_ms,
            };
            self.entry_hops.insert(header.client, hop);
        }
        // If another agent forwarded the datagram, `from` isn't the entry's address.
        if header.hop_count == 0 && !matches!(decision, IngressDecision::Drop(_)) {
            let entry = ReturnEntry {
                entry: header.entry,
                address: from,
            };
            self.return_path.record(now, entry, header.client);
        }
        decision
    }

    /// Returns the entry that delivered the client's latest accepted datagram.
    pub(crate) fn entry_hop(&self, client: SocketAddr) -> Option<EntryHop> {
        self.entry_hops.get(&client).copied()
    }

    /// Removes a client whose flow has ended.
    pub(crate) fn forget_client(&mut self, client: SocketAddr) {
        self.entry_hops.remove(&client);
        self.return_path.remove_client(client);
    }

    /// Returns the entry through which to return a datagram to a client. While the return path
    /// knows no entry, chooses the configured entries in turn.
    pub(crate) fn choose_entry(
        &mut self,
        now: MonoTime,
        client: SocketAddr,
    ) -> Option<ReturnEntry> {
        if let Some(entry) = self.return_path.choose(now, client) {
            return Some(entry);
        }
        self.configured_index = self.configured_index.wrapping_add(1);
        let count = self.configured_entries.len().max(1);
        self.configured_entries
            .get(self.configured_index % count)
            .copied()
    }
}
