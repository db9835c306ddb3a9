//! Typestate of a process. A stopped process can't change its state, and only a draining one can
//! stop:
//!
//! ```compile_fail
//! use fes_membership::lifecycle::{Process, Serving, Stopped, WorkInProgress};
//! use fes_protocol::MonoTime;
//!
//! fn stop(serving: Process<Serving>) -> Result<Process<Stopped>, Process<Serving>> {
//!     serving.stop(MonoTime::ZERO, WorkInProgress::default(), 0)
//! }
//! ```

use fes_protocol::MonoTime;

use super::CutOff;
use super::DrainSource;
use super::DrainSources;
use super::WorkInProgress;

/// A process in state `S`.
#[derive(Debug, PartialEq, Eq)]
pub struct Process<S> {
    state: S,
}

/// Not ready for work yet.
#[derive(Debug, PartialEq, Eq)]
pub struct Starting {
    sources: DrainSources,
}

/// Accepts new work.
#[derive(Debug, PartialEq, Eq)]
pub struct Serving;

/// Completes work in progress and accepts no new work.
#[derive(Debug, PartialEq, Eq)]
pub struct Draining {
    sources: DrainSources,
    linger_until: MonoTime,
    bound_at: Option<MonoTime>,
    pending_answers: Option<PendingAnswers>,
}

/// Work that was cut off, and the deadline for sending the answers to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PendingAnswers {
    cut_off: CutOff,
    flush_until: MonoTime,
}

/// Stopped gracefully or at the drain bound.
#[derive(Debug, PartialEq, Eq)]
pub struct Stopped {
    cut_off: Option<CutOff>,
}

impl Process<Starting> {
    /// Creates a process that has just started.
    #[must_use]
    pub fn new() -> Self {
        Self {
            state: Starting {
                sources: DrainSources::default(),
            },
        }
    }

    /// Records a source that isn't final, because the upstream was leaving before this process
    /// started. The process drains as soon as it is ready.
    pub const fn add_source(&mut self, source: DrainSource) {
        self.state.sources.insert(source);
    }

    /// Withdraws a source.
    pub const fn withdraw(&mut self, source: DrainSource) {
        self.state.sources.withdraw(source);
    }

    /// Enters service.
    ///
    /// # Errors
    ///
    /// Returns a draining process if a source has already requested a drain.
    pub fn serve(self, now: MonoTime) -> Result<Process<Serving>, Process<Draining>> {
        if self.state.sources.is_empty() {
            return Ok(Process { state: Serving });
        }
        Err(Process {
            state: Draining {
                sources: self.state.sources,
                linger_until: now,
                bound_at: None,
                pending_answers: None,
            },
        })
    }

    /// Starts to drain. There is no work yet, so the process may stop at once.
    #[must_use]
    pub fn drain(
        self,
        now: MonoTime,
        source: DrainSource,
        bound_at: MonoTime,
    ) -> Process<Draining> {
        let mut draining = Process {
            state: Draining {
                sources: self.state.sources,
                linger_until: now,
                bound_at: None,
                pending_answers: None,
            },
        };
        draining.add_source(source, bound_at);
        draining
    }
}

impl Default for Process<Starting> {
    fn default() -> Self {
        Self::new()
    }
}

impl Process<Serving> {
    /// Starts to drain. The process runs at least until `linger_until`, because others send work
    /// to it until they have learnt of the drain.
    #[must_use]
    pub fn drain(
        self,
        source: DrainSource,
        linger_until: MonoTime,
        bound_at: MonoTime,
    ) -> Process<Draining> {
        let mut draining = Process {
            state: Draining {
                sources: DrainSources::default(),
                linger_until,
                bound_at: None,
                pending_answers: None,
            },
        };
        draining.add_source(source, bound_at);
        draining
    }
}

impl Process<Draining> {
    /// Adds a source and returns whether it is new. The first final source sets the drain bound;
    /// later ones don't change it.
    pub fn add_source(&mut self, source: DrainSource, bound_at: MonoTime) -> bool {
        if source.is_final() && self.state.bound_at.is_none() {
            self.state.bound_at = Some(bound_at);
        }
        self.state.sources.insert(source)
    }

    /// Withdraws a source that isn't final.
    ///
    /// # Errors
    ///
    /// Returns the process, still draining, if another source remains.
    pub fn withdraw(mut self, source: DrainSource) -> Result<Process<Serving>, Self> {
        self.state.sources.withdraw(source);
        if self.state.sources.is_empty() {
            Ok(Process { state: Serving })
        } else {
            Err(self)
        }
    }

    /// Returns the time at which work is cut off, if a final source has set it.
    #[must_use]
    pub const fn bound_at(&self) -> Option<MonoTime> {
        self.state.bound_at
    }

    /// Returns until when the process runs even without work.
    #[must_use]
    pub const fn linger_until(&self) -> MonoTime {
        self.state.linger_until
    }

    /// Postpones the bound to `earliest` if it is due sooner, so that a process that was paused
    /// past its bound first reads what arrived in the meantime.
    pub fn extend_bound(&mut self, earliest: MonoTime) {
        self.state.bound_at = self.state.bound_at.map(|bound| bound.max(earliest));
    }

    /// Cuts off the remaining work once the bound is reached, and returns it the first time. Its
    /// answers may be sent until `flush_until`.
    pub fn cut_off(
        &mut self,
        now: MonoTime,
        work: WorkInProgress,
        flush_until: MonoTime,
    ) -> Option<CutOff> {
        let is_due = self.state.bound_at.is_some_and(|bound| now >= bound);
        if !is_due || self.state.pending_answers.is_some() {
            return None;
        }
        let cut_off = CutOff {
            request_count: work.request_count,
            stream_count: work.stream_count,
        };
        self.state.pending_answers = Some(PendingAnswers {
            cut_off,
            flush_until,
        });
        Some(cut_off)
    }

    /// Stops if a final source requests it and either no work is left, or the work was cut off and
    /// its answers were sent or timed out.
    ///
    /// # Errors
    ///
    /// Returns the process, still draining, if it can't stop yet.
    pub fn stop(
        self,
        now: MonoTime,
        work: WorkInProgress,
        quiet_ms: u64,
    ) -> Result<Process<Stopped>, Self> {
        let bound_at = self.state.bound_at.unwrap_or(MonoTime::NEVER);
        let earliest = self.state.linger_until.min(bound_at);
        let may_stop = match self.state.pending_answers {
            Some(pending) => work.is_answered() || now >= pending.flush_until,
            None => now >= earliest && work.is_done(now, quiet_ms),
        };
        if !self.state.sources.is_final() || !may_stop {
            return Err(self);
        }
        let cut_off = self.state.pending_answers.map(|pending| pending.cut_off);
        Ok(Process {
            state: Stopped { cut_off },
        })
    }
}

impl Process<Stopped> {
    /// Returns the work that was cut off, if the bound was reached before the work was done.
    #[must_use]
    pub const fn cut_off(&self) -> Option<CutOff> {
        self.state.cut_off
    }
}
