//! The routing decision of an entry.

use std::net::SocketAddr;
use std::sync::Arc;

use fes_protocol::ConnectionIdCodec;
use fes_protocol::KeyRing;
use fes_protocol::MAX_CLIENT_DATAGRAM_BYTES;
use fes_protocol::PacketKind;
use fes_protocol::QuicPacket;
use fes_protocol::ResultCode;
use fes_protocol::ServiceId;
use fes_protocol::TargetId;
use fes_protocol::TicketNumber;

use crate::LivenessView;
use crate::PlacementHasher;
use crate::RouteTable;
use crate::ServiceTable;

/// Bytes at the end of a datagram that pick the agent for a lost target; the length of the
/// authentication tag of a QUIC packet.
const SPREAD_BYTES: usize = 16;

/// Which rule decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RoutingRule {
    /// The connection ID names the target.
    ConnectionId,
    /// The connection ID names a lost or unknown target; the placement owner answers.
    LostTarget,
    /// A first packet follows the placement table.
    Placement,
}

/// What an entry does with a client's datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send it to an agent.
    Forward {
        /// Target whose agent gets the datagram.
        target: TargetId,
        /// UDP address of that agent.
        agent_address: SocketAddr,
        /// Ticket that the service's table was built from.
        ticket: TicketNumber,
        /// Rule that decided.
        rule: RoutingRule,
    },
    /// Drop and count it.
    Drop(ResultCode),
}

/// Decides for each datagram which agent gets it, from the datagram and the tickets alone.
#[derive(Debug, Clone)]
pub struct Router {
    table: Arc<RouteTable>,
    connection_ids: ConnectionIdCodec,
    placement: PlacementHasher,
}

impl Router {
    /// Makes a router over a table and the accepted keys.
    #[must_use]
    pub fn new(table: Arc<RouteTable>, keys: &KeyRing) -> Self {
        Self {
            table,
            connection_ids: ConnectionIdCodec::new(keys),
            placement: PlacementHasher::new(keys.current().clone()),
        }
    }

    /// Replaces the table.
    pub fn set_table(&mut self, table: Arc<RouteTable>) {
        self.table = table;
    }

    /// Replaces the keys after a rotation.
    pub fn set_keys(&mut self, keys: &KeyRing) {
        self.connection_ids = ConnectionIdCodec::new(keys);
        self.placement = PlacementHasher::new(keys.current().clone());
    }

    /// Returns the table in use.
    #[must_use]
    pub const fn table(&self) -> &Arc<RouteTable> {
        &self.table
    }

    /// Returns the codec for connection IDs.
    #[must_use]
    pub const fn connection_ids(&self) -> &ConnectionIdCodec {
        &self.connection_ids
    }

    /// Decides about a datagram that a client sent to an address of `service`.
    #[must_use]
    pub fn decide(
        &self,
        service: ServiceId,
        datagram: &[u8],
        liveness: &impl LivenessView,
    ) -> Decision {
        if datagram.len() > MAX_CLIENT_DATAGRAM_BYTES {
            return Decision::Drop(ResultCode::DatagramTooLarge);
        }
        let Some(packet) = QuicPacket::parse(datagram) else {
            return Decision::Drop(ResultCode::DatagramMalformed);
        };
        let Some(table) = self.table.service(service) else {
            return Decision::Drop(ResultCode::DatagramNoTarget);
        };
        match self.connection_ids.decode(packet.destination_id, service) {
            Some(id) => self.follow_connection_id(table, id.target, datagram, liveness),
            None => self.place(table, packet, liveness),
        }
    }

    /// Returns the owner of a first packet with this client-chosen connection ID, skipping targets
    /// that take no new flows.
    #[must_use]
    pub fn placement_owner(
        &self,
        table: &ServiceTable,
        client_chosen_id: &[u8],
        liveness: &impl LivenessView,
    ) -> Option<TargetId> {
        let service = table.spec().id;
        let hash = self.placement.hash(service, client_chosen_id);
        let owner = table.placement().owner(hash)?;
        if liveness.accepts_new_flows(service, owner) {
            return Some(owner);
        }
        let mut candidates = table.placement().candidates(hash);
        candidates
            .find(|target| liveness.accepts_new_flows(service, *target))
            .or(Some(owner))
    }

    /// Returns placeable candidates for a first packet in a fixed order, its owner first.
    #[must_use]
    pub fn placement_candidates(
        &self,
        table: &ServiceTable,
        client_chosen_id: &[u8],
        liveness: &impl LivenessView,
    ) -> Vec<TargetId> {
        let service = table.spec().id;
        let hash = self.placement.hash(service, client_chosen_id);
        let candidates = table.placement().candidates(hash);
        candidates
            .filter(|target| liveness.accepts_new_flows(service, *target))
            .collect()
    }

    fn follow_connection_id(
        &self,
        table: &ServiceTable,
        target: TargetId,
        datagram: &[u8],
        liveness: &impl LivenessView,
    ) -> Decision {
        let service = table.spec().id;
        let route = self.table.target(service, target);
        let live_route = route.filter(|_| !liveness.is_confirmed_lost(service, target));
        if let Some(route) = live_route {
            return Decision::Forward {
                target,
                agent_address: route.agent_address,
                ticket: table.ticket(),
                rule: RoutingRule::ConnectionId,
            };
        }
        // Every agent can answer for a lost target. The end of a datagram differs between the
        // packets of a flow, so that a retransmission reaches another agent if one is dead.
        let tail = &datagram[datagram.len().saturating_sub(SPREAD_BYTES)..];
        let owner = self.placement_owner(table, tail, liveness);
        self.forward_to(table, owner, RoutingRule::LostTarget)
    }

    fn place(
        &self,
        table: &ServiceTable,
        packet: QuicPacket<'_>,
        liveness: &impl LivenessView,
    ) -> Decision {
        match packet.kind {
            PacketKind::Opening | PacketKind::OtherVersion => {
                let owner = self.placement_owner(table, packet.destination_id, liveness);
                self.forward_to(table, owner, RoutingRule::Placement)
            }
            PacketKind::Handshake | PacketKind::Established => {
                Decision::Drop(ResultCode::DatagramUnknownFlow)
            }
        }
    }

    fn forward_to(
        &self,
        table: &ServiceTable,
        target: Option<TargetId>,
        rule: RoutingRule,
    ) -> Decision {
        let route = target.and_then(|target| {
            self.table
                .target(table.spec().id, target)
                .map(|route| (target, route.agent_address))
        });
        let Some((target, agent_address)) = route else {
            return Decision::Drop(ResultCode::DatagramNoTarget);
        };
        Decision::Forward {
            target,
            agent_address,
            ticket: table.ticket(),
            rule,
        }
    }
}
