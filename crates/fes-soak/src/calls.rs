//! Counts the calls that entries make to the store, and measures how soon a change that the store
//! has acknowledged is in force at the last entry.

use std::fmt;
use std::net::SocketAddrV4;
use std::ops::Range;
use std::path::PathBuf;
use std::rc::Rc;

use fes_adapter::stand_in::encode_target;
use fes_adapter::stand_in::routes_key;
use fes_adapter::stand_in::target_key;
use fes_passthrough::ServiceTag;
use fes_passthrough::TargetRecord;
use fes_passthrough::TargetState;
use fes_platform::PlatformClient;
use fes_protocol::DataCentreName;
use fes_protocol::ServiceName;
use fes_protocol::UpstreamName;
use rustix::process::Signal;
use serde_json::Value;
use tokio::time::Duration;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::daemon::Daemon;
use crate::daemon::DaemonId;
use crate::network::DATA_CENTRE;
use crate::network::Network;
use crate::network::READY_PORT;
use crate::network::SERVICE;
use crate::network::TARGET_PORT;
use crate::routes::encode_configuration;
use crate::run::start_store;
use crate::store::ReadCounts;
use crate::store::Store;
use crate::store::StoreMode;

/// Period at which one of the targets writes its item again.
const WRITE_PERIOD_MS: u64 = 100;
const STARTUP_MS: u64 = 4_000;
const STEADY_MS: u64 = 8_000;
const OUTAGE_MS: u64 = 5_000;
const RECOVERY_MS: u64 = 3_000;
const RESTART_GAP_MS: u64 = 150;
const POLL_INTERVAL_MS: u64 = 10;
const STATUS_TIMEOUT_MS: u64 = 500;
/// Changes whose time until they are in force is measured in the steady state.
const MEASURED_CHANGES: u64 = 20;
/// Pauses between measured changes, so that their phase relative to the watches differs.
const CHANGE_PAUSE_MS: u64 = 330;
const CHANGE_PAUSE_STEP_MS: u64 = 37;
/// Time after which a change counts as never in force.
const MAX_IN_FORCE_MS: u64 = 15_000;
const FIRST_VERSION: u64 = 100;

/// Parameters of a measurement of calls.
#[derive(Debug, Clone)]
pub struct CallOptions {
    /// Program of the daemons.
    pub program: PathBuf,
    /// Number of entries.
    pub entries: usize,
    /// Number of targets in the list.
    pub targets: usize,
    /// Directory for the settings and logs of the daemons.
    pub directory: PathBuf,
}

/// Calls and times of one phase.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PhaseReport {
    /// Name of the phase.
    pub name: &'static str,
    /// Calls received by the store during the phase.
    pub calls: ReadCounts,
    /// Times from the store's acknowledgement of a change until the last entry uses it.
    pub in_force_ms: Vec<u64>,
}

impl PhaseReport {
    /// Returns the longest time until a change was in force, or 0 if none was measured.
    #[must_use]
    pub fn max_in_force_ms(&self) -> u64 {
        self.in_force_ms.iter().copied().max().unwrap_or(0)
    }
}

impl fmt::Display for PhaseReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = u64::try_from(self.in_force_ms.len()).unwrap_or(u64::MAX);
        let mean_ms = self.in_force_ms.iter().sum::<u64>() / count.max(1);
        write!(
            f,
            "{}: {} list pages, {} watches, in force after {mean_ms} ms on average and {} ms at most",
            self.name,
            self.calls.lists,
            self.calls.watches,
            self.max_in_force_ms()
        )
    }
}

struct Fleet {
    network: Network,
    store: Rc<Store>,
    entries: Vec<Daemon>,
    version: u64,
}

/// Runs all phases on the current arbiter.
///
/// # Errors
///
/// Returns an error if the store or a daemon can't be started.
pub async fn measure_calls(options: &CallOptions) -> std::io::Result<Vec<PhaseReport>> {
    let mut fleet = Fleet::start(options).await?;
    let mut reports = Vec::new();
    let mut report = |name, fleet: &Fleet, in_force_ms| {
        let calls = fleet.store.take_reads();
        reports.push(PhaseReport {
            name,
            calls,
            in_force_ms,
        });
    };
    sleep(Duration::from_millis(STARTUP_MS)).await;
    report("start of all entries", &fleet, Vec::new());
    sleep(Duration::from_millis(STEADY_MS)).await;
    report("steady state", &fleet, Vec::new());
    let times = fleet.measure_changes().await;
    report("changes", &fleet, times);
    fleet.restart_in_turn(0).await?;
    report("restarts in turn", &fleet, Vec::new());
    for (name, mode) in [
        ("unavailable", StoreMode::Unavailable),
        ("unresponsive", StoreMode::Unresponsive),
        ("slow", StoreMode::Slow(300)),
    ] {
        let in_force_ms = fleet.fail_store(mode).await;
        report(name, &fleet, vec![in_force_ms]);
    }
    fleet.store.drop_history();
    let in_force_ms = fleet.measure_change().await;
    sleep(Duration::from_millis(RECOVERY_MS)).await;
    report("lost history", &fleet, vec![in_force_ms]);
    fleet.signal(0..1, Signal::KILL);
    let in_force_ms = fleet.measure_change().await;
    report("a reader lost", &fleet, vec![in_force_ms]);
    fleet.restart_in_turn(1).await?;
    report("restarts in turn without a seed", &fleet, Vec::new());
    fleet.signal(0..options.entries, Signal::KILL);
    fleet.spawn(0..options.entries)?;
    let in_force_ms = fleet.measure_change().await;
    sleep(Duration::from_millis(RECOVERY_MS)).await;
    report("all entries restarted", &fleet, vec![in_force_ms]);
    Ok(reports)
}

impl Fleet {
    async fn start(options: &CallOptions) -> std::io::Result<Self> {
        let (network, store) = start_store().await?;
        store.put(routes_key(), encode_configuration(FIRST_VERSION, SERVICE));
        for index in 0..options.targets {
            write_target(&store, network, index, 1);
        }
        let writing_store = Rc::clone(&store);
        let targets = options.targets;
        actix_rt::spawn(async move {
            for writes in 2.. {
                for index in 0..targets {
                    sleep(Duration::from_millis(WRITE_PERIOD_MS)).await;
                    write_target(&writing_store, network, index, writes);
                }
            }
        });
        let start = |index| {
            let (program, directory) = (&options.program, &options.directory);
            let id = DaemonId::Entry(index);
            Daemon::start(id, network, options.entries, SERVICE, program, directory)
        };
        let entries = (0..options.entries).map(start);
        Ok(Self {
            network,
            store,
            entries: entries.collect::<std::io::Result<_>>()?,
            version: FIRST_VERSION,
        })
    }

    /// Measures the time until changes are in force while nothing fails.
    async fn measure_changes(&mut self) -> Vec<u64> {
        let mut times = Vec::new();
        for index in 0..MEASURED_CHANGES {
            let pause_ms = CHANGE_PAUSE_MS + index * CHANGE_PAUSE_STEP_MS;
            sleep(Duration::from_millis(pause_ms)).await;
            times.push(self.measure_change().await);
        }
        times
    }

    /// Writes routes, and returns the time until all running entries use them.
    async fn measure_change(&mut self) -> u64 {
        self.version += 1;
        let configuration = encode_configuration(self.version, SERVICE);
        self.store.put(routes_key(), configuration);
        let written_at = Instant::now();
        let elapsed_ms = || u64::try_from(written_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        for index in 0..self.entries.len() {
            while self.entries[index].is_running() && elapsed_ms() < MAX_IN_FORCE_MS {
                if self.version_at(index).await >= self.version {
                    break;
                }
                sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
            }
        }
        elapsed_ms()
    }

    async fn version_at(&self, index: usize) -> u64 {
        let address = SocketAddrV4::new(self.network.entry(index), READY_PORT);
        let mut client = PlatformClient::anonymous(address.into());
        let Ok((_, body)) = client.get("/status", STATUS_TIMEOUT_MS).await else {
            return 0;
        };
        let status: Value = serde_json::from_slice(&body).unwrap_or_default();
        status["routes_version"].as_u64().unwrap_or(0)
    }

    /// Kills and starts the entries one after the other, from the given one.
    async fn restart_in_turn(&mut self, first: usize) -> std::io::Result<()> {
        for index in first..self.entries.len() {
            self.signal(index..index + 1, Signal::KILL);
            sleep(Duration::from_millis(RESTART_GAP_MS)).await;
            self.spawn(index..index + 1)?;
            sleep(Duration::from_millis(RESTART_GAP_MS)).await;
        }
        Ok(())
    }

    /// Lets the store fail for some time. Returns the time until a change written at the end of the
    /// failure is in force.
    async fn fail_store(&mut self, mode: StoreMode) -> u64 {
        self.store.mode.set(mode);
        sleep(Duration::from_millis(OUTAGE_MS)).await;
        self.store.mode.set(StoreMode::Available);
        let in_force_ms = self.measure_change().await;
        sleep(Duration::from_millis(RECOVERY_MS)).await;
        in_force_ms
    }

    fn signal(&mut self, entries: Range<usize>, signal: Signal) {
        for entry in &mut self.entries[entries] {
            entry.signal(signal);
        }
    }

    fn spawn(&mut self, entries: Range<usize>) -> std::io::Result<()> {
        for entry in &mut self.entries[entries] {
            while entry.is_running() {
                std::thread::sleep(Duration::from_millis(1));
            }
            entry.spawn()?;
        }
        Ok(())
    }
}

fn write_target(store: &Store, network: Network, index: usize, writes: u64) {
    let id = format!("t-{index}");
    let record = TargetRecord {
        id: UpstreamName::from(id.as_str()),
        service: ServiceTag::from(&ServiceName::from(SERVICE)),
        vm: network.target(index),
        data_centre: DataCentreName::from(DATA_CENTRE),
        slots: 3,
        state: TargetState::Ready,
        started_at_ms: 0,
        warm_up_ms: 0,
        revision: 0,
        created_revision: 0,
        writes: 0,
    };
    let value = encode_target(&record, SERVICE, TARGET_PORT, writes);
    store.put(&target_key(&id), value);
}
