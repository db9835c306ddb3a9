//! Messages between entries and agents: one datagram each, a bincode head and, for messages that
//! carry a packet, the packet unchanged behind it.

use std::net::Ipv4Addr;

use fes_protocol::UpstreamName;
use serde::Deserialize;
use serde::Serialize;

use crate::FlowKey;
use crate::FlowRequirements;
use crate::Route;
use crate::ServiceTag;
use crate::TargetRecord;
use crate::TargetState;

/// How sure an entry is that the receiving agent's target holds the flow of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardMode {
    /// The packet opens a flow that the entry placed here.
    Open,
    /// The entry knows the flow's target by its start time.
    Owner,
    /// Unknown: deliver only what the target is known to hold.
    IfHeld,
}

/// A client's packet on its way to an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    /// How sure the entry is.
    pub mode: ForwardMode,
    /// Service that the entry takes the target for.
    pub service: ServiceTag,
    /// Start time of the target that the entry means, in milliseconds since the epoch; 0 if unknown.
    pub started_at_ms: u64,
    /// What the flow's requests need.
    pub requirements: FlowRequirements,
}

/// What an entry tells an agent about the agent's own target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetHint {
    /// Identity of the target.
    pub id: UpstreamName,
    /// Service of the target.
    pub service: ServiceTag,
    /// Start time, in milliseconds since the epoch.
    pub started_at_ms: u64,
    /// Readiness.
    pub state: TargetState,
    /// Requests that the target runs at once.
    pub slots: u32,
    /// Revision of the platform's list that says so.
    pub revision: u64,
}

/// Heartbeat of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// This run of the entry.
    pub incarnation: u64,
    /// How often the entry wants to hear from the agent, in milliseconds.
    pub report_period_ms: u32,
    /// The receiver's target, if the entry knows it.
    pub target: Option<TargetHint>,
}

/// Heartbeat of an agent, with what placement needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// This run of the agent.
    pub incarnation: u64,
    /// Service of the agent's target.
    pub service: ServiceTag,
    /// Start time of the target, in milliseconds since the epoch; 0 if unknown.
    pub started_at_ms: u64,
    /// Requests handed to the target and not answered yet.
    pub running: u32,
    /// Requests that the agent holds back until the target has a slot.
    pub waiting: u32,
    /// Open flows that stay open for many requests.
    pub streams: u32,
    /// Open flows.
    pub flows: u32,
    /// Whether the agent knows all flows of its target.
    pub is_complete: bool,
    /// Whether the target gives no sign of life.
    pub is_silent: bool,
    /// Whether the agent takes no new flows: its target drains, or the agent itself is stopping.
    pub is_leaving: bool,
}

/// Why an agent hands a packet back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReturnReason {
    /// The target doesn't accept the flow.
    NotAccepted,
    /// The target is leaving.
    Leaving,
    /// The agent serves another service.
    WrongService,
    /// The target doesn't hold the flow.
    NotHeld,
}

/// State of a view, for peers that can't read the platform themselves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewDigest {
    /// This run of the entry.
    pub incarnation: u64,
    /// Newest revision held in full.
    pub revision: u64,
    /// Version of the configuration in force.
    pub routes_version: u64,
    /// Time since the platform confirmed the view, in milliseconds.
    pub age_ms: u64,
    /// Whether the sender asks for what the receiver holds beyond this.
    pub wants_newer: bool,
    /// Other entries that the sender hears.
    pub entries: Vec<Ipv4Addr>,
}

/// Part of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutesPart {
    /// Version of the configuration.
    pub version: u64,
    /// Time after which an idle flow may be forgotten, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Index of the part.
    pub index: u32,
    /// Number of parts.
    pub count: u32,
    /// Routes of the part.
    pub routes: Vec<Route>,
}

/// Part of the difference between two revisions of the list of targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetsPart {
    /// Revision of the whole list.
    pub revision: u64,
    /// Revision of the receiver, from which the difference is taken.
    pub after_revision: u64,
    /// Version of the configuration in that list.
    pub routes_version: u64,
    /// Time since the platform confirmed the list, in milliseconds.
    pub age_ms: u64,
    /// Index of the part.
    pub index: u32,
    /// Number of parts.
    pub count: u32,
    /// Targets of the part that changed since the receiver's revision.
    pub targets: Vec<TargetRecord>,
    /// Targets that left the list since then, with the revision at which they did.
    pub removed: Vec<(UpstreamName, u64)>,
}

/// Any message between two processes of the system.
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
        /// Sequence number with which the target opened it.
        sequence: u32,
        /// Start time of the target, in milliseconds since the epoch.
        started_at_ms: u64,
    },
    /// Agent to entry, followed by the packet: it was not taken.
    Returned {
        /// Flow.
        flow: FlowKey,
        /// Why.
        reason: ReturnReason,
    },
    /// Entry or delegate to agent: does the target hold the flow? If a packet of the flow follows,
    /// every agent that might hold it is being asked: an agent that can't know hands the packet to
    /// its target, once, and sees what it does with it.
    Lookup {
        /// Flow.
        flow: FlowKey,
        /// VM of the entry that learns who holds the flow, if a delegate asks for it.
        entry: Option<Ipv4Addr>,
    },
    /// Entry to agent: ask these agents, and tell what they answer together. May be followed by a
    /// packet to pass on to them.
    DelegateLookup {
        /// Flow.
        flow: FlowKey,
        /// VMs of the agents.
        agents: Vec<Ipv4Addr>,
    },
    /// Agent to entry: what agents answered that it was told to ask.
    LookupResults {
        /// Flow.
        flow: FlowKey,
        /// VMs of agents whose target doesn't hold the flow.
        not_held_by: Vec<Ipv4Addr>,
        /// VMs of agents that can't know.
        undetermined: Vec<Ipv4Addr>,
    },
    /// Agent to whoever asked: the target may hold the flow; the agent started after it.
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
    /// Agent to entry, or to whoever asked: the target doesn't hold the flow.
    NotHeld {
        /// Flow.
        flow: FlowKey,
    },
    /// Entry to entry.
    Digest(ViewDigest),
    /// Entry to entry.
    Routes(RoutesPart),
    /// Entry to entry.
    Targets(TargetsPart),
}
