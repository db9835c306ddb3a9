//! Plans replacements of targets, during which agents, entries and routes change as planned too.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::daemon::DaemonId;
use crate::plan::Fault;
use crate::plan::PlannedFault;

const FIRST_START_MS: u64 = 500;
const MAX_GAP_MS: u64 = 2_500;
/// Longer than all steps of a replacement take together.
const REPLACEMENT_MS: u64 = 5_000;
/// Time from the first step until the target drains.
const UNTIL_DRAIN_MS: u64 = 1_000;
/// Time from the start of the drain until the target ends.
const DRAIN_MS: u64 = 3_000;
/// Latest start of an agent's restart after the start of the drain. The agent must be back before
/// the target ends: it takes up to 1.5 s to exit, and then the gap.
const MAX_AGENT_RESTART_MS: u64 = 400;
/// Limits of the time between the exit of a daemon and its start. Entries wait 2.5 s for an agent.
const MIN_RESTART_GAP_MS: u64 = 300;
const MAX_RESTART_GAP_MS: u64 = 900;
/// Longest time from the stop signal of an entry to that of the agent. Routers move flows up to 1 s
/// after an entry was told to stop, so many flows move while the agent is absent.
const MAX_ENTRY_LEAD_MS: u64 = 900;
/// Length of the range from which the time of the entry's stop signal is chosen.
const ENTRY_STOP_RANGE_MS: u64 = 1_000;

/// Plans replacements from the start of the load until `faults_ms`, as many as end in time.
pub fn plan_replacements(
    random: &mut ChaCha8Rng,
    entries: usize,
    targets: usize,
    faults_ms: u64,
) -> Vec<PlannedFault> {
    let mut faults = Vec::new();
    let mut start_ms = FIRST_START_MS + random.random_range(0..FIRST_START_MS);
    while start_ms + REPLACEMENT_MS <= faults_ms {
        let target = random.random_range(0..targets);
        let entry = random.random_range(0..entries);
        faults.extend(replacement(random, start_ms, target, entry));
        start_ms += random.random_range(FIRST_START_MS..MAX_GAP_MS);
    }
    faults
}

fn replacement(
    random: &mut ChaCha8Rng,
    start_ms: u64,
    target: usize,
    entry: usize,
) -> [PlannedFault; 7] {
    let agent = DaemonId::Agent(target);
    let drain_ms = start_ms + UNTIL_DRAIN_MS;
    let end_ms = drain_ms + DRAIN_MS;
    let stop_ms = end_ms + random.random_range(20..200);
    let replace_ms = stop_ms + random.random_range(100..800);
    let move_ms = start_ms + random.random_range(0..DRAIN_MS);
    let agent_ms = drain_ms + random.random_range(0..MAX_AGENT_RESTART_MS);
    let entry_ms = agent_ms - MAX_ENTRY_LEAD_MS + random.random_range(0..ENTRY_STOP_RANGE_MS);
    let restart = |random: &mut ChaCha8Rng, daemon| {
        let gap_ms = random.random_range(MIN_RESTART_GAP_MS..MAX_RESTART_GAP_MS);
        Fault::Restart(daemon, gap_ms)
    };
    let at = |start_ms, fault| PlannedFault {
        start_ms,
        end_ms: start_ms,
        fault,
    };
    [
        at(entry_ms, restart(random, DaemonId::Entry(entry))),
        at(drain_ms, Fault::Drain(target)),
        at(agent_ms, restart(random, agent)),
        at(move_ms, Fault::MoveRoute),
        at(end_ms, Fault::EndTarget(target)),
        at(stop_ms, Fault::StopAgentOfEndedTarget(target)),
        at(replace_ms, Fault::ReplaceTarget(target)),
    ]
}
