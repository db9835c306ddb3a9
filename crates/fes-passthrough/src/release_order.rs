//! Order in which an agent releases queued requests to its target.
//!
//! Requests that can still be answered within their latency goal come first, then those that can be
//! answered before their timeout, then the rest. Within each of these groups, the order is by
//! priority, then requests that must not be repeated before others, then by deadline.
//!
//! Under a lasting overload, this order alone would release no request of a lower priority.
//! Therefore, each priority with a request that can still meet its latency goal gets at least one in
//! [`RELEASES_PER_TURN`] consecutive releases.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use fes_protocol::FastMap;
use fes_protocol::MonoTime;

use crate::FlowUse;
use crate::Priority;

/// Number of consecutive releases of which each priority gets at least one. With this many priorities
/// or more, releases go round all of them, and a priority may wait for longer.
pub const RELEASES_PER_TURN: u32 = 8;

/// A queued request, as far as the order of releases depends on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReleaseCandidate {
    /// Priority.
    pub priority: Priority,
    /// How its flow is used.
    pub flow_use: FlowUse,
    /// End of its latency goal.
    pub latency_goal_at: MonoTime,
    /// Its timeout.
    pub timeout_at: MonoTime,
}

/// What a request can still achieve, in the order in which requests are released.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Prospect {
    MeetsGoal,
    MeetsTimeout,
    MissesTimeout,
}

impl ReleaseCandidate {
    /// Returns whether the request meets its latency goal if it ends at `expected_end_at`.
    #[must_use]
    pub fn is_in_time(&self, expected_end_at: MonoTime) -> bool {
        expected_end_at <= self.latency_goal_at
    }

    /// Returns what the request can achieve if it ends at `expected_end_at`, and its deadline.
    fn prospect(&self, expected_end_at: MonoTime) -> (Prospect, MonoTime) {
        if self.is_in_time(expected_end_at) {
            (Prospect::MeetsGoal, self.latency_goal_at)
        } else if expected_end_at <= self.timeout_at {
            (Prospect::MeetsTimeout, self.timeout_at)
        } else {
            (Prospect::MissesTimeout, self.timeout_at)
        }
    }
}

/// Selects the requests to release.
#[derive(Debug, Default)]
pub struct ReleaseOrder {
    /// Number of releases since the latest one of each priority. Only releases at which a request of
    /// the priority could meet its goal are counted.
    passed_over: FastMap<Priority, u32>,
}

impl ReleaseOrder {
    /// Returns the index of the request to release now, and counts its release. A request that is
    /// released now is expected to end at `expected_end_at`.
    pub fn select(
        &mut self,
        expected_end_at: MonoTime,
        candidates: impl Iterator<Item = ReleaseCandidate>,
    ) -> Option<usize> {
        let mut firsts = BTreeMap::new();
        for (index, candidate) in candidates.enumerate() {
            let (prospect, deadline) = candidate.prospect(expected_end_at);
            // Failures of requests that must not be repeated cost their clients most: they can't
            // retry.
            let is_repeatable = candidate.flow_use != FlowUse::NonRepeatable;
            let rank = (is_repeatable, deadline, index);
            let first = firsts.entry((prospect, candidate.priority)).or_insert(rank);
            *first = rank.min(*first);
        }
        let mut selected = *firsts.keys().next()?;
        let is_in_time = |(prospect, _): &&(Prospect, Priority)| *prospect == Prospect::MeetsGoal;
        let in_time = firsts.keys().take_while(is_in_time);
        let in_time: Vec<Priority> = in_time.map(|(_, priority)| *priority).collect();
        if let Some(due) = self.due(&in_time) {
            selected = (Prospect::MeetsGoal, due);
        }
        self.count(&in_time, selected.1);
        firsts.get(&selected).map(|(_, _, index)| *index)
    }

    /// Returns the priority that was passed over for longest, if it must be released now so that
    /// each priority gets its turn in time.
    fn due(&self, in_time: &[Priority]) -> Option<Priority> {
        let with_count = |priority: &Priority| (Reverse(self.passed_over(*priority)), *priority);
        let mut longest_first: Vec<_> = in_time.iter().map(with_count).collect();
        longest_first.sort_unstable();
        // A priority gets its turn after all those that were passed over for longer.
        let is_due = longest_first
            .iter()
            .zip(0..)
            .any(|((Reverse(count), _), earlier)| count + earlier + 1 >= RELEASES_PER_TURN);
        let longest = longest_first.first().filter(|_| is_due);
        longest.map(|(_, priority)| *priority)
    }

    fn passed_over(&self, priority: Priority) -> u32 {
        self.passed_over.get(&priority).copied().unwrap_or(0)
    }

    /// Counts a release for the priorities with a request that could have met its goal.
    fn count(&mut self, in_time: &[Priority], released: Priority) {
        for priority in in_time {
            *self.passed_over.entry(*priority).or_default() += 1;
        }
        self.passed_over.remove(&released);
    }
}
