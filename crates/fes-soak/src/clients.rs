//! Test doubles of the clients, and of the routers that select an entry for each flow. Clients open
//! flows, retransmit requests until a deadline, and use ports again.

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
use crate::network::moving_destination;
use crate::network::non_repeatable_destination;
use crate::network::stream_destination;
use crate::record::Record;

const PROBE_INTERVAL_MS: u64 = 500;
const PROBE_TIMEOUT_MS: u64 = 400;
/// An entry leaves the rotation after this many failed probes in a row.
const MAX_FAILED_PROBES: u32 = 2;
/// Timeouts of the first SYN and its retransmissions.
const SYN_TIMEOUTS_MS: [u64; 3] = [200, 400, 800];
const INITIAL_RETRY_MS: u64 = 200;
const MAX_RETRY_MS: u64 = 1_600;
const REQUEST_DEADLINE_MS: u64 = 2_000;
/// A reset is accepted if its sequence number is at most this far from the expected one.
const RESET_WINDOW_BYTES: u32 = 76_800;
const MAX_PACKET_BYTES: usize = 2_048;
/// Longest time between the end of a flow and the next one of the same port.
const MAX_REUSE_PAUSE_MS: u64 = 150;
/// Maximum number of requests of a flow whose port is used again. With the pauses, a flow may be
/// open for longer than a change of its route takes.
const MAX_REUSED_PORT_REQUESTS: usize = 40;
/// Time between the deadline of a request and its judgement.
const JUDGEMENT_DELAY_MS: u64 = 50;
/// Timeouts of the client's FIN and its retransmission.
const FIN_TIMEOUTS_MS: [u64; 2] = [100, 200];

/// All clients, and the routers in front of the entries.
pub struct Clients {
    network: Network,
    entries: usize,
    socket: UdpSocket,
    flow_senders: RefCell<HashMap<FlowKey, mpsc::UnboundedSender<Segment>>>,
    in_rotation: RefCell<Vec<bool>>,
    record: Rc<RefCell<Record>>,
    next_request: Cell<u64>,
    next_port: Cell<u16>,
    /// Packet loss between routers and entries, in percent.
    pub loss_percent: Cell<u32>,
    /// Whether requests that are sent now count towards the recovery check.
    pub is_recovery_check: Cell<bool>,
    /// Whether the soak is over. No more requests are sent then.
    pub is_over: Cell<bool>,
}

/// Result of opening a flow.
enum OpenOutcome {
    /// A target accepted the flow.
    Accepted(OpenedFlow),
    /// The flow was reset.
    Refused,
}

/// Result of a request.
enum RequestOutcome {
    /// The response arrived.
    Answered(Segment),
    /// The flow was reset.
    Reset,
    /// The deadline passed.
    TimedOut,
}

/// A client's view of a flow that a target has accepted.
struct OpenedFlow {
    key: FlowKey,
    target_initial_sequence: u32,
    /// Next sequence number of the client.
    sequence: u32,
    /// Next sequence number of the target.
    acknowledged: u32,
    opening_ms: u64,
}

impl OpenedFlow {
    const fn segment(&self) -> Segment {
        client_segment(self.key, self.sequence, self.acknowledged)
    }
}

impl Clients {
    /// Starts the receiver of packets and the readiness probes.
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
            flow_senders: RefCell::default(),
            in_rotation: RefCell::new(vec![true; entries]),
            record,
            next_request: Cell::new(1),
            next_port: Cell::new(1_024),
            loss_percent: Cell::new(0),
            is_recovery_check: Cell::new(false),
            is_over: Cell::new(false),
        });
        let receiver = Rc::clone(&clients);
        actix_rt::spawn(async move { receiver.receive().await });
        for entry in 0..entries {
            let prober = Rc::clone(&clients);
            actix_rt::spawn(async move { prober.probe_readiness(entry).await });
        }
        Ok(clients)
    }

    /// Sends requests on a long-lived flow, and on a new one when it breaks, until the soak is
    /// over.
    pub async fn run_long_lived_flows(self: Rc<Self>, pause_ms: u64) {
        while !self.is_over.get() {
            let flow = self.next_flow(stream_destination());
            self.run_flow(flow, usize::MAX, pause_ms).await;
            sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    /// Sends each request on a new flow, until the soak is over.
    pub async fn run_single_request_flows(self: Rc<Self>, pause_ms: u64) {
        while !self.is_over.get() {
            let flow = self.next_flow(non_repeatable_destination());
            self.run_flow(flow, 1, 0).await;
            sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    /// Opens one flow after the other from the same port, closing each, until the soak is over.
    pub async fn run_flows_of_one_port(self: Rc<Self>, pause_ms: u64) {
        let flow = self.next_flow(moving_destination());
        while !self.is_over.get() {
            let requests = rand::rng().random_range(1..=MAX_REUSED_PORT_REQUESTS);
            self.run_flow(flow, requests, pause_ms).await;
            let pause_ms = rand::rng().random_range(0..MAX_REUSE_PAUSE_MS);
            sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    /// Opens a flow and sends requests. Only clients that use their port again close their flows;
    /// the others disappear.
    async fn run_flow(&self, flow: FlowKey, requests: usize, pause_ms: u64) {
        let (sender, mut packets) = mpsc::unbounded_channel();
        self.flow_senders.borrow_mut().insert(flow, sender);
        if let Some(OpenOutcome::Accepted(mut opened)) = self.open_flow(flow, &mut packets).await {
            let is_open = self
                .run_requests(&mut opened, requests, pause_ms, &mut packets)
                .await;
            if is_open && flow.destination == moving_destination() {
                self.close_flow(&opened, &mut packets).await;
            }
        }
        self.flow_senders.borrow_mut().remove(&flow);
    }

    /// Opens a flow. Returns `None` if all SYNs time out.
    async fn open_flow(
        &self,
        flow: FlowKey,
        packets: &mut mpsc::UnboundedReceiver<Segment>,
    ) -> Option<OpenOutcome> {
        let started = Instant::now();
        let initial_sequence: u32 = rand::rng().random();
        let sequence = initial_sequence.wrapping_add(1);
        self.record
            .borrow_mut()
            .record_opening(flow, initial_sequence);
        for (retransmissions, wait_ms) in (0..).zip(SYN_TIMEOUTS_MS) {
            let syn = Segment {
                is_syn: true,
                is_ack: false,
                // In a SYN, the field holds the number of earlier transmissions.
                acknowledged: retransmissions,
                ..client_segment(flow, initial_sequence, 0)
            };
            self.send(flow, &encode_packet(&syn, &[]));
            let end = Instant::now() + Duration::from_millis(wait_ms);
            while let Ok(Some(segment)) = timeout(end - Instant::now(), packets.recv()).await {
                if segment.is_reset {
                    return Some(OpenOutcome::Refused);
                }
                // A late SYN of a target may belong to the former flow of the port.
                if segment.is_syn && segment.acknowledged == sequence {
                    return Some(OpenOutcome::Accepted(OpenedFlow {
                        key: flow,
                        target_initial_sequence: segment.sequence,
                        sequence,
                        acknowledged: segment.sequence.wrapping_add(1),
                        opening_ms: u64::try_from(started.elapsed().as_millis()).unwrap_or(0),
                    }));
                }
            }
        }
        None
    }

    /// Sends requests on a flow. Returns whether the flow is still open.
    async fn run_requests(
        &self,
        flow: &mut OpenedFlow,
        requests: usize,
        pause_ms: u64,
        packets: &mut mpsc::UnboundedReceiver<Segment>,
    ) -> bool {
        self.send(flow.key, &encode_packet(&flow.segment(), &[]));
        for index in 0..requests {
            if self.is_over.get() {
                return true;
            }
            let request = self.next_request.replace(self.next_request.get() + 1);
            let payload = format!("GET / HTTP/1.1\r\nRequest-Id: {request}\r\n\r\n");
            let payload_bytes = u16::try_from(payload.len()).unwrap_or(0);
            let segment = Segment {
                payload_bytes,
                ..flow.segment()
            };
            let is_recovery_check = self.is_recovery_check.get();
            self.record.borrow_mut().recovery_sent += usize::from(is_recovery_check);
            let bytes = encode_packet(&segment, payload.as_bytes());
            match self.await_answer(flow, &bytes, packets).await {
                RequestOutcome::Answered(answer) => {
                    self.record_answer(is_recovery_check);
                    let answer_bytes = u32::from(answer.payload_bytes);
                    flow.sequence = flow.sequence.wrapping_add(u32::from(payload_bytes));
                    flow.acknowledged = flow.acknowledged.wrapping_add(answer_bytes);
                }
                RequestOutcome::Reset => {
                    self.record.borrow_mut().failed += 1;
                    return false;
                }
                RequestOutcome::TimedOut => {
                    let timed_out_at = Instant::now();
                    // If the machine didn't run the soak for a while, several timers are due. The
                    // observations of the others must be recorded before the request is judged.
                    sleep(Duration::from_millis(JUDGEMENT_DELAY_MS)).await;
                    self.record_unanswered(timed_out_at, flow, request, index == 0);
                    return true;
                }
            }
            self.send(flow.key, &encode_packet(&flow.segment(), &[]));
            sleep(Duration::from_millis(pause_ms)).await;
        }
        true
    }

    /// Closes a flow and waits until its target has closed it, for a limited time.
    async fn close_flow(&self, flow: &OpenedFlow, packets: &mut mpsc::UnboundedReceiver<Segment>) {
        let fin = Segment {
            is_fin: true,
            ..flow.segment()
        };
        for wait_ms in FIN_TIMEOUTS_MS {
            self.send(flow.key, &encode_packet(&fin, &[]));
            let end = Instant::now() + Duration::from_millis(wait_ms);
            while let Ok(Some(segment)) = timeout(end - Instant::now(), packets.recv()).await {
                if segment.is_fin || segment.is_reset {
                    return;
                }
            }
        }
    }

    fn record_unanswered(
        &self,
        timed_out_at: Instant,
        flow: &OpenedFlow,
        request: u64,
        is_first: bool,
    ) {
        let opening_ms = if is_first { flow.opening_ms } else { 0 };
        let mut record = self.record.borrow_mut();
        record.failed += 1;
        record.record_unanswered(
            timed_out_at,
            (flow.key, flow.target_initial_sequence),
            request,
            opening_ms,
        );
    }

    fn record_answer(&self, is_recovery_check: bool) {
        let mut record = self.record.borrow_mut();
        record.answered += 1;
        record.recovery_answered += usize::from(is_recovery_check);
    }

    /// Retransmits a request until its answer arrives, the flow is reset or the deadline passes.
    async fn await_answer(
        &self,
        flow: &OpenedFlow,
        bytes: &[u8],
        packets: &mut mpsc::UnboundedReceiver<Segment>,
    ) -> RequestOutcome {
        let deadline = Instant::now() + Duration::from_millis(REQUEST_DEADLINE_MS);
        let mut retry_ms = INITIAL_RETRY_MS;
        while Instant::now() < deadline {
            self.send(flow.key, bytes);
            let end = Instant::now() + Duration::from_millis(retry_ms);
            while let Ok(Some(segment)) = timeout(end - Instant::now(), packets.recv()).await {
                let distance = segment.sequence.wrapping_sub(flow.acknowledged);
                if segment.is_reset && distance.min(distance.wrapping_neg()) <= RESET_WINDOW_BYTES {
                    self.record.borrow_mut().record_reset(flow.key);
                    return RequestOutcome::Reset;
                }
                if segment.payload_bytes > 0 && segment.sequence == flow.acknowledged {
                    return RequestOutcome::Answered(segment);
                }
            }
            retry_ms = (retry_ms * 2).min(MAX_RETRY_MS);
        }
        RequestOutcome::TimedOut
    }

    fn next_flow(&self, destination: SocketAddrV4) -> FlowKey {
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
        let address = SocketAddrV4::new(self.network.entry(self.select_entry(flow)), CLIENT_PORT);
        // A packet that doesn't fit into the socket buffer is lost, as on a real link.
        let _ = self.socket.try_send_to(bytes, address.into());
    }

    /// Selects the entry as the routers do: by rendezvous hashing over the entries in rotation, or
    /// over all entries if fewer than half are in rotation.
    fn select_entry(&self, flow: FlowKey) -> usize {
        let in_rotation = self.in_rotation.borrow();
        let in_rotation_count = in_rotation.iter().filter(|is_in| **is_in).count();
        let uses_all = in_rotation_count * 2 < self.entries;
        let candidates = (0..self.entries).filter(|entry| uses_all || in_rotation[*entry]);
        let weight = |entry: &usize| {
            let seed = u64::from(flow.client.port()) * 131 + *entry as u64 * 7_919;
            seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 16
        };
        candidates.max_by_key(weight).unwrap_or(0)
    }

    async fn probe_readiness(&self, entry: usize) {
        let address = SocketAddrV4::new(self.network.entry(entry), READY_PORT);
        let mut failed_probes = 0;
        loop {
            let mut client = PlatformClient::anonymous(SocketAddr::V4(address));
            let reply = client.get(READINESS_PATH, PROBE_TIMEOUT_MS).await;
            failed_probes = match reply {
                Ok((StatusCode::OK, _)) => 0,
                _ => failed_probes + 1,
            };
            self.in_rotation.borrow_mut()[entry] = failed_probes < MAX_FAILED_PROBES;
            sleep(Duration::from_millis(PROBE_INTERVAL_MS)).await;
        }
    }

    async fn receive(&self) {
        let mut buffer = vec![0; MAX_PACKET_BYTES];
        loop {
            let Ok((length, _)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            let Ok(segment) = packet::decode_from_target(&buffer[..length]) else {
                self.record_violation("a client received a malformed packet".into());
                continue;
            };
            if !segment.is_reset && !has_valid_checksum(&buffer[..length]) {
                self.record_violation(format!(
                    "a client received a packet of flow {} with an invalid checksum",
                    segment.flow
                ));
            }
            let flow_senders = self.flow_senders.borrow();
            if let Some(sender) = flow_senders.get(&segment.flow) {
                // Fails only if the client has just closed the flow.
                let _ = sender.send(segment);
            }
        }
    }

    fn record_violation(&self, text: String) {
        self.record.borrow_mut().violations.push(text);
    }
}

const fn client_segment(flow: FlowKey, sequence: u32, acknowledged: u32) -> Segment {
    Segment {
        flow,
        sender: Sender::Client,
        is_syn: false,
        is_ack: true,
        is_fin: false,
        is_reset: false,
        is_failure: false,
        is_returned: false,
        sequence,
        acknowledged,
        payload_bytes: 0,
    }
}
