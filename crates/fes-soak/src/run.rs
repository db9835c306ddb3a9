//! Runs a soak: starts all components, injects faults, and reports violations.

use std::cell::RefCell;
use std::fmt;
use std::io::ErrorKind;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::rc::Rc;

use fes_adapter::stand_in::routes_key;
use rustix::process::Signal;
use tokio::time::Duration;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::clients::Clients;
use crate::daemon::Daemon;
use crate::daemon::DaemonId;
use crate::network::Network;
use crate::network::OTHER_SERVICE;
use crate::network::SERVICE;
use crate::network::moving_destination;
use crate::plan::Fault;
use crate::plan::FaultKinds;
use crate::plan::FleetSize;
use crate::plan::PlannedFault;
use crate::plan::plan_faults;
use crate::record::Record;
use crate::relay::Relay;
use crate::routes::encode_configuration;
use crate::routes::routed_services;
use crate::store::Store;
use crate::store::StoreMode;
use crate::targets::Target;

/// Subnets that soaks may use.
const FIRST_SUBNET: u8 = 20;
const SUBNETS: u32 = 200;
const STREAM_PAUSE_MS: u64 = 150;
const SINGLE_REQUEST_PAUSE_MS: u64 = 50;
const REUSED_PORT_PAUSE_MS: u64 = 100;
/// Number of targets of the second service.
const OTHER_TARGETS: usize = 2;
/// A poll that is later than this shows that the machine didn't run the soak in time.
const MAX_POLL_DELAY_MS: u64 = 150;
const STARTUP_MS: u64 = 2_500;
/// Time without faults at the end of a soak, in which the fleet recovers.
const RECOVERY_MS: u64 = 8_000;
/// Recovery check: the last part of the recovery time, in which three quarters of the requests must
/// be answered.
const RECOVERY_CHECK_MS: u64 = 3_000;
const POLL_INTERVAL_MS: u64 = 10;
const INITIAL_ROUTES_VERSION: u64 = 100;

/// Parameters of a soak.
#[derive(Debug, Clone)]
pub struct SoakOptions {
    /// Seed of the faults.
    pub seed: u64,
    /// Program of the daemons.
    pub program: PathBuf,
    /// Number of entries.
    pub entries: usize,
    /// Kinds of the faults.
    pub fault_kinds: FaultKinds,
    /// Number of targets of the first service, each with an agent.
    pub targets: usize,
    /// Number of clients with a long-lived flow, of clients that open a flow for each request, and
    /// of clients that open flows from the same port.
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
    /// Number of flows for which a client used a port again.
    pub reused_ports: usize,
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
            "seed {}: {} faults, {} requests answered, {} without an answer, {} flows reset, {} ports \
             reused, {} of {} requests answered in the recovery check, {} violations",
            self.seed,
            self.faults,
            self.answered,
            self.failed,
            self.resets,
            self.reused_ports,
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
    /// Service to which the moving route leads.
    moving_service: &'static str,
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
        actix_rt::spawn(Rc::clone(&soak.clients).run_flows_of_one_port(REUSED_PORT_PAUSE_MS));
    }
    let fleet = FleetSize {
        entries: options.entries,
        targets: options.targets,
        all_targets: soak.targets.len(),
    };
    let plan = plan_faults(options.seed, options.fault_kinds, fleet, options.faults_ms);
    soak.run_plan(&plan, options.faults_ms).await?;
    Ok(soak.build_report(options.seed, plan.len()))
}

async fn start(options: &SoakOptions) -> std::io::Result<Soak> {
    let record = Rc::new(RefCell::new(Record::default()));
    record.borrow_mut().checks_drains = options.fault_kinds != FaultKinds::All;
    let (network, store) = start_store().await?;
    let service_of = |target| match target < options.targets {
        true => SERVICE,
        false => OTHER_SERVICE,
    };
    let mut targets = Vec::new();
    for index in 0..options.targets + OTHER_TARGETS {
        let (store, record) = (Rc::clone(&store), Rc::clone(&record));
        let target = Target::start(index, service_of(index), network, store, record);
        targets.push(target.await?);
    }
    targets[0].write_odd_items();
    let clients = Clients::start(network, options.entries, Rc::clone(&record)).await?;
    let ids = (0..options.entries)
        .map(DaemonId::Entry)
        .chain((0..targets.len()).map(DaemonId::Agent));
    let relay = Relay::start(network, ids.clone()).await?;
    let mut daemons = Vec::new();
    for id in ids {
        let (program, directory) = (&options.program, &options.directory);
        let service = match id {
            DaemonId::Entry(_) => SERVICE,
            DaemonId::Agent(target) => service_of(target),
        };
        let daemon = Daemon::start(id, network, options.entries, service, program, directory)?;
        daemons.push((id, daemon));
    }
    let soak = Soak {
        daemons,
        store,
        targets,
        clients,
        relay,
        record,
        routes_version: INITIAL_ROUTES_VERSION,
        moving_service: SERVICE,
    };
    soak.write_routes();
    for (destination, service) in routed_services(soak.moving_service) {
        soak.record_route(destination, service);
    }
    Ok(soak)
}

/// Starts the store in a subnet that no other soak uses: only one can bind the store's address. Soaks
/// may run in several processes, and as several tests of one.
pub(crate) async fn start_store() -> std::io::Result<(Network, Rc<Store>)> {
    let first = std::process::id() % SUBNETS;
    let mut result = Err(ErrorKind::AddrInUse.into());
    for offset in 0..SUBNETS {
        let subnet = u8::try_from((first + offset) % SUBNETS).unwrap_or(0) + FIRST_SUBNET;
        let network = Network { subnet };
        result = Store::start(network.store())
            .await
            .map(|store| (network, store));
        if result.is_ok() {
            break;
        }
    }
    result
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
                self.inject(planned.fault)?;
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
            self.check_processes()?;
            self.clients.is_recovery_check.set(now_ms >= check_start_ms);
            if now_ms >= faults_ms + RECOVERY_MS {
                self.clients.is_over.set(true);
                return Ok(());
            }
            let polled_at = Instant::now();
            sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
            if polled_at.elapsed() > Duration::from_millis(MAX_POLL_DELAY_MS) {
                let mut record = self.record.borrow_mut();
                record.requests.record_stall(Instant::now());
            }
        }
    }

    fn inject(&mut self, fault: Fault) -> std::io::Result<()> {
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
            Fault::CopyStore => self.store.take_copy(),
            Fault::ReturnFromCopy => self.store.go_away(),
            Fault::RewriteRoutes => {
                self.write_routes();
                let (copied_at, went_away_at) = self.store.copied_and_went_away_at();
                let routes = &mut self.record.borrow_mut().routes;
                routes.record_written_again(Instant::now(), copied_at, went_away_at);
            }
            Fault::CrashTarget(target) => self.targets[target].crash(),
            Fault::ClientLoss(percent) => self.clients.loss_percent.set(percent),
            Fault::Link(fault) => self.relay.start_fault(fault),
            Fault::UpdateRoutes => self.update_routes(),
            Fault::MoveRoute => {
                self.moving_service = match self.moving_service == SERVICE {
                    true => OTHER_SERVICE,
                    false => SERVICE,
                };
                self.update_routes();
                self.record_route(moving_destination(), self.moving_service);
            }
            Fault::Restart(daemon, gap_ms) => self.restart(daemon, gap_ms),
            Fault::Drain(target) => self.targets[target].drain(),
            Fault::EndTarget(target) => self.targets[target].end(),
            Fault::StopAgentOfEndedTarget(target) => {
                if self.targets[target].has_ended() {
                    self.signal(DaemonId::Agent(target), Signal::TERM);
                }
            }
            Fault::ReplaceTarget(target) => {
                if self.targets[target].has_ended() {
                    self.targets[target].replace()?;
                    self.spawn_daemons(|id| id == DaemonId::Agent(target))?;
                }
            }
        }
        Ok(())
    }

    fn update_routes(&mut self) {
        self.routes_version += 3;
        self.write_routes();
    }

    fn write_routes(&self) {
        let configuration = encode_configuration(self.routes_version, self.moving_service);
        self.store.put(routes_key(), configuration);
    }

    fn record_route(&self, destination: SocketAddrV4, service: &'static str) {
        let mut record = self.record.borrow_mut();
        record
            .routes
            .record_route(Instant::now(), destination, service);
    }

    fn revert(&mut self, fault: Fault) -> std::io::Result<()> {
        self.record_disruption(fault);
        match fault {
            Fault::Pause(daemon) => self.signal(daemon, Signal::CONT),
            Fault::Store(_) => self.store.mode.set(StoreMode::Available),
            Fault::ReturnFromCopy => {
                self.store.come_back_from_copy();
                self.store.mode.set(StoreMode::Available);
            }
            Fault::CrashTarget(target) => self.targets[target].restart()?,
            Fault::ClientLoss(_) => self.clients.loss_percent.set(0),
            Fault::Link(fault) => self.relay.end_fault(fault),
            Fault::Kill(_) | Fault::Terminate(_) | Fault::KillAll => {
                self.spawn_daemons(|_| true)?
            }
            Fault::Reload(_)
            | Fault::DropHistory
            | Fault::CopyStore
            | Fault::RewriteRoutes
            | Fault::UpdateRoutes
            | Fault::MoveRoute
            | Fault::Restart(..)
            | Fault::Drain(_)
            | Fault::EndTarget(_)
            | Fault::StopAgentOfEndedTarget(_)
            | Fault::ReplaceTarget(_) => {}
        }
        Ok(())
    }

    /// Starts the selected daemons that aren't running, except the agents of ended targets.
    fn spawn_daemons(&mut self, is_selected: impl Fn(DaemonId) -> bool) -> std::io::Result<()> {
        for (id, daemon) in &mut self.daemons {
            let is_needed = match *id {
                DaemonId::Entry(_) => true,
                DaemonId::Agent(target) => !self.targets[target].has_ended(),
            };
            if is_needed && is_selected(*id) {
                daemon.spawn()?;
            }
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
            // Agents may be absent for longer than entries wait for them.
            Fault::KillAll => record.record_isolation(),
            Fault::Kill(DaemonId::Entry(_))
            | Fault::Pause(DaemonId::Entry(_))
            | Fault::Store(_)
            | Fault::ClientLoss(_) => record.record_entry_disruption(),
            Fault::Link(fault) => match fault.daemon() {
                DaemonId::Agent(index) => record.record_target_disruption(index),
                DaemonId::Entry(_) => record.record_isolation(),
            },
            // A target records its crash or end itself. The other faults must not break any flow:
            // they are planned operations, or watches of the store start over without its history or
            // with an older copy of its data.
            Fault::CrashTarget(_)
            | Fault::Terminate(_)
            | Fault::Reload(_)
            | Fault::DropHistory
            | Fault::CopyStore
            | Fault::ReturnFromCopy
            | Fault::RewriteRoutes
            | Fault::UpdateRoutes
            | Fault::MoveRoute
            | Fault::Restart(..)
            | Fault::Drain(_)
            | Fault::EndTarget(_)
            | Fault::StopAgentOfEndedTarget(_)
            | Fault::ReplaceTarget(_) => {}
        }
    }

    fn signal(&mut self, id: DaemonId, signal: Signal) {
        let daemon = self.daemons.iter_mut().find(|(other, _)| *other == id);
        if let Some((_, daemon)) = daemon {
            daemon.signal(signal);
        }
    }

    fn restart(&mut self, id: DaemonId, gap_ms: u64) {
        let daemon = self.daemons.iter_mut().find(|(other, _)| *other == id);
        if let Some((_, daemon)) = daemon {
            daemon.restart(gap_ms);
        }
    }

    fn check_processes(&mut self) -> std::io::Result<()> {
        for (id, daemon) in &mut self.daemons {
            let mut record = self.record.borrow_mut();
            if let Some(text) = daemon.unexpected_exit() {
                record.violations.push(text);
            }
            if !daemon.is_running() {
                record.requests.record_absence(Instant::now(), *id);
            }
        }
        let due = self.daemons.iter_mut();
        let due = due.filter_map(|(id, daemon)| daemon.is_restart_due().then_some(*id));
        let due: Vec<DaemonId> = due.collect();
        self.spawn_daemons(|id| due.contains(&id))
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
            reused_ports: record.reused_ports,
            recovery_sent: sent,
            recovery_answered: answered,
            violations,
        }
    }
}
