//! The ceiling: one scheduler for the slots of all targets, without trips and without delay.
//!
//! Whenever a slot is free, the fastest one gets the request with the earliest deadline of those
//! that would be in time there. Requests that can't be in time any more run only on slots that no
//! other waiting request can use.
//!
//! This isn't proven to be the best schedule: it refuses no long request in favour of several short
//! ones, and keeps no slot free for a request that is about to arrive. How far it can be off is
//! bounded by [`bound_in_time`](super::bound::bound_in_time).

use std::collections::BTreeSet;

use fes_protocol::MonoTime;

use super::fleet::DATA_CENTRES;
use super::fleet::Target;
use super::flow_policy::FlowPolicy;
use super::load::Load;
use super::load::RequestClass;
use super::outcome::Execution;
use super::outcome::Executions;
use crate::sim::EventQueue;

/// Run time to allow for a request of unknown run time, in percent of the mean, as in
/// `fes-passthrough`.
const MARGIN_PERCENT: u64 = 150;

#[derive(Debug, Clone, Copy)]
enum Event {
    Sent { request: usize },
    SlotFree { target: usize },
}

/// Requests by deadline.
type Waiting = BTreeSet<(MonoTime, usize)>;

struct Ceiling<'a> {
    load: &'a Load,
    targets: &'a [Target],
    knows_run_times: bool,
    /// Target of each long flow, if flows are pinned.
    pinned: Vec<Option<usize>>,
    /// Targets from the fastest to the slowest.
    order: Vec<usize>,
    free_slots: Vec<u32>,
    /// Requests that may run on any target, then those that are pinned, by target.
    waiting: Vec<Waiting>,
    /// The same for requests that can't be in time on any of their targets.
    late: Vec<Waiting>,
    executions: Executions,
    events: EventQueue<Event>,
}

/// Runs a load under the ceiling or one of its variants.
pub(crate) fn run_ceiling(policy: FlowPolicy, load: &Load, targets: &[Target]) -> Executions {
    let mut order: Vec<usize> = (0..targets.len()).collect();
    order.sort_by_key(|target| targets[*target].speed_rank());
    let mut ceiling = Ceiling {
        load,
        targets,
        knows_run_times: policy != FlowPolicy::CeilingUnknownRunTimes,
        pinned: match policy {
            FlowPolicy::CeilingPinned => pin_flows(load, targets),
            _ => vec![None; load.flows.len()],
        },
        order,
        free_slots: targets.iter().map(|target| target.slots).collect(),
        waiting: vec![Waiting::new(); targets.len() + 1],
        late: vec![Waiting::new(); targets.len() + 1],
        executions: vec![None; load.requests.len()],
        events: EventQueue::new(),
    };
    ceiling.run();
    ceiling.executions
}

/// Pins each long flow, in the order of their opening, to the target that has the fewest open flows
/// of the same data centre for its capacity. Flows of a data centre have the same demand.
fn pin_flows(load: &Load, targets: &[Target]) -> Vec<Option<usize>> {
    let mut pinned = vec![None; load.flows.len()];
    let mut open = vec![[0_u32; DATA_CENTRES]; targets.len()];
    let mut events = EventQueue::new();
    for (flow, opened) in load.flows.iter().enumerate() {
        if opened.class == RequestClass::LongFlow {
            events.push(opened.opened_at, (flow, true));
            events.push(opened.closed_at, (flow, false));
        }
    }
    while let Some((_, (flow, is_opening))) = events.pop() {
        let data_centre = load.flows[flow].data_centre;
        if let (false, Some(target)) = (is_opening, pinned[flow]) {
            let target: usize = target;
            open[target][data_centre] -= 1;
            continue;
        }
        let load_with_flow = |target: &usize| {
            f64::from(open[*target][data_centre] + 1) / targets[*target].capacity()
        };
        let by_load = |a: &usize, b: &usize| load_with_flow(a).total_cmp(&load_with_flow(b));
        let target = (0..targets.len()).min_by(by_load).unwrap_or(0);
        open[target][data_centre] += 1;
        pinned[flow] = Some(target);
    }
    pinned
}

impl Ceiling<'_> {
    fn run(&mut self) {
        for (request, sent) in self.load.requests.iter().enumerate() {
            self.events.push(sent.sent_at, Event::Sent { request });
        }
        while let Some((now, event)) = self.events.pop() {
            match event {
                Event::Sent { request } => self.add(request),
                Event::SlotFree { target } => self.free_slots[target] += 1,
            }
            self.assign(now);
        }
    }

    fn add(&mut self, request: usize) {
        let sent = &self.load.requests[request];
        let queue = self.pinned[sent.flow].map_or(0, |target| target + 1);
        self.waiting[queue].insert((sent.goal_at, request));
    }

    fn assign(&mut self, now: MonoTime) {
        for index in 0..self.order.len() {
            let target = self.order[index];
            while self.free_slots[target] > 0 && self.start_in_time(now, target) {}
        }
        for index in (0..self.order.len()).rev() {
            let target = self.order[index];
            while self.free_slots[target] > 0 && self.start_late(now, target) {}
        }
    }

    /// Starts the request with the earliest deadline that is in time on the target. Returns whether
    /// there was one.
    fn start_in_time(&mut self, now: MonoTime, target: usize) -> bool {
        self.remove_late(now, 0, self.order[0]);
        self.remove_late(now, target + 1, target);
        let chosen = self.earliest(now, target, &self.waiting);
        if let Some(key) = chosen {
            remove(&mut self.waiting, target, &key);
            self.start(now, target, key.1);
        }
        chosen.is_some()
    }

    /// Starts the late request with the earliest timeout that ends before it on the target. Returns
    /// whether there was one.
    fn start_late(&mut self, now: MonoTime, target: usize) -> bool {
        self.remove_failed(now, 0, self.order[0]);
        self.remove_failed(now, target + 1, target);
        let chosen = self.earliest(now, target, &self.late);
        if let Some(key) = chosen {
            remove(&mut self.late, target, &key);
            self.start(now, target, key.1);
        }
        chosen.is_some()
    }

    /// Returns the request with the earliest deadline that it meets on the target.
    fn earliest(
        &self,
        now: MonoTime,
        target: usize,
        waiting: &[Waiting],
    ) -> Option<(MonoTime, usize)> {
        let meets = |(at, request): &&(MonoTime, usize)| self.end_at(now, target, *request) <= *at;
        let first = |queue: usize| waiting[queue].iter().find(meets);
        let both = [first(0), first(target + 1)];
        both.into_iter().flatten().min().copied()
    }

    /// Moves requests that can't be in time even on the fastest of their targets to the late ones.
    fn remove_late(&mut self, now: MonoTime, queue: usize, fastest: usize) {
        while let Some(&(goal_at, request)) = self.waiting[queue].first() {
            if self.end_at(now, fastest, request) <= goal_at {
                return;
            }
            self.waiting[queue].pop_first();
            let timeout_at = self.load.requests[request].timeout_at;
            self.late[queue].insert((timeout_at, request));
        }
    }

    /// Removes requests that reach their timeout even on the fastest of their targets.
    fn remove_failed(&mut self, now: MonoTime, queue: usize, fastest: usize) {
        while let Some(&(timeout_at, request)) = self.late[queue].first() {
            if self.end_at(now, fastest, request) <= timeout_at {
                return;
            }
            self.late[queue].pop_first();
        }
    }

    /// Returns when a request is expected to end if it starts now.
    fn end_at(&self, now: MonoTime, target: usize, request: usize) -> MonoTime {
        let work_us = match self.knows_run_times {
            true => self.load.requests[request].work_us,
            false => self.load.mean_work_us as u64 * MARGIN_PERCENT / 100,
        };
        now.plus_us(self.targets[target].run_us(work_us))
    }

    fn start(&mut self, now: MonoTime, target: usize, request: usize) {
        let work_us = self.load.requests[request].work_us;
        let ended_at = now.plus_us(self.targets[target].run_us(work_us));
        self.free_slots[target] -= 1;
        self.executions[request] = Some(Execution {
            target,
            started_at: now,
            ended_at,
            answered_at: ended_at,
        });
        self.events.push(ended_at, Event::SlotFree { target });
    }
}

/// Removes a request that may run on a target.
fn remove(waiting: &mut [Waiting], target: usize, key: &(MonoTime, usize)) {
    for queue in [0, target + 1] {
        waiting[queue].remove(key);
    }
}
