//! Decisions that affect a flow, or what a process knows about agents and targets, for logs and
//! counters.

use std::fmt;
use std::net::Ipv4Addr;

use crate::Evacuation;
use crate::FlowKey;

/// Outcome of a decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Outcome {
    /// An opening packet was sent to a target.
    Placed,
    /// An opening packet was sent to another target, because none of those tried accepted it.
    PlacedAgain,
    /// An opening packet was refused: there is no route for its destination.
    RefusedNoRoute,
    /// An opening packet was refused: no target is available.
    RefusedNoTarget,
    /// An opening packet was refused: all targets of the service that accept flows are in evacuated
    /// data centres.
    RefusedEvacuated,
    /// An opening packet was refused: all targets to which it was sent returned it, and either the
    /// maximum number of targets was tried, or no other is available and one of them warms up.
    RefusedOverload,
    /// A packet was dropped: the routes aren't known yet or may be out of date.
    DroppedUnsure,
    /// A packet that arrived before any route is known was buffered.
    KeptEarly,
    /// A packet that an entry had buffered or held was dropped: its request has timed out. At an agent,
    /// the entry's line of the packet tells the time.
    DroppedStale,
    /// A packet was dropped: a search for its flow is running and the buffer is full.
    DroppedSearching,
    /// A search for the target of a flow was started; `load` is the number of listed targets whose
    /// agents can't be asked at present.
    SearchStarted,
    /// The search found the target that holds the flow.
    SearchFound,
    /// No target holds the flow; the client was sent a reset.
    SearchLost,
    /// The route of an open flow was removed; the client was sent a reset.
    RouteRemoved,
    /// A target accepted a flow; at an entry, `age_ms` is the time since the flow was placed there.
    Accepted,
    /// A request was delivered to the target; `load` is the number of running requests, including
    /// this one, and `age_ms` the time that it was queued, 0 if it wasn't.
    Started,
    /// The target answered a request; `age_ms` is the time that the request ran.
    Answered,
    /// The target closed the flow without a response, or reported a failure of its own; `age_ms` is
    /// the time that the request ran.
    Failed,
    /// A request was queued because all slots of the target are in use; `load` is the number of
    /// queued requests, including this one.
    HeldBack,
    /// A queued request was dropped at its timeout, without having run; `age_ms` is the time that
    /// it was queued, and `load` the number of queued requests, including this one.
    TimedOutWaiting,
    /// A client cancelled a queued request, which has not run; `age_ms` is the time that it was
    /// queued, and `load` the number of queued requests, including this one.
    GivenUpWaiting,
    /// A target or agent returned a packet.
    HandedBack,
    /// An agent returned an opening packet, because its target is warming up and got the maximum
    /// number of new flows in the last second; `load` is that number.
    OverWarmUpLimit,
    /// An agent sent its first report, or reports again.
    AgentHeard,
    /// The reports of an agent have stopped.
    AgentSilent,
    /// An agent ended as planned; packets for its target are held until it reports again.
    AgentStopped,
    /// An agent ended with its target; the target's flows are lost.
    TargetEnded,
    /// A packet is held until the agent of its target has been restarted.
    HeldForAgent,
    /// A packet was dropped: the agent of its target is being restarted, and too many are held, or
    /// this one was held for too long, for `age_ms`.
    DroppedUnheld,
    /// A held packet was forwarded after `age_ms`, since the agent reports again.
    Released,
    /// The target fails the requests that it accepts; `load` is the share of failed requests in
    /// thousandths.
    TargetFailing,
    /// The target no longer fails its requests.
    TargetWorks,
    /// The target is unresponsive.
    TargetSilent,
    /// The target responds again.
    TargetAnswers,
    /// A target's listed state changed: it is new, was restarted or began to drain. At an entry,
    /// `load` is the number of its slots; at its agent, it is 1 if the target is draining or
    /// evacuated.
    TargetChanged,
    /// The evacuation of a data centre began.
    EvacuationStarted,
    /// The evacuation of a data centre ended.
    EvacuationEnded,
}

impl Outcome {
    /// Returns the outcome of a change of an evacuation.
    #[must_use]
    pub const fn of_evacuation(evacuation: &Evacuation) -> Self {
        match evacuation.is_in_force {
            true => Self::EvacuationStarted,
            false => Self::EvacuationEnded,
        }
    }

    /// Returns the name used in logs and as a metric label.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Placed => "placed",
            Self::PlacedAgain => "placed_again",
            Self::RefusedNoRoute => "refused_no_route",
            Self::RefusedNoTarget => "refused_no_target",
            Self::RefusedEvacuated => "refused_evacuated",
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
            Self::Failed => "failed",
            Self::HeldBack => "held_back",
            Self::TimedOutWaiting => "timed_out_waiting",
            Self::GivenUpWaiting => "given_up_waiting",
            Self::HandedBack => "handed_back",
            Self::OverWarmUpLimit => "over_warm_up_limit",
            Self::AgentHeard => "agent_heard",
            Self::AgentSilent => "agent_silent",
            Self::AgentStopped => "agent_stopped",
            Self::TargetEnded => "target_ended",
            Self::HeldForAgent => "held_for_agent",
            Self::DroppedUnheld => "dropped_unheld",
            Self::Released => "released",
            Self::TargetFailing => "target_failing",
            Self::TargetWorks => "target_works",
            Self::TargetSilent => "target_silent",
            Self::TargetAnswers => "target_answers",
            Self::TargetChanged => "target_changed",
            Self::EvacuationStarted => "evacuation_started",
            Self::EvacuationEnded => "evacuation_ended",
        }
    }

    /// Returns whether the decision fails or delays a client's request and is logged as a warning.
    #[must_use]
    pub const fn is_warning(self) -> bool {
        matches!(
            self,
            Self::RefusedNoRoute
                | Self::RefusedNoTarget
                | Self::RefusedEvacuated
                | Self::RefusedOverload
                | Self::DroppedUnsure
                | Self::KeptEarly
                | Self::DroppedStale
                | Self::DroppedUnheld
                | Self::Failed
                | Self::TimedOutWaiting
                | Self::GivenUpWaiting
                | Self::SearchLost
                | Self::RouteRemoved
        )
    }
}

/// A decision with the inputs on which it was based. Inputs that don't apply are 0 or absent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowDecision {
    /// Outcome.
    pub outcome: Outcome,
    /// Flow concerned.
    pub flow: Option<FlowKey>,
    /// VM concerned.
    pub vm: Option<Ipv4Addr>,
    /// Age of the report or view in use, or a duration, in milliseconds.
    pub age_ms: u64,
    /// Version of the configuration, revision of the list or start time of the target.
    pub version: u64,
    /// Load of the target in thousandths of its slots, or a number that the outcome describes.
    pub load: u64,
}

impl FlowDecision {
    /// Creates a decision without inputs.
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

    /// Sets the flow.
    #[must_use]
    pub const fn flow(mut self, flow: FlowKey) -> Self {
        self.flow = Some(flow);
        self
    }

    /// Sets the VM.
    #[must_use]
    pub const fn vm(mut self, vm: Ipv4Addr) -> Self {
        self.vm = Some(vm);
        self
    }

    /// Sets the age of the report or view, or the duration, in milliseconds.
    #[must_use]
    pub const fn age_ms(mut self, age_ms: u64) -> Self {
        self.age_ms = age_ms;
        self
    }

    /// Sets the version, revision or start time.
    #[must_use]
    pub const fn version(mut self, version: u64) -> Self {
        self.version = version;
        self
    }

    /// Sets the load, or the number that the outcome describes.
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
