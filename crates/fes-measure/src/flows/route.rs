//! The way of one datagram through entry and agents and of its answer back.

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

/// Share of round trips that lose a datagram.
const LOSS_SHARE: f64 = 0.005;

/// Time for which the fabric still delivers to a dead entry, in milliseconds.
const FABRIC_LAG_MS: u64 = 1_000;

/// A flow.
#[derive(Debug)]
pub(crate) struct Flow {
    pub(crate) number: usize,
    /// Hash of the client's address, for the baseline.
    pub(crate) hash: u64,
    /// Target that holds the flow's state; `None` until the handshake completes.
    pub(crate) home: Option<TargetId>,
    /// What the client sends.
    pub(crate) datagram: Vec<u8>,
    pub(crate) last_success: fes_protocol::MonoTime,
}

/// What a client sees of a round trip.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exchange {
    Answered,
    Lost,
    Reset,
}

impl FlowFleet {
    /// Sends the flow's datagram through an entry that the fabric picks and returns the answer.
    pub(crate) fn exchange(&mut self, flow: usize) -> Exchange {
        let Some(entry) = self.fabric_picks() else {
            return Exchange::Lost;
        };
        if self.variates.uniform() < LOSS_SHARE {
            return Exchange::Lost;
        }
        let Some(accepting) = self.deliver(entry, MAIN_SERVICE, flow) else {
            return Exchange::Lost;
        };
        let target = self.agents[accepting].target;
        match self.flows[flow].home {
            Some(home) if home != target => Exchange::Reset,
            _ => self.answer(entry, accepting, flow),
        }
    }

    /// Sends the flow's datagram to an address of the other service.
    pub(crate) fn misaddress(&mut self, flow: usize) {
        let is_established = self.flows[flow].home.is_some();
        if let Some(entry) = self.fabric_picks()
            && is_established
            && self.deliver(entry, OTHER_SERVICE, flow).is_some()
        {
            self.result.delivered_to_other_service += 1;
        }
    }

    fn fabric_picks(&mut self) -> Option<usize> {
        let knows_deaths = self.now >= plan::ENTRIES_DIE.plus_ms(FABRIC_LAG_MS);
        let listed: Vec<usize> = (0..ENTRY_COUNT)
            .filter(|entry| !knows_deaths || self.entries[*entry].is_alive)
            .collect();
        let entry = listed[self.variates.below(listed.len())];
        self.entries[entry].is_alive.then_some(entry)
    }

    /// Returns the agent whose endpoint gets the datagram, if one does.
    fn deliver(&mut self, entry: usize, service: ServiceId, flow: usize) -> Option<usize> {
        if self.policy == Policy::Baseline {
            return self.deliver_by_plain_hash(entry, service, flow);
        }
        let mut datagram = self.flows[flow].datagram.clone();
        randomise_tail(&mut datagram, self.variates.bits());
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

    fn deliver_by_plain_hash(
        &self,
        entry: usize,
        service: ServiceId,
        flow: usize,
    ) -> Option<usize> {
        let process = &self.entries[entry];
        let change = &self.plan.changes[process.applied()];
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

    fn answer(&mut self, entry: usize, accepting: usize, flow: usize) -> Exchange {
        let now = self.now;
        let client = client_address(self.flows[flow].number);
        let agent = &mut self.agents[accepting];
        let returns_through = match self.policy {
            Policy::Baseline => {
                agent.next_nonce += 1;
                agent.next_nonce as usize % ENTRY_COUNT
            }
            Policy::Current => {
                agent.return_path.record(now, return_entry(entry), client);
                let chosen = agent.return_path.choose(now, client);
                chosen.map_or(entry, |e| e.entry.0 as usize)
            }
        };
        if !self.entries[returns_through].is_alive {
            return Exchange::Lost;
        }
        if self.flows[flow].home.is_none() {
            self.establish(accepting, flow);
        }
        Exchange::Answered
    }

    fn establish(&mut self, accepting: usize, flow: usize) {
        let agent = &mut self.agents[accepting];
        agent.next_nonce += 1;
        let id = RoutableId {
            service: agent.service,
            target: agent.target,
            nonce: agent.next_nonce,
        };
        let random = self.variates.bits() as u8;
        let encoded = agent.process.router.connection_ids().encode(id, random);
        self.flows[flow].home = Some(agent.target);
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

/// Each packet of a flow ends with its own authentication tag.
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
