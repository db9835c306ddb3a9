//! Entries are restarted in turn while the store comes back from a copy that lacks new targets.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::clients::{Clients, End};
use crate::{Layout, Record, RouteSpec, Verdict, World, ZONES, config, route_address};

const PORT: u16 = 8443;
const STREAMS_PER_ZONE: usize = 30;
const FLOW_MS: u64 = 4_000;
/// Time between the end of a process and its restart.
const RESTART_MS: u64 = 500;
/// Time from the return of the store to the start of the entry.
const RETURN_MS: u64 = 150;
const AWAY_MS: u64 = 300;

struct Reset {
    at: Instant,
    opened_at: Instant,
    client: std::net::SocketAddrV4,
}

pub fn run(record: &Record, has_trouble: bool) -> std::io::Result<Verdict> {
    let layout = Layout {
        entries: vec!["wm-a", "wm-a", "wm-b", "wm-c"],
        targets: vec![
            ("market-core", "wm-a"),
            ("market-core", "wm-b"),
            ("market-core", "wm-c"),
        ],
        slots: 4,
        work_ms: 10,
        cold_ms: 0,
        extra_bounds: "",
    };
    let routes = [RouteSpec {
        port: PORT,
        kind: "idempotent",
        timeout_ms: 1_000,
        service: "market-core",
    }];
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
            let (clients, resets, is_over) = (
                Arc::clone(&clients),
                Arc::clone(&resets),
                Arc::clone(&is_over),
            );
            threads.push(std::thread::spawn(move || {
                run_stream(&clients, &resets, &is_over)
            }));
        }
    }
    world.sleep_ms(1_000);
    for index in [0, 2, 3, 1, 0, 2] {
        let copy = world.store.copy();
        record.line("a copy of the store is taken");
        world.add_target("market-core", ZONES[index % 3], &layout)?;
        world.sleep_ms(2_500);
        record.line(&format!(
            "{} is told to stop",
            world.entries[index].place.name
        ));
        world.entries[index].terminate();
        while !world.entries[index].has_ended() {
            world.sleep_ms(5);
        }
        if has_trouble {
            world.store.go_away();
            record.line("the store is away");
            world.sleep_ms(AWAY_MS);
            world.store.come_back_from(copy);
            record.line("the store is back from the copy");
        } else {
            world.sleep_ms(AWAY_MS);
        }
        world.sleep_ms(RETURN_MS.max(RESTART_MS - AWAY_MS));
        world.entries[index].start()?;
        record.line(&format!("{} starts again", world.entries[index].place.name));
        world.sleep_ms(4_500);
    }
    is_over.store(true, Ordering::SeqCst);
    threads.into_iter().for_each(|thread| drop(thread.join()));
    let seen = world.seen.lock().unwrap();
    let resets = resets.lock().unwrap();
    for reset in resets.iter() {
        let target = seen
            .open_flows
            .get(&reset.client)
            .cloned()
            .unwrap_or_default();
        record.line(&format!(
            "open flow of {} at {target}, which lives, was reset at {} ms, {} ms after it was opened",
            reset.client,
            reset.at.duration_since(record.started()).as_millis(),
            reset.at.duration_since(reset.opened_at).as_millis()
        ));
    }
    record.line(&format!(
        "{} flows were opened, {} of them reset; {} requests ran",
        seen.open_flows.len(),
        resets.len(),
        seen.runs.len()
    ));
    seen.faults.iter().for_each(|fault| record.line(fault));
    Ok(match (seen.open_flows.len(), resets.len()) {
        (0..100, _) => Verdict::NotRun,
        _ if !world.ran_in_time() => Verdict::NotRun,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    })
}

fn run_stream(clients: &Clients, resets: &Mutex<Vec<Reset>>, is_over: &AtomicBool) {
    while !is_over.load(Ordering::SeqCst) {
        let Ok(mut flow) = clients.open(route_address(PORT)) else {
            continue;
        };
        while !is_over.load(Ordering::SeqCst)
            && flow.opened_at.elapsed() < Duration::from_millis(FLOW_MS)
        {
            match clients.request(&mut flow, 1_000).1 {
                End::Done => std::thread::sleep(Duration::from_millis(80)),
                End::Reset => {
                    resets.lock().unwrap().push(Reset {
                        at: Instant::now(),
                        opened_at: flow.opened_at,
                        client: flow.client,
                    });
                    break;
                }
                End::Unanswered => break,
            }
        }
        clients.close(&flow);
    }
}
