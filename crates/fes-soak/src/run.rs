//! Runs a soak: starts all components, injects faults, and reports violations.

use std::cell::RefCell;
use std::fmt;
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
use crate::daemon::Daemon;
use crate::daemon::DaemonId;
use crate::network::Network;
use crate::network::SERVICE;
use crate::network::non_repeatable_destination;
use crate::network::stream_destination;
use crate::plan::Fault;
use crate::plan::PlannedFault;
use crate::plan::plan_faults;
use crate::record::Record;
use crate::relay::Relay;
use crate::store::Store;
use crate::store::StoreMode;
use crate::targets::Target;

const STREAM_PAUSE_MS: u64 = 150;
const SINGLE_REQUEST_PAUSE_MS: u64 = 50;
const STARTUP_MS: u64 = 2_500;
/// Time without faults at the end of a soak, in which the fleet recovers.
const RECOVERY_MS: u64 = 8_000;
/// Recovery check: the last part of the recovery time, in which three quarters of the requests must
/// be answered.
const RECOVERY_CHECK_MS: u64 = 3_000;
const POLL_INTERVAL_MS: u64 = 10;
const INITIAL_ROUTES_VERSION: u64 = 100;
const LATENCY_GOAL_MS: u32 = 200;
const TIMEOUT_MS: u32 = 2_000;
const IDLE_TIMEOUT_MS: u64 = 15_000;

/// Parameters of a soak.
#[derive(Debug, Clone)]
pub struct SoakOptions {
    /// Seed of the faults.
    pub seed: u64,
    /// Program of the daemons.
    pub program: PathBuf,
    /// Number of entries.
    pub entries: usize,
    /// Number of targets, each with an agent.
    pub targets: usize,
    /// Number of clients with a long-lived flow, and of clients that open a flow for each request.
    pub clients: usize,
    /// Duration of fault injection, in milliseconds.
    pub faults_ms: u64,
    /// Directory for the settings and logs of the daemons.
    pub directory: PathBuf,
}

/// Results of a soak.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Seed of the faults.
    pub seed: u64,
    /// Number of injected faults.
    pub faults: usize,
    /// Number of answered requests.
    pub answered: usize,
    /// Number of requests that got no answer: their deadline passed or their flow was reset.
    pub failed: usize,
    /// Number of open flows that were reset.
    pub resets: usize,
    /// Number of requests that were sent during the recovery check.
    pub recovery_sent: usize,
    /// Number of those requests that were answered.
    pub recovery_answered: usize,
    /// Descriptions of all violations.
    pub violations: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "seed {}: {} faults, {} requests answered, {} without an answer, {} flows reset, {} of {} \
             requests answered in the recovery check, {} violations",
            self.seed,
            self.faults,
            self.answered,
            self.failed,
            self.resets,
            self.recovery_answered,
            self.recovery_sent,
            self.violations.len()
        )?;
        for violation in &self.violations {
            write!(f, "\n  {violation}")?;
        }
        Ok(())
    }
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
/// Returns an error if a test double or a daemon can't be started.
pub async fn run(options: &SoakOptions) -> std::io::Result<Report> {
    let mut soak = start(options).await?;
    sleep(Duration::from_millis(STARTUP_MS)).await;
    for _ in 0..options.clients {
        actix_rt::spawn(Rc::clone(&soak.clients).run_long_lived_flows(STREAM_PAUSE_MS));
        actix_rt::spawn(Rc::clone(&soak.clients).run_single_request_flows(SINGLE_REQUEST_PAUSE_MS));
    }
    let plan = plan_faults(
        options.seed,
        options.entries,
        options.targets,
        options.faults_ms,
    );
    soak.run_plan(&plan, options.faults_ms).await?;
    Ok(soak.build_report(options.seed, plan.len()))
}

async fn start(options: &SoakOptions) -> std::io::Result<Soak> {
    let network = Network {
        subnet: u8::try_from(std::process::id() % 200).unwrap_or(0) + 20,
    };
    let record = Rc::new(RefCell::new(Record::default()));
    let store = Store::start(network.store()).await?;
    store.put(routes_key(), routes(INITIAL_ROUTES_VERSION));
    let mut targets = Vec::new();
    for index in 0..options.targets {
        let target = Target::start(index, network, Rc::clone(&store), Rc::clone(&record));
        targets.push(target.await?);
    }
    let clients = Clients::start(network, options.entries, Rc::clone(&record)).await?;
    let ids = (0..options.entries)
        .map(DaemonId::Entry)
        .chain((0..options.targets).map(DaemonId::Agent));
    let relay = Relay::start(network, ids.clone()).await?;
    let mut daemons = Vec::new();
    for id in ids {
        let (program, directory) = (&options.program, &options.directory);
        let daemon = Daemon::start(id, network, options.entries, program, directory)?;
        daemons.push((id, daemon));
    }
    Ok(Soak {
        daemons,
        store,
        targets,
        clients,
        relay,
        record,
        routes_version: INITIAL_ROUTES_VERSION,
    })
}

impl Soak {
    async fn run_plan(&mut self, plan: &[PlannedFault], faults_ms: u64) -> std::io::Result<()> {
        let started = Instant::now();
        let mut next = 0;
        let mut active: Vec<(u64, Fault)> = Vec::new();
        let check_start_ms = faults_ms + RECOVERY_MS - RECOVERY_CHECK_MS;
        loop {
            let now_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
            while let Some(planned) = plan.get(next).filter(|planned| planned.start_ms <= now_ms) {
                self.inject(planned.fault);
                active.push((planned.end_ms.min(faults_ms), planned.fault));
                next += 1;
            }
            let (ended, still_active) = active
                .into_iter()
                .partition(|(end_ms, _)| *end_ms <= now_ms);
            active = still_active;
            let ended: Vec<(u64, Fault)> = ended;
            for (_, fault) in ended {
                self.revert(fault)?;
            }
            self.check_processes();
            self.clients.is_recovery_check.set(now_ms >= check_start_ms);
            if now_ms >= faults_ms + RECOVERY_MS {
                self.clients.is_over.set(true);
                return Ok(());
            }
            sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }

    fn inject(&mut self, fault: Fault) {
        self.record_disruption(fault);
        match fault {
            Fault::Kill(daemon) => self.signal(daemon, Signal::KILL),
            Fault::Terminate(daemon) => self.signal(daemon, Signal::TERM),
            Fault::Pause(daemon) => self.signal(daemon, Signal::STOP),
            Fault::Reload(daemon) => self.signal(daemon, Signal::HUP),
            Fault::KillAll => {
                for (_, daemon) in &mut self.daemons {
                    daemon.signal(Signal::KILL);
                }
            }
            Fault::Store(mode) => self.store.mode.set(mode),
            Fault::DropHistory => self.store.drop_history(),
            Fault::CrashTarget(target) => self.targets[target].crash(),
            Fault::ClientLoss(percent) => self.clients.loss_percent.set(percent),
            Fault::Link(fault) => self.relay.start_fault(fault),
            Fault::UpdateRoutes => {
                self.routes_version += 3;
                self.store.put(routes_key(), routes(self.routes_version));
            }
        }
    }

    fn revert(&mut self, fault: Fault) -> std::io::Result<()> {
        self.record_disruption(fault);
        match fault {
            Fault::Pause(daemon) => self.signal(daemon, Signal::CONT),
            Fault::Store(_) => self.store.mode.set(StoreMode::Available),
            Fault::CrashTarget(target) => self.targets[target].restart(),
            Fault::ClientLoss(_) => self.clients.loss_percent.set(0),
            Fault::Link(fault) => self.relay.end_fault(fault),
            Fault::Kill(_) | Fault::Terminate(_) | Fault::KillAll => {
                for (_, daemon) in &mut self.daemons {
                    daemon.spawn()?;
                }
            }
            Fault::Reload(_) | Fault::DropHistory | Fault::UpdateRoutes => {}
        }
        Ok(())
    }

    /// Records a disruption of the processes whose flows a fault may break.
    fn record_disruption(&self, fault: Fault) {
        let mut record = self.record.borrow_mut();
        match fault {
            Fault::Kill(DaemonId::Agent(index)) | Fault::Pause(DaemonId::Agent(index)) => {
                record.record_target_disruption(index);
            }
            Fault::KillAll
            | Fault::Kill(DaemonId::Entry(_))
            | Fault::Pause(DaemonId::Entry(_))
            | Fault::Store(_)
            | Fault::ClientLoss(_) => record.record_entry_disruption(),
            Fault::Link(fault) => match fault.daemon() {
                DaemonId::Agent(index) => record.record_target_disruption(index),
                DaemonId::Entry(_) => record.record_entry_disruption(),
            },
            // A target records its crash itself. The other faults must not break any flow: three
            // are planned operations, and watches of the store start over without its history.
            Fault::CrashTarget(_)
            | Fault::Terminate(_)
            | Fault::Reload(_)
            | Fault::DropHistory
            | Fault::UpdateRoutes => {}
        }
    }

    fn signal(&mut self, id: DaemonId, signal: Signal) {
        let daemon = self.daemons.iter_mut().find(|(other, _)| *other == id);
        if let Some((_, daemon)) = daemon {
            daemon.signal(signal);
        }
    }

    fn check_processes(&mut self) {
        for (_, daemon) in &mut self.daemons {
            if let Some(text) = daemon.unexpected_exit() {
                self.record.borrow_mut().violations.push(text);
            }
        }
    }

    fn build_report(&self, seed: u64, faults: usize) -> Report {
        let record = self.record.borrow();
        let mut violations = record.violations.clone();
        let (sent, answered) = (record.recovery_sent, record.recovery_answered);
        if answered * 4 < sent * 3 || answered == 0 {
            violations.push(format!(
                "only {answered} of {sent} requests in the recovery check were answered, after all \
                 faults had ended"
            ));
        }
        Report {
            seed,
            faults,
            answered: record.answered,
            failed: record.failed,
            resets: record.resets,
            recovery_sent: sent,
            recovery_answered: answered,
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
        route(non_repeatable_destination(), FlowUse::NonRepeatable),
    ];
    let set = RouteSet {
        version,
        idle_timeout_ms: IDLE_TIMEOUT_MS,
        routes: routes.into_iter().map(|r| (r.destination, r)).collect(),
        ..RouteSet::default()
    };
    encode_routes(&set, SERVICE)
}
