//! Periods and timeouts of heartbeats.

/// Shortest period of heartbeats among agents, in milliseconds.
const MIN_HEARTBEAT_PERIOD_MS: u64 = 500;
/// Time between two heartbeats of an agent to any peer, in milliseconds. Eight heartbeats a second
/// each way take 2.3 KB/s; with 500 ms per peer, a service of seven targets exceeded the 3 KB/s
/// that a node may spend on control.
const HEARTBEAT_SPACING_MS: u64 = 125;

/// Returns the period of heartbeats to each of `peer_count` agents, in milliseconds.
#[must_use]
pub const fn heartbeat_period_ms(peer_count: usize) -> u64 {
    let period_ms = peer_count as u64 * HEARTBEAT_SPACING_MS;
    if period_ms > MIN_HEARTBEAT_PERIOD_MS {
        period_ms
    } else {
        MIN_HEARTBEAT_PERIOD_MS
    }
}

/// Period of heartbeats from an agent to its entries, in milliseconds. With 1,000 ms the entry that
/// most agents choose, 35 of 8,000, took 3.1 KB/s for heartbeats alone.
pub const ENTRY_HEARTBEAT_PERIOD_MS: u64 = 1_500;
/// Silence after which a process is suspect, in milliseconds.
pub const SUSPECT_AFTER_MS: u64 = 2_000;
/// Silence after which a process is declared dead, in milliseconds.
pub const DEAD_AFTER_MS: u64 = 3_000;
/// Silence after which an entry suspects an agent, in milliseconds. Half a period is added to two
/// so that one lost datagram alone causes no suspicion.
pub const ENTRY_SUSPECT_AFTER_MS: u64 = 3_750;
/// Silence after which an entry declares an agent dead, in milliseconds: three periods and a half.
/// If two lost datagrams in a row sufficed, 1 % loss would make it happen once a second in a whole
/// fleet. The agents of a service declare it sooner, after [`DEAD_AFTER_MS`].
pub const ENTRY_DEAD_AFTER_MS: u64 = 5_250;
/// A process that handled nothing for this long was paused, because it has timers at least every
/// half second.
pub const PAUSE_MS: u64 = 1_500;
