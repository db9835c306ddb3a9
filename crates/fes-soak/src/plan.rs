//! Faults drawn from a seed, overlapping and in series.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::fleet::DaemonId;
use crate::relay::LinkFault;
use crate::store::StoreMode;

const SHORTEST_GAP_MS: u64 = 150;
const LONGEST_GAP_MS: u64 = 1_200;
const SHORTEST_FAULT_MS: u64 = 100;
const LONGEST_FAULT_MS: u64 = 3_000;

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A process is killed.
    Kill(DaemonId),
    /// A process is told to stop.
    Terminate(DaemonId),
    /// A process stands still.
    Pause(DaemonId),
    /// A process is told to read its settings again.
    Reload(DaemonId),
    /// All processes are killed.
    KillAll,
    /// The store fails in some way.
    Store(StoreMode),
    /// The store forgets its history.
    DropHistory,
    /// A target ends.
    Crash(usize),
    /// Packets of clients are lost, in percent.
    Loss(u32),
    /// Links between daemons are harmed.
    Link(LinkFault),
    /// The operator writes a new configuration.
    Configure,
}

/// A fault with its time, and when it is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// Milliseconds from the start of the load.
    pub at_ms: u64,
    /// When what it harmed is mended, on the same scale.
    pub until_ms: u64,
    /// What happens.
    pub fault: Fault,
}

/// Draws the faults of a soak.
pub fn draw(seed: u64, entries: usize, targets: usize, end_ms: u64) -> Vec<Step> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at_ms = 500;
    while at_ms < end_ms {
        let lasts_ms = random.random_range(SHORTEST_FAULT_MS..LONGEST_FAULT_MS);
        steps.push(Step {
            at_ms,
            until_ms: at_ms + lasts_ms,
            fault: draw_fault(&mut random, entries, targets),
        });
        at_ms += random.random_range(SHORTEST_GAP_MS..LONGEST_GAP_MS);
    }
    steps
}

fn draw_fault(random: &mut ChaCha8Rng, entries: usize, targets: usize) -> Fault {
    let place = match random.random_bool(0.5) {
        true => DaemonId::Entry(random.random_range(0..entries)),
        false => DaemonId::Agent(random.random_range(0..targets)),
    };
    match random.random_range(0..26) {
        0..5 => Fault::Kill(place),
        5..8 => Fault::Terminate(place),
        8..10 => Fault::Pause(place),
        10 => Fault::Reload(place),
        11 => Fault::KillAll,
        12 => Fault::Store(StoreMode::Silent),
        13 => Fault::Store(StoreMode::Busy),
        14 => Fault::Store(StoreMode::Slow(300)),
        15 => Fault::DropHistory,
        16..18 => Fault::Crash(random.random_range(0..targets)),
        18 => Fault::Loss(random.random_range(1..20)),
        19 => Fault::Store(StoreMode::Limited),
        20 => Fault::Store(StoreMode::Losing),
        21 => Fault::Link(LinkFault::DropOutgoing(place)),
        22 => Fault::Link(LinkFault::DropIncoming(place)),
        23 => Fault::Link(LinkFault::Delay(place, random.random_range(20..400))),
        24 => Fault::Link(LinkFault::Loss(place, random.random_range(5..60))),
        _ => Fault::Configure,
    }
}
