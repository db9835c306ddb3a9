//! Detection of process pauses and clock jumps.

use fes_protocol::MonoTime;
use fes_protocol::WallTime;

/// Timer delay or clock difference above which a pause or jump is reported.
const MIN_JUMP_MS: u64 = 1_000;

/// A process pause or a clock jump.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClockEvent {
    /// A timer fired late, because the process did not run.
    Paused {
        /// Delay of the timer, in milliseconds.
        late_ms: u64,
    },
    /// The wall clock moved ahead of the monotonic clock, as after a suspended VM resumes.
    JumpedForward {
        /// Size of the jump, in milliseconds.
        by_ms: u64,
    },
    /// The wall clock moved back relative to the monotonic clock.
    JumpedBack {
        /// Size of the jump, in milliseconds.
        by_ms: u64,
    },
}

/// Compares the wall clock with the monotonic clock, and timers with their deadlines.
#[derive(Debug, Clone, Copy, Default)]
pub struct ClockMonitor {
    last: Option<(MonoTime, WallTime)>,
}

impl ClockMonitor {
    /// Creates a monitor without a first reading.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Compares a reading of both clocks with the previous one. `timer_due` is the deadline of the
    /// timer that caused the reading, if one did.
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

/// Detects a pause from the gap between two handled events. It reads no clock and uses only the
/// times that are passed with the events.
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

    /// Records that the process runs at `now`. Returns whether it was paused since the last call.
    pub(crate) fn detect_pause(&mut self, now: MonoTime) -> bool {
        let paused = now > self.pause_deadline;
        self.pause_deadline = now.plus_ms(self.max_gap_ms);
        paused
    }
}
