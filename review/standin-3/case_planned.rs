//! Random planned work alone: restarts in turn, releases, evacuations and changes of the configuration.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::clients::{Clients, End};
use crate::{config, route_address, Layout, Record, RouteSpec, Verdict, World, ZONES};

struct Reset { at: Instant, client: std::net::SocketAddrV4, idle_ms: u64 }

struct Rng(u64);
impl Rng {
    fn next(&mut self, n: u64) -> u64 {
        self.0 ^= self.0 << 13; self.0 ^= self.0 >> 7; self.0 ^= self.0 << 17;
        (self.0 >> 11) % n
    }
}

pub fn run(record: &Record, _has_trouble: bool) -> std::io::Result<Verdict> {
    let seed: u64 = std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or(1);
    let length: u64 = std::env::var("LENGTH_S").ok().and_then(|s| s.parse().ok()).unwrap_or(40);
    let mut rng = Rng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    for _ in 0..10 { rng.next(2); }
    let layout = Layout {
        entries: vec!["wm-a", "wm-a", "wm-b", "wm-c"],
        targets: vec![("market-core", "wm-a"), ("market-core", "wm-a"), ("market-core", "wm-b"), ("market-core", "wm-b"), ("market-core", "wm-c"), ("ledger-docs", "wm-a"), ("ledger-docs", "wm-c")],
        slots: 2, work_ms: 15, cold_ms: 0, extra_bounds: "",
    };
    let services = "{\"name\":\"market-core\",\"healthCheckPath\":\"/health\",\"maxConnections\":2000,\"protocol\":\"h1\",\"tls\":false},{\"name\":\"ledger-docs\",\"healthCheckPath\":\"/health\",\"maxConnections\":2000,\"protocol\":\"h1\",\"tls\":false}";
    let routes = |extra: u16| {
        let mut routes = vec![
            RouteSpec { port: 8443, kind: "idempotent", timeout_ms: 1_000, service: "market-core" },
            RouteSpec { port: 8080, kind: "non_idempotent", timeout_ms: 1_200, service: "market-core" },
            RouteSpec { port: 9090, kind: "download", timeout_ms: 3_000, service: "ledger-docs" },
        ];
        routes.extend((0..extra).map(|i| RouteSpec { port: 10_000 + i, kind: "idempotent", timeout_ms: 1_000, service: "market-core" }));
        routes
    };
    let mut version = 7;
    let mut world = World::start(&layout, &config(version, &routes(0), services), record.clone())?;
    if !world.await_ready() { return Ok(Verdict::NotRun); }
    world.sleep_ms(2_000);
    let resets: Arc<Mutex<Vec<Reset>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for zone in ZONES {
        let clients = world.clients(zone)?;
        for index in 0..16u64 {
            let (clients, resets, is_over) = (Arc::clone(&clients), Arc::clone(&resets), Arc::clone(&is_over));
            let pause = [80, 300, 1_500, 4_000][(index % 4) as usize];
            let port = [8443, 8443, 9090][(index % 3) as usize];
            threads.push(std::thread::spawn(move || run_stream(&clients, &resets, &is_over, port, pause)));
        }
    }
    let end = Instant::now() + Duration::from_secs(length);
    let kills = std::env::var_os("KILLS").is_some();
    let mut extra = 0u16;
    let mut restarting_entry: Option<usize> = None;
    let mut restarting_agents: Vec<usize> = Vec::new();
    let mut gone: Vec<usize> = Vec::new();
    let mut leaving: Vec<(usize, Instant, bool)> = Vec::new();
    let mut evacuated: Option<(&str, Instant)> = None;
    let mut evacuations: Vec<(&str, Instant, Instant)> = Vec::new();
    let mut drained: Vec<(String, Instant)> = Vec::new();
    let mut ended_at: Vec<(String, Instant)> = Vec::new();
    let mut next_op = Instant::now();
    while Instant::now() < end {
        world.sleep_ms(10);
        if let Some(index) = restarting_entry {
            if world.entries[index].has_ended() { world.sleep_ms(rng.next(400)); world.entries[index].start()?; restarting_entry = None; }
        }
        let mut still = Vec::new();
        for index in restarting_agents.drain(..) {
            if world.agents[index].has_ended() { world.agents[index].start()?; } else { still.push(index); }
        }
        restarting_agents = still;
        let mut still = Vec::new();
        for (index, at, told) in leaving.drain(..) {
            if !told && at.elapsed() > Duration::from_millis(3_400) {
                world.targets[index].stop();
                ended_at.push((world.targets[index].id.clone(), Instant::now()));
                world.agents[index].terminate();
                still.push((index, at, true));
            } else if told && world.agents[index].has_ended() {
                gone.push(index);
            } else { still.push((index, at, told)); }
        }
        leaving = still;
        if Instant::now() < next_op { continue; }
        next_op = Instant::now() + Duration::from_millis(100 + rng.next(900));
        match rng.next(8) {
            0 if kills && restarting_entry.is_none() => {
                let index = rng.next(world.entries.len() as u64) as usize;
                record.line(&format!("kill {}", world.entries[index].place.name));
                world.entries[index].kill();
                restarting_entry = Some(index);
            }
            0 | 1 if restarting_entry.is_none() => {
                let index = rng.next(world.entries.len() as u64) as usize;
                record.line(&format!("restart {}", world.entries[index].place.name));
                world.entries[index].terminate();
                restarting_entry = Some(index);
            }
            2 | 3 if restarting_agents.len() < 2 => {
                let index = rng.next(world.agents.len() as u64) as usize;
                if gone.contains(&index) || leaving.iter().any(|l| l.0 == index && l.2) || restarting_agents.contains(&index) { continue; }
                record.line(&format!("restart {}", world.agents[index].place.name));
                world.agents[index].terminate();
                restarting_agents.push(index);
            }
            4 if leaving.is_empty() => {
                let index = rng.next(world.targets.len() as u64) as usize;
                if gone.contains(&index) || restarting_agents.contains(&index) || world.targets.len() > 40 { continue; }
                let (service, zone) = (world.targets[index].service, world.targets[index].zone);
                record.line(&format!("release: {} is replaced", world.targets[index].id));
                world.add_target(service, zone, &layout)?;
                world.sleep_ms(300);
                let at = world.targets[index].drain();
                drained.push((world.targets[index].id.clone(), at));
                leaving.push((index, at, false));
            }
            5 | 6 => match evacuated.take() {
                None => {
                    let zone = ZONES[rng.next(3) as usize];
                    record.line(&format!("evacuate {zone}"));
                    evacuated = Some((zone, world.store.put(&format!("op/evacuate/{zone}"), "{}")));
                }
                Some((zone, at)) => {
                    record.line(&format!("{zone} is taken back"));
                    world.store.remove(&format!("op/evacuate/{zone}"));
                    evacuations.push((zone, at, Instant::now()));
                }
            },
            _ => {
                version += 2;
                extra = rng.next(30) as u16;
                record.line(&format!("config {version}"));
                world.store.put("op/config", &config(version, &routes(extra), services));
            }
        }
    }
    let _ = extra;
    is_over.store(true, Ordering::SeqCst);
    threads.into_iter().for_each(|thread| drop(thread.join()));
    let seen = world.seen.lock().unwrap();
    let resets = resets.lock().unwrap();
    let mut broken = 0;
    for reset in resets.iter() {
        let target = seen.open_flows.get(&reset.client).cloned().unwrap_or_default();
        let has_ended = ended_at.iter().any(|(id, at)| *id == target && *at < reset.at);
        broken += u32::from(!has_ended);
        record.line(&format!("{}open flow of {} at {target} was reset at {:?} idle {} ms", if has_ended { "" } else { "BROKEN: " }, reset.client, reset.at.duration_since(record.started()), reset.idle_ms));
    }
    for opening in &seen.openings {
        if let Some((_, at)) = drained.iter().find(|(id, _)| *id == opening.target) {
            if opening.at.saturating_duration_since(*at) > Duration::from_millis(3_000) { broken += 1; record.line(&format!("BROKEN DRAIN {}", opening.target)); }
        }
        let zone = world.targets.iter().find(|t| t.id == opening.target).map_or("", |t| t.zone);
        for (z, from, to) in &evacuations {
            if *z == zone && opening.at < *to && opening.at.saturating_duration_since(*from) > Duration::from_millis(5_000) { broken += 1; record.line(&format!("BROKEN EVAC {}", opening.target)); }
        }
    }
    record.line(&format!("{} flows were opened, {} of them reset, {broken} broken; {} requests ran", seen.open_flows.len(), resets.len(), seen.runs.len()));
    seen.faults.iter().for_each(|fault| record.line(fault));
    let verdict = if broken > 0 || !seen.faults.is_empty() { Verdict::Broken } else { Verdict::Held };
    drop((seen, resets));
    Ok(verdict)
}

fn run_stream(clients: &Clients, resets: &Mutex<Vec<Reset>>, is_over: &AtomicBool, port: u16, pause_ms: u64) {
    while !is_over.load(Ordering::SeqCst) {
        let Ok(mut flow) = clients.open(route_address(port)) else { continue };
        let mut last = Instant::now();
        while !is_over.load(Ordering::SeqCst) && flow.opened_at.elapsed() < Duration::from_secs(50) {
            match clients.request(&mut flow, 3_000).1 {
                End::Done => { last = Instant::now(); std::thread::sleep(Duration::from_millis(pause_ms)) }
                End::Reset => {
                    resets.lock().unwrap().push(Reset { at: Instant::now(), client: flow.client, idle_ms: last.elapsed().as_millis() as u64 });
                    break;
                }
                End::Unanswered => break,
            }
        }
        clients.close(&flow);
    }
}
