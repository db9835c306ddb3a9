//! Fixed log prefixes, one for each part. Used as the `target` of log records.

/// An entry.
pub const ENTRY: &str = "entry";
/// An agent.
pub const AGENT: &str = "agent";
/// Links and encapsulation sockets.
pub const LINK: &str = "link";
/// Tickets and their distribution.
pub const TICKETS: &str = "tickets";
/// Heartbeats, liveness and life cycle.
pub const MEMBERSHIP: &str = "membership";
/// Admission and the queue.
pub const ADMISSION: &str = "admission";
/// Execution of non-repeatable requests.
pub const EXECUTION: &str = "execution";
/// The connection to the upstream.
pub const UPSTREAM: &str = "upstream";
/// The client of the platform.
pub const PLATFORM: &str = "platform";
/// Metrics, health and traces.
pub const TELEMETRY: &str = "telemetry";
/// Test doubles.
pub const TESTKIT: &str = "testkit";
/// The command line.
pub const COMMAND: &str = "command";

/// Flows that are passed through without being changed.
pub const FLOWS: &str = "flows";

/// All prefixes.
pub const ALL: &[&str] = &[
    ENTRY, AGENT, LINK, TICKETS, MEMBERSHIP, ADMISSION, EXECUTION, UPSTREAM, PLATFORM, TELEMETRY,
    TESTKIT, COMMAND, FLOWS,
];
