//! Stand-ins of the clients and of the platform's routers.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicU16, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::daemons::{CLIENT_PORT, READY_PORT};
use crate::targets::random;
use crate::wire::{self, ACK, FIN, Header, RST, SYN};

const PROBE_MS: u64 = 500;
const PROBE_TIMEOUT_MS: u64 = 400;
/// Waits for an answer to each copy of the opening packet.
const OPENING_WAITS_MS: [u64; 3] = [200, 400, 800];
const FIRST_RETRY_MS: u64 = 200;
const LONGEST_RETRY_MS: u64 = 1_600;
const RESET_WINDOW: u32 = 76_800;

pub struct Entry {
    pub ip: Ipv4Addr,
    pub zone: &'static str,
}

/// How opening a flow, or a request on it, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Done,
    Reset,
    Unanswered,
}

pub struct Clients {
    ip: Ipv4Addr,
    zone: &'static str,
    entries: Vec<Entry>,
    misses: Mutex<Vec<u32>>,
    socket: UdpSocket,
    flows: Mutex<HashMap<u16, Sender<Header>>>,
    next_port: AtomicU16,
    next_request: AtomicU64,
}

pub struct Flow {
    pub client: SocketAddrV4,
    pub service: SocketAddrV4,
    pub opened_at: Instant,
    /// When the first copy of the opening packet was sent, and the entries that the copies were sent to.
    pub sent_at: Instant,
    pub entries: Vec<Ipv4Addr>,
    seq: u32,
    ack: u32,
    packets: Receiver<Header>,
}

impl Clients {
    /// Starts the clients of a zone, and the router that they use.
    pub fn start(
        ip: Ipv4Addr,
        zone: &'static str,
        entries: Vec<Entry>,
    ) -> std::io::Result<Arc<Clients>> {
        let clients = Arc::new(Clients {
            ip,
            zone,
            misses: Mutex::new(vec![2; entries.len()]),
            entries,
            socket: UdpSocket::bind(SocketAddrV4::new(ip, CLIENT_PORT))?,
            flows: Mutex::default(),
            next_port: AtomicU16::new(1_025),
            next_request: AtomicU64::new(1),
        });
        let receiver = Arc::clone(&clients);
        std::thread::spawn(move || receiver.receive());
        for index in 0..clients.entries.len() {
            let prober = Arc::clone(&clients);
            std::thread::spawn(move || prober.probe(index));
        }
        Ok(clients)
    }

    /// Opens a flow. Returns none with the reason if no target accepted it.
    pub fn open(&self, service: SocketAddrV4) -> Result<Flow, End> {
        let port = self.next_port.fetch_add(1, Ordering::SeqCst).max(1_025);
        let client = SocketAddrV4::new(self.ip, port);
        let (sender, packets) = channel();
        self.flows.lock().unwrap().insert(port, sender);
        let first_seq = random();
        let sent_at = Instant::now();
        let mut entries = Vec::new();
        for (copies, wait_ms) in OPENING_WAITS_MS.iter().enumerate() {
            let syn = Header {
                from: client,
                to: service,
                flags: SYN,
                seq: first_seq,
                ack: copies as u32,
                len: 0,
            };
            entries.extend(self.send(&syn, &[]));
            let end = Instant::now() + Duration::from_millis(*wait_ms);
            while let Ok(header) =
                packets.recv_timeout(end.saturating_duration_since(Instant::now()))
            {
                if header.has(RST) {
                    self.forget(port);
                    return Err(End::Reset);
                }
                if header.has(SYN) && header.ack == first_seq.wrapping_add(1) {
                    let flow = Flow {
                        client,
                        service,
                        opened_at: Instant::now(),
                        sent_at,
                        entries,
                        seq: header.ack,
                        ack: header.seq.wrapping_add(1),
                        packets,
                    };
                    self.send(&flow.header(ACK), &[]);
                    return Ok(flow);
                }
            }
        }
        self.forget(port);
        Err(End::Unanswered)
    }

    /// Sends a request and its copies until the response arrives, the flow is reset, or the deadline
    /// passes. Returns the id of the request with how it ended.
    pub fn request(&self, flow: &mut Flow, deadline_ms: u64) -> (String, End) {
        let number = self.next_request.fetch_add(1, Ordering::SeqCst);
        let id = format!("{}-{number}", self.zone);
        let data = format!("GET / HTTP/1.1\r\nRequest-Id: {id}\r\n\r\n");
        let deadline = Instant::now() + Duration::from_millis(deadline_ms);
        let mut retry = Duration::from_millis(FIRST_RETRY_MS);
        while Instant::now() < deadline {
            self.send(&flow.header(ACK), data.as_bytes());
            let end = (Instant::now() + retry).min(deadline);
            while let Ok(header) = flow
                .packets
                .recv_timeout(end.saturating_duration_since(Instant::now()))
            {
                let distance = header.seq.wrapping_sub(flow.ack);
                if header.has(RST) && distance.min(distance.wrapping_neg()) <= RESET_WINDOW {
                    return (id, End::Reset);
                }
                if header.len > 0 && header.seq == flow.ack {
                    flow.seq = flow.seq.wrapping_add(data.len() as u32);
                    flow.ack = flow.ack.wrapping_add(u32::from(header.len));
                    self.send(&flow.header(ACK), &[]);
                    return (id, End::Done);
                }
            }
            retry = (retry * 2).min(Duration::from_millis(LONGEST_RETRY_MS));
        }
        (id, End::Unanswered)
    }

    pub fn close(&self, flow: &Flow) {
        self.send(&flow.header(FIN | ACK), &[]);
        self.forget(flow.client.port());
    }

    fn forget(&self, port: u16) {
        self.flows.lock().unwrap().remove(&port);
    }

    /// Sends a packet to the entry that the router selects, and returns that entry.
    fn send(&self, header: &Header, data: &[u8]) -> Option<Ipv4Addr> {
        let entry = self.select_entry(header)?;
        let _ = self.socket.send_to(
            &wire::encode(header, data),
            SocketAddrV4::new(entry, CLIENT_PORT),
        );
        Some(entry)
    }

    /// Selects an entry by rendezvous hashing over those of the zone that are in rotation. If fewer
    /// than half are, all of the zone are used; if none is, those of the other zones.
    fn select_entry(&self, header: &Header) -> Option<Ipv4Addr> {
        let misses = self.misses.lock().unwrap();
        let in_rotation = |index: &usize| misses[*index] < 2;
        let of_zone: Vec<usize> = (0..self.entries.len())
            .filter(|i| self.entries[*i].zone == self.zone)
            .collect();
        let ready: Vec<usize> = of_zone.iter().copied().filter(in_rotation).collect();
        let candidates = if ready.is_empty() {
            (0..self.entries.len()).filter(in_rotation).collect()
        } else if ready.len() * 2 < of_zone.len() {
            of_zone
        } else {
            ready
        };
        let weight = |index: &usize| {
            let mixed =
                u64::from(header.from.port()) << 32 ^ u64::from(u32::from(self.entries[*index].ip));
            let mixed = mixed
                .wrapping_add(0x9e37_79b9_7f4a_7c15)
                .wrapping_mul(0xbf58_476d_1ce4_e5b9);
            (mixed ^ mixed >> 29).wrapping_mul(0x94d0_49bb_1331_11eb) >> 16
        };
        candidates
            .into_iter()
            .max_by_key(weight)
            .map(|index| self.entries[index].ip)
    }

    fn receive(&self) {
        let mut buffer = [0; 2048];
        loop {
            let Ok((length, _)) = self.socket.recv_from(&mut buffer) else {
                continue;
            };
            if let Some((header, _)) = wire::decode(&buffer[..length]) {
                if let Some(flow) = self.flows.lock().unwrap().get(&header.to.port()) {
                    let _ = flow.send(header);
                }
            }
        }
    }

    fn record_probe(&self, index: usize, is_ready: bool) {
        let mut misses = self.misses.lock().unwrap();
        misses[index] = if is_ready { 0 } else { misses[index] + 1 };
    }

    fn probe(&self, index: usize) {
        loop {
            let started = Instant::now();
            let is_ready = is_ready(self.entries[index].ip);
            self.record_probe(index, is_ready);
            std::thread::sleep(Duration::from_millis(PROBE_MS).saturating_sub(started.elapsed()));
        }
    }
}

impl Flow {
    fn header(&self, flags: u8) -> Header {
        Header {
            from: self.client,
            to: self.service,
            flags,
            seq: self.seq,
            ack: self.ack,
            len: 0,
        }
    }
}

/// Sends `GET /readiness` to an entry, as the platform does.
pub fn is_ready(ip: Ipv4Addr) -> bool {
    let timeout = Duration::from_millis(PROBE_TIMEOUT_MS);
    let address = SocketAddrV4::new(ip, READY_PORT);
    let Ok(mut stream) = TcpStream::connect_timeout(&address.into(), timeout) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(timeout));
    let request =
        format!("GET /readiness HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    let mut head = [0; 12];
    stream.write_all(request.as_bytes()).is_ok()
        && stream.read_exact(&mut head).is_ok()
        && head.ends_with(b"200")
}
