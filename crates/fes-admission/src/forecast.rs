//! Forecast of start and completion times from running requests, the queue and class estimates.

use std::cmp::Ordering;

use fes_protocol::MonoTime;

use crate::ClassTable;
use crate::queue::DeadlineQueue;
use crate::queue::QueuedRequest;
use crate::running::RunningSet;

/// Minimum remaining time of a request that has exceeded its class mean, as a share of the mean.
const MIN_REMAINING_SHARE: f64 = 0.1;

/// Standard deviations that are added to the mean wait. An admitted request that starts too late is
/// refused late or wastes its slot; with 4 deviations this happened in one of 80 load peaks.
const SAFETY_DEVIATIONS: f64 = 5.0;

/// Forecast of when a slot becomes free.
#[derive(Debug, Clone, Copy, Default)]
struct SlotForecast {
    free_in_us: f64,
    variance_us2: f64,
    /// `free_in_us` plus the safety margin.
    safely_free_in_us: f64,
}

impl SlotForecast {
    fn new(free_in_us: f64, variance_us2: f64) -> Self {
        Self {
            free_in_us,
            variance_us2,
            safely_free_in_us: free_in_us + SAFETY_DEVIATIONS * variance_us2.sqrt(),
        }
    }

    fn add(&mut self, mean_us: f64, variance_us2: f64) {
        *self = Self::new(self.free_in_us + mean_us, self.variance_us2 + variance_us2);
    }
}

/// Forecast of when each slot becomes free, in microseconds from now. The first `long_slots` slots
/// may be used by long requests.
#[derive(Debug, Clone)]
pub(crate) struct Forecast {
    slots: Vec<SlotForecast>,
    long_slots: usize,
}

impl Forecast {
    pub(crate) fn new(
        now: MonoTime,
        running: &RunningSet,
        classes: &ClassTable,
        limit: u32,
        long_slots: u32,
    ) -> Self {
        // The flag is false for slots with a long request.
        let mut slots: Vec<(bool, SlotForecast)> = running
            .iter()
            .map(|r| {
                let mean_us = classes.mean_us(r.class);
                let age_us = now.us_since(r.started_at) as f64;
                if r.long && age_us > mean_us {
                    // The remaining time of a long request that has exceeded its class mean is
                    // unknown. Its age is the best estimate.
                    return (false, SlotForecast::new(age_us, age_us * age_us));
                }
                let left_us = (mean_us - age_us).max(mean_us * MIN_REMAINING_SHARE);
                (
                    !r.long,
                    SlotForecast::new(left_us, classes.variance_us2(r.class)),
                )
            })
            .collect();
        slots.sort_by(|a, b| latest_first(&a.1, &b.1));
        // After a reduction of the limit, the first slots that become free aren't reused.
        slots.truncate(limit as usize);
        slots.resize(limit.max(1) as usize, (true, SlotForecast::default()));
        // Slots with a long request come first, because they are among the `long_slots`.
        slots.sort_by(|a, b| a.0.cmp(&b.0).then(latest_first(&a.1, &b.1)));
        Self {
            slots: slots.into_iter().map(|slot| slot.1).collect(),
            long_slots: long_slots as usize,
        }
    }

    /// Assigns the request to the slot that becomes free first. Returns its expected completion in
    /// microseconds from now, with a safety margin on the wait. The service time has no margin, so
    /// that an idle agent doesn't refuse requests whose deadline the mean service time still meets.
    pub(crate) fn assign(&mut self, waiting: &QueuedRequest, classes: &ClassTable) -> f64 {
        let usable = if waiting.long {
            self.long_slots.min(self.slots.len())
        } else {
            self.slots.len()
        };
        let first = self.slots[..usable]
            .iter_mut()
            .min_by(|a, b| a.safely_free_in_us.total_cmp(&b.safely_free_in_us));
        first.map_or(f64::INFINITY, |slot| {
            let mean_us = classes.mean_us(waiting.class);
            let completion_us = slot.safely_free_in_us + mean_us;
            slot.add(mean_us, classes.variance_us2(waiting.class));
            completion_us
        })
    }

    /// Returns the expected waits of a short and of a long request that arrive now, in
    /// microseconds.
    pub(crate) fn waits_us(mut self, queue: &DeadlineQueue, classes: &ClassTable) -> (f64, f64) {
        for waiting in queue.iter().filter(|w| !w.long) {
            self.assign(waiting, classes);
        }
        // Short requests usually have earlier deadlines and start before queued long ones.
        let short_us = self.first_free_us(self.slots.len());
        for waiting in queue.long() {
            self.assign(waiting, classes);
        }
        (short_us, self.first_free_us(self.long_slots))
    }

    fn first_free_us(&self, usable: usize) -> f64 {
        let usable = usable.min(self.slots.len());
        let free_us = self.slots[..usable].iter().map(|slot| slot.free_in_us);
        free_us.fold(f64::INFINITY, f64::min)
    }

    /// Returns whether `candidate` is expected to complete before its deadline without making a
    /// queued request with a later deadline late.
    pub(crate) fn accepts(
        mut self,
        now: MonoTime,
        queue: &DeadlineQueue,
        classes: &ClassTable,
        candidate: &QueuedRequest,
    ) -> bool {
        let mut queued = queue.iter().peekable();
        while let Some(ahead) = queued.next_if(|w| w.deadline <= candidate.deadline) {
            self.assign(ahead, classes);
        }
        let mut without_candidate = self.clone();
        if is_late(now, self.assign(candidate, classes), candidate.deadline) {
            return false;
        }
        queued.all(|behind| {
            let late_with_candidate = is_late(now, self.assign(behind, classes), behind.deadline);
            let late_without_candidate = is_late(
                now,
                without_candidate.assign(behind, classes),
                behind.deadline,
            );
            late_without_candidate || !late_with_candidate
        })
    }
}

fn latest_first(a: &SlotForecast, b: &SlotForecast) -> Ordering {
    b.free_in_us.total_cmp(&a.free_in_us)
}

fn is_late(now: MonoTime, completion_us: f64, deadline: MonoTime) -> bool {
    completion_us > deadline.us_since(now) as f64
}
