//! The store comes back from a copy that lacks an evacuation, which the operator writes again later.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::clients::Clients;
use crate::{Layout, Record, RouteSpec, Verdict, World, ZONES, config, route_address};

const PORT: u16 = 8080;
const ZONE: &str = "wm-b";
const KEY: &str = "op/evacuate/wm-b";
const EVACUATION_MS: u64 = 5_000;
const STABILITY_WINDOW_MS: u64 = 4_000;
const AWAY_MS: u64 = 300;
/// Time from the store's return until the operator has written the request again.
const REWRITE_MS: u64 = 6_000;
const CLIENTS_PER_ZONE: usize = 10;

struct Opened {
    client: std::net::SocketAddrV4,
    sent_at: Instant,
}

pub fn run(record: &Record, has_trouble: bool) -> std::io::Result<Verdict> {
    let targets = ["wm-a", "wm-a", "wm-b", "wm-b", "wm-c", "wm-c"];
    let layout = Layout {
        entries: vec!["wm-a", "wm-a", "wm-b", "wm-c"],
        targets: targets.iter().map(|zone| ("market-core", *zone)).collect(),
        slots: 4,
        work_ms: 20,
        cold_ms: 0,
        extra_bounds: "warmupOverage = 1.5\nwarmupSlack = 5\nevacuationMs = 5000\n",
    };
    let routes = [RouteSpec {
        port: PORT,
        kind: "non_idempotent",
        timeout_ms: 1_200,
        service: "market-core",
    }];
    let services = "{\"name\":\"market-core\",\"healthCheckPath\":\"/health\",\"maxConnections\":2000,\"protocol\":\"h1\",\"tls\":false}";
    let world = World::start(&layout, &config(7, &routes, services), record.clone())?;
    if !world.await_ready() {
        return Ok(Verdict::NotRun);
    }
    world.sleep_ms(3_000);
    let opened: Arc<Mutex<Vec<Opened>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for zone in ZONES {
        let clients = world.clients(zone)?;
        for _ in 0..CLIENTS_PER_ZONE {
            let (clients, opened, is_over) = (
                Arc::clone(&clients),
                Arc::clone(&opened),
                Arc::clone(&is_over),
            );
            threads.push(std::thread::spawn(move || {
                run_client(&clients, &opened, &is_over);
            }));
        }
    }
    world.sleep_ms(2_000);
    let copy = world.store.copy();
    record.line("a copy of the store is taken");
    world.sleep_ms(1_000);
    let accepted_at = world.store.put(KEY, "{}");
    record.line(&format!("{KEY} is written, and the store accepts it"));
    world.sleep_ms(6_000);
    let mut stable_at = accepted_at;
    if has_trouble {
        world.store.go_away();
        record.line("the store is away");
        world.sleep_ms(AWAY_MS);
        world.store.come_back_from(copy);
        record.line("the store is back from the copy");
        stable_at = Instant::now() + Duration::from_millis(STABILITY_WINDOW_MS);
        world.sleep_ms(REWRITE_MS);
        world.store.put(KEY, "{}");
        record.line(&format!("{KEY} is written again"));
    } else {
        world.sleep_ms(AWAY_MS + REWRITE_MS);
    }
    let ends_at = Instant::now();
    world.sleep_ms(2_000);
    is_over.store(true, Ordering::SeqCst);
    threads.into_iter().for_each(|thread| drop(thread.join()));
    let judged_from = stable_at.max(accepted_at + Duration::from_millis(EVACUATION_MS));
    let seen = world.seen.lock().unwrap();
    let opened = opened.lock().unwrap();
    let is_in_zone = |id: &str| {
        let target = world.targets.iter().find(|target| target.id == id);
        target.is_some_and(|target| target.zone == ZONE)
    };
    let (mut before, mut broken) = (0, 0);
    for opening in seen.openings.iter().filter(|o| is_in_zone(&o.target)) {
        before += u32::from(opening.at < accepted_at);
        let flow = opened.iter().find(|flow| flow.client == opening.client);
        let is_judged = opening.at < ends_at && flow.is_some_and(|f| f.sent_at >= judged_from);
        broken += u32::from(is_judged);
        if is_judged && broken <= 5 {
            record.line(&format!(
                "opening of {} reached {} in {ZONE} {} ms after the store accepted the evacuation",
                opening.client,
                opening.target,
                opening.at.duration_since(accepted_at).as_millis()
            ));
        }
    }
    record.line(&format!(
        "{} openings in all, {before} in {ZONE} before the evacuation, {broken} there that break the rule",
        seen.openings.len()
    ));
    seen.faults.iter().for_each(|fault| record.line(fault));
    Ok(match (before, broken) {
        (0..20, _) => Verdict::NotRun,
        _ if !world.ran_in_time() => Verdict::NotRun,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    })
}

fn run_client(clients: &Clients, opened: &Mutex<Vec<Opened>>, is_over: &AtomicBool) {
    while !is_over.load(Ordering::SeqCst) {
        if let Ok(mut flow) = clients.open(route_address(PORT)) {
            opened.lock().unwrap().push(Opened {
                client: flow.client,
                sent_at: flow.sent_at,
            });
            clients.request(&mut flow, 1_200);
            clients.close(&flow);
        }
        std::thread::sleep(Duration::from_millis(80));
    }
}
