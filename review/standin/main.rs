//! The cases of the review that are scripts. `standin CASE RECORD` exits with 1 if the rule was
//! broken, 0 if it held and 2 if the case couldn't run.

mod world;

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use world::Answer;
use world::RESTART_DELAY_MS;
use world::SIGTERM;
use world::World;
use world::config;
use world::has_trouble;
use world::sleep_ms;

const STABILITY_WINDOW_MS: u64 = 4_000;
const CONFIG_APPLY_MS: u64 = 3_000;
const GRACE_MS: u64 = 6_000;

enum Verdict {
    Broken,
    Held,
    NotRun(&'static str),
}

const fn route(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 250, 0, 1), port)
}

/// Time after which a script gives up.
const MAX_SCRIPT_MS: u64 = 100_000;

fn main() -> ExitCode {
    world::handle_signals();
    std::panic::set_hook(Box::new(|panic| {
        eprintln!("the case couldn't run: {panic}");
        world::abort_script();
    }));
    std::thread::spawn(|| {
        sleep_ms(MAX_SCRIPT_MS);
        eprintln!("the case couldn't run: it took too long");
        world::abort_script();
    });
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let path = PathBuf::from(arguments.next().unwrap_or_else(|| "record.txt".into()));
    let program = Path::new("target/release/fescueshift-passthrough");
    if !program.exists() {
        eprintln!("{} is not built", program.display());
        return ExitCode::from(2);
    }
    let play: fn(&mut World) -> Verdict = match case.as_str() {
        "drain" => drain,
        "port-reuse" => port_reuse,
        _ => return ExitCode::from(2),
    };
    let (entries, services): (usize, &[&str]) = match case.as_str() {
        "port-reuse" => (2, &["s-one", "s-two"]),
        _ => (2, &["s-one", "s-one", "s-one"]),
    };
    let first = config(3, &[(route(443), "s-one"), (route(8443), "s-one")], &["s-one", "s-two"]);
    let mut world = World::start(entries, services, first, program);
    let verdict = match world.is_ready() {
        true => play(&mut world),
        false => Verdict::NotRun("the entries didn't become ready"),
    };
    let (text, status) = match verdict {
        Verdict::Broken => ("the rule was broken".to_owned(), 1),
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::NotRun(why) => (format!("the case couldn't run: {why}"), 2),
    };
    world.record.add(&text);
    println!("{case}: {text}");
    if std::env::var_os("SHOW_LOGS").is_some() {
        for daemon in world.entries.iter().chain(&world.agents) {
            println!("--- {}\n{}", daemon.name, daemon.log());
        }
    }
    world.end(&path);
    ExitCode::from(status)
}

/// The node beside a draining target is restarted while the routers move a flow to another entry.
fn drain(world: &mut World) -> Verdict {
    sleep_ms(STABILITY_WINDOW_MS + 500);
    let clients = Arc::clone(&world.clients);
    let (first, second) = (world.entry_ip(0), world.entry_ip(1));
    let Ok(mut open) = clients.open(5001, route(443), first) else {
        return Verdict::NotRun("the flow didn't open");
    };
    let (_, answer) = clients.request(&mut open, first, false, 2_000);
    let Some(holder) = world.holder(open.flow).filter(|_| answer != Answer::Silence) else {
        return Verdict::NotRun("the first request wasn't answered");
    };
    world.record.add("entry-1 gets SIGTERM (roll_term); the routers take it out of the rotation");
    world.entries[0].signal(SIGTERM);
    world.targets[holder].drain();
    sleep_ms(1_000);
    if has_trouble() {
        let agent = &mut world.agents[holder];
        world.record.add(format!("{} gets SIGTERM (roll_term)", agent.name));
        agent.signal(SIGTERM);
        agent.wait_for_end(GRACE_MS);
        world.record.add(format!("{} has ended; it is started again in {RESTART_DELAY_MS} ms", agent.name));
    }
    let target = Arc::clone(&world.targets[holder]);
    let asked = std::thread::spawn(move || {
        let (_, answer) = clients.request(&mut open, second, false, 3_000);
        (answer, target.holds(open.flow))
    });
    if has_trouble() {
        sleep_ms(RESTART_DELAY_MS);
        world.agents[holder].spawn();
        world.record.add(format!("{} is started again", world.agents[holder].name));
    }
    let (answer, is_held) = asked.join().unwrap();
    world.record.add(format!("the target still holds the flow: {is_held}"));
    match answer {
        Answer::Reset if is_held => Verdict::Broken,
        _ => Verdict::Held,
    }
}

/// A client's port is used again for a new flow after the route was removed and added again for
/// another service.
fn port_reuse(world: &mut World) -> Verdict {
    sleep_ms(STABILITY_WINDOW_MS + 500);
    let clients = Arc::clone(&world.clients);
    let (first, second) = (world.entry_ip(0), world.entry_ip(1));
    let opened_through = if has_trouble() { first } else { second };
    let Ok(mut open) = clients.open(5001, route(443), opened_through) else {
        return Verdict::NotRun("the flow didn't open");
    };
    clients.request(&mut open, opened_through, false, 2_000);
    world.record.add("entry-1 gets SIGTERM (roll_term); the routers move its flows to entry-2");
    world.entries[0].signal(SIGTERM);
    sleep_ms(1_200);
    let (_, answer) = clients.request(&mut open, second, false, 3_000);
    if answer == Answer::Silence {
        return Verdict::NotRun("the moved flow isn't served");
    }
    clients.request(&mut open, second, true, 2_000);
    if !open.is_closed_by_target {
        return Verdict::NotRun("the target didn't close the flow");
    }
    clients.close(&mut open, second);
    let services = ["s-one", "s-two"];
    world.store.put("op/config", config(9, &[(route(8443), "s-one")], &services));
    world.record.add("version 9 is acknowledged: route 443 is removed");
    sleep_ms(1_000);
    let routes = [(route(443), "s-two"), (route(8443), "s-one")];
    world.store.put("op/config", config(14, &routes, &services));
    world.record.add("version 14 is acknowledged: route 443 is added and leads to s-two");
    sleep_ms(CONFIG_APPLY_MS + 500);
    let Ok(mut again) = clients.open(5001, route(443), second) else {
        return Verdict::Held;
    };
    let (id, _) = clients.request(&mut again, second, false, 2_000);
    let ran = world.targets.iter().find(|target| target.has_run(&id));
    match ran {
        Some(target) if target.service == "s-one" => Verdict::Broken,
        Some(_) => Verdict::Held,
        None => Verdict::NotRun("the new request didn't run"),
    }
}
