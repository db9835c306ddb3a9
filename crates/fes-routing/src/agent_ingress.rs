//! What an agent does with a client's datagram: accept it or pass it on, at most once.

use std::net::SocketAddr;

use fes_protocol::Encapsulation;
use fes_protocol::MonoTime;
use fes_protocol::PacketKind;
use fes_protocol::QuicPacket;
use fes_protocol::ResultCode;
use fes_protocol::ServiceId;
use fes_protocol::TargetId;

use crate::FirstPacketOutcome;
use crate::LivenessView;
use crate::PlacementHasher;
use crate::Router;
use crate::ServiceTable;
use crate::recent_first_packets::RecentFirstPackets;

/// Candidates that an agent at its flow limit considers.
const HAND_OFF_CANDIDATES: usize = 2;

/// A datagram together with what the agent knows when it arrives.
#[derive(Debug)]
pub struct IngressQuery<'a, L, F> {
    /// Header of the encapsulation.
    pub header: &'a Encapsulation,
    /// The client's datagram.
    pub datagram: &'a [u8],
    /// Whether the agent has reached its flow limit or takes no new flows.
    pub is_full: bool,
    /// The agent's view of other targets.
    pub liveness: &'a L,
    /// Returns the flow count of a peer, or `None` if the peer is full or unknown.
    pub peer_flow_count: F,
}

/// What the agent does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IngressDecision {
    /// Give the datagram to the agent's own QUIC endpoint, which answers with a stateless reset
    /// if it doesn't know the flow.
    Accept,
    /// Open no new flow here; the endpoint refuses the connection.
    RefuseNewFlow,
    /// Send the datagram to another agent with a hop count of 1.
    Forward {
        /// Target whose agent gets the datagram.
        target: TargetId,
        /// UDP address of that agent.
        agent_address: SocketAddr,
    },
    /// Drop and count it.
    Drop(ResultCode),
}

/// Ingress rules of one agent.
#[derive(Debug)]
pub struct AgentIngress {
    service: ServiceId,
    target: TargetId,
    placement: PlacementHasher,
    recent: RecentFirstPackets,
}

impl AgentIngress {
    /// Makes the rules for the agent of `target`.
    #[must_use]
    pub fn new(service: ServiceId, target: TargetId, placement: PlacementHasher) -> Self {
        Self {
            service,
            target,
            placement,
            recent: RecentFirstPackets::default(),
        }
    }

    /// Returns how many decisions about first packets are remembered.
    #[must_use]
    pub fn recent_first_packet_count(&self) -> usize {
        self.recent.len()
    }

    /// Decides about a datagram.
    pub fn decide<L: LivenessView, F: Fn(TargetId) -> Option<u32>>(
        &mut self,
        now: MonoTime,
        router: &Router,
        query: &IngressQuery<'_, L, F>,
    ) -> IngressDecision {
        if query.header.service != self.service {
            return IngressDecision::Drop(ResultCode::DatagramWrongService);
        }
        let Some(packet) = QuicPacket::parse(query.datagram) else {
            return IngressDecision::Drop(ResultCode::DatagramMalformed);
        };
        match router
            .connection_ids()
            .decode(packet.destination_id, self.service)
        {
            Some(id) if id.target == self.target => IngressDecision::Accept,
            Some(id) => self.foreign_flow(router, id.target, query),
            None if packet.kind == PacketKind::Opening => {
                self.first_packet(now, router, packet, query)
            }
            None if packet.kind == PacketKind::OtherVersion => IngressDecision::Accept,
            None => IngressDecision::Drop(ResultCode::DatagramUnknownFlow),
        }
    }

    /// An entry may have lost track of a target that still drains; an agent that knows it passes
    /// the datagram on instead of resetting the flow.
    fn foreign_flow<L: LivenessView, F>(
        &self,
        router: &Router,
        target: TargetId,
        query: &IngressQuery<'_, L, F>,
    ) -> IngressDecision {
        let is_lost = query.liveness.is_confirmed_lost(self.service, target);
        if query.header.hop_count > 0 || is_lost {
            return IngressDecision::Accept;
        }
        router
            .table()
            .target(self.service, target)
            .map_or(IngressDecision::Accept, |route| IngressDecision::Forward {
                target,
                agent_address: route.agent_address,
            })
    }

    fn first_packet<L: LivenessView, F: Fn(TargetId) -> Option<u32>>(
        &mut self,
        now: MonoTime,
        router: &Router,
        packet: QuicPacket<'_>,
        query: &IngressQuery<'_, L, F>,
    ) -> IngressDecision {
        let hash = self.placement.hash(self.service, packet.destination_id);
        match self.recent.get(now, hash) {
            Some(FirstPacketOutcome::Accepted) => return IngressDecision::Accept,
            Some(FirstPacketOutcome::Forwarded(target)) if query.header.hop_count == 0 => {
                return self.pass_on(router, target);
            }
            Some(FirstPacketOutcome::Forwarded(_)) | None => {}
        }
        let wanted = self.wanted_target(now, router, packet, query);
        match wanted {
            Some(target) if target == self.target => {
                self.recent
                    .remember(now, hash, FirstPacketOutcome::Accepted);
                IngressDecision::Accept
            }
            Some(target) => {
                self.recent
                    .remember(now, hash, FirstPacketOutcome::Forwarded(target));
                self.pass_on(router, target)
            }
            None => IngressDecision::RefuseNewFlow,
        }
    }

    /// Returns who should open the flow, or `None` if nobody has room for it.
    fn wanted_target<L: LivenessView, F: Fn(TargetId) -> Option<u32>>(
        &self,
        now: MonoTime,
        router: &Router,
        packet: QuicPacket<'_>,
        query: &IngressQuery<'_, L, F>,
    ) -> Option<TargetId> {
        let is_closed = query.is_full || !self.is_settled(now, router);
        if query.header.hop_count > 0 {
            return (!is_closed).then_some(self.target);
        }
        let Some(table) = router.table().service(self.service) else {
            return (!is_closed).then_some(self.target);
        };
        if is_closed {
            return self.less_loaded_candidate(router, table, packet, query);
        }
        let is_table_current = table.ticket() >= query.header.ticket;
        let owner = router.placement_owner(table, packet.destination_id, query.liveness);
        owner.filter(|_| is_table_current).or(Some(self.target))
    }

    /// Returns whether every process should know this target by now. An agent that holds no
    /// ticket with its own target heard of itself from an entry that is ahead.
    fn is_settled(&self, now: MonoTime, router: &Router) -> bool {
        let route = router.table().target(self.service, self.target);
        route.is_some_and(|route| now >= route.propagated_at)
    }

    fn less_loaded_candidate<L: LivenessView, F: Fn(TargetId) -> Option<u32>>(
        &self,
        router: &Router,
        table: &ServiceTable,
        packet: QuicPacket<'_>,
        query: &IngressQuery<'_, L, F>,
    ) -> Option<TargetId> {
        let candidates = router.placement_candidates(table, packet.destination_id, query.liveness);
        let others = candidates
            .into_iter()
            .filter(|target| *target != self.target);
        let with_load = others
            .take(HAND_OFF_CANDIDATES)
            .filter_map(|target| Some(((query.peer_flow_count)(target)?, target)));
        with_load.min().map(|(_, target)| target)
    }

    fn pass_on(&self, router: &Router, target: TargetId) -> IngressDecision {
        router.table().target(self.service, target).map_or(
            IngressDecision::Drop(ResultCode::DatagramNoTarget),
            |route| IngressDecision::Forward {
                target,
                agent_address: route.agent_address,
            },
        )
    }
}
