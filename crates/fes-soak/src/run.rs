//! One soak from start to end.

use std::cell::RefCell;
use std::path::PathBuf;
use std::rc::Rc;

use fes_adapter::stand_in::encode_routes;
use fes_adapter::stand_in::routes_key;
use fes_passthrough::FlowRequirements;
use fes_passthrough::FlowUse;
use fes_passthrough::Route;
use fes_passthrough::RouteSet;
use rustix::process::Signal;
use tokio::time::Duration;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::clients::Clients;
use crate::fleet::Daemon;
use crate::fleet::DaemonId;
use crate::network::Network;
use crate::network::SERVICE;
use crate::network::once_destination;
use crate::network::stream_destination;
use crate::plan::Fault;
use crate::plan::Step;
use crate::plan::draw;
use crate::record::Record;
use crate::relay::Relay;
use crate::store::Store;
use crate::store::StoreMode;
use crate::targets::Target;

const STREAM_PAUSE_MS: u64 = 150;
const ONCE_PAUSE_MS: u64 = 50;
const START_MS: u64 = 2_500;
/// All is mended for this long before the end: time to recover, and then to be judged.
const CALM_MS: u64 = 8_000;
const JUDGED_MS: u64 = 3_000;
const STEP_MS: u64 = 10;
const ROUTES_VERSION: u64 = 100;
const LATENCY_GOAL_MS: u32 = 200;
const TIMEOUT_MS: u32 = 2_000;
const IDLE_TIMEOUT_MS: u64 = 15_000;

/// What a soak runs.
#[derive(Debug, Clone)]
pub struct SoakOptions {
    /// Seed of the faults.
    pub seed: u64,
    /// The daemons' program.
    pub program: PathBuf,
    /// Entries.
    pub entries: usize,
    /// Targets, each with an agent.
    pub targets: usize,
    /// Streams, and as many clients that open a flow for each request.
    pub clients: usize,
    /// Time with faults, in milliseconds.
    pub faults_ms: u64,
    /// Folder for the logs of the daemons.
    pub directory: PathBuf,
}

/// What a soak saw.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Seed of the faults.
    pub seed: u64,
    /// Faults injected.
    pub faults: usize,
    /// Requests answered.
    pub answered: usize,
    /// Requests that got no answer.
    pub failed: usize,
    /// Open flows that were reset.
    pub resets: usize,
    /// Requests sent in the last part, and those of them that were answered.
    pub last_part: (usize, usize),
    /// Broken promises.
    pub violations: Vec<String>,
}

struct Soak {
    daemons: Vec<(DaemonId, Daemon)>,
    store: Rc<Store>,
    targets: Vec<Rc<Target>>,
    clients: Rc<Clients>,
    relay: Rc<Relay>,
    record: Rc<RefCell<Record>>,
    routes_version: u64,
}

/// Runs a soak on the current arbiter.
///
/// # Errors
///
/// Returns the system's error if a stand-in or a daemon can't be started.
pub async fn run(options: &SoakOptions) -> std::io::Result<Report> {
    let mut soak = start(options).await?;
    sleep(Duration::from_millis(START_MS)).await;
    for _ in 0..options.clients {
        actix_rt::spawn(Rc::clone(&soak.clients).run_stream(STREAM_PAUSE_MS));
        actix_rt::spawn(Rc::clone(&soak.clients).run_once(ONCE_PAUSE_MS));
    }
    let steps = draw(
        options.seed,
        options.entries,
        options.targets,
        options.faults_ms,
    );
    soak.play(&steps, options.faults_ms).await?;
    Ok(soak.judge(options.seed, steps.len()))
}

async fn start(options: &SoakOptions) -> std::io::Result<Soak> {
    let network = Network {
        subnet: u8::try_from(std::process::id() % 200).unwrap_or(0) + 20,
    };
    let record = Rc::new(RefCell::new(Record::default()));
    let store = Store::start(network.store()).await?;
    store.put(routes_key(), routes(ROUTES_VERSION));
    let mut targets = Vec::new();
    for index in 0..options.targets {
        let target = Target::start(index, network, Rc::clone(&store), Rc::clone(&record));
        targets.push(target.await?);
    }
    let clients = Clients::start(network, options.entries, Rc::clone(&record)).await?;
    let places = (0..options.entries)
        .map(DaemonId::Entry)
        .chain((0..options.targets).map(DaemonId::Agent));
    let relay = Relay::start(network, places.clone()).await?;
    let mut daemons = Vec::new();
    for place in places {
        let (program, folder) = (&options.program, &options.directory);
        let daemon = Daemon::start(place, network, options.entries, program, folder)?;
        daemons.push((place, daemon));
    }
    Ok(Soak {
        daemons,
        store,
        targets,
        clients,
        relay,
        record,
        routes_version: ROUTES_VERSION,
    })
}

impl Soak {
    async fn play(&mut self, steps: &[Step], faults_ms: u64) -> std::io::Result<()> {
        let started = Instant::now();
        let mut begun = 0;
        let mut mends: Vec<(u64, Fault)> = Vec::new();
        let last_part_ms = faults_ms + CALM_MS - JUDGED_MS;
        loop {
            let now_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
            while let Some(step) = steps.get(begun).filter(|step| step.at_ms <= now_ms) {
                self.inject(step.fault);
                mends.push((step.until_ms.min(faults_ms), step.fault));
                begun += 1;
            }
            let (due, later) = mends.into_iter().partition(|(at_ms, _)| *at_ms <= now_ms);
            mends = later;
            let due: Vec<(u64, Fault)> = due;
            for (_, fault) in due {
                self.mend(fault)?;
            }
            self.look_after_processes();
            self.clients.is_last_part.set(now_ms >= last_part_ms);
            if now_ms >= faults_ms + CALM_MS {
                self.clients.is_over.set(true);
                return Ok(());
            }
            sleep(Duration::from_millis(STEP_MS)).await;
        }
    }

    fn inject(&mut self, fault: Fault) {
        self.disturb(fault);
        match fault {
            Fault::Kill(place) => self.signal(place, Signal::KILL),
            Fault::Terminate(place) => self.signal(place, Signal::TERM),
            Fault::Pause(place) => self.signal(place, Signal::STOP),
            Fault::Reload(place) => self.signal(place, Signal::HUP),
            Fault::KillAll => {
                for (_, daemon) in &mut self.daemons {
                    daemon.signal(Signal::KILL);
                }
            }
            Fault::Store(mode) => self.store.mode.set(mode),
            Fault::DropHistory => self.store.drop_history(),
            Fault::Crash(target) => self.targets[target].crash(),
            Fault::Loss(percent) => self.clients.loss_percent.set(percent),
            Fault::Link(fault) => self.relay.start_fault(fault),
            Fault::Configure => {
                self.routes_version += 3;
                self.store.put(routes_key(), routes(self.routes_version));
            }
        }
    }

    fn mend(&mut self, fault: Fault) -> std::io::Result<()> {
        self.disturb(fault);
        match fault {
            Fault::Pause(place) => self.signal(place, Signal::CONT),
            Fault::Store(_) => self.store.mode.set(StoreMode::Up),
            Fault::Crash(target) => self.targets[target].restart(),
            Fault::Loss(_) => self.clients.loss_percent.set(0),
            Fault::Link(fault) => self.relay.end_fault(fault),
            Fault::Kill(_) | Fault::Terminate(_) | Fault::KillAll => {
                for (_, daemon) in &mut self.daemons {
                    daemon.spawn()?;
                }
            }
            Fault::Reload(_) | Fault::DropHistory | Fault::Configure => {}
        }
        Ok(())
    }

    /// Notes whom a fault excuses from the promises about flows.
    fn disturb(&self, fault: Fault) {
        let mut record = self.record.borrow_mut();
        match fault {
            Fault::Kill(DaemonId::Agent(index)) | Fault::Pause(DaemonId::Agent(index)) => {
                record.record_target_disruption(index);
            }
            Fault::KillAll
            | Fault::Kill(DaemonId::Entry(_))
            | Fault::Pause(DaemonId::Entry(_))
            | Fault::Store(_)
            | Fault::Loss(_) => record.record_entry_disruption(),
            Fault::Link(fault) => match fault.daemon() {
                DaemonId::Agent(index) => record.record_target_disruption(index),
                DaemonId::Entry(_) => record.record_entry_disruption(),
            },
            // A crash ends the target's life, which the target records itself. Planned work excuses
            // nobody.
            Fault::Crash(_)
            | Fault::Terminate(_)
            | Fault::Reload(_)
            | Fault::DropHistory
            | Fault::Configure => {}
        }
    }

    fn signal(&mut self, place: DaemonId, signal: Signal) {
        let daemon = self.daemons.iter_mut().find(|(at, _)| *at == place);
        if let Some((_, daemon)) = daemon {
            daemon.signal(signal);
        }
    }

    fn look_after_processes(&mut self) {
        for (_, daemon) in &mut self.daemons {
            if let Some(text) = daemon.unexpected_end() {
                self.record.borrow_mut().violations.push(text);
            }
        }
    }

    fn judge(&self, seed: u64, faults: usize) -> Report {
        let record = self.record.borrow();
        let mut violations = record.violations.clone();
        let last_part = (record.recovery_sent, record.recovery_answered);
        if last_part.1 * 4 < last_part.0 * 3 || last_part.1 == 0 {
            let (sent, answered) = last_part;
            violations.push(format!(
                "{answered} of {sent} answered after all was mended"
            ));
        }
        Report {
            seed,
            faults,
            answered: record.answered,
            failed: record.failed,
            resets: record.resets,
            last_part,
            violations,
        }
    }
}

fn routes(version: u64) -> String {
    let route = |destination, flow_use| Route {
        destination,
        requirements: FlowRequirements {
            flow_use,
            latency_goal_ms: LATENCY_GOAL_MS,
            timeout_ms: TIMEOUT_MS,
        },
        services: Vec::new(),
    };
    let routes = [
        route(stream_destination(), FlowUse::Stream),
        route(once_destination(), FlowUse::NonRepeatable),
    ];
    let set = RouteSet {
        version,
        idle_timeout_ms: IDLE_TIMEOUT_MS,
        routes: routes.into_iter().map(|r| (r.destination, r)).collect(),
    };
    encode_routes(&set, SERVICE)
}
