//! Periods and timeouts of heartbeats.

/// Period of heartbeats among agents, in milliseconds.
pub const HEARTBEAT_PERIOD_MS: u64 = 500;
/// Period of heartbeats from an agent to its entries, in milliseconds.
pub const ENTRY_HEARTBEAT_PERIOD_MS: u64 = 1_000;
/// Silence after which a process is suspect, in milliseconds.
pub const SUSPECT_AFTER_MS: u64 = 2_000;
/// Silence after which a process is declared dead, in milliseconds.
pub const DEAD_AFTER_MS: u64 = 3_000;
/// A process that handled nothing for this long was paused, because it has timers at least every
/// half second.
pub const PAUSE_MS: u64 = 1_500;
