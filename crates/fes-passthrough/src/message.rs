//! Messages between entries and agents. Each message is one datagram with a bincode header; a
//! carried packet follows the header unmodified.

use std::net::Ipv4Addr;

use fes_protocol::UpstreamName;
use serde::Deserialize;
use serde::Serialize;

use crate::Evacuation;
use crate::FlowKey;
use crate::FlowRequirements;
use crate::Priority;
use crate::Route;
use crate::ServiceTag;
use crate::ServiceWarmUp;
use crate::TargetRecord;
use crate::TargetState;

/// What an entry knows about the flow of a forwarded packet, which decides whether the agent
/// delivers it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardMode {
    /// The packet opens a flow that the entry placed on this agent's target.
    Open,
    /// The entry has recorded this agent's target, with its start time, as the flow's owner.
    Owner,
    /// The owner is unknown: deliver the packet only if the target is known to hold the flow.
    IfHeld,
}

/// Header of a client's packet that is forwarded to an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    /// Condition for delivery.
    pub mode: ForwardMode,
    /// Service that the entry expects the target to belong to.
    pub service: ServiceTag,
    /// Start time of the intended target, in milliseconds since the epoch; 0 if unknown.
    pub started_at_ms: u64,
    /// Requirements of the flow's requests, encoded without the priority.
    pub requirements: FlowRequirements,
}

/// Listed state of an agent's own target, sent by an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetHint {
    /// Identity of the target.
    pub id: UpstreamName,
    /// Service of the target.
    pub service: ServiceTag,
    /// Start time, in milliseconds since the epoch.
    pub started_at_ms: u64,
    /// Readiness; draining as well if the data centre is being evacuated.
    pub state: TargetState,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Revision of the platform's list from which this state was taken: that of the record or of
    /// the evacuation, whichever is higher.
    pub revision: u64,
}

/// Heartbeat of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Incarnation of the entry's process.
    pub incarnation: u64,
    /// Requested interval between the agent's reports, in milliseconds.
    pub report_period_ms: u32,
    /// The receiving agent's target, if the entry knows it.
    pub target: Option<TargetHint>,
    /// Limit of new flows while that target warms up, if there is one. Sent as an extension.
    #[serde(skip)]
    pub warm_up: Option<WarmUpHint>,
}

/// Limit of new flows of a target that is warming up, sent by an entry to the target's agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WarmUpHint {
    /// Remaining warm-up time, in milliseconds.
    pub remaining_ms: u32,
    /// Maximum number of new flows in any second.
    pub max_openings_per_s: u32,
}

/// Heartbeat of an agent, with the load figures that placement uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Incarnation of the agent's process.
    pub incarnation: u64,
    /// Service of the agent's target.
    pub service: ServiceTag,
    /// Start time of the target, in milliseconds since the epoch; 0 if unknown.
    pub started_at_ms: u64,
    /// Requests delivered to the target and not yet answered.
    pub running: u32,
    /// Requests that the agent queues until the target has a free slot, and that can still meet their
    /// latency goal. A new request doesn't wait for the others.
    pub waiting: u32,
    /// Open flows that carry many requests.
    pub streams: u32,
    /// Open flows.
    pub flows: u32,
    /// Share of the latest requests that failed at the target, in thousandths.
    pub failures_per_mille: u32,
    /// Whether the agent knows all flows of its target.
    pub is_complete: bool,
    /// Whether the target is unresponsive or accepts no flows.
    pub is_silent: bool,
    /// Whether the agent accepts no new flows because its target is draining or evacuated, or the
    /// agent is stopping.
    pub is_leaving: bool,
    /// Mean run time of the target's requests, in microseconds; 0 if none was measured. Sent as an
    /// extension.
    #[serde(skip)]
    pub run_time_us: u32,
    /// Whether the agent understands [`Message::ForwardWithPriority`]. Sent as an extension.
    #[serde(skip)]
    pub supports_priority: bool,
}

/// Reason why an agent returns a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReturnReason {
    /// The target doesn't accept the flow.
    NotAccepted,
    /// The target is draining or evacuated, or the agent is stopping.
    Leaving,
    /// The agent's target belongs to another service.
    WrongService,
    /// The target doesn't hold the flow.
    NotHeld,
    /// The agent is being restarted. The entry holds the packet until the next incarnation reports.
    Stopping,
}

/// Summary of an entry's view, from which peers that can't read the platform detect that they are
/// behind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewDigest {
    /// Incarnation of the entry's process.
    pub incarnation: u64,
    /// Newest revision of which the sender has all changes. Its era is sent as an extension.
    pub revision: u64,
    /// Whether the sender knows of eras, and understands revisions that hold one. Sent as an
    /// extension.
    #[serde(skip)]
    pub supports_eras: bool,
    /// Version of the configuration in force.
    pub routes_version: u64,
    /// Time since the platform confirmed the view, in milliseconds.
    pub age_ms: u64,
    /// Whether the sender requests the changes after this revision and version.
    pub wants_newer: bool,
    /// Other entries from which the sender receives digests.
    pub entries: Vec<Ipv4Addr>,
}

/// An entry that reads the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownReader {
    /// VM of the entry.
    pub vm: Ipv4Addr,
    /// Time since it last read the platform, in milliseconds.
    pub read_age_ms: u64,
}

/// Part of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutesPart {
    /// Version of the configuration.
    pub version: u64,
    /// Time after which an idle flow may be dropped, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Index of the part.
    pub index: u32,
    /// Number of parts.
    pub count: u32,
    /// Routes of the part. Their priorities are sent as an extension.
    pub routes: Vec<Route>,
    /// Services of the part whose targets get a limited number of new flows while they warm up. Sent
    /// as an extension.
    #[serde(skip)]
    pub services: Vec<ServiceWarmUp>,
}

/// Part of the difference between two revisions of the list of targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetsPart {
    /// Revision of the whole list.
    pub revision: u64,
    /// Base revision of the difference, which is the receiver's revision.
    pub after_revision: u64,
    /// Version of the configuration in that list.
    pub routes_version: u64,
    /// Time since the platform confirmed the list, in milliseconds.
    pub age_ms: u64,
    /// Index of the part.
    pub index: u32,
    /// Number of parts.
    pub count: u32,
    /// Targets that changed since the base revision. Their numbers of writes are sent as an extension.
    pub targets: Vec<TargetRecord>,
    /// Targets removed from the list since the base revision, with the revision of their removal.
    pub removed: Vec<(UpstreamName, u64)>,
    /// All evacuations that the sender knows, the same in each part; absent if the sender doesn't
    /// support evacuations. Sent as an extension.
    #[serde(skip)]
    pub evacuations: Option<Vec<Evacuation>>,
}

/// A message between two processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Entry to agent, followed by the packet.
    Forward(Forward),
    /// Entry to agent.
    Hello(Hello),
    /// Agent to entry.
    Load(LoadReport),
    /// Agent to entry: the target accepted the flow.
    Opened {
        /// Flow.
        flow: FlowKey,
        /// Initial sequence number of the target.
        sequence: u32,
        /// Start time of the target, in milliseconds since the epoch.
        started_at_ms: u64,
    },
    /// Agent to entry, followed by the packet: the packet was not accepted.
    Returned {
        /// Flow.
        flow: FlowKey,
        /// Reason.
        reason: ReturnReason,
    },
    /// Entry or delegate to agent: asks whether the target holds the flow. If a packet of the flow
    /// follows, the lookup goes to every agent whose target might hold it, and an agent without
    /// complete knowledge probes its target once with the packet.
    Lookup {
        /// Flow.
        flow: FlowKey,
        /// VM of the entry to notify if the target holds the flow, if a delegate sends the lookup
        /// on its behalf.
        entry: Option<Ipv4Addr>,
    },
    /// Entry to agent: send a lookup to these agents and return their results together. May be
    /// followed by a packet to pass on with the lookups.
    DelegateLookup {
        /// Flow.
        flow: FlowKey,
        /// VMs of the agents.
        agents: Vec<Ipv4Addr>,
    },
    /// Agent to entry: results of a delegated lookup.
    LookupResults {
        /// Flow.
        flow: FlowKey,
        /// VMs of agents whose target doesn't hold the flow.
        not_held_by: Vec<Ipv4Addr>,
        /// VMs of agents that can't determine whether their target holds the flow.
        undetermined: Vec<Ipv4Addr>,
    },
    /// Agent to the sender of the lookup: the target may hold the flow, but the agent started later
    /// than its target and doesn't know all of the target's flows.
    Undetermined {
        /// Flow.
        flow: FlowKey,
    },
    /// Agent to entry: the target holds the flow.
    Held {
        /// Flow.
        flow: FlowKey,
        /// Start time of the target, in milliseconds since the epoch.
        started_at_ms: u64,
    },
    /// Agent to entry, or to the sender of the lookup: the target doesn't hold the flow.
    NotHeld {
        /// Flow.
        flow: FlowKey,
    },
    /// Entry to entry: summary of the sender's view.
    Digest(ViewDigest),
    /// Entry to entry: response to a digest, with routes.
    Routes(RoutesPart),
    /// Entry to entry: response to a digest, with targets.
    Targets(TargetsPart),
    /// Agent to entry: the last message of a planned stop. The target goes on, so that the entry
    /// holds its packets until the agent's next incarnation reports.
    AgentStopped {
        /// Incarnation of the agent's process that ends.
        incarnation: u64,
    },
    /// Entry to entry, with a digest: the entries that read the platform for all.
    Readers(Vec<KnownReader>),
    /// Agent to entry: the last message of an agent whose target has ended, so that its flows are
    /// lost.
    TargetEnded {
        /// Incarnation of the agent's process that ends.
        incarnation: u64,
    },
    /// Entry to agent, followed by the packet; sent only to agents that announced support, because
    /// others drop it.
    ForwardWithPriority {
        /// Header, as without a priority.
        forward: Forward,
        /// Priority of the flow's requests.
        priority: Priority,
    },
}
