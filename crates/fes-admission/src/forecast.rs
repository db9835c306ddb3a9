//! Forecast of start and completion from running requests, queue content and class estimates.

use fes_protocol::MonoTime;

use crate::ClassTable;
use crate::queue::DeadlineQueue;
use crate::queue::Waiting;
use crate::running::RunningSet;

/// Least remaining share of the mean that is assumed of a request that overran it.
const MIN_REMAINING_SHARE: f64 = 0.1;

/// When each slot becomes free, in microseconds from now. Slots that long classes may use come
/// first.
#[derive(Debug, Clone)]
pub(crate) struct Forecast {
    free_in_us: Vec<f64>,
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
        let mut slots: Vec<(bool, f64)> = running
            .iter()
            .map(|r| {
                let mean_us = classes.mean_us(r.class);
                let left_us = mean_us - now.us_since(r.started_at) as f64;
                (!r.long, left_us.max(mean_us * MIN_REMAINING_SHARE))
            })
            .collect();
        slots.sort_by(|a, b| b.1.total_cmp(&a.1));
        // After a reduction of the limit, the first slots that become free stay empty.
        slots.truncate(limit as usize);
        slots.resize(limit.max(1) as usize, (true, 0.0));
        slots.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)));
        Self {
            free_in_us: slots.into_iter().map(|slot| slot.1).collect(),
            long_slots: long_slots as usize,
        }
    }

    /// Assigns the request to the slot that is free first; returns its completion in
    /// microseconds from now.
    pub(crate) fn assign(&mut self, waiting: &Waiting, classes: &ClassTable) -> f64 {
        let usable = if waiting.long {
            self.long_slots.min(self.free_in_us.len())
        } else {
            self.free_in_us.len()
        };
        let first = self.free_in_us[..usable]
            .iter_mut()
            .min_by(|a, b| a.total_cmp(b));
        let mean_us = classes.mean_us(waiting.class);
        first.map_or(f64::INFINITY, |slot| {
            *slot += mean_us;
            *slot
        })
    }

    /// Returns whether `candidate` is expected to complete in time without making a request
    /// behind it late.
    pub(crate) fn accepts(
        mut self,
        now: MonoTime,
        queue: &DeadlineQueue,
        classes: &ClassTable,
        candidate: &Waiting,
    ) -> bool {
        let mut rest = queue.iter().peekable();
        while let Some(ahead) = rest.next_if(|w| w.deadline <= candidate.deadline) {
            self.assign(ahead, classes);
        }
        let mut without = self.clone();
        if is_late(now, self.assign(candidate, classes), candidate.deadline) {
            return false;
        }
        rest.all(|behind| {
            let late = is_late(now, self.assign(behind, classes), behind.deadline);
            let late_anyway = is_late(now, without.assign(behind, classes), behind.deadline);
            late_anyway || !late
        })
    }
}

fn is_late(now: MonoTime, completion_us: f64, deadline: MonoTime) -> bool {
    completion_us > deadline.us_since(now) as f64
}
