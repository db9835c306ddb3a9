//! Targets go down and up by turns, and are cold after each start.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::clients::Clients;
use crate::{config, route_address, Layout, Record, RouteSpec, Verdict, World, ZONES};

const PORT: u16 = 8080;
const COLD_MS: u64 = 4_000;
const COLD_PER_S: f64 = 10.0;
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;
const PERIOD_MS: u64 = 5_500;
const FLAPS_MS: u64 = 20_000;
const CLIENTS_PER_ZONE: usize = 20;

pub fn run(record: &Record, has_trouble: bool) -> std::io::Result<Verdict> {
    let targets = ["wm-a", "wm-a", "wm-b", "wm-b", "wm-c", "wm-c", "wm-c"];
    let layout = Layout {
        entries: vec!["wm-a", "wm-a", "wm-b", "wm-c"],
        targets: targets.iter().map(|zone| ("market-core", *zone)).collect(),
        slots: 4,
        work_ms: 33,
        cold_ms: COLD_MS,
        extra_bounds: "warmupOverage = 1.5\nwarmupSlack = 5\nevacuationMs = 5000\n",
    };
    let routes = [RouteSpec { port: PORT, kind: "non_idempotent", timeout_ms: 1_200, service: "market-core" }];
    let services = format!("{{\"name\":\"market-core\",\"healthCheckPath\":\"/health\",\"maxConnections\":2000,\"protocol\":\"h1\",\"tls\":false,\"warmupS\":{},\"warmupPerS\":{COLD_PER_S}}}", COLD_MS / 1_000);
    let world = World::start(&layout, &config(7, &routes, &services), record.clone())?;
    if !world.await_ready() {
            return Ok(Verdict::NotRun);
    }
    world.sleep_ms(COLD_MS + 1_000);
    let is_over = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for zone in ZONES {
        let clients = world.clients(zone)?;
        for _ in 0..CLIENTS_PER_ZONE {
            let (clients, is_over) = (Arc::clone(&clients), Arc::clone(&is_over));
            threads.push(std::thread::spawn(move || run_client(&clients, &is_over)));
        }
    }
    world.sleep_ms(3_000);
    let target = Arc::clone(&world.targets[0]);
    let down_ms: u64 = std::env::var("DOWN").ok().and_then(|s| s.parse().ok()).unwrap_or(PERIOD_MS / 2);
    let began = Instant::now();
    let mut starts = Vec::new();
    while has_trouble && began.elapsed() < Duration::from_millis(FLAPS_MS) {
        target.stop();
        record.line(&format!("{} goes down", target.id));
        world.sleep_ms(down_ms);
        target.start_again();
        starts.push(Instant::now());
        record.line(&format!("{} is up again, and cold", target.id));
        world.sleep_ms(PERIOD_MS - down_ms);
    }
    world.sleep_ms(4_000);
    is_over.store(true, Ordering::SeqCst);
    threads.into_iter().for_each(|thread| drop(thread.join()));
    let limit = COLD_PER_S * OVERAGE + SLACK;
    let seen = world.seen.lock().unwrap();
    let cold: Vec<Instant> = seen.openings.iter().filter(|o| o.target == target.id)
        .filter(|o| starts.iter().any(|s| o.at >= *s && o.at.duration_since(*s) < Duration::from_millis(COLD_MS)))
        .map(|o| o.at).collect();
    let mut most = 0;
    for (first, at) in cold.iter().enumerate() {
        let within = cold[first..].iter().take_while(|other| other.duration_since(*at) < Duration::from_secs(1)).count();
        most = most.max(within);
    }
    record.line(&format!("{} openings in all, {} at {} while it was cold, at most {most} of them in one second; the limit is {limit}", seen.openings.len(), cold.len(), target.id));
    seen.faults.iter().for_each(|fault| record.line(fault));
    let is_broken = most as f64 > limit;
    let has_run = seen.openings.len() > 500;
    drop(seen);
    Ok(match (has_run, is_broken) {
        (false, _) => Verdict::NotRun,
        (true, true) => Verdict::Broken,
        (true, false) => Verdict::Held,
    })
}

fn run_client(clients: &Clients, is_over: &AtomicBool) {
    while !is_over.load(Ordering::SeqCst) {
        if let Ok(mut flow) = clients.open(route_address(PORT)) {
            clients.request(&mut flow, 1_200);
            clients.close(&flow);
        }
        std::thread::sleep(Duration::from_millis(150));
    }
}
