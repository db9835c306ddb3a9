//! Generates the faults of a soak from a seed. Faults may overlap.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::daemon::DaemonId;
use crate::relay::LinkFault;
use crate::replacement::plan_replacements;
use crate::store::StoreMode;
use crate::store_return::plan_returns;

const MIN_GAP_MS: u64 = 150;
const MAX_GAP_MS: u64 = 1_200;
const MIN_FAULT_MS: u64 = 100;
const MAX_FAULT_MS: u64 = 3_000;

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A daemon is killed.
    Kill(DaemonId),
    /// A daemon receives SIGTERM.
    Terminate(DaemonId),
    /// A daemon is suspended by SIGSTOP.
    Pause(DaemonId),
    /// A daemon receives SIGHUP and reloads its settings.
    Reload(DaemonId),
    /// All daemons are killed.
    KillAll,
    /// The store fails.
    Store(StoreMode),
    /// The store drops its history of events.
    DropHistory,
    /// A copy of the store's data is taken.
    CopyStore,
    /// The store is unavailable, and then comes back from the copy.
    ReturnFromCopy,
    /// The operator writes the latest routes again.
    RewriteRoutes,
    /// A target crashes.
    CrashTarget(usize),
    /// This percentage of the clients' packets is lost.
    ClientLoss(u32),
    /// The links of a daemon to other daemons fail.
    Link(LinkFault),
    /// The operator writes new routes.
    UpdateRoutes,
    /// The operator moves the route of the clients that reuse ports to the other service.
    MoveRoute,
    /// A daemon is restarted as planned: it receives SIGTERM and is started again this many
    /// milliseconds after its exit.
    Restart(DaemonId, u64),
    /// A target drains.
    Drain(usize),
    /// A drained target ends.
    EndTarget(usize),
    /// The agent of a target that has ended receives SIGTERM.
    StopAgentOfEndedTarget(usize),
    /// A new target and its agent start in place of one that has ended.
    ReplaceTarget(usize),
}

/// Kinds of the faults of a soak.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKinds {
    /// Planned replacements of targets only, which must not break any flow of another target.
    Planned,
    /// Planned replacements while the store comes back from older copies of its data.
    Returns,
    /// Random faults as well.
    All,
}

/// Size of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetSize {
    /// Number of entries.
    pub entries: usize,
    /// Number of targets of the first service.
    pub targets: usize,
    /// Number of targets of all services.
    pub all_targets: usize,
}

/// A fault with its start and end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedFault {
    /// Start, in milliseconds after the start of the load.
    pub start_ms: u64,
    /// End, in milliseconds after the start of the load.
    pub end_ms: u64,
    /// The fault.
    pub fault: Fault,
}

/// Generates the faults of a soak, in order. All of them start before `faults_ms`.
pub fn plan_faults(
    seed: u64,
    kinds: FaultKinds,
    fleet: FleetSize,
    faults_ms: u64,
) -> Vec<PlannedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut faults = match kinds {
        FaultKinds::Planned | FaultKinds::Returns => Vec::new(),
        FaultKinds::All => plan_random_faults(&mut random, fleet, faults_ms),
    };
    // A stream of its own, so that the random faults of a seed don't depend on the replacements.
    random.set_stream(1);
    let (entries, targets) = (fleet.entries, fleet.all_targets);
    faults.extend(plan_replacements(&mut random, entries, targets, faults_ms));
    if kinds == FaultKinds::Returns {
        random.set_stream(2);
        faults.extend(plan_returns(&mut random, faults_ms));
    }
    faults.sort_by_key(|planned| planned.start_ms);
    faults
}

fn plan_random_faults(
    random: &mut ChaCha8Rng,
    fleet: FleetSize,
    faults_ms: u64,
) -> Vec<PlannedFault> {
    let mut faults = Vec::new();
    let mut start_ms = 500;
    while start_ms < faults_ms {
        let duration_ms = random.random_range(MIN_FAULT_MS..MAX_FAULT_MS);
        faults.push(PlannedFault {
            start_ms,
            end_ms: start_ms + duration_ms,
            fault: random_fault(random, fleet.entries, fleet.targets),
        });
        start_ms += random.random_range(MIN_GAP_MS..MAX_GAP_MS);
    }
    faults
}

fn random_fault(random: &mut ChaCha8Rng, entries: usize, targets: usize) -> Fault {
    let daemon = match random.random_bool(0.5) {
        true => DaemonId::Entry(random.random_range(0..entries)),
        false => DaemonId::Agent(random.random_range(0..targets)),
    };
    match random.random_range(0..26) {
        0..5 => Fault::Kill(daemon),
        5..8 => Fault::Terminate(daemon),
        8..10 => Fault::Pause(daemon),
        10 => Fault::Reload(daemon),
        11 => Fault::KillAll,
        12 => Fault::Store(StoreMode::Unresponsive),
        13 => Fault::Store(StoreMode::Unavailable),
        14 => Fault::Store(StoreMode::Slow(300)),
        15 => Fault::DropHistory,
        16..18 => Fault::CrashTarget(random.random_range(0..targets)),
        18 => Fault::ClientLoss(random.random_range(1..20)),
        19 => Fault::Store(StoreMode::RateLimited),
        20 => Fault::Store(StoreMode::Aborting),
        21 => Fault::Link(LinkFault::DropOutgoing(daemon)),
        22 => Fault::Link(LinkFault::DropIncoming(daemon)),
        23 => Fault::Link(LinkFault::Delay(daemon, random.random_range(20..400))),
        24 => Fault::Link(LinkFault::Loss(daemon, random.random_range(5..60))),
        _ => Fault::UpdateRoutes,
    }
}
