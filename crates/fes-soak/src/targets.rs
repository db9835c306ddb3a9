//! Test doubles of the targets, which register at the store, accept flows and run requests.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::Rc;

use fes_adapter::odd_target_items;
use fes_adapter::packet;
use fes_adapter::stand_in::encode_packet;
use fes_adapter::stand_in::encode_target;
use fes_adapter::stand_in::has_valid_checksum;
use fes_adapter::stand_in::mark_returned;
use fes_adapter::stand_in::target_key;
use fes_passthrough::FlowKey;
use fes_passthrough::Segment;
use fes_passthrough::Sender;
use fes_passthrough::ServiceTag;
use fes_passthrough::TargetRecord;
use fes_passthrough::TargetState;
use fes_protocol::DataCentreName;
use fes_protocol::ServiceName;
use fes_protocol::UpstreamName;
use rand::Rng;
use tokio::net::UdpSocket;
use tokio::time::Duration;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::daemon::DaemonId;
use crate::network::DATA_CENTRE;
use crate::network::FROM_TARGET_PORT;
use crate::network::Network;
use crate::network::TARGET_PORT;
use crate::network::non_repeatable_destination;
use crate::record::Record;
use crate::store::Store;
use crate::store::StoreMode;
use crate::target_listener::TargetListener;

/// Time within which all entries know that a target drains, and that the store came back from a copy.
const MAX_DRAIN_NOTICE_MS: u64 = 2_000;
const HEARTBEAT_INTERVAL_MS: u64 = 400;
const MISSED_HEARTBEATS_UNTIL_EXPIRY: u32 = 3;
const REQUEST_DURATION_MS: u64 = 15;
const SLOTS: u32 = 4;
/// Start time of a target until its first restart.
const INITIAL_START_MS: u64 = 1_000_000;
const MAX_PACKET_BYTES: usize = 2_048;

struct Flow {
    initial_sequence: u32,
    client_initial_sequence: u32,
    /// Whether the client has acknowledged the SYN of the target.
    is_open: bool,
    next_client_sequence: u32,
    /// Packet with the response to the latest request.
    response: Option<Vec<u8>>,
    sent_bytes: u32,
}

/// Test double of a target.
pub struct Target {
    index: usize,
    network: Network,
    record: Rc<RefCell<Record>>,
    flows: RefCell<HashMap<FlowKey, Flow>>,
    started_at_ms: Cell<u64>,
    is_up: Cell<bool>,
    is_draining: Cell<bool>,
    /// When the target first wrote that it drains.
    drains_since: Cell<Option<Instant>>,
    has_ended: Cell<bool>,
    /// Number of requests that run.
    running: Cell<u32>,
    /// Number of writes to the store.
    writes: Cell<u64>,
    service: &'static str,
    store: Rc<Store>,
    listener: TargetListener,
    socket: UdpSocket,
}

impl Target {
    /// Starts a target, which keeps itself registered at the store.
    pub async fn start(
        index: usize,
        service: &'static str,
        network: Network,
        store: Rc<Store>,
        record: Rc<RefCell<Record>>,
    ) -> std::io::Result<Rc<Self>> {
        let address = SocketAddrV4::new(network.target(index), TARGET_PORT);
        let target = Rc::new(Self {
            index,
            network,
            record,
            flows: RefCell::default(),
            started_at_ms: Cell::new(INITIAL_START_MS),
            is_up: Cell::new(true),
            is_draining: Cell::new(false),
            drains_since: Cell::new(None),
            has_ended: Cell::new(false),
            running: Cell::new(0),
            writes: Cell::new(0),
            service,
            store,
            listener: TargetListener::new(address),
            socket: UdpSocket::bind(address).await?,
        });
        target.listener.start()?;
        let receiver = Rc::clone(&target);
        actix_rt::spawn(async move { receiver.receive().await });
        let registration = Rc::clone(&target);
        actix_rt::spawn(async move { registration.send_heartbeats().await });
        Ok(target)
    }

    /// Crashes the target, which loses all its flows.
    pub fn crash(&self) {
        if self.is_up.get() {
            self.stop();
            self.record.borrow_mut().record_crash(self.index);
        }
    }

    /// Restarts the target after a crash.
    ///
    /// # Errors
    ///
    /// Returns an error if the address of the target can't be bound.
    pub fn restart(&self) -> std::io::Result<()> {
        if self.is_up.get() || self.has_ended.get() {
            return Ok(());
        }
        self.start_again()?;
        self.record
            .borrow_mut()
            .record_target_disruption(self.index);
        Ok(())
    }

    /// Reports that the target accepts no further flows.
    pub fn drain(&self) {
        if self.is_up.get() {
            self.is_draining.set(true);
            self.drains_since.set(Some(Instant::now()));
            self.register();
        }
    }

    /// Ends the target as planned, unless a crash and restart has interrupted its drain.
    pub fn end(&self) {
        if self.is_up.get() && self.is_draining.get() {
            self.stop();
            self.has_ended.set(true);
            self.record.borrow_mut().record_end(self.index);
        }
    }

    /// Returns whether the target has ended as planned and wasn't replaced yet.
    pub const fn has_ended(&self) -> bool {
        self.has_ended.get()
    }

    /// Starts a new target in place of one that has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the address of the target can't be bound.
    pub fn replace(&self) -> std::io::Result<()> {
        self.has_ended.set(false);
        self.start_again()
    }

    fn stop(&self) {
        self.is_up.set(false);
        self.listener.stop();
        self.running.set(0);
        self.flows.borrow_mut().clear();
    }

    fn start_again(&self) -> std::io::Result<()> {
        self.listener.start()?;
        self.started_at_ms.set(self.started_at_ms.get() + 1_000);
        self.is_draining.set(false);
        self.drains_since.set(None);
        self.is_up.set(true);
        Ok(())
    }

    async fn send_heartbeats(&self) {
        let mut missed = 0;
        loop {
            if self.is_up.get() {
                missed = 0;
                self.listener.close_connections();
                self.register();
            } else {
                missed += 1;
                if missed == MISSED_HEARTBEATS_UNTIL_EXPIRY {
                    self.store.remove(&target_key(&self.id()));
                }
            }
            sleep(Duration::from_millis(HEARTBEAT_INTERVAL_MS)).await;
        }
    }

    fn id(&self) -> String {
        format!("t-{}", self.index)
    }

    fn register(&self) {
        self.writes.set(self.writes.get() + 1);
        self.store.put(&target_key(&self.id()), self.item());
    }

    fn item(&self) -> String {
        let record = self.registration(&self.id());
        encode_target(&record, self.service, TARGET_PORT, self.writes.get())
    }

    /// Writes items that resemble the target's own one, as another writer may leave them.
    pub fn write_odd_items(&self) {
        for (key, value) in odd_target_items(&self.item()) {
            self.store.put(&key, value);
        }
    }

    fn registration(&self, id: &str) -> TargetRecord {
        let state = match self.is_draining.get() {
            true => TargetState::Draining,
            false => TargetState::Ready,
        };
        TargetRecord {
            id: UpstreamName::from(id),
            service: ServiceTag::from(&ServiceName::from(self.service)),
            vm: self.network.alias(DaemonId::Agent(self.index)),
            data_centre: DataCentreName::from(DATA_CENTRE),
            slots: SLOTS,
            state,
            started_at_ms: self.started_at_ms.get(),
            warm_up_ms: 0,
            revision: 0,
            created_revision: 0,
            writes: 0,
        }
    }

    async fn receive(self: Rc<Self>) {
        let mut buffer = vec![0; MAX_PACKET_BYTES];
        loop {
            let Ok((length, _)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            if self.is_up.get() {
                self.handle_packet(&buffer[..length]);
            }
        }
    }

    fn handle_packet(self: &Rc<Self>, bytes: &[u8]) {
        let Ok(segment) = packet::decode_from_client(bytes) else {
            return self.record_violation("a malformed packet");
        };
        if !has_valid_checksum(bytes) {
            return self.record_violation("a packet with an invalid checksum");
        }
        if segment.is_syn {
            return self.accept_flow(&segment);
        }
        self.record_arrival(&segment, bytes);
        let mut flows = self.flows.borrow_mut();
        let Some(flow) = flows.get_mut(&segment.flow) else {
            return self.send(&mark_returned(bytes));
        };
        let acknowledges_syn = segment.acknowledged == flow.initial_sequence.wrapping_add(1);
        if !flow.is_open && !acknowledges_syn {
            return self.send(&mark_returned(bytes));
        }
        let acknowledged_bytes = segment
            .acknowledged
            .wrapping_sub(flow.initial_sequence)
            .wrapping_sub(1);
        if acknowledged_bytes > flow.sent_bytes {
            // A late packet of the former flow of the port, for example its FIN.
            return;
        }
        if !flow.is_open {
            flow.is_open = true;
            let mut record = self.record.borrow_mut();
            if record.is_latest(segment.flow, flow.client_initial_sequence) {
                record.record_open(segment.flow, self.index);
            }
        }
        if segment.is_fin {
            let fin = Segment {
                is_fin: true,
                acknowledged: segment.sequence.wrapping_add(1),
                ..target_segment(segment.flow, flow, 0)
            };
            flows.remove(&segment.flow);
            return self.send(&encode_packet(&fin, &[]));
        }
        let end = segment
            .sequence
            .wrapping_add(u32::from(segment.payload_bytes));
        if segment.payload_bytes == 0 {
            return;
        }
        if end == flow.next_client_sequence {
            // A retransmission: repeat the response, if there is one.
            if let Some(response) = &flow.response {
                self.send(response);
            }
            return;
        }
        flow.next_client_sequence = end;
        flow.response = None;
        drop(flows);
        self.start_request(segment, bytes);
    }

    fn record_arrival(&self, segment: &Segment, bytes: &[u8]) {
        let mut record = self.record.borrow_mut();
        record.record_arrival(segment.flow, self.index);
        let request = packet::request_id(bytes).and_then(|id| id.parse().ok());
        if let Some(request) = request.filter(|_| segment.payload_bytes > 0) {
            record.requests.record_delivery(request);
        }
    }

    fn start_request(self: &Rc<Self>, segment: Segment, bytes: &[u8]) {
        let request = packet::request_id(bytes).and_then(|id| id.parse().ok());
        let Some(request) = request else {
            return self.record_violation("a request without an ID");
        };
        if segment.flow.destination == non_repeatable_destination() {
            self.record.borrow_mut().record_non_repeatable_run(request);
        }
        let target = Rc::clone(self);
        let incarnation = self.started_at_ms.get();
        self.set_running(self.running.get() + 1);
        actix_rt::spawn(async move {
            sleep(Duration::from_millis(REQUEST_DURATION_MS)).await;
            if target.is_up.get() && target.started_at_ms.get() == incarnation {
                target.set_running(target.running.get() - 1);
                target.send_response(segment.flow, request);
            }
        });
    }

    /// Changes the number of running requests. Their slots are in use at the moment of the change
    /// if they were before or are afterwards.
    fn set_running(&self, running: u32) {
        let before = self.running.replace(running);
        if before.max(running) >= SLOTS {
            let mut record = self.record.borrow_mut();
            record.requests.record_full(Instant::now(), self.index);
        }
    }

    fn send_response(&self, flow_key: FlowKey, request: u64) {
        let mut flows = self.flows.borrow_mut();
        let Some(flow) = flows.get_mut(&flow_key) else {
            return;
        };
        let payload = request.to_string();
        let segment = target_segment(flow_key, flow, payload.len());
        flow.sent_bytes += u32::try_from(payload.len()).unwrap_or(0);
        let response = encode_packet(&segment, payload.as_bytes());
        self.send(&response);
        flow.response = Some(response);
    }

    fn accept_flow(&self, segment: &Segment) {
        let mut flows = self.flows.borrow_mut();
        let former = flows.get(&segment.flow);
        if former.is_some_and(|flow| flow.client_initial_sequence != segment.sequence) {
            // The client has closed the former flow of its port.
            flows.remove(&segment.flow);
        }
        if !flows.contains_key(&segment.flow) {
            self.check_drain();
        }
        let flow = flows.entry(segment.flow).or_insert_with(|| Flow {
            initial_sequence: rand::rng().random(),
            client_initial_sequence: segment.sequence,
            is_open: false,
            next_client_sequence: segment.sequence.wrapping_add(1),
            response: None,
            sent_bytes: 0,
        });
        self.record.borrow_mut().record_accepted(
            segment.flow,
            segment.sequence,
            flow.initial_sequence,
            (self.index, self.service),
        );
        let syn_ack = Segment {
            is_syn: true,
            sequence: flow.initial_sequence,
            ..target_segment(segment.flow, flow, 0)
        };
        self.send(&encode_packet(&syn_ack, &[]));
    }

    /// Checks that a new flow is no late one of a draining target, unless a fault may have kept the
    /// entries from learning of the drain.
    fn check_drain(&self) {
        let Some(drains_since) = self.drains_since.get() else {
            return;
        };
        let written_again = self.store.back_at() + Duration::from_millis(HEARTBEAT_INTERVAL_MS);
        let told_since = drains_since.max(written_again);
        let is_late = told_since.elapsed() > Duration::from_millis(MAX_DRAIN_NOTICE_MS);
        let is_checked = self.record.borrow().checks_drains;
        if is_checked && is_late && self.store.mode.get() == StoreMode::Available {
            let elapsed_ms = told_since.elapsed().as_millis();
            self.record_violation(&format!(
                "a new flow {elapsed_ms} ms after it began to drain"
            ));
        }
    }

    fn send(&self, bytes: &[u8]) {
        let agent = SocketAddrV4::new(self.network.target(self.index), FROM_TARGET_PORT);
        // A packet is lost if the agent isn't running, as on a real VM.
        let _ = self.socket.try_send_to(bytes, agent.into());
    }

    fn record_violation(&self, what: &str) {
        let text = format!("target {} received {what}", self.index);
        self.record.borrow_mut().violations.push(text);
    }
}

fn target_segment(flow_key: FlowKey, flow: &Flow, payload_bytes: usize) -> Segment {
    Segment {
        flow: flow_key,
        sender: Sender::Target,
        is_syn: false,
        is_ack: true,
        is_fin: false,
        is_reset: false,
        is_failure: false,
        is_returned: false,
        sequence: flow
            .initial_sequence
            .wrapping_add(1)
            .wrapping_add(flow.sent_bytes),
        acknowledged: flow.next_client_sequence,
        payload_bytes: u16::try_from(payload_bytes).unwrap_or(0),
    }
}
