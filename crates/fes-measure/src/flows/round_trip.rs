//! Path of one datagram through an entry and agents, and of the response back to the client.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use fes_protocol::DatagramKind;
use fes_protocol::EncapsulationHeader;
use fes_protocol::EntryId;
use fes_protocol::RoutableId;
use fes_protocol::ServiceId;
use fes_protocol::TargetId;
use fes_protocol::TicketNumber;
use fes_protocol::UpstreamState;
use fes_routing::Decision;
use fes_routing::IngressDecision;
use fes_routing::IngressQuery;
use fes_routing::ReturnEntry;

use super::fleet::ENTRY_COUNT;
use super::fleet::FlowFleet;
use super::liveness::ViewAt;
use super::packet::established_packet;
use super::plan;
use super::plan::MAIN_SERVICE;
use super::plan::OTHER_SERVICE;
use crate::Policy;

/// Probability that a round trip loses a datagram.
const LOSS_RATE: f64 = 0.005;

/// Time for which the network fabric still delivers to a crashed entry, in milliseconds.
const FABRIC_CONVERGENCE_MS: u64 = 1_000;

/// A flow of the main service.
#[derive(Debug)]
pub(crate) struct Flow {
    pub(crate) number: usize,
    /// Hash of the client's address, used by the baseline policy.
    pub(crate) hash: u64,
    /// Target that holds the flow's state; `None` until the handshake completes.
    pub(crate) owner: Option<TargetId>,
    /// Datagram that the client sends.
    pub(crate) datagram: Vec<u8>,
    pub(crate) last_success: fes_protocol::MonoTime,
}

/// Outcome of a round trip, as the client sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RoundTrip {
    Answered,
    Lost,
    /// The datagram reached a target that doesn't hold the flow's state.
    Reset,
}

impl FlowFleet {
    /// Sends the flow's datagram through an entry that the network fabric picks.
    pub(crate) fn round_trip(&mut self, flow: usize) -> RoundTrip {
        let Some(entry) = self.pick_entry() else {
            return RoundTrip::Lost;
        };
        if self.variates.uniform() < LOSS_RATE {
            return RoundTrip::Lost;
        }
        let Some(accepting) = self.deliver(entry, MAIN_SERVICE, flow) else {
            return RoundTrip::Lost;
        };
        let target = self.agents[accepting].target;
        match self.flows[flow].owner {
            Some(owner) if owner != target => RoundTrip::Reset,
            _ => self.answer(entry, accepting, flow),
        }
    }

    /// Sends the flow's datagram to an address of the other service and counts a delivery.
    pub(crate) fn send_to_other_service(&mut self, flow: usize) {
        let is_established = self.flows[flow].owner.is_some();
        if let Some(entry) = self.pick_entry()
            && is_established
            && self.deliver(entry, OTHER_SERVICE, flow).is_some()
        {
            self.result.delivered_to_other_service += 1;
        }
    }

    fn pick_entry(&mut self) -> Option<usize> {
        let has_converged = self.now >= plan::ENTRY_CRASH_AT.plus_ms(FABRIC_CONVERGENCE_MS);
        let candidates: Vec<usize> = (0..ENTRY_COUNT)
            .filter(|entry| !has_converged || self.entries[*entry].is_alive)
            .collect();
        let entry = candidates[self.variates.below(candidates.len())];
        self.entries[entry].is_alive.then_some(entry)
    }

    /// Returns the agent that accepts the datagram, if any.
    fn deliver(&mut self, entry: usize, service: ServiceId, flow: usize) -> Option<usize> {
        if self.policy == Policy::Baseline {
            return self.deliver_by_hash(entry, service, flow);
        }
        let mut datagram = self.flows[flow].datagram.clone();
        randomise_tail(&mut datagram, self.variates.random_u64());
        let process = &self.entries[entry];
        let decision = process
            .router
            .decide(service, &datagram, &self.view(process));
        let Decision::Forward { target, ticket, .. } = decision else {
            return None;
        };
        let mut header = self.header(entry, service, target, ticket, flow);
        loop {
            let agent = self.agent_of(header.target)?;
            match self.ingress(agent, &header, &datagram)? {
                IngressDecision::Accept => return Some(agent),
                IngressDecision::Forward { target, .. } => {
                    header.target = target;
                    header.hop_count += 1;
                }
                IngressDecision::RefuseNewFlow | IngressDecision::Drop(_) => return None,
            }
        }
    }

    fn ingress(
        &mut self,
        agent: usize,
        header: &EncapsulationHeader,
        datagram: &[u8],
    ) -> Option<IngressDecision> {
        let now = self.now;
        let agent = &mut self.agents[agent];
        if !agent.process.is_alive {
            return None;
        }
        let query = IngressQuery {
            header,
            datagram,
            is_full: agent.is_draining,
            liveness: &ViewAt {
                now,
                verdicts: &agent.process.verdicts,
            },
            peer_flow_count: |_| Some(0),
        };
        Some(agent.ingress.decide(now, &agent.process.router, &query))
    }

    fn deliver_by_hash(&self, entry: usize, service: ServiceId, flow: usize) -> Option<usize> {
        let process = &self.entries[entry];
        let change = &self.plan.changes[process.applied_index()];
        let spec = change.services.iter().find(|s| s.id == service)?;
        let lost = &process.verdicts.lost;
        let targets: Vec<TargetId> = spec
            .upstreams
            .iter()
            .filter(|u| u.state == UpstreamState::Active)
            .map(|u| u.target)
            .filter(|target| lost.get(target).is_none_or(|at| self.now < *at))
            .collect();
        let target = targets[(self.flows[flow].hash % targets.len() as u64) as usize];
        let agent = self.agent_of(target)?;
        self.agents[agent].process.is_alive.then_some(agent)
    }

    fn answer(&mut self, entry: usize, accepting: usize, flow: usize) -> RoundTrip {
        let now = self.now;
        let client = client_address(self.flows[flow].number);
        let agent = &mut self.agents[accepting];
        let reply_entry = match self.policy {
            Policy::Baseline => {
                // Round-robin over the entries.
                agent.next_nonce += 1;
                agent.next_nonce as usize % ENTRY_COUNT
            }
            Policy::Current => {
                agent.return_path.record(now, return_entry(entry), client);
                let chosen = agent.return_path.choose(now, client);
                chosen.map_or(entry, |e| e.entry.0 as usize)
            }
        };
        if !self.entries[reply_entry].is_alive {
            return RoundTrip::Lost;
        }
        if self.flows[flow].owner.is_none() {
            self.complete_handshake(accepting, flow);
        }
        RoundTrip::Answered
    }

    fn complete_handshake(&mut self, accepting: usize, flow: usize) {
        let agent = &mut self.agents[accepting];
        agent.next_nonce += 1;
        let id = RoutableId {
            service: agent.service,
            target: agent.target,
            nonce: agent.next_nonce,
        };
        let random = self.variates.random_u64() as u8;
        let encoded = agent.process.router.connection_ids().encode(id, random);
        self.flows[flow].owner = Some(agent.target);
        self.flows[flow].datagram = established_packet(encoded);
        self.result.opened += 1;
    }

    fn header(
        &self,
        entry: usize,
        service: ServiceId,
        target: TargetId,
        ticket: TicketNumber,
        flow: usize,
    ) -> EncapsulationHeader {
        EncapsulationHeader {
            kind: DatagramKind::Forward,
            service,
            target,
            entry: EntryId(entry as u32),
            ticket,
            client: client_address(self.flows[flow].number),
            hop_count: 0,
            sent_ms: self.now.as_ms() as _,
            address_tag: 0,
        }
    }
}

/// Randomises the last bytes, where a QUIC packet has its authentication tag.
fn randomise_tail(datagram: &mut [u8], bits: u64) {
    let bits = bits.to_be_bytes();
    let start = datagram.len() - bits.len();
    datagram[start..].copy_from_slice(&bits);
}

fn client_address(number: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + number as u32), 443))
}

fn return_entry(entry: usize) -> ReturnEntry {
    ReturnEntry {
        entry: EntryId(entry as u32),
        address: plan::address(4_000 + entry as u32),
    }
}
