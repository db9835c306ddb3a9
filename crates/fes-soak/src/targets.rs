//! Stand-ins of targets: they register themselves, accept flows and run requests.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::Rc;

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
use tokio::time::sleep;

use crate::fleet::DaemonId;
use crate::network::DATA_CENTRE;
use crate::network::FROM_TARGET_PORT;
use crate::network::Network;
use crate::network::SERVICE;
use crate::network::TARGET_PORT;
use crate::network::once_destination;
use crate::record::Record;
use crate::store::Store;

const BEAT_MS: u64 = 400;
const BEATS_UNTIL_LAPSE: u32 = 3;
const WORK_MS: u64 = 15;
const SLOTS: u32 = 4;
const FIRST_BORN_MS: u64 = 1_000_000;
const MAX_PACKET_BYTES: usize = 2_048;

struct Flow {
    opening_sequence: u32,
    is_open: bool,
    next_client_sequence: u32,
    response: Option<Vec<u8>>,
    sent_bytes: u32,
}

/// A target.
pub struct Target {
    index: usize,
    network: Network,
    record: Rc<RefCell<Record>>,
    flows: RefCell<HashMap<FlowKey, Flow>>,
    born_ms: Cell<u64>,
    /// Whether it runs.
    pub is_up: Cell<bool>,
    socket: UdpSocket,
}

impl Target {
    /// Starts a target and registers it at the store.
    pub async fn start(
        index: usize,
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
            born_ms: Cell::new(FIRST_BORN_MS),
            is_up: Cell::new(true),
            socket: UdpSocket::bind(address).await?,
        });
        let receiver = Rc::clone(&target);
        actix_rt::spawn(async move { receiver.receive().await });
        let beating = Rc::clone(&target);
        actix_rt::spawn(async move { beating.beat(&store).await });
        Ok(target)
    }

    /// Ends the target; it forgets all its flows.
    pub fn crash(&self) {
        self.is_up.set(false);
        self.flows.borrow_mut().clear();
        self.record.borrow_mut().record_crash(self.index);
    }

    /// Starts the target again.
    pub fn restart(&self) {
        self.born_ms.set(self.born_ms.get() + 1_000);
        self.is_up.set(true);
        self.record
            .borrow_mut()
            .record_target_disruption(self.index);
    }

    async fn beat(&self, store: &Store) {
        let id = format!("t-{}", self.index);
        let key = target_key(&id);
        let mut missed = 0;
        let mut writes: u64 = 0;
        loop {
            if self.is_up.get() {
                missed = 0;
                writes += 1;
                let record = self.record_of_target(&id);
                store.put(&key, encode_target(&record, SERVICE, TARGET_PORT, writes));
            } else {
                missed += 1;
                if missed == BEATS_UNTIL_LAPSE {
                    store.remove(&key);
                }
            }
            sleep(Duration::from_millis(BEAT_MS)).await;
        }
    }

    fn record_of_target(&self, id: &str) -> TargetRecord {
        TargetRecord {
            id: UpstreamName::from(id),
            service: ServiceTag::from(&ServiceName::from(SERVICE)),
            vm: self.network.alias(DaemonId::Agent(self.index)),
            data_centre: DataCentreName::from(DATA_CENTRE),
            slots: SLOTS,
            state: TargetState::Ready,
            started_at_ms: self.born_ms.get(),
            warm_up_ms: 0,
            revision: 0,
            created_revision: 0,
        }
    }

    async fn receive(self: Rc<Self>) {
        let mut buffer = vec![0; MAX_PACKET_BYTES];
        loop {
            let Ok((length, _)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            if self.is_up.get() {
                self.on_packet(&buffer[..length]);
            }
        }
    }

    fn on_packet(self: &Rc<Self>, bytes: &[u8]) {
        let Ok(segment) = packet::decode_from_client(bytes) else {
            return self.violation("an unreadable packet");
        };
        if !has_valid_checksum(bytes) {
            return self.violation("a packet that was changed");
        }
        if segment.is_syn {
            return self.accept(&segment);
        }
        self.record
            .borrow_mut()
            .record_arrival(segment.flow, self.index);
        let mut flows = self.flows.borrow_mut();
        let Some(flow) = flows.get_mut(&segment.flow) else {
            return self.send(&mark_returned(bytes));
        };
        let is_first = segment.acknowledged == flow.opening_sequence.wrapping_add(1);
        if !flow.is_open && !is_first {
            return self.send(&mark_returned(bytes));
        }
        if !flow.is_open {
            flow.is_open = true;
            self.record
                .borrow_mut()
                .record_open(segment.flow, self.index);
        }
        let end = segment
            .sequence
            .wrapping_add(u32::from(segment.payload_bytes));
        if segment.payload_bytes == 0 {
            return;
        }
        if end == flow.next_client_sequence {
            // A repetition: the response again, if there is one.
            if let Some(response) = &flow.response {
                self.send(response);
            }
            return;
        }
        flow.next_client_sequence = end;
        flow.response = None;
        drop(flows);
        self.start_run(segment, bytes);
    }

    fn start_run(self: &Rc<Self>, segment: Segment, bytes: &[u8]) {
        let request = packet::request_id(bytes).and_then(|id| id.parse().ok());
        let Some(request) = request else {
            return self.violation("a request without an id");
        };
        if segment.flow.destination == once_destination() {
            self.record.borrow_mut().record_non_repeatable_run(request);
        }
        let target = Rc::clone(self);
        let life = self.born_ms.get();
        actix_rt::spawn(async move {
            sleep(Duration::from_millis(WORK_MS)).await;
            if target.is_up.get() && target.born_ms.get() == life {
                target.answer(segment.flow, request);
            }
        });
    }

    fn answer(&self, flow_key: FlowKey, request: u64) {
        let mut flows = self.flows.borrow_mut();
        let Some(flow) = flows.get_mut(&flow_key) else {
            return;
        };
        let payload = request.to_string();
        let segment = from_target(flow_key, flow, payload.len());
        flow.sent_bytes += u32::try_from(payload.len()).unwrap_or(0);
        let response = encode_packet(&segment, payload.as_bytes());
        self.send(&response);
        flow.response = Some(response);
    }

    fn accept(&self, segment: &Segment) {
        let mut flows = self.flows.borrow_mut();
        let flow = flows.entry(segment.flow).or_insert_with(|| Flow {
            opening_sequence: rand::rng().random(),
            is_open: false,
            next_client_sequence: segment.sequence.wrapping_add(1),
            response: None,
            sent_bytes: 0,
        });
        let accepted = Segment {
            is_syn: true,
            sequence: flow.opening_sequence,
            ..from_target(segment.flow, flow, 0)
        };
        self.send(&encode_packet(&accepted, &[]));
    }

    fn send(&self, bytes: &[u8]) {
        let agent = SocketAddrV4::new(self.network.target(self.index), FROM_TARGET_PORT);
        // An agent that isn't there loses the packet, as on a VM.
        let _ = self.socket.try_send_to(bytes, agent.into());
    }

    fn violation(&self, what: &str) {
        let text = format!("target {} got {what}", self.index);
        self.record.borrow_mut().violations.push(text);
    }
}

fn from_target(flow_key: FlowKey, flow: &Flow, payload_bytes: usize) -> Segment {
    Segment {
        flow: flow_key,
        sender: Sender::Target,
        is_syn: false,
        is_ack: true,
        is_fin: false,
        is_reset: false,
        is_returned: false,
        sequence: flow
            .opening_sequence
            .wrapping_add(1)
            .wrapping_add(flow.sent_bytes),
        acknowledged: flow.next_client_sequence,
        payload_bytes: u16::try_from(payload_bytes).unwrap_or(0),
    }
}
