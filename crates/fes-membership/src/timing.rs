//! Heartbeat periods and timeouts.

/// Shortest period of heartbeats between agents.
const MIN_HEARTBEAT_PERIOD_MS: u64 = 500;
/// Mean time between two heartbeats of an agent to any of its peers; larger if it has few peers.
/// Eight heartbeats per second in each direction take 2.3 KB/s; with 500 ms per peer, a service of
/// seven targets exceeded the limit of 3 KB/s for control traffic per node.
const HEARTBEAT_SPACING_MS: u64 = 125;

/// Returns the period of heartbeats to each of `peer_count` peers, in milliseconds.
#[must_use]
pub const fn heartbeat_period_ms(peer_count: usize) -> u64 {
    let period_ms = peer_count as u64 * HEARTBEAT_SPACING_MS;
    if period_ms > MIN_HEARTBEAT_PERIOD_MS {
        period_ms
    } else {
        MIN_HEARTBEAT_PERIOD_MS
    }
}

/// Period of heartbeats from an agent to its entries. With 1,000 ms, heartbeats alone took 3.1 KB/s
/// at the entry that observes the most agents (35 of 8,000).
pub const ENTRY_HEARTBEAT_PERIOD_MS: u64 = 1_500;
/// Suspicion timeout between agents.
pub const SUSPECT_AFTER_MS: u64 = 2_000;
/// Dead timeout between agents.
pub const DEAD_AFTER_MS: u64 = 3_000;
/// Suspicion timeout of an entry for an agent: two and a half heartbeat periods, so that a single
/// lost datagram causes no suspicion.
pub const ENTRY_SUSPECT_AFTER_MS: u64 = 3_750;
/// Dead timeout of an entry for an agent: three and a half heartbeat periods. If two consecutive
/// lost datagrams sufficed, a loss of 1 % would cause a false verdict once per second in a whole
/// fleet. Agents declare their peers dead sooner, after [`DEAD_AFTER_MS`].
pub const ENTRY_DEAD_AFTER_MS: u64 = 5_250;
/// Time without a handled event after which the process counts as paused. Heartbeats between agents
/// and digests between entries are due at least once per second.
pub const PAUSE_MS: u64 = 1_500;
