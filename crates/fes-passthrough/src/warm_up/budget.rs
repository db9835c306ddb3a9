//! An agent's budget of openings while its target warms up.
//!
//! The openings of all entries arrive at the agent, so that the limit holds for their sum.

use fes_protocol::MonoTime;

use crate::OpeningWindow;
use crate::WarmUpHint;

/// Upper bound on the remaining time of a hint, so that a wrong value doesn't limit a target for
/// days.
const MAX_WARM_UP_MS: u64 = 3_600_000;
/// Time after a restart of the agent in which openings that the previous process delivered may
/// count against the limit.
const RESTART_MS: u64 = 1_000;

/// Instance of a target, and the revision of the record from which its warm-up time was taken.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Source {
    started_at_ms: u64,
    revision: u64,
}

/// Budget of openings of one target.
#[derive(Debug, Clone)]
pub struct WarmUpBudget {
    /// Start of this process, if an earlier one may have delivered openings.
    restarted_at: Option<MonoTime>,
    source: Source,
    max_openings_per_s: u32,
    ends_at: MonoTime,
    delivered: OpeningWindow,
}

impl WarmUpBudget {
    /// Creates a budget without a limit. With `is_first_start`, no earlier process can have
    /// delivered openings.
    #[must_use]
    pub fn new(now: MonoTime, is_first_start: bool) -> Self {
        Self {
            restarted_at: (!is_first_start).then_some(now),
            source: Source::default(),
            max_openings_per_s: 0,
            ends_at: MonoTime::ZERO,
            delivered: OpeningWindow::default(),
        }
    }

    /// Handles a hint about the target's instance that started at `started_at_ms`, taken from a
    /// record with this revision. Hints about earlier instances, and hints without a limit, are
    /// ignored.
    ///
    /// Entries may overestimate the remaining time, because messages take time. A repeated hint
    /// therefore only shortens the warm-up, unless it is from a newer record.
    pub fn on_hint(&mut self, now: MonoTime, started_at_ms: u64, revision: u64, hint: WarmUpHint) {
        let source = Source {
            started_at_ms,
            revision,
        };
        if hint.max_openings_per_s == 0 || started_at_ms < self.source.started_at_ms {
            return;
        }
        let ends_at = now.plus_ms(u64::from(hint.remaining_ms).min(MAX_WARM_UP_MS));
        self.max_openings_per_s = hint.max_openings_per_s;
        if source > self.source {
            self.source = source;
            self.ends_at = ends_at;
        } else {
            self.ends_at = self.ends_at.min(ends_at);
        }
    }

    /// Counts an opening that is about to be delivered. Returns false if it must not be delivered
    /// because it exceeds the budget; it isn't counted then.
    pub fn try_count(&mut self, now: MonoTime) -> bool {
        let has_budget = self
            .limit(now)
            .is_none_or(|limit| self.delivered.count(now) < self.allowed(now, limit));
        if has_budget {
            // Counted without a limit too: the hint may arrive after the first openings.
            self.delivered.record(now);
        }
        has_budget
    }

    /// Returns the limit in force, with the remaining time of the warm-up.
    #[must_use]
    pub fn in_force(&self, now: MonoTime) -> Option<WarmUpHint> {
        let remaining_ms = u32::try_from(self.ends_at.ms_since(now)).unwrap_or(u32::MAX);
        self.limit(now).map(|max_openings_per_s| WarmUpHint {
            remaining_ms,
            max_openings_per_s,
        })
    }

    fn limit(&self, now: MonoTime) -> Option<u32> {
        (now < self.ends_at).then_some(self.max_openings_per_s)
    }

    /// Returns the number of openings that may be in the window. In the first second after a
    /// restart it grows with time, since the previous process may have used up the limit.
    fn allowed(&self, now: MonoTime, limit: u32) -> u32 {
        let elapsed_ms = self.restarted_at.map(|at| now.ms_since(at));
        match elapsed_ms {
            Some(elapsed_ms) if elapsed_ms < RESTART_MS => {
                let allowed = u64::from(limit) * elapsed_ms / RESTART_MS;
                u32::try_from(allowed).unwrap_or(limit)
            }
            _ => limit,
        }
    }
}
