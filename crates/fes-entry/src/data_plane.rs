//! Forwarding of datagrams between clients and agents.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use fes_kernel::ProcessClock;
use fes_link::ControlTraffic;
use fes_link::ResultCodeCounters;
use fes_protocol::ControlMessage;
use fes_protocol::DatagramKind;
use fes_protocol::EncapsulationCodec;
use fes_protocol::EncapsulationHeader;
use fes_protocol::EntryId;
use fes_protocol::KeyRing;
use fes_protocol::NodeId;
use fes_protocol::ResultCode;
use fes_protocol::ServiceId;
use fes_protocol::TargetId;
use fes_protocol::TicketNumber;
use fes_protocol::address_tag;
use fes_protocol::decode_control;
use fes_protocol::encode_control;
use fes_routing::Decision;
use fes_routing::LivenessView;
use fes_routing::Router;
use fes_routing::RoutingRule;
use tokio::net::UdpSocket;

use crate::counters::LiveCounters;
use crate::counters::increment;

/// Larger than any datagram that may be forwarded, so that oversized datagrams are detected rather
/// than truncated to a valid size.
const RECEIVE_BUFFER_BYTES: usize = 2_048;

/// Maximum number of datagrams read from one socket in a row, so that other tasks aren't starved.
const MAX_BATCH_DATAGRAMS: usize = 64;

/// Socket for the clients of one service.
#[derive(Debug)]
pub(crate) struct ServiceSocket {
    pub(crate) service: ServiceId,
    pub(crate) address_tag: u16,
    pub(crate) socket: UdpSocket,
}

impl ServiceSocket {
    pub(crate) fn bind(service: ServiceId, address: SocketAddr) -> fes_protocol::Result<Self> {
        let socket = fes_link::bind_udp(address)?;
        let bound = socket.local_addr().unwrap_or(address);
        Ok(Self {
            service,
            address_tag: address_tag(bound),
            socket,
        })
    }
}

/// State shared by the datagram loops.
pub(crate) struct DataPlane<L> {
    pub(crate) entry: EntryId,
    pub(crate) clock: ProcessClock,
    pub(crate) control: UdpSocket,
    pub(crate) services: Vec<ServiceSocket>,
    pub(crate) router: RefCell<Router>,
    pub(crate) codec: RefCell<EncapsulationCodec>,
    pub(crate) liveness: L,
    pub(crate) counters: LiveCounters,
    pub(crate) drops: ResultCodeCounters,
    pub(crate) control_traffic: ControlTraffic,
}

impl<L: LivenessView> DataPlane<L> {
    pub(crate) fn set_keys(&self, keys: &KeyRing) {
        self.router.borrow_mut().set_keys(keys);
        *self.codec.borrow_mut() = EncapsulationCodec::new(keys.clone());
    }

    /// Sends a control message to another process.
    pub(crate) fn send_control(&self, to: SocketAddr, message: &ControlMessage) {
        match encode_control(message) {
            Ok(payload) => {
                self.control_traffic.count_sent(payload.len());
                let header = self.header(DatagramKind::Control, to);
                self.send(&header, &payload, to);
            }
            Err(code) => self.drops.count(code),
        }
    }

    fn header(&self, kind: DatagramKind, client: SocketAddr) -> EncapsulationHeader {
        EncapsulationHeader {
            kind,
            service: ServiceId(0),
            target: TargetId(0),
            entry: self.entry,
            ticket: TicketNumber(0),
            client,
            address_tag: 0,
            hop_count: 0,
            sent_ms: (self.clock.wall().as_ms() & u64::from(u32::MAX)) as u32,
        }
    }

    /// Returns whether the datagram was sent.
    fn send(&self, header: &EncapsulationHeader, payload: &[u8], to: SocketAddr) -> bool {
        let datagram = self.codec.borrow().encode(header, payload);
        match self.control.try_send_to(&datagram, to) {
            Ok(_) => true,
            Err(e) => {
                log::trace!("entry: sending a datagram to {to} failed: {e}");
                self.drops.count(ResultCode::DatagramNotSent);
                false
            }
        }
    }

    fn route_client_datagram(&self, service: &ServiceSocket, datagram: &[u8], client: SocketAddr) {
        let last = &self.counters.last_client_datagram_at;
        last.set(Some(self.clock.now()));
        let decision = self
            .router
            .borrow()
            .decide(service.service, datagram, &self.liveness);
        let (target, agent_address, ticket, rule) = match decision {
            Decision::Forward {
                target,
                agent_address,
                ticket,
                rule,
            } => (target, agent_address, ticket, rule),
            Decision::Drop(code) => return self.drops.count(code),
        };
        let header = EncapsulationHeader {
            service: service.service,
            target,
            ticket,
            client,
            address_tag: service.address_tag,
            ..self.header(DatagramKind::Forward, client)
        };
        if self.send(&header, datagram, agent_address) {
            increment(match rule {
                RoutingRule::ConnectionId => &self.counters.routed_by_id,
                RoutingRule::LostTarget => &self.counters.lost_target,
                RoutingRule::Placement => &self.counters.placed,
            });
        }
    }

    fn return_to_client(&self, header: &EncapsulationHeader, payload: &[u8]) {
        let service_sockets = || self.services.iter().filter(|s| s.service == header.service);
        // Behind a network fabric that rewrites addresses, entries don't listen on the service
        // address, so that no address tag matches. The service's first socket is used instead.
        let socket = service_sockets()
            .find(|s| s.address_tag == header.address_tag)
            .or_else(|| service_sockets().next());
        let Some(socket) = socket else {
            return self.drops.count(ResultCode::DatagramWrongService);
        };
        match socket.socket.try_send_to(payload, header.client) {
            Ok(_) => increment(&self.counters.returned),
            Err(e) => {
                log::trace!(
                    "entry: returning a datagram to {} failed: {e}",
                    header.client
                );
                self.drops.count(ResultCode::DatagramNotSent);
            }
        }
    }

    fn handle_node_datagram(
        &self,
        datagram: &[u8],
        from: SocketAddr,
        on_control: &impl Fn(ControlMessage, SocketAddr, NodeId),
    ) {
        let decoded = self.codec.borrow().decode(datagram);
        let (header, payload) = match decoded {
            Ok(decoded) => decoded,
            Err(code) => return self.drops.count(code),
        };
        match header.kind {
            DatagramKind::Return => self.return_to_client(&header, payload),
            DatagramKind::Control => match decode_control(payload) {
                Ok(message) => {
                    increment(&self.counters.control_messages);
                    self.control_traffic.count_received(payload.len());
                    on_control(message, from, sender_node(&header));
                }
                Err(code) => self.drops.count(code),
            },
            DatagramKind::Forward => self.drops.count(ResultCode::DatagramMalformed),
        }
    }
}

/// Routes the datagrams of one service's clients until the runtime shuts down.
pub(crate) async fn run_service<L: LivenessView>(plane: Rc<DataPlane<L>>, index: usize) {
    let service = &plane.services[index];
    receive_datagrams(&service.socket, |datagram, client| {
        plane.route_client_datagram(service, datagram, client);
    })
    .await;
}

/// Handles datagrams from agents and entries until the runtime shuts down.
pub(crate) async fn run_control<L: LivenessView>(
    plane: Rc<DataPlane<L>>,
    on_control: impl Fn(ControlMessage, SocketAddr, NodeId),
) {
    receive_datagrams(&plane.control, |datagram, from| {
        plane.handle_node_datagram(datagram, from, &on_control);
    })
    .await;
}

/// Returns the sender of a control datagram. Agents set the target ID; entries leave it at 0.
const fn sender_node(header: &EncapsulationHeader) -> NodeId {
    match header.target {
        TargetId(0) => NodeId::Entry(header.entry),
        target => NodeId::Agent(target),
    }
}

async fn receive_datagrams(socket: &UdpSocket, handle: impl Fn(&[u8], SocketAddr)) {
    let mut buffer = [0; RECEIVE_BUFFER_BYTES];
    loop {
        // Fails only if the runtime shuts down.
        if socket.readable().await.is_err() {
            return;
        }
        for _ in 0..MAX_BATCH_DATAGRAMS {
            match socket.try_recv_from(&mut buffer) {
                Ok((length_bytes, from)) => handle(&buffer[..length_bytes], from),
                // `WouldBlock`, or an ICMP error for an earlier datagram.
                Err(_) => break,
            }
        }
        tokio::task::yield_now().await;
    }
}
