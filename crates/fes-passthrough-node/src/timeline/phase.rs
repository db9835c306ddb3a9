//! Phases of a recovery.

use crate::timeline::Distribution;

/// Role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Forwards packets of clients to agents.
    Entry,
    /// Delivers packets to its target.
    Agent,
}

impl Role {
    /// Returns the name used in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Agent => "agent",
        }
    }

    pub(super) fn from_name(name: &str) -> Option<Self> {
        let mut all = [Self::Entry, Self::Agent].into_iter();
        all.find(|role| role.name() == name)
    }
}

/// Phase of a recovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The process started.
    Start,
    /// The entry read the list, or routes from a peer came into force.
    FirstView,
    /// The entry became ready. Agents are ready when they start and don't log it.
    Ready,
    /// The entry received the first report of an agent; one time for each entry and agent.
    FirstReport,
    /// A search for a flow ended.
    SearchEnded,
    /// Time between the start and the end of a search at the same entry.
    SearchDuration,
    /// A flow was accepted.
    OpeningAccepted,
    /// Time between the placement and the acceptance of a flow at the same entry.
    OpeningDuration,
    /// A request was delivered to the target.
    RequestStarted,
    /// The target answered a request.
    RequestAnswered,
    /// The target answered its first request.
    FirstAnswer,
}

impl Phase {
    /// Returns the name used in the output.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::FirstView => "first_view",
            Self::Ready => "ready",
            Self::FirstReport => "first_report",
            Self::SearchEnded => "search_ended",
            Self::SearchDuration => "search_duration",
            Self::OpeningAccepted => "opening_accepted",
            Self::OpeningDuration => "opening_duration",
            Self::RequestStarted => "request_started",
            Self::RequestAnswered => "request_answered",
            Self::FirstAnswer => "first_answer",
        }
    }

    /// Returns whether the times are durations. Other times count from the first start.
    #[must_use]
    pub const fn is_duration(self) -> bool {
        matches!(self, Self::SearchDuration | Self::OpeningDuration)
    }

    /// Returns whether times after the end of the recovery are left out. The first events of
    /// processes are always part of it.
    pub(super) const fn ends_with_recovery(self) -> bool {
        matches!(
            self,
            Self::SearchEnded
                | Self::SearchDuration
                | Self::OpeningAccepted
                | Self::OpeningDuration
                | Self::RequestStarted
                | Self::RequestAnswered
        )
    }
}

/// All phases in the order of the output, with the roles that log them.
pub(super) const PHASES: [(Phase, Role); 12] = [
    (Phase::Start, Role::Entry),
    (Phase::Start, Role::Agent),
    (Phase::FirstView, Role::Entry),
    (Phase::Ready, Role::Entry),
    (Phase::FirstReport, Role::Entry),
    (Phase::SearchEnded, Role::Entry),
    (Phase::SearchDuration, Role::Entry),
    (Phase::OpeningAccepted, Role::Entry),
    (Phase::OpeningDuration, Role::Entry),
    (Phase::RequestStarted, Role::Agent),
    (Phase::RequestAnswered, Role::Agent),
    (Phase::FirstAnswer, Role::Agent),
];

/// Times of a phase for the processes of a role.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PhaseTimes {
    /// Phase.
    pub phase: Phase,
    /// Role of the processes.
    pub role: Role,
    /// Distribution of the times, or `None` if the logs have no lines of the phase.
    pub distribution: Option<Distribution>,
}
