//! A small deployment on loopback addresses: the project's daemons as processes, and stand-ins of the
//! store, the operator, the targets, the clients and the routers.

mod clients;
mod daemons;
mod store;
mod targets;
mod wire;

mod case_drill;
mod case_evacuation;
mod case_readers;
mod case_routes;

use std::fs::File;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use daemons::{Daemon, Place, Shared};
use store::Store;
use targets::{Seen, Target, TargetSpec};

pub const ZONES: [&str; 3] = ["wm-a", "wm-b", "wm-c"];
const STORE_PORT: u16 = 8169;
const FIRST_SUBNET: u8 = 30;
const LAST_SUBNET: u8 = 220;
const PAUSE_STEP_MS: u64 = 10;
/// With a longer pause of the machine, a case isn't judged.
const MAX_PAUSE_MS: u64 = 200;

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

/// Layout of a deployment.
pub struct Layout {
    /// Zone of each entry.
    pub entries: Vec<&'static str>,
    /// Service and zone of each target.
    pub targets: Vec<(&'static str, &'static str)>,
    pub slots: u32,
    pub work_ms: u64,
    pub cold_ms: u64,
    pub extra_bounds: &'static str,
}

pub struct World {
    pub store: Arc<Store>,
    pub entries: Vec<Daemon>,
    pub agents: Vec<Daemon>,
    pub targets: Vec<Arc<Target>>,
    pub seen: Arc<Mutex<Seen>>,
    pub record: Record,
    pub started: Instant,
    subnet: u8,
    directory: PathBuf,
    shared: Shared,
    longest_pause_ms: Arc<AtomicU64>,
}

/// Record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn started(&self) -> Instant {
        self.started
    }

    pub fn line(&self, text: &str) {
        let ms = self.started.elapsed().as_millis();
        let _ = writeln!(
            self.file.lock().unwrap(),
            "{:>7}.{:03} {text}",
            ms / 1_000,
            ms % 1_000
        );
    }
}

impl World {
    /// Starts the store, the targets and the daemons of a layout.
    pub fn start(layout: &Layout, config: &str, record: Record) -> std::io::Result<World> {
        let mut found = None;
        let offset = (targets::unix_ms() % u64::from(LAST_SUBNET - FIRST_SUBNET)) as u8;
        for step in 0..LAST_SUBNET - FIRST_SUBNET {
            let subnet = FIRST_SUBNET + (offset + step) % (LAST_SUBNET - FIRST_SUBNET);
            if let Ok(store) = Store::start(SocketAddrV4::new(
                Ipv4Addr::new(127, subnet, 9, 1),
                STORE_PORT,
            )) {
                found = Some((subnet, store));
                break;
            }
        }
        let (subnet, store) = found.ok_or_else(|| std::io::Error::other("no subnet is free"))?;
        let directory =
            std::env::temp_dir().join(format!("review-3-{}-{subnet}", std::process::id()));
        std::fs::create_dir_all(&directory)?;
        record.line(&format!(
            "daemons log to files in a temporary folder of process {}",
            std::process::id()
        ));
        let seeds = (0..layout.entries.len().min(3))
            .map(|i| entry_ip(subnet, layout, i))
            .collect();
        let shared = Shared {
            seeds,
            store: format!("127.{subnet}.9.1:{STORE_PORT}"),
            zones: ZONES.to_vec(),
            extra_bounds: layout.extra_bounds,
        };
        store.put("op/config", config);
        let seen = Arc::new(Mutex::new(Seen::default()));
        let mut world = World {
            store,
            entries: Vec::new(),
            agents: Vec::new(),
            targets: Vec::new(),
            seen,
            record,
            started: Instant::now(),
            subnet,
            directory,
            shared,
            longest_pause_ms: watch_pauses(),
        };
        for (service, zone) in &layout.targets {
            world.add_target(service, zone, layout)?;
        }
        for (index, zone) in layout.entries.iter().enumerate() {
            let ip = entry_ip(subnet, layout, index);
            world.add_daemon(format!("frontend-{zone}-{index}"), zone, ip, None)?;
        }
        Ok(world)
    }

    /// Starts a target and its agent.
    pub fn add_target(
        &mut self,
        service: &'static str,
        zone: &'static str,
        layout: &Layout,
    ) -> std::io::Result<()> {
        let index = self.targets.len();
        let ip = Ipv4Addr::new(127, self.subnet, zone_number(zone), 100 + index as u8);
        let spec = TargetSpec {
            id: format!("i-{}{index}", &service[..2]),
            service,
            zone,
            ip,
            slots: layout.slots,
            work_ms: layout.work_ms,
            cold_ms: layout.cold_ms,
        };
        self.targets
            .push(Target::start(spec, &self.store, &self.seen)?);
        self.add_daemon(format!("side-{zone}-{index}"), zone, ip, Some(service))
    }

    fn add_daemon(
        &mut self,
        name: String,
        zone: &'static str,
        ip: Ipv4Addr,
        service: Option<&'static str>,
    ) -> std::io::Result<()> {
        let place = Place {
            name,
            zone,
            ip,
            service,
        };
        let mut daemon = Daemon::new(place, &self.shared, &self.directory);
        daemon.start()?;
        match service {
            Some(_) => self.agents.push(daemon),
            None => self.entries.push(daemon),
        }
        Ok(())
    }

    /// Starts the clients of a zone.
    pub fn clients(&self, zone: &'static str) -> std::io::Result<Arc<clients::Clients>> {
        let entries = self.entries.iter().map(|entry| clients::Entry {
            ip: entry.place.ip,
            zone: entry.place.zone,
        });
        let ip = Ipv4Addr::new(127, self.subnet, zone_number(zone), 200);
        clients::Clients::start(ip, zone, entries.collect())
    }

    /// Waits until every entry is ready. Returns whether all were in time.
    pub fn await_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end {
            if self
                .entries
                .iter()
                .all(|entry| clients::is_ready(entry.place.ip))
            {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn sleep_ms(&self, ms: u64) {
        std::thread::sleep(Duration::from_millis(ms));
    }

    /// Returns whether the machine ran the case without a long pause.
    pub fn ran_in_time(&self) -> bool {
        let longest_ms = self.longest_pause_ms.load(Ordering::SeqCst);
        self.record
            .line(&format!("longest pause of the stand-ins: {longest_ms} ms"));
        longest_ms <= MAX_PAUSE_MS
    }
}

impl Drop for World {
    /// Ends all processes, and removes their settings and logs. These stay if `KEEP_LOGS` is set.
    fn drop(&mut self) {
        self.entries.clear();
        self.agents.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.directory);
        } else {
            eprintln!("logs: {}", self.directory.display());
        }
    }
}

/// Measures the longest time for which the machine didn't run the stand-ins.
fn watch_pauses() -> Arc<AtomicU64> {
    let longest_ms = Arc::new(AtomicU64::new(0));
    let measured = Arc::clone(&longest_ms);
    std::thread::spawn(move || {
        loop {
            let started = Instant::now();
            std::thread::sleep(Duration::from_millis(PAUSE_STEP_MS));
            let pause_ms = (started.elapsed().as_millis() as u64).saturating_sub(PAUSE_STEP_MS);
            measured.fetch_max(pause_ms, Ordering::SeqCst);
        }
    });
    longest_ms
}

fn zone_number(zone: &str) -> u8 {
    ZONES
        .iter()
        .position(|name| *name == zone)
        .map_or(0, |index| index as u8 + 1)
}

/// The addresses of a zone begin with its number, as in the settings that the pages show.
fn entry_ip(subnet: u8, layout: &Layout, index: usize) -> Ipv4Addr {
    Ipv4Addr::new(
        127,
        subnet,
        zone_number(layout.entries[index]),
        10 + index as u8,
    )
}

/// A route of the configuration: port, kind, time limit and service.
pub struct RouteSpec {
    pub port: u16,
    pub kind: &'static str,
    pub timeout_ms: u32,
    pub service: &'static str,
}

/// Address of all routes.
pub const SERVICE_IP: Ipv4Addr = Ipv4Addr::new(127, 18, 0, 1);

pub fn route_address(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(SERVICE_IP, port)
}

/// Returns the configuration as the operator writes it.
pub fn config(version: u32, routes: &[RouteSpec], services: &str) -> String {
    let routes = routes.iter().map(|route| {
        format!(
            "{{\"name\":\"r-{0}\",\"hostname\":\"{SERVICE_IP}\",\"prefix\":\"/{0}/\",\"routeType\":\"{1}\",\"timeoutMs\":{2},\"latencyGoalMs\":250,\"priority\":1,\"service\":\"{3}\",\"maxAttempts\":2}}",
            route.port, route.kind, route.timeout_ms, route.service
        )
    });
    let routes: Vec<String> = routes.collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{services}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: world CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let Ok(file) = File::create(path) else {
        eprintln!("can't write the record");
        return ExitCode::from(2);
    };
    let record = Record {
        file: Arc::new(Mutex::new(file)),
        started: Instant::now(),
    };
    record.line(&format!("case {case}, with the disruption: {has_trouble}"));
    let verdict = match case.as_str() {
        "drill" => case_drill::run(&record, has_trouble),
        "routes" => case_routes::run(&record, has_trouble),
        "evacuation" => case_evacuation::run(&record, has_trouble),
        "readers" => case_readers::run(&record, has_trouble),
        _ => Ok(Verdict::NotRun),
    };
    match verdict {
        Ok(Verdict::Held) => {
            record.line("verdict: the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.line("verdict: the rule was broken");
            ExitCode::from(1)
        }
        Ok(Verdict::NotRun) => {
            record.line("verdict: the case couldn't run");
            ExitCode::from(2)
        }
        Err(error) => {
            record.line(&format!("verdict: the case couldn't run: {error}"));
            ExitCode::from(2)
        }
    }
}
