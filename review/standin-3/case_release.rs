//! Targets are added while two entries of a zone are restarted.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::clients::{Clients, End};
use crate::{config, route_address, Layout, Record, RouteSpec, Verdict, World, ZONES};

const PORT: u16 = 8443;
const STREAMS_PER_ZONE: usize = 40;
const RESTART_MS: u64 = 500;
const ROUNDS: u64 = 8;

struct Reset {
    at: Instant,
    opened_at: Instant,
    client: std::net::SocketAddrV4,
}

pub fn run(record: &Record, has_trouble: bool) -> std::io::Result<Verdict> {
    let layout = Layout {
        entries: vec!["wm-a", "wm-b", "wm-c", "wm-a"],
        targets: vec![("market-core", "wm-a"), ("market-core", "wm-b"), ("market-core", "wm-c")],
        slots: 4,
        work_ms: 10,
        cold_ms: 0,
        extra_bounds: "",
    };
    let routes = [RouteSpec { port: PORT, kind: "idempotent", timeout_ms: 1_000, service: "market-core" }];
    let services = "{\"name\":\"market-core\",\"healthCheckPath\":\"/health\",\"maxConnections\":2000,\"protocol\":\"h1\",\"tls\":false}";
    let mut world = World::start(&layout, &config(7, &routes, services), record.clone())?;
    if !world.await_ready() {
            return Ok(Verdict::NotRun);
    }
    world.sleep_ms(3_000);
    let resets: Arc<Mutex<Vec<Reset>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for zone in ZONES {
        let clients = world.clients(zone)?;
        for _ in 0..STREAMS_PER_ZONE {
            let (clients, resets, is_over) = (Arc::clone(&clients), Arc::clone(&resets), Arc::clone(&is_over));
            threads.push(std::thread::spawn(move || run_stream(&clients, &resets, &is_over)));
        }
    }
    world.sleep_ms(1_500);
    let lead: u64 = std::env::var("LEAD").ok().and_then(|s| s.parse().ok()).unwrap_or(100);
    for round in 0..ROUNDS {
        if has_trouble {
            for index in [0, 3] {
                world.entries[index].terminate();
            }
            while !(world.entries[0].has_ended() && world.entries[3].has_ended()) {
                world.sleep_ms(5);
            }
        }
        world.sleep_ms(RESTART_MS - lead);
        world.add_target("market-core", ZONES[(round % 3) as usize], &layout)?;
        record.line(&format!("target {} starts", world.targets[world.targets.len() - 1].id));
        world.sleep_ms(lead);
        if has_trouble {
            for index in [0, 3] {
                world.entries[index].start()?;
            }
            record.line("two entries start again");
        }
        world.sleep_ms(1_500);
    }
    is_over.store(true, Ordering::SeqCst);
    threads.into_iter().for_each(|thread| drop(thread.join()));
    let seen = world.seen.lock().unwrap();
    let resets = resets.lock().unwrap();
    for reset in resets.iter() {
        let target = seen.open_flows.get(&reset.client).cloned().unwrap_or_default();
        record.line(&format!("open flow of {} at {target}, which lives, was reset at {:?}, {} ms after it was opened", reset.client, reset.at.duration_since(record.started()), reset.at.duration_since(reset.opened_at).as_millis()));
    }
    record.line(&format!("{} flows were opened, {} of them reset; {} requests ran", seen.open_flows.len(), resets.len(), seen.runs.len()));
    seen.faults.iter().for_each(|fault| record.line(fault));
    let verdict = match (seen.open_flows.len(), resets.len()) {
        (0..100, _) => Verdict::NotRun,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    };
    drop((seen, resets));
    Ok(verdict)
}

fn run_stream(clients: &Clients, resets: &Mutex<Vec<Reset>>, is_over: &AtomicBool) {
    while !is_over.load(Ordering::SeqCst) {
        let Ok(mut flow) = clients.open(route_address(PORT)) else { continue };
        while !is_over.load(Ordering::SeqCst) && flow.opened_at.elapsed() < Duration::from_millis(1_500) {
            match clients.request(&mut flow, 1_000).1 {
                End::Done => std::thread::sleep(Duration::from_millis(50)),
                End::Reset => {
                    resets.lock().unwrap().push(Reset { at: Instant::now(), opened_at: flow.opened_at, client: flow.client });
                    break;
                }
                End::Unanswered => break,
            }
        }
        clients.close(&flow);
    }
}
