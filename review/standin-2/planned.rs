//! Stand-ins of the platform's store, of targets and of clients for the scripts of this review, and
//! the supervision of the daemons. Standard library only.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

const SYN: u8 = 64;
const ACK: u8 = 32;
const BOUNCED: u8 = 16;
const RST: u8 = 8;
const HEAD: usize = 34;
const KEY: u32 = 0x5bd1_e995;
const SERVICE: &str = "huvo11a";
const ROUTE: (Ipv4Addr, u16) = (Ipv4Addr::new(127, 250, 0, 1), 8443);
/// Time from the exit of a process to its next start, as the platform takes.
const RESTART_DELAY: Duration = Duration::from_millis(600);
/// The same in the scenario `away`.
const AWAY: Duration = Duration::from_millis(2_000);
/// Time after which the run is given up.
const MAX_RUN: Duration = Duration::from_secs(80);

/// Processes that were started and not yet awaited.
static PIDS: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// Whether this process was told to end.
static IS_OVER: AtomicBool = AtomicBool::new(false);

extern "C" fn on_signal(_: i32) {
    IS_OVER.store(true, Ordering::SeqCst);
}

/// Ends the processes and the run if it takes too long or is told to end.
fn watch_end() {
    let end = Instant::now() + MAX_RUN;
    while Instant::now() < end && !IS_OVER.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(20));
    }
    // Held until the exit, so that no further process is started.
    let pids = PIDS.lock().unwrap();
    for pid in pids.iter() {
        // SAFETY: the list holds children of this process that it hasn't waited for.
        unsafe { kill(*pid as i32, 9) };
    }
    std::process::exit(2);
}

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn signal(signal: i32, handler: extern "C" fn(i32)) -> usize;
}

type Log = Arc<Mutex<(File, Instant)>>;

fn note(log: &Log, text: &str) {
    let mut log = log.lock().unwrap();
    let line = format!("{:8.3} {text}\n", log.1.elapsed().as_secs_f64());
    print!("{line}");
    let _ = log.0.write_all(line.as_bytes());
}

// ---- packets

#[derive(Clone, Debug)]
struct Packet {
    src: (Ipv4Addr, u16),
    dst: (Ipv4Addr, u16),
    flags: u8,
    seq: u32,
    ack: u32,
    data: Vec<u8>,
    sum: u32,
}

fn sum_of(p: &Packet) -> u32 {
    let mut h = KEY;
    let mut add = |v: u32| h = (h ^ v).wrapping_mul(0x0100_0193).rotate_left(7);
    add(u32::from(p.src.0));
    add(u32::from(p.src.1));
    add(u32::from(p.dst.0));
    add(u32::from(p.dst.1));
    add(u32::from(p.flags & !BOUNCED));
    add(p.seq);
    add(p.ack);
    p.data.iter().for_each(|b| add(u32::from(*b)));
    h | 1
}

fn encode(p: &Packet) -> Vec<u8> {
    let mut b = vec![0; HEAD];
    b[0..2].copy_from_slice(&(p.data.len() as u16).to_be_bytes());
    b[6..10].copy_from_slice(&p.sum.to_be_bytes());
    b[10..14].copy_from_slice(&p.seq.to_be_bytes());
    b[14..18].copy_from_slice(&p.ack.to_be_bytes());
    b[18] = p.flags;
    b[22..24].copy_from_slice(&p.dst.1.to_be_bytes());
    b[24..28].copy_from_slice(&p.dst.0.octets());
    b[28..32].copy_from_slice(&p.src.0.octets());
    b[32..34].copy_from_slice(&p.src.1.to_be_bytes());
    b.extend_from_slice(&p.data);
    b
}

fn signed(mut p: Packet) -> Vec<u8> {
    p.sum = sum_of(&p);
    encode(&p)
}

fn decode(b: &[u8]) -> Option<Packet> {
    if b.len() < HEAD {
        return None;
    }
    let u32_at = |i: usize| u32::from_be_bytes([b[i], b[i + 1], b[i + 2], b[i + 3]]);
    let u16_at = |i: usize| u16::from_be_bytes([b[i], b[i + 1]]);
    let ip_at = |i: usize| Ipv4Addr::new(b[i], b[i + 1], b[i + 2], b[i + 3]);
    Some(Packet {
        sum: u32_at(6),
        seq: u32_at(10),
        ack: u32_at(14),
        flags: b[18],
        dst: (ip_at(24), u16_at(22)),
        src: (ip_at(28), u16_at(32)),
        data: b[HEAD..].to_vec(),
    })
}

// ---- store

#[derive(Default)]
struct Items {
    revision: u64,
    items: BTreeMap<String, (String, u64, u64)>,
    events: Vec<(u64, String)>,
}

type Store = Arc<(Mutex<Items>, Condvar)>;

fn base64(data: &[u8]) -> String {
    const T: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for c in data.chunks(3) {
        let n = u32::from(c[0]) << 16
            | u32::from(*c.get(1).unwrap_or(&0)) << 8
            | u32::from(*c.get(2).unwrap_or(&0));
        for i in 0..4 {
            let sextet = (n >> (18 - 6 * i)) & 63;
            out.push(if i <= c.len() { T[sextet as usize] as char } else { '=' });
        }
    }
    out
}

fn item_json(key: &str, value: &str, revision: u64, created: u64) -> String {
    let value = base64(value.as_bytes());
    format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\"lease\":0}}")
}

fn put(store: &Store, key: &str, value: &str) {
    let mut s = store.0.lock().unwrap();
    s.revision += 1;
    let revision = s.revision;
    let created = s.items.get(key).map_or(revision, |item| item.2);
    let event = item_json(key, value, revision, created);
    s.items.insert(key.into(), (value.into(), revision, created));
    s.events.push((revision, event));
    store.1.notify_all();
}

fn serve_store(store: Store, listener: TcpListener) {
    for stream in listener.incoming().flatten() {
        let store = Arc::clone(&store);
        thread::spawn(move || {
            let _ = serve_connection(&store, stream);
        });
    }
}

fn serve_connection(store: &Store, stream: TcpStream) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        loop {
            let mut header = String::new();
            if reader.read_line(&mut header)? <= 2 {
                break;
            }
        }
        let target = line.split(' ').nth(1).unwrap_or("").to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let parameters: HashMap<&str, &str> =
            query.split('&').filter_map(|p| p.split_once('=')).collect();
        let prefix = parameters.get("prefix").copied().unwrap_or("");
        let body = match path {
            "/kv-range" => {
                let after = parameters.get("after").copied().unwrap_or("");
                let s = store.0.lock().unwrap();
                let items: Vec<String> = s
                    .items
                    .iter()
                    .filter(|(k, _)| k.starts_with(prefix) && k.as_str() > after)
                    .map(|(k, (v, r, c))| item_json(k, v, *r, *c))
                    .collect();
                format!(
                    "{{\"items\":[{}],\"hasMore\":false,\"atRevision\":{}}}",
                    items.join(","),
                    s.revision
                )
            }
            "/kv-watch" => {
                let number = |name| parameters.get(name).and_then(|v| v.parse::<u64>().ok());
                let after = number("after").unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
                let mut s = store.0.lock().unwrap();
                while s.revision <= after && Instant::now() < end {
                    let left = end.saturating_duration_since(Instant::now());
                    s = store.1.wait_timeout(s, left).unwrap().0;
                }
                let newer = s.events.iter().filter(|(r, _)| *r > after);
                let events: Vec<String> = newer.map(|(_, e)| e.clone()).collect();
                format!("{{\"events\":[{}],\"atRevision\":{}}}", events.join(","), s.revision)
            }
            _ => String::from("{}"),
        };
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )?;
    }
}

fn config(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"hostname\":\"{}\",\"prefix\":\"/{}/\",\
         \"routeType\":\"idempotent\",\"timeoutMs\":3000,\"latencyGoalMs\":200,\"priority\":2,\
         \"service\":\"{SERVICE}\",\"maxAttempts\":2}}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"healthCheckPath\":\"/health\",\"maxConnections\":2000,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}",
        ROUTE.0, ROUTE.1
    )
}

// ---- targets

struct TargetFlow {
    initial_sequence: u32,
    is_open: bool,
    next_from_client: u32,
    sent: u32,
    response: Option<Vec<u8>>,
}

#[derive(Default)]
struct TargetState {
    flows: HashMap<(Ipv4Addr, u16), TargetFlow>,
    bounced: u32,
}

struct Target {
    name: String,
    ip: Ipv4Addr,
    socket: UdpSocket,
    outbound: SocketAddrV4,
    born: u128,
    state: Mutex<TargetState>,
    log: Log,
}

impl Target {
    fn entry(&self, state: &str, sequence: u64, port: u16) -> String {
        format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{}:{port}\",\"zone\":\"wm-a\",\"version\":\"v1\",\
             \"concurrencyLimit\":4,\"state\":\"{state}\",\"warmupRemainingMs\":0,\"sequence\":{sequence},\
             \"born\":{}}}",
            self.ip, self.born
        )
    }

    fn send(&self, packet: Vec<u8>) {
        let _ = self.socket.send_to(&packet, self.outbound);
    }

    fn run(&self) {
        let mut buffer = [0; 4096];
        loop {
            let Ok(length) = self.socket.recv(&mut buffer) else {
                continue;
            };
            self.on_packet(&buffer[..length]);
        }
    }

    fn on_packet(&self, raw: &[u8]) {
        let Some(p) = decode(raw) else { return };
        if p.sum != sum_of(&p) {
            note(&self.log, &format!("UNASKED {} got a packet that its sender didn't write so", self.name));
            return;
        }
        let mut state = self.state.lock().unwrap();
        let reply = |flags, seq, ack, data| {
            signed(Packet { src: p.dst, dst: p.src, flags, seq, ack, data, sum: 0 })
        };
        if p.flags & SYN != 0 {
            let initial = p.seq.wrapping_mul(2_654_435_761) ^ u32::from(self.ip);
            let flow = state.flows.entry(p.src).or_insert(TargetFlow {
                initial_sequence: initial,
                is_open: false,
                next_from_client: p.seq.wrapping_add(1),
                sent: 0,
                response: None,
            });
            let initial = flow.initial_sequence;
            self.send(reply(SYN | ACK, initial, p.seq.wrapping_add(1), Vec::new()));
            return;
        }
        let is_held = state.flows.get(&p.src).is_some_and(|flow| {
            flow.is_open || p.ack == flow.initial_sequence.wrapping_add(1)
        });
        if !is_held {
            state.bounced += 1;
            let mut bounced = raw.to_vec();
            bounced[18] |= BOUNCED;
            self.send(bounced);
            return;
        }
        let Some(flow) = state.flows.get_mut(&p.src) else { return };
        flow.is_open = true;
        if p.flags & RST != 0 {
            state.flows.remove(&p.src);
            return;
        }
        if p.data.is_empty() {
            return;
        }
        let from = flow.initial_sequence.wrapping_add(1).wrapping_add(flow.sent);
        if p.seq == flow.next_from_client {
            flow.next_from_client = p.seq.wrapping_add(p.data.len() as u32);
            let body = format!("{} served {}", self.name, p.src.1);
            let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            let request = String::from_utf8_lossy(&p.data).into_owned();
            let id = request.split("Request-Id: ").nth(1).and_then(|rest| rest.lines().next());
            let id = id.unwrap_or("-");
            note(&self.log, &format!("{} runs request {id} of flow {}", self.name, p.src.1));
            flow.sent += text.len() as u32;
            let packet = reply(ACK, from, flow.next_from_client, text.into_bytes());
            flow.response = Some(packet.clone());
            self.send(packet);
        } else if let Some(response) = &flow.response {
            self.send(response.clone());
        }
    }
}

// ---- daemons

struct Daemon {
    name: String,
    settings: String,
    directory: String,
    program: String,
    command: &'static str,
    starts: u32,
    child: Option<Child>,
    log: Log,
}

impl Daemon {
    fn start(&mut self) {
        let first = self.starts == 0;
        self.starts += 1;
        let path = format!("{}/{}.toml", self.directory, self.name);
        std::fs::write(&path, self.settings.replace("@first", &first.to_string())).unwrap();
        let output = File::options()
            .create(true)
            .append(true)
            .open(format!("{}/{}.log", self.directory, self.name))
            .unwrap();
        let mut pids = PIDS.lock().unwrap();
        let child = Command::new(&self.program)
            .arg(self.command)
            .env("FESCUESHIFT_SETTINGS", &path)
            .stdin(Stdio::null())
            .stderr(output.try_clone().unwrap())
            .stdout(output)
            .spawn()
            .expect("the daemon can't be started");
        pids.push(child.id());
        drop(pids);
        note(&self.log, &format!("start {} (pid {})", self.name, child.id()));
        self.child = Some(child);
    }

    fn terminate(&self) {
        note(&self.log, &format!("SIGTERM {}", self.name));
        if let Some(child) = &self.child {
            // SAFETY: signals a child that this process started and hasn't waited for.
            unsafe { kill(child.id() as i32, 15) };
        }
    }

    fn wait(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
            PIDS.lock().unwrap().retain(|pid| *pid != child.id());
        }
        note(&self.log, &format!("exit {}", self.name));
    }

    fn wait_and_restart(&mut self) {
        self.wait();
        thread::sleep(RESTART_DELAY);
        self.start();
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            PIDS.lock().unwrap().retain(|pid| *pid != child.id());
        }
    }
}

fn settings(name: &str, ip: Ipv4Addr, entry: Ipv4Addr, store: SocketAddrV4, p: &Ports, is_agent: bool) -> String {
    let (class, app, outbound) = match is_agent {
        true => (
            "side",
            format!("app = \"{ip}:{}\"\nservice = \"{SERVICE}\"\n", p.app),
            format!("outbound = \"{ip}:{}\"\n", p.outbound),
        ),
        false => ("frontend", String::new(), String::new()),
    };
    format!(
        "nodeName = \"{name}\"\nrole = \"{class}\"\nmachineClass = \"{class}\"\nipAddress = \"{ip}\"\n\
         zone = \"wm-a\"\nregion = \"west-midlands\"\ninternalPortRange = [{n},{n2}]\n\
         seedNodes = [\"{entry}:{c}\"]\nfirstStart = @first\nheartbeatIntervalMs = 770\nhash = \"steady\"\n\
         forwardingMode = \"agent\"\n{app}\n[listenAddresses]\ndatagramAddress = \"{ip}:{d}\"\n\
         ready = \"{ip}:{r}\"\n{outbound}\n[bounds]\ndrainMs = 3000\ngracePeriodS = 6\n\
         configApplyMs = 3000\nflowReorderMs = 2000\nflowLifetimeS = 60\n\n[platform]\n\
         address = \"{store}\"\nforwardingMode = \"read\"\nreadsPerS = 2000\nhistoryS = 20\n",
        n = p.node,
        n2 = p.node + 15,
        c = p.control,
        d = p.datagram,
        r = p.ready,
    )
}

struct Ports {
    datagram: u16,
    ready: u16,
    control: u16,
    node: u16,
    app: u16,
    outbound: u16,
}

fn is_ready(address: SocketAddrV4) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address.into(), Duration::from_millis(300)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(300)));
    let _ = write!(stream, "GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    text.starts_with("HTTP/1.1 200")
}

// ---- clients

struct Flow {
    port: u16,
    seq: u32,
    ack: u32,
}

struct Client {
    ip: Ipv4Addr,
    socket: UdpSocket,
    entry: SocketAddrV4,
    log: Log,
}

enum Answer {
    Data(String),
    Reset,
    Nothing,
}

impl Client {
    fn send(&self, flow: &Flow, flags: u8, data: &[u8]) {
        let packet = signed(Packet {
            src: (self.ip, flow.port),
            dst: ROUTE,
            flags,
            seq: flow.seq,
            ack: flow.ack,
            data: data.to_vec(),
            sum: 0,
        });
        let _ = self.socket.send_to(&packet, self.entry);
    }

    fn receive(&self, port: u16, until: Instant) -> Option<Packet> {
        let mut buffer = [0; 4096];
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            let _ = self.socket.set_read_timeout(Some(left));
            let Ok(length) = self.socket.recv(&mut buffer) else { continue };
            if let Some(p) = decode(&buffer[..length]).filter(|p| p.dst.1 == port) {
                return Some(p);
            }
        }
    }

    fn open(&self, port: u16) -> Option<Flow> {
        let mut flow = Flow { port, seq: u32::from(port).wrapping_mul(40_503_000), ack: 0 };
        for wait_ms in [200, 400, 800] {
            self.send(&flow, SYN, &[]);
            let until = Instant::now() + Duration::from_millis(wait_ms);
            let Some(p) = self.receive(port, until) else {
                flow.ack += 1;
                continue;
            };
            if p.flags & (SYN | ACK) == SYN | ACK {
                flow.seq = flow.seq.wrapping_add(1);
                flow.ack = p.seq.wrapping_add(1);
                self.send(&flow, ACK, &[]);
                note(&self.log, &format!("client: flow {port} is open"));
                return Some(flow);
            }
            return None;
        }
        None
    }

    /// Sends a request and its retransmissions after 200 ms, 400 ms and so on, up to the deadline.
    fn request(&self, flow: &mut Flow, deadline: Duration) -> Answer {
        let id = format!("{:08x}", flow.seq ^ u32::from(flow.port));
        let text = format!("GET / HTTP/1.1\r\nHost: x\r\nRequest-Id: {id}\r\n\r\n");
        note(&self.log, &format!("client: request {id} on flow {}", flow.port));
        let end = Instant::now() + deadline;
        let mut wait = Duration::from_millis(200);
        while Instant::now() < end {
            self.send(flow, ACK, text.as_bytes());
            let until = (Instant::now() + wait).min(end);
            wait = (wait * 2).min(Duration::from_millis(1600));
            while let Some(p) = self.receive(flow.port, until) {
                if p.flags & RST != 0 {
                    let distance = p.seq.wrapping_sub(flow.ack).min(flow.ack.wrapping_sub(p.seq));
                    note(&self.log, &format!(
                        "client: reset on flow {}, sum {}, seq {} from the last ack", flow.port, p.sum, distance
                    ));
                    return Answer::Reset;
                }
                if !p.data.is_empty() && p.seq == flow.ack {
                    flow.seq = flow.seq.wrapping_add(text.len() as u32);
                    flow.ack = p.seq.wrapping_add(p.data.len() as u32);
                    self.send(flow, ACK, &[]);
                    return Answer::Data(String::from_utf8_lossy(&p.data).into_owned());
                }
            }
        }
        Answer::Nothing
    }
}

// ---- the scenario

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, scenario, program, directory, record] = arguments.as_slice() else {
        eprintln!("usage: planned drain|away PROGRAM DIRECTORY RECORD");
        std::process::exit(2);
    };
    let is_troubled = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let file = File::create(record).expect("record");
    let log: Log = Arc::new(Mutex::new((file, Instant::now())));
    for number in [1, 2, 15] {
        // SAFETY: the handler only stores to an atomic.
        unsafe { signal(number, on_signal) };
    }
    thread::spawn(watch_end);
    let is_away = scenario == "away";
    let code = run(program, directory, &log, is_troubled, is_away);
    note(&log, &format!("exit code {code}"));
    std::process::exit(code);
}

fn free_subnet() -> Option<(u8, Ports)> {
    let seed = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.subsec_nanos());
    for attempt in 0..200u32 {
        let n = seed / 1_000 + attempt * 37 + std::process::id();
        let subnet = 20 + (n % 200) as u8;
        let base = 20_000 + ((n / 7) % 100 * 100) as u16;
        let ports = Ports {
            datagram: base + 1,
            ready: base + 2,
            control: base + 3,
            node: base + 20,
            app: base + 5,
            outbound: base + 6,
        };
        let is_free = (1..=9).all(|i| {
            let ip = Ipv4Addr::new(127, subnet, 0, i);
            UdpSocket::bind((ip, ports.datagram)).is_ok() && UdpSocket::bind((ip, ports.node)).is_ok()
        });
        if is_free {
            return Some((subnet, ports));
        }
    }
    None
}

fn run(program: &str, directory: &str, log: &Log, is_troubled: bool, is_away: bool) -> i32 {
    let Some((subnet, p)) = free_subnet() else { return 2 };
    let ip = |i: u8| Ipv4Addr::new(127, subnet, 0, i);
    let entry_ip = ip(1);
    let store_address = SocketAddrV4::new(ip(8), p.control);
    let store: Store = Arc::default();
    let Ok(listener) = TcpListener::bind(store_address) else { return 2 };
    put(&store, "op/config", &config(3));
    let serving = Arc::clone(&store);
    thread::spawn(move || serve_store(serving, listener));
    let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis());
    let mut targets = Vec::new();
    for i in 0..3u8 {
        let own = ip(2 + i);
        let Ok(socket) = UdpSocket::bind((own, p.app)) else { return 2 };
        let Ok(health) = TcpListener::bind((own, p.app)) else { return 2 };
        thread::spawn(move || health.incoming().for_each(drop));
        let target = Arc::new(Target {
            name: format!("i-{}", i + 1),
            ip: own,
            socket,
            outbound: SocketAddrV4::new(own, p.outbound),
            born,
            state: Mutex::default(),
            log: Arc::clone(log),
        });
        let running = Arc::clone(&target);
        thread::spawn(move || running.run());
        put(&store, &format!("servers/{}", target.name), &target.entry("ready", 1, p.app));
        targets.push(target);
    }
    let daemon = |name: &str, own, is_agent| Daemon {
        name: name.into(),
        settings: settings(name, own, entry_ip, store_address, &p, is_agent),
        directory: directory.into(),
        program: program.into(),
        command: if is_agent { "agent" } else { "entry" },
        starts: 0,
        child: None,
        log: Arc::clone(log),
    };
    let mut agents: Vec<Daemon> =
        (0..3u8).map(|i| daemon(&format!("side-{}", i + 1), ip(2 + i), true)).collect();
    let mut entry = daemon("frontend-1", entry_ip, false);
    agents.iter_mut().for_each(Daemon::start);
    entry.start();
    let ready_address = SocketAddrV4::new(entry_ip, p.ready);
    let wait_ready = || (0..200).any(|_| {
        let ready = is_ready(ready_address);
        thread::sleep(Duration::from_millis(if ready { 0 } else { 50 }));
        ready
    });
    if !wait_ready() {
        return 2;
    }
    let client_ip = ip(9);
    let Ok(socket) = UdpSocket::bind((client_ip, p.datagram)) else { return 2 };
    let client = Client {
        ip: client_ip,
        socket,
        entry: SocketAddrV4::new(entry_ip, p.datagram),
        log: Arc::clone(log),
    };
    thread::sleep(Duration::from_secs(1));
    if is_troubled && !is_away {
        note(log, "planned: the nodes beside the targets are stopped and started in turn");
        for agent in &mut agents {
            agent.terminate();
            agent.wait_and_restart();
            thread::sleep(Duration::from_millis(400));
        }
        thread::sleep(Duration::from_secs(4));
    }
    let mut flows = Vec::new();
    for port in 40_001..40_013 {
        let Some(mut flow) = client.open(port) else { continue };
        match client.request(&mut flow, Duration::from_secs(1)) {
            Answer::Data(text) => note(log, &format!("client: flow {port} answered: {}", text.lines().last().unwrap_or(""))),
            _ => continue,
        }
        flows.push(flow);
    }
    let holder = |flow: &Flow| {
        let key = (client_ip, flow.port);
        targets.iter().position(|t| t.state.lock().unwrap().flows.get(&key).is_some_and(|f| f.is_open))
    };
    let Some(leaving) = flows.first().and_then(holder) else { return 2 };
    flows.retain(|flow| holder(flow) == Some(leaving));
    note(log, &format!("{} open flows at {}", flows.len(), targets[leaving].name));
    let drain = || {
        put(&store, &format!("servers/{}", targets[leaving].name), &targets[leaving].entry("draining", 2, p.app));
        note(log, &format!("{} is draining (accepted by the store); it goes on serving", targets[leaving].name));
    };
    let mut restarted = None;
    if is_away {
        note(log, "planned: the entry is stopped and started");
        entry.terminate();
        entry.wait();
        thread::sleep(AWAY - Duration::from_millis(400));
        if is_troubled {
            note(log, "planned: the node beside that target is stopped and started");
            let mut agent = agents.remove(leaving);
            agent.terminate();
            restarted = Some(thread::spawn(move || {
                agent.wait();
                thread::sleep(AWAY);
                agent.start();
                thread::sleep(Duration::from_secs(2));
                agent
            }));
        }
        thread::sleep(Duration::from_millis(400));
        entry.start();
        if !wait_ready() {
            note(log, "the entry isn't ready");
        }
        thread::sleep(Duration::from_millis(900));
    } else if is_troubled {
        entry.terminate();
        thread::sleep(Duration::from_millis(1_500));
        agents[leaving].terminate();
        thread::sleep(Duration::from_millis(50));
        drain();
        let mut agent = agents.remove(leaving);
        restarted = Some(thread::spawn(move || {
            agent.wait_and_restart();
            agent
        }));
        entry.wait_and_restart();
        if !wait_ready() {
            note(log, "the entry isn't ready");
        }
    } else {
        drain();
        thread::sleep(Duration::from_millis(300));
    }
    let mut resets = 0;
    let mut served = 0;
    for flow in &mut flows {
        let deadline_ms = if is_away { 1_000 } else { 2_500 };
        match client.request(flow, Duration::from_millis(deadline_ms)) {
            Answer::Reset if holder(flow) == Some(leaving) => {
                note(log, &format!("FLOW broken: flow {} is open at {}, which lives and sent no reset", flow.port, targets[leaving].name));
                resets += 1;
            }
            Answer::Data(text) => {
                served += 1;
                note(log, &format!("client: flow {} answered: {}", flow.port, text.lines().last().unwrap_or("")));
            }
            _ => note(log, &format!("client: flow {} got nothing in time", flow.port)),
        }
    }
    drop(restarted.map(|thread| thread.join()));
    note(log, &format!("{resets} open flows reset, {served} served"));
    if !is_away && is_ready(ready_address) && resets + served == 0 {
        return 2;
    }
    i32::from(resets > 0)
}
