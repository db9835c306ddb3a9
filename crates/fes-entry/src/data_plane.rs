//! Datagrams between clients and agents.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use fes_kernel::ProcessClock;
use fes_link::ControlTraffic;
use fes_link::DropCounters;
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
use crate::counters::add_one;

/// Size of receive buffers in bytes: larger than any datagram that is passed on, so that an
/// oversized one is seen as such.
const BUFFER_BYTES: usize = 2_048;

/// Datagrams read from one socket before other tasks get a turn.
const BATCH_DATAGRAMS: usize = 64;

/// A socket for the clients of one service.
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

/// State that the datagram loops share.
pub(crate) struct DataPlane<L> {
    pub(crate) entry: EntryId,
    pub(crate) clock: ProcessClock,
    pub(crate) control: UdpSocket,
    pub(crate) services: Vec<ServiceSocket>,
    pub(crate) router: RefCell<Router>,
    pub(crate) codec: RefCell<EncapsulationCodec>,
    pub(crate) liveness: L,
    pub(crate) counters: LiveCounters,
    pub(crate) drops: DropCounters,
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

    fn send(&self, header: &EncapsulationHeader, payload: &[u8], to: SocketAddr) -> bool {
        let datagram = self.codec.borrow().encode(header, payload);
        match self.control.try_send_to(&datagram, to) {
            Ok(_) => true,
            Err(e) => {
                log::trace!("entry: sending to {to}: {e}");
                self.drops.count(ResultCode::DatagramNotSent);
                false
            }
        }
    }

    fn route_client(&self, service: &ServiceSocket, datagram: &[u8], client: SocketAddr) {
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
            add_one(match rule {
                RoutingRule::ConnectionId => &self.counters.routed_by_id,
                RoutingRule::LostTarget => &self.counters.lost_target,
                RoutingRule::Placement => &self.counters.placed,
            });
        }
    }

    fn to_client(&self, header: &EncapsulationHeader, payload: &[u8]) {
        let of_service = || self.services.iter().filter(|s| s.service == header.service);
        // Entries behind a fabric that rewrites addresses listen at addresses of their own; the
        // service's first socket then stands for its address.
        let socket = of_service()
            .find(|s| s.address_tag == header.address_tag)
            .or_else(|| of_service().next());
        let Some(socket) = socket else {
            return self.drops.count(ResultCode::DatagramWrongService);
        };
        match socket.socket.try_send_to(payload, header.client) {
            Ok(_) => add_one(&self.counters.returned),
            Err(e) => {
                log::trace!("entry: returning to {}: {e}", header.client);
                self.drops.count(ResultCode::DatagramNotSent);
            }
        }
    }

    fn handle_process(
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
            DatagramKind::Return => self.to_client(&header, payload),
            DatagramKind::Control => match decode_control(payload) {
                Ok(message) => {
                    add_one(&self.counters.control_messages);
                    self.control_traffic.count_received(payload.len());
                    on_control(message, from, sender_of(&header));
                }
                Err(code) => self.drops.count(code),
            },
            DatagramKind::Forward => self.drops.count(ResultCode::DatagramMalformed),
        }
    }
}

/// Routes the datagrams of one service's clients; never returns.
pub(crate) async fn run_service<L: LivenessView>(plane: Rc<DataPlane<L>>, index: usize) {
    let service = &plane.services[index];
    receive(&service.socket, |datagram, client| {
        plane.route_client(service, datagram, client);
    })
    .await;
}

/// Handles datagrams from agents and entries; never returns.
pub(crate) async fn run_control<L: LivenessView>(
    plane: Rc<DataPlane<L>>,
    on_control: impl Fn(ControlMessage, SocketAddr, NodeId),
) {
    receive(&plane.control, |datagram, from| {
        plane.handle_process(datagram, from, &on_control);
    })
    .await;
}

/// Returns who sent a control datagram: agents name their target, entries none.
const fn sender_of(header: &EncapsulationHeader) -> NodeId {
    match header.target {
        TargetId(0) => NodeId::Entry(header.entry),
        target => NodeId::Agent(target),
    }
}

async fn receive(socket: &UdpSocket, handle: impl Fn(&[u8], SocketAddr)) {
    let mut buffer = [0; BUFFER_BYTES];
    loop {
        // Readiness is lost only together with the runtime.
        if socket.readable().await.is_err() {
            return;
        }
        for _ in 0..BATCH_DATAGRAMS {
            match socket.try_recv_from(&mut buffer) {
                Ok((length_bytes, from)) => handle(&buffer[..length_bytes], from),
                // Also the asynchronous error of an earlier datagram to a closed port.
                Err(_) => break,
            }
        }
        tokio::task::yield_now().await;
    }
}
