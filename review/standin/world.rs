//! Stand-ins of the platform's store, of targets, of clients and of the routers, and the daemons as
//! child processes. Standard library only; everything runs on loopback addresses.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt::Write as _;
use std::fs;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicI32;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

pub const CLIENT_PORT: u16 = 8172;
pub const READY_PORT: u16 = 8167;
pub const CONTROL_PORT: u16 = 8166;
pub const NODE_PORT: u16 = 7720;
pub const APP_PORT: u16 = 8165;
pub const OUTBOUND_PORT: u16 = 8162;
pub const STORE_PORT: u16 = 8169;
pub const HEARTBEAT_MS: u64 = 770;
/// Time until the platform starts a process again that has ended.
pub const RESTART_DELAY_MS: u64 = 600;
const RUN_MS: u64 = 15;

const SYN: u8 = 64;
const ACK: u8 = 32;
const BOUNCED: u8 = 16;
const RST: u8 = 8;
const FIN: u8 = 4;
const HEAD: usize = 34;

const SIGHUP: i32 = 1;
const SIGINT: i32 = 2;
pub const SIGTERM: i32 = 15;
const SIGKILL: i32 = 9;

/// Process IDs of the daemons that run, or 0. More than any script starts.
static PIDS: [AtomicI32; 64] = [const { AtomicI32::new(0) }; 64];

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn signal(signal: i32, handler: extern "C" fn(i32)) -> usize;
    fn _exit(status: i32) -> !;
}

/// Ends all daemons and this process. Calls only functions that a signal handler may call.
pub fn abort_script() -> ! {
    for pid in &PIDS {
        let pid = pid.load(Ordering::SeqCst);
        if pid > 0 {
            // SAFETY: the ID is that of a child that hasn't been waited for.
            unsafe { kill(pid, SIGKILL) };
        }
    }
    // SAFETY: ends the process without further code of it.
    unsafe { _exit(2) }
}

extern "C" fn on_signal(_: i32) {
    abort_script();
}

/// Lets the signals that stop a script end its daemons too.
pub fn handle_signals() {
    for number in [SIGHUP, SIGINT, SIGTERM] {
        // SAFETY: the handler calls only functions that a signal handler may call.
        unsafe { signal(number, on_signal) };
    }
}

fn note_pid(from: i32, to: i32) {
    for slot in &PIDS {
        if slot.compare_exchange(from, to, Ordering::SeqCst, Ordering::SeqCst).is_ok() {
            return;
        }
    }
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    elapsed.map_or(0, |e| e.as_millis() as u64)
}

/// What was sent, answered and run, in the order of time.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<String>>,
}

impl Record {
    pub fn new() -> Self {
        Self { start: Instant::now(), lines: Arc::default() }
    }

    pub fn add(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let mut lines = self.lines.lock().unwrap();
        let _ = writeln!(lines, "{at:8.3} s  {}", text.as_ref());
    }

    pub fn save(&self, path: &Path) {
        let _ = fs::write(path, self.lines.lock().unwrap().as_bytes());
    }
}

// ---------------------------------------------------------------------------------------------
// The store

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
}

#[derive(Default)]
struct Items {
    items: BTreeMap<String, Item>,
    events: Vec<(u64, String)>,
    revision: u64,
}

/// The platform's store.
pub struct Store {
    state: Mutex<Items>,
    changed: Condvar,
}

impl Store {
    pub fn new() -> Arc<Self> {
        let state = Items { revision: 1, ..Items::default() };
        Arc::new(Self { state: Mutex::new(state), changed: Condvar::new() })
    }

    /// Writes an item. The return is the acknowledgement.
    pub fn put(&self, key: &str, value: String) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created };
        state.events.push((revision, item_json(key, &item)));
        state.items.insert(key.into(), item);
        self.changed.notify_all();
    }

    /// Serves at `address` from now on.
    pub fn serve(self: &Arc<Self>, address: SocketAddrV4) {
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let store = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&store);
                thread::spawn(move || store.serve_connection(stream));
            }
        });
    }

    fn serve_connection(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        loop {
            let Some(request) = read_request(&mut stream, &mut buffer) else {
                return;
            };
            let (status, body) = self.answer(&request);
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &str) -> (&'static str, String) {
        let target = request.split(' ').nth(1).unwrap_or("/");
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let mut values = pairs.filter(|(key, _)| *key == name).map(|(_, value)| value);
            values.next().unwrap_or("").to_owned()
        };
        match path {
            "/kv-key" => {
                let state = self.state.lock().unwrap();
                match state.items.get(&parameter("key")) {
                    None => ("404 Not Found", "{}".into()),
                    Some(item) => {
                        let json = item_json(&parameter("key"), item);
                        let json = json.trim_end_matches('}').to_owned();
                        ("200 OK", format!("{json},\"atRevision\":{}}}", state.revision))
                    }
                }
            }
            "/kv-range" => {
                let state = self.state.lock().unwrap();
                let (prefix, after) = (parameter("prefix"), parameter("after"));
                let matching = state.items.iter();
                let matching = matching.filter(|(k, _)| k.starts_with(&prefix) && **k > after);
                let items: Vec<String> = matching.map(|(k, item)| item_json(k, item)).collect();
                let json = format!(
                    "{{\"items\":[{}],\"hasMore\":false,\"atRevision\":{}}}",
                    items.join(","),
                    state.revision
                );
                ("200 OK", json)
            }
            "/kv-watch" => {
                let after: u64 = parameter("after").parse().unwrap_or(0);
                let wait_ms: u64 = parameter("waitMs").parse().unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
                let prefix = format!("\"key\":\"{}", parameter("prefix"));
                let mut state = self.state.lock().unwrap();
                loop {
                    let newer = state.events.iter().filter(|(at, _)| *at > after);
                    let newer = newer.filter(|(_, json)| json.contains(&prefix));
                    let newer: Vec<&str> = newer.map(|(_, json)| json.as_str()).collect();
                    if !newer.is_empty() || Instant::now() >= end {
                        let json = format!(
                            "{{\"events\":[{}],\"atRevision\":{}}}",
                            newer.join(","),
                            state.revision
                        );
                        return ("200 OK", json);
                    }
                    let wait = Duration::from_millis(20);
                    state = self.changed.wait_timeout(state, wait).unwrap().0;
                }
            }
            _ => ("404 Not Found", "{}".into()),
        }
    }
}

fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    let mut chunk = [0; 4096];
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head: Vec<u8> = buffer.drain(..end + 4).collect();
            return String::from_utf8(head).ok();
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(n) => buffer.extend_from_slice(&chunk[..n]),
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":0}}",
        base64(item.value.as_bytes()),
        item.revision,
        item.created
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index > chunk.len() { '=' } else { char::from(digit) });
        }
    }
    text
}

// ---------------------------------------------------------------------------------------------
// Packets

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Flow {
    pub client: SocketAddrV4,
    pub route: SocketAddrV4,
}

#[derive(Debug, Clone)]
pub struct Packet {
    pub source: SocketAddrV4,
    pub destination: SocketAddrV4,
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub data: Vec<u8>,
    pub is_intact: bool,
}

impl Packet {
    pub fn is_syn(&self) -> bool {
        self.flags & SYN != 0
    }
    pub fn is_reset(&self) -> bool {
        self.flags & RST != 0
    }
    pub fn is_fin(&self) -> bool {
        self.flags & FIN != 0
    }
}

fn encode(from: SocketAddrV4, to: SocketAddrV4, flags: u8, seq: u32, ack: u32, data: &[u8]) -> Vec<u8> {
    let mut bytes = vec![0; HEAD];
    bytes[0..2].copy_from_slice(&(data.len() as u16).to_be_bytes());
    bytes[10..14].copy_from_slice(&seq.to_be_bytes());
    bytes[14..18].copy_from_slice(&ack.to_be_bytes());
    bytes[18] = flags;
    bytes[22..24].copy_from_slice(&to.port().to_be_bytes());
    bytes[24..28].copy_from_slice(&to.ip().octets());
    bytes[28..32].copy_from_slice(&from.ip().octets());
    bytes[32..34].copy_from_slice(&from.port().to_be_bytes());
    bytes.extend_from_slice(data);
    let sum = keyed_sum(&bytes);
    bytes[6..10].copy_from_slice(&sum.to_be_bytes());
    bytes
}

fn decode(bytes: &[u8]) -> Option<Packet> {
    if bytes.len() < HEAD {
        return None;
    }
    let word = |at: usize| u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]]);
    let half = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
    Some(Packet {
        source: SocketAddrV4::new(Ipv4Addr::from(word(28)), half(32)),
        destination: SocketAddrV4::new(Ipv4Addr::from(word(24)), half(22)),
        flags: bytes[18],
        seq: word(10),
        ack: word(14),
        data: bytes[HEAD..].to_vec(),
        is_intact: word(6) == keyed_sum(bytes),
    })
}

/// Covers all fields except the sum itself, `echo`, `pad` and BOUNCED.
fn keyed_sum(bytes: &[u8]) -> u32 {
    let mut sum: u32 = 0x5eed_1234;
    for (index, byte) in bytes.iter().enumerate() {
        let covered = match index {
            2..=9 | 19..=21 => 0,
            18 => byte & !BOUNCED,
            _ => *byte,
        };
        sum = (sum ^ u32::from(covered)).wrapping_mul(0x0100_0193).rotate_left(7);
    }
    sum
}

fn random() -> u32 {
    let mut bytes = [0; 4];
    let file = fs::File::open("/dev/urandom");
    let _ = file.and_then(|mut file| file.read_exact(&mut bytes));
    u32::from_be_bytes(bytes)
}

// ---------------------------------------------------------------------------------------------
// Targets

struct TargetFlow {
    initial: u32,
    is_open: bool,
    next_client: u32,
    next_own: u32,
    /// Packet with the latest response, and when it is sent again.
    unacknowledged: Option<(Vec<u8>, u32, Instant, u64)>,
    request: Vec<u8>,
    run: Option<(Instant, String)>,
    has_sent_fin: bool,
    has_client_fin: bool,
}

/// A target, which lives until the script ends.
pub struct Target {
    pub name: String,
    pub service: String,
    pub ip: Ipv4Addr,
    born: u64,
    is_draining: AtomicBool,
    sequence: AtomicUsize,
    flows: Mutex<HashMap<Flow, TargetFlow>>,
    /// Flows in the order in which they opened here, and the requests run.
    pub opened: Mutex<Vec<Flow>>,
    pub runs: Mutex<Vec<(String, Flow)>>,
    store: Arc<Store>,
    record: Record,
    socket: UdpSocket,
}

impl Target {
    pub fn start(name: &str, service: &str, ip: Ipv4Addr, store: &Arc<Store>, record: &Record) -> Arc<Self> {
        let socket = UdpSocket::bind((ip, APP_PORT)).expect("the target's address is free");
        socket.set_read_timeout(Some(Duration::from_millis(3))).unwrap();
        let target = Arc::new(Self {
            name: name.into(),
            service: service.into(),
            ip,
            born: unix_ms(),
            is_draining: AtomicBool::new(false),
            sequence: AtomicUsize::new(0),
            flows: Mutex::default(),
            opened: Mutex::default(),
            runs: Mutex::default(),
            store: Arc::clone(store),
            record: record.clone(),
            socket,
        });
        let receiver = Arc::clone(&target);
        thread::spawn(move || receiver.run());
        let writer = Arc::clone(&target);
        thread::spawn(move || {
            loop {
                writer.register();
                sleep_ms(HEARTBEAT_MS);
            }
        });
        target
    }

    fn register(&self) {
        let state = match self.is_draining.load(Ordering::SeqCst) {
            true => "draining",
            false => "ready",
        };
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        let value = format!(
            "{{\"service\":\"{}\",\"address\":\"{}:{APP_PORT}\",\"zone\":\"z-a\",\"version\":\"v1\",\
             \"concurrencyLimit\":4,\"state\":\"{state}\",\"warmupRemainingMs\":0,\
             \"sequence\":{sequence},\"born\":{}}}",
            self.service, self.ip, self.born
        );
        self.store.put(&format!("servers/i-{}", self.name), value);
    }

    /// Reports that the target drains. It keeps its flows and closes each after its next response.
    pub fn drain(&self) {
        self.is_draining.store(true, Ordering::SeqCst);
        self.register();
        self.record.add(format!("{} is draining; the store has acknowledged that", self.name));
    }

    pub fn holds(&self, flow: Flow) -> bool {
        self.flows.lock().unwrap().get(&flow).is_some_and(|f| f.is_open && !f.has_sent_fin)
    }

    pub fn has_run(&self, id: &str) -> bool {
        self.runs.lock().unwrap().iter().any(|(run, _)| run == id)
    }

    fn run(&self) {
        let mut buffer = [0; 4096];
        loop {
            if let Ok((length, _)) = self.socket.recv_from(&mut buffer) {
                self.on_packet(&buffer[..length]);
            }
            self.on_time();
        }
    }

    fn send(&self, bytes: &[u8]) {
        let _ = self.socket.send_to(bytes, (self.ip, OUTBOUND_PORT));
    }

    fn bounce(&self, bytes: &[u8]) {
        let mut bytes = bytes.to_vec();
        bytes[18] |= BOUNCED;
        bytes[19..22].fill(0);
        self.send(&bytes);
    }

    fn on_packet(&self, bytes: &[u8]) {
        let Some(packet) = decode(bytes) else { return };
        if !packet.is_intact {
            self.record.add(format!("{} got a packet that its sender didn't write so", self.name));
        }
        let key = Flow { client: packet.source, route: packet.destination };
        let mut flows = self.flows.lock().unwrap();
        if packet.is_syn() {
            let ended = |f: &TargetFlow| f.has_sent_fin && f.has_client_fin;
            if flows.get(&key).is_some_and(ended) {
                flows.remove(&key);
            }
            let flow = flows.entry(key).or_insert_with(|| {
                let initial = random();
                TargetFlow {
                    initial,
                    is_open: false,
                    next_client: packet.seq.wrapping_add(1),
                    next_own: initial.wrapping_add(1),
                    unacknowledged: None,
                    request: Vec::new(),
                    run: None,
                    has_sent_fin: false,
                    has_client_fin: false,
                }
            });
            let reply = encode(key.route, key.client, SYN | ACK, flow.initial, flow.next_client, &[]);
            return self.send(&reply);
        }
        let Some(flow) = flows.get_mut(&key) else {
            return self.bounce(bytes);
        };
        if !flow.is_open {
            if packet.flags & ACK == 0 || packet.ack != flow.initial.wrapping_add(1) {
                return self.bounce(bytes);
            }
            flow.is_open = true;
            self.opened.lock().unwrap().push(key);
            self.record.add(format!("{} ({}) has flow {}", self.name, self.service, key.client.port()));
        }
        if packet.is_reset() {
            flows.remove(&key);
            return;
        }
        if flow.unacknowledged.as_ref().is_some_and(|(_, end, ..)| *end == packet.ack) {
            flow.unacknowledged = None;
        }
        let is_next = packet.seq == flow.next_client;
        if is_next && !packet.data.is_empty() {
            flow.next_client = flow.next_client.wrapping_add(packet.data.len() as u32);
            flow.request.extend_from_slice(&packet.data);
            self.begin_request(key, flow);
        }
        let fin_at = packet.seq.wrapping_add(packet.data.len() as u32);
        if packet.is_fin() && fin_at == flow.next_client {
            flow.next_client = flow.next_client.wrapping_add(1);
            flow.has_client_fin = true;
            if !flow.has_sent_fin {
                flow.has_sent_fin = true;
                let fin = encode(key.route, key.client, FIN | ACK, flow.next_own, flow.next_client, &[]);
                flow.next_own = flow.next_own.wrapping_add(1);
                return self.send(&fin);
            }
        }
        if !packet.data.is_empty() || packet.is_fin() {
            let ack = encode(key.route, key.client, ACK, flow.next_own, flow.next_client, &[]);
            self.send(&ack);
        }
    }

    fn begin_request(&self, key: Flow, flow: &mut TargetFlow) {
        let text = String::from_utf8_lossy(&flow.request).into_owned();
        let Some(end) = text.find("\r\n\r\n") else { return };
        let id = text.lines().find_map(|l| l.strip_prefix("Request-Id: ")).unwrap_or("?").to_owned();
        flow.request.drain(..end + 4);
        self.record.add(format!("{} ({}) runs request {id} of flow {}", self.name, self.service, key.client.port()));
        self.runs.lock().unwrap().push((id.clone(), key));
        let closes = text.contains("Connection: close") || self.is_draining.load(Ordering::SeqCst);
        let id = if closes { format!("{id} close") } else { id };
        flow.run = Some((Instant::now() + Duration::from_millis(RUN_MS), id));
    }

    fn on_time(&self) {
        let now = Instant::now();
        let mut flows = self.flows.lock().unwrap();
        for (key, flow) in flows.iter_mut() {
            if flow.run.as_ref().is_some_and(|(at, _)| now >= *at) {
                let (_, id) = flow.run.take().unwrap();
                let closes = id.ends_with(" close");
                let id = id.trim_end_matches(" close");
                let connection = if closes { "Connection: close\r\n" } else { "" };
                let response = format!(
                    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer: {}\r\n{connection}Content-Length: 2\r\n\r\nok",
                    self.name
                );
                let flags = if closes { ACK | FIN } else { ACK };
                let bytes = encode(key.route, key.client, flags, flow.next_own, flow.next_client, response.as_bytes());
                flow.next_own = flow.next_own.wrapping_add(response.len() as u32 + u32::from(closes));
                flow.has_sent_fin |= closes;
                self.send(&bytes);
                flow.unacknowledged = Some((bytes, flow.next_own, now + Duration::from_millis(200), 200));
            }
            if let Some((bytes, _, at, wait_ms)) = &mut flow.unacknowledged {
                if now >= *at && *wait_ms <= 25_600 {
                    *wait_ms *= 2;
                    *at = now + Duration::from_millis((*wait_ms).min(1_600));
                    let bytes = bytes.clone();
                    self.send(&bytes);
                }
            }
        }
    }
}

// ---------------------------------------------------------------------------------------------
// Clients

/// All clients, behind one address. The script plays the routers: it names the entry of each packet.
pub struct Clients {
    socket: UdpSocket,
    pub ip: Ipv4Addr,
    received: Mutex<Vec<Packet>>,
    arrived: Condvar,
    pub record: Record,
    next_request: AtomicUsize,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// Answered by the target of this name.
    Answered(String),
    Reset,
    Silence,
}

/// A client's end of a flow.
pub struct ClientFlow {
    pub flow: Flow,
    seq: u32,
    ack: u32,
    pub is_closed_by_target: bool,
}

impl Clients {
    pub fn start(ip: Ipv4Addr, record: &Record) -> Arc<Self> {
        let clients = Arc::new(Self {
            socket: UdpSocket::bind((ip, CLIENT_PORT)).expect("the clients' address is free"),
            ip,
            received: Mutex::default(),
            arrived: Condvar::new(),
            record: record.clone(),
            next_request: AtomicUsize::new(1),
        });
        let receiver = Arc::clone(&clients);
        thread::spawn(move || {
            let mut buffer = [0; 4096];
            loop {
                let Ok((length, _)) = receiver.socket.recv_from(&mut buffer) else { continue };
                let Some(packet) = decode(&buffer[..length]) else { continue };
                if !packet.is_reset() && !packet.is_intact {
                    receiver.record.add("a client got a packet that its sender didn't write so");
                }
                receiver.received.lock().unwrap().push(packet);
                receiver.arrived.notify_all();
            }
        });
        clients
    }

    fn send(&self, flow: Flow, entry: Ipv4Addr, flags: u8, seq: u32, ack: u32, data: &[u8]) {
        let bytes = encode(flow.client, flow.route, flags, seq, ack, data);
        let _ = self.socket.send_to(&bytes, (entry, CLIENT_PORT));
    }

    fn next(&self, flow: Flow, until: Instant) -> Option<Packet> {
        let mut received = self.received.lock().unwrap();
        loop {
            let of_flow = |p: &Packet| p.destination == flow.client && p.source == flow.route;
            if let Some(index) = received.iter().position(of_flow) {
                return Some(received.remove(index));
            }
            let now = Instant::now();
            if now >= until {
                return None;
            }
            received = self.arrived.wait_timeout(received, until - now).unwrap().0;
        }
    }

    /// Forgets packets that are left of an earlier flow of the same port.
    pub fn forget(&self, flow: Flow) {
        let mut received = self.received.lock().unwrap();
        received.retain(|p| p.destination != flow.client || p.source != flow.route);
    }

    /// Opens a flow through `entry`, with copies of the SYN after 200 and 600 ms.
    pub fn open(&self, port: u16, route: SocketAddrV4, entry: Ipv4Addr) -> Result<ClientFlow, Answer> {
        let flow = Flow { client: SocketAddrV4::new(self.ip, port), route };
        self.forget(flow);
        let seq = random();
        self.record.add(format!("client port {port} sends SYN to {route} through {entry}"));
        for (copies, wait_ms) in [(0, 200), (1, 400), (2, 800)] {
            self.send(flow, entry, SYN, seq, copies, &[]);
            let until = Instant::now() + Duration::from_millis(wait_ms);
            while let Some(packet) = self.next(flow, until) {
                if packet.is_reset() {
                    self.record.add(format!("client port {port} gets a reset"));
                    return Err(Answer::Reset);
                }
                if packet.is_syn() {
                    let opened = ClientFlow {
                        flow,
                        seq: seq.wrapping_add(1),
                        ack: packet.seq.wrapping_add(1),
                        is_closed_by_target: false,
                    };
                    self.send(flow, entry, ACK, opened.seq, opened.ack, &[]);
                    return Ok(opened);
                }
            }
        }
        self.record.add(format!("client port {port} gets no SYN+ACK"));
        Err(Answer::Silence)
    }

    /// Sends a request on an open flow through `entry` and waits for its answer.
    pub fn request(&self, open: &mut ClientFlow, entry: Ipv4Addr, closes: bool, deadline_ms: u64) -> (String, Answer) {
        let id = format!("r{}", self.next_request.fetch_add(1, Ordering::SeqCst));
        let connection = if closes { "Connection: close\r\n" } else { "" };
        let text = format!("GET / HTTP/1.1\r\nHost: h\r\nRequest-Id: {id}\r\n{connection}\r\n");
        let port = open.flow.client.port();
        self.record.add(format!("client port {port} sends request {id} through {entry}"));
        let seq = open.seq;
        open.seq = open.seq.wrapping_add(text.len() as u32);
        let deadline = Instant::now() + Duration::from_millis(deadline_ms);
        let mut wait_ms = 200;
        while Instant::now() < deadline {
            self.send(open.flow, entry, ACK, seq, open.ack, text.as_bytes());
            let until = (Instant::now() + Duration::from_millis(wait_ms)).min(deadline);
            while let Some(packet) = self.next(open.flow, until) {
                let distance = packet.seq.wrapping_sub(open.ack);
                if packet.is_reset() {
                    if distance.min(distance.wrapping_neg()) <= 76_800 {
                        let by = if packet.is_intact { "its target" } else { "the system" };
                        self.record.add(format!("client port {port} gets a reset from {by} on an open flow"));
                        return (id, Answer::Reset);
                    }
                    continue;
                }
                if packet.seq == open.ack && !packet.data.is_empty() {
                    let body = String::from_utf8_lossy(&packet.data).into_owned();
                    let server = body.lines().find_map(|l| l.strip_prefix("Server: ")).unwrap_or("?").to_owned();
                    let is_own = body.contains(&format!("Request-Id: {id}\r\n"));
                    open.ack = open.ack.wrapping_add(packet.data.len() as u32 + u32::from(packet.is_fin()));
                    open.is_closed_by_target = packet.is_fin();
                    self.send(open.flow, entry, ACK, open.seq, open.ack, &[]);
                    let foreign = if is_own { "" } else { ", which belongs to another request" };
                    self.record.add(format!("client port {port} gets the answer of {server} to {id}{foreign}"));
                    return (id, Answer::Answered(server));
                }
            }
            wait_ms = (wait_ms * 2).min(1_600);
        }
        self.record.add(format!("client port {port} gets no answer to {id}"));
        (id, Answer::Silence)
    }

    /// Closes the client's half of a flow and waits a moment for the target's.
    pub fn close(&self, open: &mut ClientFlow, entry: Ipv4Addr) {
        for _ in 0..3 {
            self.send(open.flow, entry, FIN | ACK, open.seq, open.ack, &[]);
            let until = Instant::now() + Duration::from_millis(200);
            while let Some(packet) = self.next(open.flow, until) {
                if packet.ack == open.seq.wrapping_add(1) {
                    self.record.add(format!("flow {} is closed by both ends", open.flow.client.port()));
                    return;
                }
            }
        }
    }
}

// ---------------------------------------------------------------------------------------------
// Daemons

/// A daemon as a child process with a settings file.
pub struct Daemon {
    pub name: String,
    role: &'static str,
    pub ip: Ipv4Addr,
    service: Option<String>,
    directory: PathBuf,
    program: PathBuf,
    child: Option<Child>,
    store: SocketAddrV4,
    seeds: Vec<Ipv4Addr>,
    is_first_start: bool,
}

impl Daemon {
    fn settings(&self) -> String {
        let seeds: Vec<String> = self.seeds.iter().map(|s| format!("\"{s}:{CONTROL_PORT}\"")).collect();
        let ip = self.ip;
        let (class, serves) = match self.role {
            "entry" => ("frontend", "\"frontend\",\"control_plane\""),
            _ => ("side", "\"side\""),
        };
        let side = match &self.service {
            Some(service) => format!("app = \"{ip}:{APP_PORT}\"\nservice = \"{service}\"\n"),
            None => String::new(),
        };
        let outbound = match &self.service {
            Some(_) => format!("outbound = \"{ip}:{OUTBOUND_PORT}\"\n"),
            None => format!("controlPlane = \"{ip}:{CONTROL_PORT}\"\n"),
        };
        format!(
            "nodeName = \"{}\"\nrole = \"{}\"\nmachineClass = \"{class}\"\nserves = [{serves}]\n\
             ipAddress = \"{ip}\"\nzone = \"z-a\"\nregion = \"r-a\"\ninternalPortRange = [{NODE_PORT},7735]\n\
             seedNodes = [{}]\nfirstStart = {}\ncountsTowardTolerance = false\ndiscovery = \"platform\"\n\
             entryType = \"announcement\"\nheartbeatIntervalMs = {HEARTBEAT_MS}\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"flows\",\"platform\"]\n\
             hash = \"steady\"\nforwardingMode = \"agent\"\n{side}[zones]\nz-a = \"r-a\"\n\
             [listenAddresses]\ndatagramAddress = \"{ip}:{CLIENT_PORT}\"\nready = \"{ip}:{READY_PORT}\"\n{outbound}\
             [limits]\ncpuShare = 0.25\ncpuCores = 1\nmemoryMb = 260\nfileDescriptors = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n\
             [faultTolerance]\nmachines = 2\nzones = 0\nregions = 0\n\
             [bounds]\nseedLagS = 3\naddressReuseS = 2\nstabilityWindowMs = 4000\nackTimeoutMs = 5000\ncatchUpS = 4\n\
             drainMs = 3000\ngracePeriodS = 6\nlossSlackMs = 200\nconfigApplyMs = 3000\ndowngradeSlackMs = 250\n\
             maxStretchMs = 12000\nrecoveryS = 12\nflowReorderMs = 2000\nflowLifetimeS = 60\n\
             [platform]\naddress = \"{}\"\nforwardingMode = \"read\"\nwritesPerS = 400\nreadsPerS = 2000\n\
             historyS = 20\nvalueBytes = 1048576\nminTtlMs = 1000\n",
            self.name,
            self.role,
            seeds.join(","),
            self.is_first_start,
            self.store
        )
    }

    fn path(&self) -> PathBuf {
        self.directory.join(format!("{}.toml", self.name))
    }

    pub fn write_settings(&self) {
        let new = self.directory.join(format!("{}.new", self.name));
        fs::write(&new, self.settings()).expect("the settings can be written");
        fs::rename(new, self.path()).expect("the settings can be replaced");
    }

    pub fn spawn(&mut self) {
        self.write_settings();
        self.is_first_start = false;
        let log = self.directory.join(format!("{}.log", self.name));
        let log = fs::File::options().create(true).append(true).open(log).expect("a log file");
        let mut command = Command::new(&self.program);
        command.arg(self.role).env_clear().env("FESCUESHIFT_SETTINGS", self.path());
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command.stdin(Stdio::null()).stderr(log.try_clone().unwrap()).stdout(log);
        let child = command.spawn().expect("the daemon starts");
        note_pid(0, child.id() as i32);
        self.child = Some(child);
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: sends a signal to a child of this process that hasn't been waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Waits until the process has ended. Kills it after `grace_ms`, as the platform does.
    pub fn wait_for_end(&mut self, grace_ms: u64) {
        let until = Instant::now() + Duration::from_millis(grace_ms);
        let Some(mut child) = self.child.take() else { return };
        let pid = child.id() as i32;
        while matches!(child.try_wait(), Ok(None)) {
            if Instant::now() >= until {
                let _ = child.kill();
            }
            sleep_ms(2);
        }
        note_pid(pid, 0);
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.directory.join(format!("{}.log", self.name))).unwrap_or_default()
    }

    /// The platform's readiness check.
    pub fn is_ready(&self) -> bool {
        let address = SocketAddrV4::new(self.ip, READY_PORT).into();
        let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(400)) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(400)));
        let request = "GET /readiness HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        let mut reply = [0; 64];
        stream.write_all(request.as_bytes()).is_ok()
            && matches!(stream.read(&mut reply), Ok(n) if reply[..n].starts_with(b"HTTP/1.1 200"))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let pid = child.id() as i32;
            let _ = child.kill();
            let _ = child.wait();
            note_pid(pid, 0);
        }
    }
}

// ---------------------------------------------------------------------------------------------
// A small deployment

pub struct World {
    pub subnet: u8,
    pub record: Record,
    pub store: Arc<Store>,
    store_address: SocketAddrV4,
    pub clients: Arc<Clients>,
    pub targets: Vec<Arc<Target>>,
    pub entries: Vec<Daemon>,
    pub agents: Vec<Daemon>,
    directory: PathBuf,
    program: PathBuf,
}

impl World {
    /// Starts the store, the targets (names of their services) and the daemons.
    pub fn start(entries: usize, services: &[&str], config: String, program: &Path) -> Self {
        let subnet = free_subnet();
        let record = Record::new();
        let store = Store::new();
        let store_address = SocketAddrV4::new(Ipv4Addr::new(127, subnet, 4, 1), STORE_PORT);
        store.serve(store_address);
        store.put("op/config", config);
        let directory = std::env::temp_dir().join(format!("fes-review-{}", std::process::id()));
        fs::create_dir_all(&directory).expect("a temporary folder");
        let clients = Clients::start(Ipv4Addr::new(127, subnet, 3, 1), &record);
        let mut world = Self {
            subnet,
            record,
            store,
            store_address,
            clients,
            targets: Vec::new(),
            entries: Vec::new(),
            agents: Vec::new(),
            directory,
            program: program.into(),
        };
        for index in 0..entries {
            let entry = world.daemon(&format!("entry-{}", index + 1), "entry", world.entry_ip(index), None, entries);
            world.entries.push(entry);
        }
        for service in services {
            world.add_target(service, entries, true);
        }
        world.entries.iter_mut().for_each(Daemon::spawn);
        world.record.add("the daemons are started");
        world
    }

    pub fn entry_ip(&self, index: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.subnet, 1, index as u8 + 1)
    }

    pub fn add_target(&mut self, service: &str, entries: usize, is_first_start: bool) {
        let index = self.targets.len();
        let ip = Ipv4Addr::new(127, self.subnet, 2, index as u8 + 1);
        let mut agent = self.daemon(&format!("agent-{}", index + 1), "agent", ip, Some(service.into()), entries);
        agent.is_first_start = is_first_start;
        agent.spawn();
        self.agents.push(agent);
        let name = format!("target-{}", index + 1);
        self.targets.push(Target::start(&name, service, ip, &self.store, &self.record));
        self.record.add(format!("{name} of service {service} registers"));
    }

    fn daemon(&self, name: &str, role: &'static str, ip: Ipv4Addr, service: Option<String>, entries: usize) -> Daemon {
        Daemon {
            name: name.into(),
            role,
            ip,
            service,
            directory: self.directory.clone(),
            program: self.program.clone(),
            child: None,
            store: self.store_address,
            seeds: (0..entries.min(3)).map(|i| self.entry_ip(i)).collect(),
            is_first_start: true,
        }
    }

    /// Returns whether all entries are ready within 10 s.
    pub fn is_ready(&self) -> bool {
        (0..100).any(|_| {
            sleep_ms(100);
            self.entries.iter().all(Daemon::is_ready)
        })
    }

    /// Returns the target that holds a flow.
    pub fn holder(&self, flow: Flow) -> Option<usize> {
        self.targets.iter().position(|target| target.holds(flow))
    }

    pub fn end(mut self, path: &Path) {
        self.record.save(path);
        self.entries.clear();
        self.agents.clear();
        let _ = fs::remove_dir_all(&self.directory);
    }
}

fn free_subnet() -> u8 {
    let start = std::process::id() % 120;
    for offset in 0..120 {
        let subnet = 100 + ((start + offset * 7) % 120) as u8;
        let is_free = UdpSocket::bind((Ipv4Addr::new(127, subnet, 3, 1), CLIENT_PORT)).is_ok()
            && UdpSocket::bind((Ipv4Addr::new(127, subnet, 1, 1), NODE_PORT)).is_ok()
            && TcpListener::bind((Ipv4Addr::new(127, subnet, 4, 1), STORE_PORT)).is_ok();
        if is_free {
            return subnet;
        }
    }
    panic!("no free loopback addresses");
}

/// A configuration in the form that the operator writes.
pub fn config(version: u64, routes: &[(SocketAddrV4, &str)], services: &[&str]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|(address, service)| {
            format!(
                "{{\"name\":\"r-{}\",\"hostname\":\"{}\",\"prefix\":\"/{}/\",\"routeType\":\"idempotent\",\
                 \"timeoutMs\":3000,\"latencyGoalMs\":200,\"priority\":2,\"service\":\"{service}\",\"maxAttempts\":2}}",
                address.port(),
                address.ip(),
                address.port()
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"healthCheckPath\":\"/health\",\"maxConnections\":2000,\
                 \"protocol\":\"h1\",\"tls\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// Whether the disruption is played (`TROUBLE=0` leaves it out).
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
