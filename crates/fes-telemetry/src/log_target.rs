//! Targets of log records, one for each component. A log line shows its target as a prefix.

/// Entry.
pub const ENTRY: &str = "entry";
/// Agent.
pub const AGENT: &str = "agent";
/// Links and encapsulation sockets.
pub const LINK: &str = "link";
/// Tickets and their distribution.
pub const TICKETS: &str = "tickets";
/// Heartbeats, liveness and lifecycle.
pub const MEMBERSHIP: &str = "membership";
/// Admission and the queue.
pub const ADMISSION: &str = "admission";
/// Execution of non-repeatable requests.
pub const EXECUTION: &str = "execution";
/// Connection to the upstream.
pub const UPSTREAM: &str = "upstream";
/// Client of the platform.
pub const PLATFORM: &str = "platform";
/// Metrics, health and traces.
pub const TELEMETRY: &str = "telemetry";
/// Test doubles.
pub const TESTKIT: &str = "testkit";
/// Command line.
pub const COMMAND: &str = "command";

/// Pass-through flows, whose datagrams are forwarded unchanged.
pub const FLOWS: &str = "flows";

/// All targets.
pub const ALL: &[&str] = &[
    ENTRY, AGENT, LINK, TICKETS, MEMBERSHIP, ADMISSION, EXECUTION, UPSTREAM, PLATFORM, TELEMETRY,
    TESTKIT, COMMAND, FLOWS,
];
