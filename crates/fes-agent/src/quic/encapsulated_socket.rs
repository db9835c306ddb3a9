//! UDP socket of the QUIC endpoint, which exchanges encapsulated datagrams with entries.

use std::fmt;
use std::future::Future;
use std::io;
use std::io::IoSliceMut;
use std::net::IpAddr;
use std::net::Ipv6Addr;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use fes_kernel::ProcessClock;
use fes_link::ControlTraffic;
use fes_link::ResultCodeCounters;
use fes_protocol::ControlMessage;
use fes_protocol::DatagramKind;
use fes_protocol::EncapsulationCodec;
use fes_protocol::EncapsulationHeader;
use fes_protocol::EntryId;
use fes_protocol::ResultCode;
use fes_protocol::ServiceId;
use fes_protocol::TargetId;
use fes_protocol::TicketNumber;
use fes_protocol::decode_control;
use fes_protocol::encode_control;
use fes_routing::IngressDecision;
use fes_routing::ReturnEntry;
use quinn::AsyncUdpSocket;
use quinn::UdpPoller;
use quinn::udp::RecvMeta;
use quinn::udp::Transmit;
use tokio::net::UdpSocket;
use tokio::sync::mpsc::UnboundedSender;

pub(crate) use super::ingress_state::IngressState;

/// Larger than any valid encapsulated datagram, so that oversized datagrams are detected rather
/// than truncated to a valid size.
const RECEIVE_BUFFER_BYTES: usize = 2_048;

/// Maximum number of datagrams handled in one poll, so that other tasks aren't starved.
const MAX_BATCH_DATAGRAMS: usize = 256;

/// A control message and the address of its sender.
#[derive(Debug)]
pub(crate) struct ControlDatagram {
    pub(crate) message: ControlMessage,
    pub(crate) from: SocketAddr,
}

/// Decapsulates client datagrams for the QUIC endpoint and encapsulates the endpoint's datagrams
/// for entries.
pub(crate) struct EncapsulatedSocket {
    /// `None` after `close`, so that the address is released immediately.
    socket: Mutex<Option<Arc<UdpSocket>>>,
    local_address: SocketAddr,
    service: ServiceId,
    target: TargetId,
    clock: ProcessClock,
    state: Mutex<IngressState>,
    drops: Arc<ResultCodeCounters>,
    control_traffic: ControlTraffic,
    control: UnboundedSender<ControlDatagram>,
}

impl fmt::Debug for EncapsulatedSocket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EncapsulatedSocket")
            .field("local_address", &self.local_address)
            .finish_non_exhaustive()
    }
}

impl EncapsulatedSocket {
    pub(crate) fn new(
        socket: UdpSocket,
        service: ServiceId,
        target: TargetId,
        clock: ProcessClock,
        state: IngressState,
        drops: Arc<ResultCodeCounters>,
        control: UnboundedSender<ControlDatagram>,
    ) -> io::Result<Self> {
        Ok(Self {
            local_address: socket.local_addr()?,
            socket: Mutex::new(Some(Arc::new(socket))),
            service,
            target,
            clock,
            state: Mutex::new(state),
            drops,
            control_traffic: ControlTraffic::default(),
            control,
        })
    }

    /// Locks the ingress state. The guard must not be held across an await point.
    pub(crate) fn state(&self) -> MutexGuard<'_, IngressState> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Closes the socket immediately, without notifying any peer.
    pub(crate) fn close(&self) {
        self.socket.lock().unwrap_or_else(|e| e.into_inner()).take();
    }

    /// Returns the counters of control traffic.
    pub(crate) const fn control_traffic(&self) -> &ControlTraffic {
        &self.control_traffic
    }

    /// Sends a control message to another process.
    pub(crate) fn send_control(&self, to: SocketAddr, message: &ControlMessage) {
        let payload = match encode_control(message) {
            Ok(payload) => payload,
            Err(code) => return self.drops.count(code),
        };
        self.control_traffic.count_sent(payload.len());
        let header = self.header(DatagramKind::Control, EntryId(0), to, 0);
        self.send_datagram(&header, &payload, to);
    }

    fn socket(&self) -> io::Result<Arc<UdpSocket>> {
        let socket = self.socket.lock().unwrap_or_else(|e| e.into_inner());
        socket
            .clone()
            .ok_or_else(|| io::Error::from(io::ErrorKind::NotConnected))
    }

    fn header(
        &self,
        kind: DatagramKind,
        entry: EntryId,
        client: SocketAddr,
        address_tag: u16,
    ) -> EncapsulationHeader {
        EncapsulationHeader {
            kind,
            service: self.service,
            target: self.target,
            entry,
            ticket: TicketNumber(0),
            client,
            address_tag,
            hop_count: 0,
            sent_ms: (self.clock.wall().as_ms() & u64::from(u32::MAX)) as u32,
        }
    }

    fn send_datagram(&self, header: &EncapsulationHeader, payload: &[u8], to: SocketAddr) {
        let datagram = self.state().codec.encode(header, payload);
        let sent = self
            .socket()
            .and_then(|socket| socket.try_send_to(&datagram, to));
        if sent.is_err() {
            self.drops.count(ResultCode::DatagramNotSent);
        }
    }

    /// Handles one datagram. If it is for the QUIC endpoint, copies its payload to `out`, and
    /// returns its header and the length of the payload.
    fn handle_datagram(
        &self,
        datagram: &[u8],
        from: SocketAddr,
        out: &mut [u8],
    ) -> Option<(EncapsulationHeader, usize)> {
        let decoded = self.state().codec.decode(datagram);
        let (header, payload) = match decoded {
            Ok(decoded) => decoded,
            Err(code) => {
                self.drops.count(code);
                return None;
            }
        };
        match header.kind {
            DatagramKind::Forward => self.receive_forward(&header, payload, from, out),
            DatagramKind::Control => {
                self.receive_control(payload, from);
                None
            }
            DatagramKind::Return => {
                self.drops.count(ResultCode::DatagramMalformed);
                None
            }
        }
    }

    fn receive_control(&self, payload: &[u8], from: SocketAddr) {
        match decode_control(payload) {
            Ok(message) => {
                self.control_traffic.count_received(payload.len());
                // Fails only while the agent is stopping.
                drop(self.control.send(ControlDatagram { message, from }));
            }
            Err(code) => self.drops.count(code),
        }
    }

    fn receive_forward(
        &self,
        header: &EncapsulationHeader,
        payload: &[u8],
        from: SocketAddr,
        out: &mut [u8],
    ) -> Option<(EncapsulationHeader, usize)> {
        let decision = self.state().decide(self.clock.now(), header, payload, from);
        match decision {
            IngressDecision::Accept | IngressDecision::RefuseNewFlow => {
                let Some(out) = out.get_mut(..payload.len()) else {
                    self.drops.count(ResultCode::DatagramTooLarge);
                    return None;
                };
                out.copy_from_slice(payload);
                Some((*header, payload.len()))
            }
            IngressDecision::Forward {
                target,
                agent_address,
            } => {
                let forwarded = EncapsulationHeader {
                    target,
                    hop_count: 1,
                    ..*header
                };
                self.state().first_packets_handed_off += 1;
                self.send_datagram(&forwarded, payload, agent_address);
                None
            }
            IngressDecision::Drop(code) => {
                self.drops.count(code);
                None
            }
        }
    }

    /// Handles waiting datagrams until the buffers are full. Returns how many were placed in the
    /// buffers, and whether more datagrams may be waiting.
    fn receive_batch(
        &self,
        socket: &UdpSocket,
        bufs: &mut [IoSliceMut<'_>],
        meta: &mut [RecvMeta],
    ) -> (usize, bool) {
        let mut datagram = [0; RECEIVE_BUFFER_BYTES];
        let mut filled = 0;
        for _ in 0..MAX_BATCH_DATAGRAMS {
            if filled == bufs.len().min(meta.len()) {
                return (filled, true);
            }
            match socket.try_recv_from(&mut datagram) {
                Ok((length_bytes, from)) => {
                    let accepted =
                        self.handle_datagram(&datagram[..length_bytes], from, &mut bufs[filled]);
                    if let Some((header, length_bytes)) = accepted {
                        meta[filled] = receive_meta(&header, length_bytes);
                        filled += 1;
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return (filled, false),
                // An ICMP error for an earlier datagram; the socket is still usable.
                Err(_) => {}
            }
        }
        (filled, true)
    }

    fn choose_entry(&self, client: SocketAddr) -> Option<(ReturnEntry, EncapsulationCodec)> {
        let mut state = self.state();
        let entry = state.choose_entry(self.clock.now(), client)?;
        Some((entry, state.codec.clone()))
    }
}

impl AsyncUdpSocket for EncapsulatedSocket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        Box::pin(WritePoller {
            socket: self,
            writable: None,
        })
    }

    fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        let client = transmit.destination;
        let Some((entry, codec)) = self.choose_entry(client) else {
            self.drops.count(ResultCode::DatagramNoEntry);
            return Ok(());
        };
        let tag = transmit.src_ip.map_or(0, tag_from_ip);
        let header = self.header(DatagramKind::Return, entry.entry, client, tag);
        let datagram = codec.encode(&header, transmit.contents);
        match self.socket()?.try_send_to(&datagram, entry.address) {
            Ok(_) => Ok(()),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Err(e),
            // May be an ICMP error for an earlier datagram to a dead entry, which must not end the
            // connection.
            Err(_) => {
                self.drops.count(ResultCode::DatagramNotSent);
                Ok(())
            }
        }
    }

    fn poll_recv(
        &self,
        cx: &mut Context<'_>,
        bufs: &mut [IoSliceMut<'_>],
        meta: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        let socket = self.socket()?;
        loop {
            ready!(socket.poll_recv_ready(cx))?;
            match self.receive_batch(&socket, bufs, meta) {
                (0, true) => {
                    cx.waker().wake_by_ref();
                    return Poll::Pending;
                }
                (0, false) => {}
                (filled, _) => return Poll::Ready(Ok(filled)),
            }
        }
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        Ok(self.local_address)
    }

    fn may_fragment(&self) -> bool {
        // This enables path MTU discovery, which is safe: encapsulated datagrams up to the size
        // limit of entries stay below the MTU.
        false
    }
}

fn receive_meta(header: &EncapsulationHeader, length_bytes: usize) -> RecvMeta {
    RecvMeta {
        addr: header.client,
        len: length_bytes,
        stride: length_bytes,
        ecn: None,
        dst_ip: Some(ip_from_tag(header.address_tag)),
    }
}

/// Encodes the tag of the service address as the local IP of a flow, which quinn passes back with
/// each transmit.
fn ip_from_tag(tag: u16) -> IpAddr {
    IpAddr::V6(Ipv6Addr::from(u128::from(tag)))
}

fn tag_from_ip(ip: IpAddr) -> u16 {
    match ip {
        IpAddr::V6(ip) => (u128::from(ip) & u128::from(u16::MAX)) as u16,
        IpAddr::V4(_) => 0,
    }
}

type Writable = Pin<Box<dyn Future<Output = io::Result<()>> + Send + Sync>>;

/// Waits on behalf of one connection for the socket to become writable.
struct WritePoller {
    socket: Arc<EncapsulatedSocket>,
    writable: Option<Writable>,
}

impl fmt::Debug for WritePoller {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("WritePoller").finish_non_exhaustive()
    }
}

impl UdpPoller for WritePoller {
    fn poll_writable(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.writable.is_none() {
            let socket = self.socket.socket()?;
            self.writable = Some(Box::pin(async move { socket.writable().await }));
        }
        let Some(writable) = self.writable.as_mut() else {
            return Poll::Pending;
        };
        let outcome = ready!(writable.as_mut().poll(cx));
        self.writable = None;
        Poll::Ready(outcome)
    }
}
