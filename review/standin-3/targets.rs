//! Stand-ins of targets: they register themselves at the store, accept flows and run requests.

use std::collections::HashMap;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

use crate::store::Store;
use crate::wire::{self, ACK, BOUNCED, FIN, Header, RST, SYN};

pub const APP_PORT: u16 = 8165;
pub const OUTBOUND_PORT: u16 = 8162;
pub const HEARTBEAT_MS: u64 = 770;

type FlowKey = (SocketAddrV4, SocketAddrV4);

struct Flow {
    client_seq: u32,
    initial_seq: u32,
    is_open: bool,
    next_client_seq: u32,
    sent: u32,
    response: Option<Vec<u8>>,
}

/// An opening packet that a target took.
#[derive(Clone)]
pub struct Opening {
    pub at: Instant,
    pub target: String,
    pub client: SocketAddrV4,
}

/// What all targets saw.
#[derive(Default)]
pub struct Seen {
    pub openings: Vec<Opening>,
    /// Request ids in the order in which they ran, with the target.
    pub runs: Vec<(Instant, String, String)>,
    /// Flows that a client opened completely, with the target that holds them.
    pub open_flows: HashMap<SocketAddrV4, String>,
    pub faults: Vec<String>,
}

pub struct Target {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub ip: Ipv4Addr,
    pub slots: u32,
    pub work: Duration,
    /// Time for which the target stays cold after each start.
    pub cold: Duration,
    started: Mutex<(Instant, u64)>,
    state: Mutex<&'static str>,
    sequence: AtomicU64,
    is_up: AtomicBool,
    flows: Mutex<HashMap<FlowKey, Flow>>,
    seen: Arc<Mutex<Seen>>,
    store: Arc<Store>,
    socket: UdpSocket,
}

pub struct TargetSpec {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub ip: Ipv4Addr,
    pub slots: u32,
    pub work_ms: u64,
    pub cold_ms: u64,
}

impl Target {
    pub fn start(
        spec: TargetSpec,
        store: &Arc<Store>,
        seen: &Arc<Mutex<Seen>>,
    ) -> std::io::Result<Arc<Target>> {
        let socket = UdpSocket::bind(SocketAddrV4::new(spec.ip, APP_PORT))?;
        let health = TcpListener::bind(SocketAddrV4::new(spec.ip, APP_PORT))?;
        let target = Arc::new(Target {
            id: spec.id,
            service: spec.service,
            zone: spec.zone,
            ip: spec.ip,
            slots: spec.slots,
            work: Duration::from_millis(spec.work_ms),
            cold: Duration::from_millis(spec.cold_ms),
            started: Mutex::new((Instant::now(), unix_ms())),
            state: Mutex::new("ready"),
            sequence: AtomicU64::new(0),
            is_up: AtomicBool::new(true),
            flows: Mutex::default(),
            seen: Arc::clone(seen),
            store: Arc::clone(store),
            socket,
        });
        let receiver = Arc::clone(&target);
        std::thread::spawn(move || receiver.receive());
        let heart = Arc::clone(&target);
        std::thread::spawn(move || heart.send_heartbeats());
        let healthy = Arc::clone(&target);
        std::thread::spawn(move || healthy.serve_health(&health));
        Ok(target)
    }

    /// Reports `draining`. Returns when the store acknowledged it.
    pub fn drain(&self) -> Instant {
        *self.state.lock().unwrap() = "draining";
        self.register()
    }

    /// Ends: the flows are lost.
    pub fn stop(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        self.flows.lock().unwrap().clear();
    }

    /// Starts again under its id, ready and cold.
    pub fn start_again(&self) {
        *self.started.lock().unwrap() = (Instant::now(), unix_ms());
        *self.state.lock().unwrap() = "ready";
        self.sequence.store(0, Ordering::SeqCst);
        self.is_up.store(true, Ordering::SeqCst);
        self.register();
    }

    fn register(&self) -> Instant {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let (started, born) = *self.started.lock().unwrap();
        let cold_ms = self.cold.saturating_sub(started.elapsed()).as_millis();
        let value = format!(
            "{{\"service\":\"{}\",\"address\":\"{}:{APP_PORT}\",\"zone\":\"{}\",\"version\":\"v1\",\"concurrencyLimit\":{},\"state\":\"{}\",\"warmupRemainingMs\":{cold_ms},\"sequence\":{sequence},\"born\":{born}}}",
            self.service,
            self.ip,
            self.zone,
            self.slots,
            self.state.lock().unwrap()
        );
        self.store.put(&format!("servers/{}", self.id), &value)
    }

    fn send_heartbeats(&self) {
        let mut missed = 0;
        loop {
            if self.is_up.load(Ordering::SeqCst) && !self.store.is_away() {
                missed = 0;
                self.register();
            } else {
                missed += 1;
                if missed == 3 && !self.store.is_away() {
                    self.store.remove(&format!("servers/{}", self.id));
                }
            }
            std::thread::sleep(Duration::from_millis(HEARTBEAT_MS));
        }
    }

    fn serve_health(&self, listener: &TcpListener) {
        for mut stream in listener.incoming().flatten() {
            let is_ready = *self.state.lock().unwrap() == "ready";
            let status = if is_ready {
                "200 OK"
            } else {
                "503 Service Unavailable"
            };
            let _ = stream
                .write_all(format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n").as_bytes());
        }
    }

    fn receive(self: &Arc<Self>) {
        let mut buffer = [0; 2048];
        loop {
            let Ok((length, _)) = self.socket.recv_from(&mut buffer) else {
                continue;
            };
            if self.is_up.load(Ordering::SeqCst) {
                self.on_packet(&buffer[..length]);
            }
        }
    }

    fn on_packet(self: &Arc<Self>, packet: &[u8]) {
        let Some((header, data)) = wire::decode(packet) else {
            return self.fault("a packet that can't be read");
        };
        if !wire::is_intact(packet) {
            return self.fault("a packet that its sender didn't write so");
        }
        let key = (header.from, header.to);
        let mut flows = self.flows.lock().unwrap();
        if header.has(SYN) {
            let is_other = flows
                .get(&key)
                .is_some_and(|flow| flow.client_seq != header.seq);
            if is_other {
                flows.remove(&key);
            }
            if !flows.contains_key(&key) {
                self.seen.lock().unwrap().openings.push(Opening {
                    at: Instant::now(),
                    target: self.id.clone(),
                    client: header.from,
                });
                flows.insert(
                    key,
                    Flow {
                        client_seq: header.seq,
                        initial_seq: random(),
                        is_open: false,
                        next_client_seq: header.seq.wrapping_add(1),
                        sent: 0,
                        response: None,
                    },
                );
            }
            let flow = &flows[&key];
            let answer = self.header(&header, SYN | ACK, flow.initial_seq, flow.next_client_seq);
            return self.send(&wire::encode(&answer, &[]));
        }
        let expected = flows.get(&key).map(|flow| flow.initial_seq.wrapping_add(1));
        let is_held = expected.is_some_and(|first| header.ack.wrapping_sub(first) < 1 << 24);
        if !is_held {
            let mut bounced = packet.to_vec();
            bounced[18] |= BOUNCED;
            bounced[19..22].fill(0);
            return self.send(&bounced);
        }
        let Some(flow) = flows.get_mut(&key) else {
            return;
        };
        if !flow.is_open {
            flow.is_open = true;
            self.seen
                .lock()
                .unwrap()
                .open_flows
                .insert(header.from, self.id.clone());
        }
        if header.has(RST) {
            flows.remove(&key);
            return;
        }
        if header.has(FIN) {
            let answer = self.header(
                &header,
                FIN | ACK,
                flow.initial_seq.wrapping_add(1).wrapping_add(flow.sent),
                header.seq.wrapping_add(1),
            );
            flows.remove(&key);
            return self.send(&wire::encode(&answer, &[]));
        }
        if data.is_empty() {
            return;
        }
        let end = header.seq.wrapping_add(data.len() as u32);
        if end == flow.next_client_seq {
            if let Some(response) = &flow.response {
                self.send(response);
            }
            return;
        }
        flow.next_client_seq = end;
        flow.response = None;
        drop(flows);
        let text = String::from_utf8_lossy(data).into_owned();
        let id = text
            .lines()
            .find_map(|line| line.strip_prefix("Request-Id: "));
        let Some(id) = id.map(str::to_owned) else {
            return self.fault("a request without an id");
        };
        self.seen
            .lock()
            .unwrap()
            .runs
            .push((Instant::now(), id.clone(), self.id.clone()));
        let target = Arc::clone(self);
        let born = self.started.lock().unwrap().1;
        std::thread::spawn(move || {
            std::thread::sleep(target.work);
            if target.is_up.load(Ordering::SeqCst) && target.started.lock().unwrap().1 == born {
                target.respond(&header, &id);
            }
        });
    }

    fn respond(&self, request: &Header, id: &str) {
        let mut flows = self.flows.lock().unwrap();
        let Some(flow) = flows.get_mut(&(request.from, request.to)) else {
            return;
        };
        let data =
            format!("HTTP/1.1 200 OK\r\nResponse-Signature: {id}\r\nContent-Length: 0\r\n\r\n");
        let seq = flow.initial_seq.wrapping_add(1).wrapping_add(flow.sent);
        let header = self.header(request, ACK, seq, flow.next_client_seq);
        flow.sent = flow.sent.wrapping_add(data.len() as u32);
        let response = wire::encode(&header, data.as_bytes());
        self.send(&response);
        flow.response = Some(response);
    }

    fn header(&self, received: &Header, flags: u8, seq: u32, ack: u32) -> Header {
        Header {
            from: received.to,
            to: received.from,
            flags,
            seq,
            ack,
            len: 0,
        }
    }

    fn send(&self, packet: &[u8]) {
        let _ = self
            .socket
            .send_to(packet, SocketAddrV4::new(self.ip, OUTBOUND_PORT));
    }

    fn fault(&self, what: &str) {
        self.seen
            .lock()
            .unwrap()
            .faults
            .push(format!("{}: {what}", self.id));
    }
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Returns a random number.
pub fn random() -> u32 {
    use std::hash::{BuildHasher, Hasher};
    std::collections::hash_map::RandomState::new()
        .build_hasher()
        .finish() as u32
}
