//! Stand-ins of clients and routers: flows with requests, sent again until a deadline.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;

use fes_adapter::READINESS_PATH;
use fes_adapter::packet;
use fes_adapter::stand_in::encode_packet;
use fes_adapter::stand_in::has_valid_checksum;
use fes_passthrough::FlowKey;
use fes_passthrough::Segment;
use fes_passthrough::Sender;
use fes_platform::PlatformClient;
use http::StatusCode;
use rand::Rng;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::Duration;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::network::CLIENT_PORT;
use crate::network::Network;
use crate::network::READY_PORT;
use crate::network::once_destination;
use crate::network::stream_destination;
use crate::record::Record;

const PROBE_MS: u64 = 500;
const PROBE_TIMEOUT_MS: u64 = 400;
const MISSES_OUT: u32 = 2;
const OPENING_COPIES_MS: [u64; 3] = [200, 400, 800];
const FIRST_RETRY_MS: u64 = 200;
const LONGEST_RETRY_MS: u64 = 1_600;
const DEADLINE_MS: u64 = 2_000;
const RESET_WINDOW: u32 = 76_800;
const MAX_PACKET_BYTES: usize = 2_048;

/// The clients' machine with the routers before the entries.
pub struct Clients {
    network: Network,
    entries: usize,
    socket: UdpSocket,
    flows: RefCell<HashMap<FlowKey, mpsc::UnboundedSender<Segment>>>,
    in_rotation: RefCell<Vec<bool>>,
    record: Rc<RefCell<Record>>,
    next_request: Cell<u64>,
    next_port: Cell<u16>,
    /// Packets lost on the way to entries, in percent.
    pub loss_percent: Cell<u32>,
    /// Requests sent from now on count towards the recovery.
    pub is_last_part: Cell<bool>,
    /// No further request is sent.
    pub is_over: Cell<bool>,
}

enum Opened {
    At(u32),
    Refused,
}

impl Clients {
    /// Starts the machine.
    pub async fn start(
        network: Network,
        entries: usize,
        record: Rc<RefCell<Record>>,
    ) -> std::io::Result<Rc<Self>> {
        let address = SocketAddrV4::new(network.clients(), CLIENT_PORT);
        let clients = Rc::new(Self {
            network,
            entries,
            socket: UdpSocket::bind(address).await?,
            flows: RefCell::default(),
            in_rotation: RefCell::new(vec![true; entries]),
            record,
            next_request: Cell::new(1),
            next_port: Cell::new(1_024),
            loss_percent: Cell::new(0),
            is_last_part: Cell::new(false),
            is_over: Cell::new(false),
        });
        let receiver = Rc::clone(&clients);
        actix_rt::spawn(async move { receiver.receive().await });
        for entry in 0..entries {
            let prober = Rc::clone(&clients);
            actix_rt::spawn(async move { prober.probe(entry).await });
        }
        Ok(clients)
    }

    /// Sends requests on one flow after the other, many on each, until the soak is over.
    pub async fn run_stream(self: Rc<Self>, pause_ms: u64) {
        while !self.is_over.get() {
            self.run_flow(stream_destination(), usize::MAX, pause_ms)
                .await;
            sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    /// Opens a flow for each request, until the soak is over.
    pub async fn run_once(self: Rc<Self>, pause_ms: u64) {
        while !self.is_over.get() {
            self.run_flow(once_destination(), 1, 0).await;
            sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    async fn run_flow(&self, destination: SocketAddrV4, requests: usize, pause_ms: u64) {
        let flow = self.new_flow(destination);
        let (sender, mut packets) = mpsc::unbounded_channel();
        self.flows.borrow_mut().insert(flow, sender);
        if let Some(Opened::At(sequence)) = self.open(flow, &mut packets).await {
            self.run_requests(flow, sequence, requests, pause_ms, &mut packets)
                .await;
        }
        self.flows.borrow_mut().remove(&flow);
    }

    async fn open(
        &self,
        flow: FlowKey,
        packets: &mut mpsc::UnboundedReceiver<Segment>,
    ) -> Option<Opened> {
        for (copies, wait_ms) in (0..).zip(OPENING_COPIES_MS) {
            let opening = Segment {
                is_syn: true,
                is_ack: false,
                acknowledged: copies,
                ..from_client(flow, 0, 0)
            };
            self.send(flow, &encode_packet(&opening, &[]));
            let end = Instant::now() + Duration::from_millis(wait_ms);
            while let Ok(Some(segment)) = timeout(end - Instant::now(), packets.recv()).await {
                if segment.is_reset {
                    return Some(Opened::Refused);
                }
                if segment.is_syn {
                    return Some(Opened::At(segment.sequence.wrapping_add(1)));
                }
            }
        }
        None
    }

    async fn run_requests(
        &self,
        flow: FlowKey,
        opened_at: u32,
        requests: usize,
        pause_ms: u64,
        packets: &mut mpsc::UnboundedReceiver<Segment>,
    ) {
        let mut sequence = 1;
        let mut acknowledged = opened_at;
        self.send(
            flow,
            &encode_packet(&from_client(flow, sequence, acknowledged), &[]),
        );
        for _ in 0..requests {
            if self.is_over.get() {
                return;
            }
            let request = self.next_request.replace(self.next_request.get() + 1);
            let payload = format!("GET / HTTP/1.1\r\nRequest-Id: {request}\r\n\r\n");
            let segment = Segment {
                payload_bytes: u16::try_from(payload.len()).unwrap_or(0),
                ..from_client(flow, sequence, acknowledged)
            };
            let is_last_part = self.is_last_part.get();
            self.record.borrow_mut().recovery_sent += usize::from(is_last_part);
            let bytes = encode_packet(&segment, payload.as_bytes());
            let Some(answer) = self.await_answer(flow, &bytes, acknowledged, packets).await else {
                self.record.borrow_mut().failed += 1;
                return;
            };
            self.count_answered(is_last_part);
            sequence += u32::from(segment.payload_bytes);
            acknowledged = acknowledged.wrapping_add(u32::from(answer.payload_bytes));
            self.send(
                flow,
                &encode_packet(&from_client(flow, sequence, acknowledged), &[]),
            );
            sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    fn count_answered(&self, is_last_part: bool) {
        let mut record = self.record.borrow_mut();
        record.answered += 1;
        record.recovery_answered += usize::from(is_last_part);
    }

    async fn await_answer(
        &self,
        flow: FlowKey,
        bytes: &[u8],
        acknowledged: u32,
        packets: &mut mpsc::UnboundedReceiver<Segment>,
    ) -> Option<Segment> {
        let deadline = Instant::now() + Duration::from_millis(DEADLINE_MS);
        let mut retry_ms = FIRST_RETRY_MS;
        while Instant::now() < deadline {
            self.send(flow, bytes);
            let end = Instant::now() + Duration::from_millis(retry_ms);
            while let Ok(Some(segment)) = timeout(end - Instant::now(), packets.recv()).await {
                let distance = segment.sequence.wrapping_sub(acknowledged);
                if segment.is_reset && distance.min(distance.wrapping_neg()) <= RESET_WINDOW {
                    self.record.borrow_mut().record_reset(flow);
                    return None;
                }
                if segment.payload_bytes > 0 && segment.sequence == acknowledged {
                    return Some(segment);
                }
            }
            retry_ms = (retry_ms * 2).min(LONGEST_RETRY_MS);
        }
        None
    }

    fn new_flow(&self, destination: SocketAddrV4) -> FlowKey {
        let port = self.next_port.get();
        self.next_port.set(port.checked_add(1).unwrap_or(1_024));
        FlowKey {
            client: SocketAddrV4::new(self.network.clients(), port),
            destination,
        }
    }

    fn send(&self, flow: FlowKey, bytes: &[u8]) {
        if rand::rng().random_range(0..100) < self.loss_percent.get() {
            return;
        }
        let address = SocketAddrV4::new(self.network.entry(self.route(flow)), CLIENT_PORT);
        // What an entry doesn't take in time is lost, as on a link.
        let _ = self.socket.try_send_to(bytes, address.into());
    }

    /// The routers' choice: rendezvous hash over the entries in rotation, or over all if fewer than
    /// half are.
    fn route(&self, flow: FlowKey) -> usize {
        let in_rotation = self.in_rotation.borrow();
        let live = in_rotation.iter().filter(|is_in| **is_in).count();
        let uses_all = live * 2 < self.entries;
        let candidates = (0..self.entries).filter(|entry| uses_all || in_rotation[*entry]);
        let weight = |entry: &usize| {
            let seed = u64::from(flow.client.port()) * 131 + *entry as u64 * 7_919;
            seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 16
        };
        candidates.max_by_key(weight).unwrap_or(0)
    }

    async fn probe(&self, entry: usize) {
        let address = SocketAddrV4::new(self.network.entry(entry), READY_PORT);
        let mut misses = 0;
        loop {
            let mut client = PlatformClient::anonymous(SocketAddr::V4(address));
            let reply = client.get(READINESS_PATH, PROBE_TIMEOUT_MS).await;
            misses = match reply {
                Ok((StatusCode::OK, _)) => 0,
                _ => misses + 1,
            };
            self.in_rotation.borrow_mut()[entry] = misses < MISSES_OUT;
            sleep(Duration::from_millis(PROBE_MS)).await;
        }
    }

    async fn receive(&self) {
        let mut buffer = vec![0; MAX_PACKET_BYTES];
        loop {
            let Ok((length, _)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            let Ok(segment) = packet::decode_from_target(&buffer[..length]) else {
                self.violation("a client got an unreadable packet".into());
                continue;
            };
            if !segment.is_reset && !has_valid_checksum(&buffer[..length]) {
                self.violation(format!("a packet of {} was changed", segment.flow));
            }
            let flows = self.flows.borrow();
            if let Some(sender) = flows.get(&segment.flow) {
                // A client that has just left takes nothing more.
                let _ = sender.send(segment);
            }
        }
    }

    fn violation(&self, text: String) {
        self.record.borrow_mut().violations.push(text);
    }
}

fn from_client(flow: FlowKey, sequence: u32, acknowledged: u32) -> Segment {
    Segment {
        flow,
        sender: Sender::Client,
        is_syn: false,
        is_ack: true,
        is_fin: false,
        is_reset: false,
        is_returned: false,
        sequence,
        acknowledged,
        payload_bytes: 0,
    }
}
