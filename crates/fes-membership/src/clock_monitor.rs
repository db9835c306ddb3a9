//! Detects that the process was paused or that its clock jumped.

use fes_protocol::MonoTime;
use fes_protocol::WallTime;

/// Smallest difference that counts, in milliseconds.
const MIN_JUMP_MS: u64 = 1_000;

/// What happened to the clock or to the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClockEvent {
    /// A timer fired late: the process did not run.
    Paused {
        /// How late, in milliseconds.
        late_ms: u64,
    },
    /// The wall clock moved ahead of the monotonic clock, as after a suspended VM resumes.
    JumpedForward {
        /// By how much, in milliseconds.
        by_ms: u64,
    },
    /// The wall clock moved back against the monotonic clock.
    JumpedBack {
        /// By how much, in milliseconds.
        by_ms: u64,
    },
}

/// Compares the two clocks with each other and timers with their deadlines.
#[derive(Debug, Clone, Copy, Default)]
pub struct ClockMonitor {
    last: Option<(MonoTime, WallTime)>,
}

impl ClockMonitor {
    /// Makes a guard that has seen no time yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a reading of both clocks. `timer_due` is the deadline of the timer that caused the
    /// reading, if one did.
    pub fn observe(
        &mut self,
        now: MonoTime,
        wall: WallTime,
        timer_due: Option<MonoTime>,
    ) -> Option<ClockEvent> {
        let last = self.last.replace((now, wall));
        let late_ms = timer_due.map_or(0, |due| now.ms_since(due));
        if late_ms > MIN_JUMP_MS {
            return Some(ClockEvent::Paused { late_ms });
        }
        let (last_now, last_wall) = last?;
        let expected_ms = last_wall.as_ms() + now.ms_since(last_now);
        let ahead_ms = wall.as_ms().saturating_sub(expected_ms);
        let behind_ms = expected_ms.saturating_sub(wall.as_ms());
        if ahead_ms > MIN_JUMP_MS {
            return Some(ClockEvent::JumpedForward { by_ms: ahead_ms });
        }
        (behind_ms > MIN_JUMP_MS).then_some(ClockEvent::JumpedBack { by_ms: behind_ms })
    }
}

/// Notices a pause from the gap between two handled events, without a look at any clock other
/// than the time that comes with the events.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PauseDetector {
    pause_deadline: MonoTime,
    max_gap_ms: u64,
}

impl PauseDetector {
    pub(crate) const fn new(now: MonoTime, max_gap_ms: u64) -> Self {
        Self {
            pause_deadline: now.plus_ms(max_gap_ms),
            max_gap_ms,
        }
    }

    /// Takes note that the process runs. Returns whether it was paused before.
    pub(crate) fn detect_pause(&mut self, now: MonoTime) -> bool {
        let paused = now > self.pause_deadline;
        self.pause_deadline = now.plus_ms(self.max_gap_ms);
        paused
    }
}
