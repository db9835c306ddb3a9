//! Alternative queue disciplines for comparison with admission control. They neither offload nor
//! refuse requests on arrival.

use std::collections::VecDeque;

use fes_admission::RequestOrigin;
use fes_protocol::FastMap;
use fes_protocol::MonoTime;
use fes_protocol::PeerHeartbeat;
use fes_protocol::RequestId;

use super::AgentPolicy;
use super::Arrival;
use super::PolicyAction;

/// Wait of the oldest request above which adaptive LIFO serves the newest first, in milliseconds.
const LIFO_THRESHOLD_MS: u64 = 100;

/// CoDel target wait, in milliseconds. Server queues need a far larger target than the 5 ms that
/// RFC 8289 recommends for packets.
const CODEL_TARGET_MS: u64 = 50;

/// CoDel interval: time above the target before the first drop, in milliseconds.
const CODEL_INTERVAL_MS: u64 = 100;

/// How an agent orders and drops queued requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Discipline {
    /// FIFO; expired requests are refused when dequeued.
    Fifo,
    /// LIFO while the oldest request has waited longer than [`LIFO_THRESHOLD_MS`], FIFO otherwise;
    /// expired requests are refused when dequeued.
    AdaptiveLifo,
    /// FIFO with drops at a growing rate while waits stay above the target.
    CoDel,
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    id: RequestId,
    since: MonoTime,
    deadline: MonoTime,
}

/// Decisions of an agent that uses one of the disciplines.
#[derive(Debug)]
pub(crate) struct DisciplineAgent {
    discipline: Discipline,
    own: usize,
    slots: u32,
    queue: VecDeque<Waiting>,
    running: FastMap<RequestId, ()>,
    first_above_time: Option<MonoTime>,
    next_drop: MonoTime,
    drop_count: u32,
}

impl DisciplineAgent {
    pub(crate) fn new(discipline: Discipline, own: usize, slots: u32) -> Self {
        Self {
            discipline,
            own,
            slots,
            queue: VecDeque::new(),
            running: FastMap::default(),
            first_above_time: None,
            next_drop: MonoTime::ZERO,
            drop_count: 0,
        }
    }

    fn dispatch(&mut self, now: MonoTime) -> Vec<PolicyAction> {
        let mut actions = Vec::new();
        while self.running.len() < self.slots as usize {
            let Some(next) = self.dequeue(now) else {
                break;
            };
            let is_dropped =
                self.discipline == Discipline::CoDel && self.should_drop(now, next.since);
            if next.deadline <= now || is_dropped {
                actions.push(PolicyAction::Refuse(next.id));
                continue;
            }
            self.running.insert(next.id, ());
            actions.push(PolicyAction::Start(next.id));
        }
        actions
    }

    fn dequeue(&mut self, now: MonoTime) -> Option<Waiting> {
        let oldest_ms = now.ms_since(self.queue.front()?.since);
        if self.discipline == Discipline::AdaptiveLifo && oldest_ms > LIFO_THRESHOLD_MS {
            return self.queue.pop_back();
        }
        self.queue.pop_front()
    }

    /// Applies the CoDel control law (RFC 8289) to the wait at dispatch.
    fn should_drop(&mut self, now: MonoTime, since: MonoTime) -> bool {
        if now.ms_since(since) < CODEL_TARGET_MS {
            self.first_above_time = None;
            self.drop_count = 0;
            return false;
        }
        let earliest_drop = *self
            .first_above_time
            .get_or_insert(now.plus_ms(CODEL_INTERVAL_MS));
        if now < earliest_drop.max(self.next_drop) {
            return false;
        }
        self.drop_count += 1;
        let interval_us = CODEL_INTERVAL_MS as f64 * 1e3 / f64::from(self.drop_count).sqrt();
        self.next_drop = now.plus_us(interval_us as u64);
        true
    }
}

impl AgentPolicy for DisciplineAgent {
    fn arrive(&mut self, now: MonoTime, arrival: &Arrival) -> Vec<PolicyAction> {
        if !arrival.repeatable && arrival.owner != self.own {
            return vec![PolicyAction::Forward(
                arrival.id,
                arrival.owner,
                RequestOrigin::Relayed,
            )];
        }
        self.queue.push_back(Waiting {
            id: arrival.id,
            since: now,
            deadline: arrival.deadline,
        });
        self.dispatch(now)
    }

    fn finished(&mut self, now: MonoTime, id: RequestId) -> Vec<PolicyAction> {
        self.running.remove(&id);
        self.dispatch(now)
    }

    fn supports_cancellation(&self) -> bool {
        true
    }

    fn cancelled(&mut self, now: MonoTime, id: RequestId) -> Vec<PolicyAction> {
        self.running.remove(&id);
        self.queue.retain(|waiting| waiting.id != id);
        self.dispatch(now)
    }

    fn peer_refused(
        &mut self,
        _now: MonoTime,
        _peer: usize,
        arrival: &Arrival,
    ) -> Vec<PolicyAction> {
        vec![PolicyAction::Refuse(arrival.id)]
    }

    fn timer(&mut self, _now: MonoTime) -> Vec<PolicyAction> {
        Vec::new()
    }

    fn heartbeat(&mut self, _now: MonoTime) -> Option<PeerHeartbeat> {
        None
    }

    fn on_heartbeat(&mut self, _now: MonoTime, _heartbeat: &PeerHeartbeat) {}

    fn issue_prefix(&mut self, _now: MonoTime) -> usize {
        self.own
    }
}
