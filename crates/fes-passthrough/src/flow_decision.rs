//! Decisions that touch a flow or change what a process believes, for logs and counters.

use std::fmt;
use std::net::Ipv4Addr;

use crate::FlowKey;

/// What was decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Outcome {
    /// An opening packet was sent to a target.
    Placed,
    /// An opening packet was sent to one more target, since the first one gave no sign.
    PlacedAgain,
    /// An opening packet was refused: no route leads from its address.
    RefusedNoRoute,
    /// An opening packet was refused: no target can take it.
    RefusedNoTarget,
    /// An opening packet was refused: no target can serve it in time.
    RefusedOverload,
    /// A packet was dropped: routes aren't known yet or may be out of date.
    DroppedUnsure,
    /// A packet that came before any route is known is kept until then.
    KeptEarly,
    /// A packet that was kept was dropped: its client has given up meanwhile.
    DroppedStale,
    /// A packet was dropped: its flow is being looked for.
    DroppedSearching,
    /// All agents of the service were asked for a flow.
    SearchStarted,
    /// An agent holds the flow that was looked for.
    SearchFound,
    /// No target holds the flow; the client was told by a reset.
    SearchLost,
    /// The route was removed; the client was told by a reset.
    RouteRemoved,
    /// A target accepted a flow; at an entry, `age_ms` is the time since it was placed there.
    Accepted,
    /// A request was handed to the target; `load` is the number that run with it.
    Started,
    /// The target answered a request; `age_ms` is how long it ran.
    Answered,
    /// A request is held back, since the target's slots are taken.
    HeldBack,
    /// A request that was held back was dropped: nobody waits for it any more. It has not run.
    TimedOutWaiting,
    /// A client gave up a request that was held back. It has not run.
    GivenUpWaiting,
    /// A target or agent handed a packet back.
    HandedBack,
    /// An agent is heard for the first time or again.
    AgentHeard,
    /// An agent has not been heard for too long.
    AgentSilent,
    /// A target gives no sign of life.
    TargetSilent,
    /// A target answers again.
    TargetAnswers,
    /// The own target was replaced or told to leave.
    TargetChanged,
}

impl Outcome {
    /// Returns the name used in logs and as a metric label.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Placed => "placed",
            Self::PlacedAgain => "placed_again",
            Self::RefusedNoRoute => "refused_no_route",
            Self::RefusedNoTarget => "refused_no_target",
            Self::RefusedOverload => "refused_overload",
            Self::DroppedUnsure => "dropped_unsure",
            Self::KeptEarly => "kept_early",
            Self::DroppedStale => "dropped_stale",
            Self::DroppedSearching => "dropped_searching",
            Self::SearchStarted => "search_started",
            Self::SearchFound => "search_found",
            Self::SearchLost => "search_lost",
            Self::RouteRemoved => "route_removed",
            Self::Accepted => "accepted",
            Self::Started => "started",
            Self::Answered => "answered",
            Self::HeldBack => "held_back",
            Self::TimedOutWaiting => "timed_out_waiting",
            Self::GivenUpWaiting => "given_up_waiting",
            Self::HandedBack => "handed_back",
            Self::AgentHeard => "agent_heard",
            Self::AgentSilent => "agent_silent",
            Self::TargetSilent => "target_silent",
            Self::TargetAnswers => "target_answers",
            Self::TargetChanged => "target_changed",
        }
    }

    /// Returns whether the decision ends or delays what a caller asked for.
    #[must_use]
    pub const fn is_warning(self) -> bool {
        matches!(
            self,
            Self::RefusedNoRoute
                | Self::RefusedNoTarget
                | Self::RefusedOverload
                | Self::DroppedUnsure
                | Self::KeptEarly
                | Self::DroppedStale
                | Self::TimedOutWaiting
                | Self::GivenUpWaiting
                | Self::SearchLost
                | Self::RouteRemoved
        )
    }
}

/// A decision with the inputs that decided it. Inputs that don't apply are 0 or absent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowDecision {
    /// What was decided.
    pub outcome: Outcome,
    /// Flow concerned.
    pub flow: Option<FlowKey>,
    /// VM concerned.
    pub vm: Option<Ipv4Addr>,
    /// Age of the report or view that decided, in milliseconds.
    pub age_ms: u64,
    /// Version of the configuration, revision of the list or start time of the target.
    pub version: u64,
    /// Load that decided: thousandths of the target's slots, or a number of targets.
    pub load: u64,
}

impl FlowDecision {
    /// Makes a note without inputs.
    #[must_use]
    pub const fn new(outcome: Outcome) -> Self {
        Self {
            outcome,
            flow: None,
            vm: None,
            age_ms: 0,
            version: 0,
            load: 0,
        }
    }

    /// Adds the flow.
    #[must_use]
    pub const fn flow(mut self, flow: FlowKey) -> Self {
        self.flow = Some(flow);
        self
    }

    /// Adds the VM.
    #[must_use]
    pub const fn vm(mut self, vm: Ipv4Addr) -> Self {
        self.vm = Some(vm);
        self
    }

    /// Adds the age of what decided, in milliseconds.
    #[must_use]
    pub const fn age_ms(mut self, age_ms: u64) -> Self {
        self.age_ms = age_ms;
        self
    }

    /// Adds the version of what decided.
    #[must_use]
    pub const fn version(mut self, version: u64) -> Self {
        self.version = version;
        self
    }

    /// Adds the load that decided.
    #[must_use]
    pub const fn load(mut self, load: u64) -> Self {
        self.load = load;
        self
    }
}

impl fmt::Display for FlowDecision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "outcome={}", self.outcome.name())?;
        if let Some(flow) = self.flow {
            write!(f, " flow={flow}")?;
        }
        if let Some(vm) = self.vm {
            write!(f, " vm={vm}")?;
        }
        write!(
            f,
            " age_ms={} version={} load={}",
            self.age_ms, self.version, self.load
        )
    }
}
