//! Decides whether an agent accepts a client's datagram or forwards it to another agent. A
//! datagram is forwarded at most once.

use std::net::SocketAddr;

use fes_protocol::EncapsulationHeader;
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

/// Number of candidates among which an agent that accepts no new flows selects the least loaded.
const FORWARD_CANDIDATES: usize = 2;

/// A received datagram and the state of the agent that the decision depends on.
#[derive(Debug)]
pub struct IngressQuery<'a, L, F> {
    /// Encapsulation header.
    pub header: &'a EncapsulationHeader,
    /// The client's datagram.
    pub datagram: &'a [u8],
    /// Whether the agent has reached its flow limit or accepts no new flows.
    pub is_full: bool,
    /// Liveness of the targets as this agent sees it.
    pub liveness: &'a L,
    /// Returns the number of open flows of a peer, or `None` if the peer is full or unknown.
    pub peer_flow_count: F,
}

/// Action that an agent takes on a client's datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IngressDecision {
    /// Pass the datagram to the agent's own QUIC endpoint, which answers with a stateless reset if
    /// it doesn't know the flow.
    Accept,
    /// Open no new flow; the agent's QUIC endpoint refuses the connection.
    RefuseNewFlow,
    /// Send the datagram to another agent with a hop count of 1.
    Forward {
        /// Target whose agent receives the datagram.
        target: TargetId,
        /// UDP address of that agent.
        agent_address: SocketAddr,
    },
    /// Drop the datagram and count it under this code.
    Drop(ResultCode),
}

/// Decides about the datagrams that one agent receives.
#[derive(Debug)]
pub struct AgentIngress {
    service: ServiceId,
    target: TargetId,
    placement: PlacementHasher,
    recent: RecentFirstPackets,
}

impl AgentIngress {
    /// Creates the ingress of the agent of `target`.
    #[must_use]
    pub fn new(service: ServiceId, target: TargetId, placement: PlacementHasher) -> Self {
        Self {
            service,
            target,
            placement,
            recent: RecentFirstPackets::default(),
        }
    }

    /// Returns the number of cached decisions about first packets.
    #[must_use]
    pub fn recent_first_packet_count(&self) -> usize {
        self.recent.len()
    }

    /// Decides whether to accept, refuse, forward or drop a datagram.
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
            Some(id) => self.decide_for_other_target(router, id.target, query),
            None if packet.kind == PacketKind::Opening => {
                self.decide_for_first_packet(now, router, packet, query)
            }
            None if packet.kind == PacketKind::OtherVersion => IngressDecision::Accept,
            None => IngressDecision::Drop(ResultCode::DatagramUnknownFlow),
        }
    }

    /// Decides about a datagram of a flow that belongs to another target. The entry may no longer
    /// know that target although it is still draining. If this agent knows it, it forwards the
    /// datagram instead of resetting the flow.
    fn decide_for_other_target<L: LivenessView, F>(
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

    fn decide_for_first_packet<L: LivenessView, F: Fn(TargetId) -> Option<u32>>(
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
                return self.forward_to(router, target);
            }
            Some(FirstPacketOutcome::Forwarded(_)) | None => {}
        }
        let selected = self.select_target(now, router, packet, query);
        match selected {
            Some(target) if target == self.target => {
                self.recent.insert(now, hash, FirstPacketOutcome::Accepted);
                IngressDecision::Accept
            }
            Some(target) => {
                self.recent
                    .insert(now, hash, FirstPacketOutcome::Forwarded(target));
                self.forward_to(router, target)
            }
            None => IngressDecision::RefuseNewFlow,
        }
    }

    /// Returns the target that should open the flow, or `None` if no target can accept it.
    fn select_target<L: LivenessView, F: Fn(TargetId) -> Option<u32>>(
        &self,
        now: MonoTime,
        router: &Router,
        packet: QuicPacket<'_>,
        query: &IngressQuery<'_, L, F>,
    ) -> Option<TargetId> {
        let refuses_new_flows = query.is_full || !self.is_ticket_propagated(now, router);
        if query.header.hop_count > 0 {
            return (!refuses_new_flows).then_some(self.target);
        }
        let Some(table) = router.table().service(self.service) else {
            return (!refuses_new_flows).then_some(self.target);
        };
        if refuses_new_flows {
            return self.least_loaded_candidate(router, table, packet, query);
        }
        // An entry with a newer ticket than this agent has placed the packet by it, so the agent
        // accepts the packet instead of forwarding it by the older one.
        let is_table_current = table.ticket() >= query.header.ticket;
        let owner = router.placement_owner(table, packet.destination_id, query.liveness);
        owner.filter(|_| is_table_current).or(Some(self.target))
    }

    /// Returns whether the ticket that added this target has reached every process. If this agent
    /// has no route to its own target, it lacks the ticket that the entry used, so other processes
    /// may lack it as well.
    fn is_ticket_propagated(&self, now: MonoTime, router: &Router) -> bool {
        let route = router.table().target(self.service, self.target);
        route.is_some_and(|route| now >= route.propagated_at)
    }

    fn least_loaded_candidate<L: LivenessView, F: Fn(TargetId) -> Option<u32>>(
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
            .take(FORWARD_CANDIDATES)
            .filter_map(|target| Some(((query.peer_flow_count)(target)?, target)));
        with_load.min().map(|(_, target)| target)
    }

    fn forward_to(&self, router: &Router, target: TargetId) -> IngressDecision {
        router.table().target(self.service, target).map_or(
            IngressDecision::Drop(ResultCode::DatagramNoTarget),
            |route| IngressDecision::Forward {
                target,
                agent_address: route.agent_address,
            },
        )
    }
}
