//! Routes client datagrams from an entry to an agent.

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

/// Length of the authentication tag at the end of a QUIC packet. Its hash selects the agent that
/// receives a datagram for a lost target.
const AUTHENTICATION_TAG_BYTES: usize = 16;

/// Rule that selected the target of a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RoutingRule {
    /// The connection ID contains the target.
    ConnectionId,
    /// The connection ID contains a lost or unknown target. The datagram goes to another agent of
    /// the service, which resets the flow, or forwards the datagram if it knows the target.
    LostTarget,
    /// The placement table selects the target of a first packet.
    Placement,
}

/// Action that an entry takes on a client's datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send the datagram to an agent.
    Forward {
        /// Target whose agent receives the datagram.
        target: TargetId,
        /// UDP address of that agent.
        agent_address: SocketAddr,
        /// Number of the ticket that the service's table was built from.
        ticket: TicketNumber,
        /// Rule that selected the target.
        rule: RoutingRule,
    },
    /// Drop the datagram and count it under this code.
    Drop(ResultCode),
}

/// Selects the agent for each datagram. Keeps no state per flow: the result depends only on the
/// datagram, the tickets and the liveness of targets.
#[derive(Debug, Clone)]
pub struct Router {
    table: Arc<RouteTable>,
    connection_ids: ConnectionIdCodec,
    placement: PlacementHasher,
}

impl Router {
    /// Creates a router from a table and the accepted keys.
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

    /// Returns the current table.
    #[must_use]
    pub const fn table(&self) -> &Arc<RouteTable> {
        &self.table
    }

    /// Returns the codec for connection IDs.
    #[must_use]
    pub const fn connection_ids(&self) -> &ConnectionIdCodec {
        &self.connection_ids
    }

    /// Routes a datagram that a client sent to an address of `service`.
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
            Some(id) => self.route_by_connection_id(table, id.target, datagram, liveness),
            None => self.route_unknown_connection_id(table, packet, liveness),
        }
    }

    /// Returns the target that owns a first packet with this client-chosen connection ID. Targets
    /// that accept no new flows are skipped, unless no target of the service accepts any.
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

    /// Returns the targets that accept new flows in the order of preference for a first packet
    /// with this client-chosen connection ID, its owner first.
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

    fn route_by_connection_id(
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
        // Any agent can reset a flow of a lost target. The authentication tag differs between the
        // packets of a flow, so a retransmission reaches another agent if the first one is down.
        let authentication_tag =
            &datagram[datagram.len().saturating_sub(AUTHENTICATION_TAG_BYTES)..];
        let owner = self.placement_owner(table, authentication_tag, liveness);
        self.forward_to(table, owner, RoutingRule::LostTarget)
    }

    fn route_unknown_connection_id(
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
