//! Queue disciplines that were considered for admission, without offload and without refusal on
//! arrival.

use std::collections::VecDeque;

use fes_admission::RequestOrigin;
use fes_protocol::FastMap;
use fes_protocol::MonoTime;
use fes_protocol::PeerHeartbeat;
use fes_protocol::RequestId;

use super::AgentPolicy;
use super::Arrival;
use super::Step;

/// Wait of the oldest request from which adaptive LIFO takes the newest first, in milliseconds.
const LIFO_FROM_MS: u64 = 100;

/// Wait that CoDel permits, in milliseconds; as for server queues, far above a packet's 5 ms.
const CODEL_TARGET_MS: u64 = 50;

/// Time above the target after which CoDel drops, in milliseconds.
const CODEL_INTERVAL_MS: u64 = 100;

/// Order and dropping of waiting requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Discipline {
    /// First in, first out; expired requests are refused when found.
    Fifo,
    /// Last in, first out while the oldest request has waited long; expired ones are refused.
    AdaptiveLifo,
    /// First in, first out; drops at growing rate while waits stay above the target.
    CoDel,
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    id: RequestId,
    since: MonoTime,
    deadline: MonoTime,
}

/// An agent with one of the disciplines.
#[derive(Debug)]
pub(crate) struct DisciplineAgent {
    discipline: Discipline,
    own: usize,
    slots: u32,
    queue: VecDeque<Waiting>,
    running: FastMap<RequestId, ()>,
    above_until: Option<MonoTime>,
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
            above_until: None,
            next_drop: MonoTime::ZERO,
            drop_count: 0,
        }
    }

    fn dispatch(&mut self, now: MonoTime) -> Vec<Step> {
        let mut steps = Vec::new();
        while self.running.len() < self.slots as usize {
            let Some(next) = self.take(now) else {
                break;
            };
            let is_dropped = self.discipline == Discipline::CoDel && self.drops(now, next.since);
            if next.deadline <= now || is_dropped {
                steps.push(Step::Refuse(next.id));
                continue;
            }
            self.running.insert(next.id, ());
            steps.push(Step::Start(next.id));
        }
        steps
    }

    fn take(&mut self, now: MonoTime) -> Option<Waiting> {
        let oldest_ms = now.ms_since(self.queue.front()?.since);
        if self.discipline == Discipline::AdaptiveLifo && oldest_ms > LIFO_FROM_MS {
            return self.queue.pop_back();
        }
        self.queue.pop_front()
    }

    /// The control law of CoDel (RFC 8289) on the wait at dispatch.
    fn drops(&mut self, now: MonoTime, since: MonoTime) -> bool {
        if now.ms_since(since) < CODEL_TARGET_MS {
            self.above_until = None;
            self.drop_count = 0;
            return false;
        }
        let drops_from = *self
            .above_until
            .get_or_insert(now.plus_ms(CODEL_INTERVAL_MS));
        if now < drops_from.max(self.next_drop) {
            return false;
        }
        self.drop_count += 1;
        let pause_us = CODEL_INTERVAL_MS as f64 * 1e3 / f64::from(self.drop_count).sqrt();
        self.next_drop = now.plus_us(pause_us as u64);
        true
    }
}

impl AgentPolicy for DisciplineAgent {
    fn arrive(&mut self, now: MonoTime, arrival: &Arrival) -> Vec<Step> {
        if !arrival.repeatable && arrival.owner != self.own {
            return vec![Step::PassOn(
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

    fn finished(&mut self, now: MonoTime, id: RequestId) -> Vec<Step> {
        self.running.remove(&id);
        self.dispatch(now)
    }

    fn honours_cancellation(&self) -> bool {
        true
    }

    fn cancelled(&mut self, now: MonoTime, id: RequestId) -> Vec<Step> {
        self.running.remove(&id);
        self.queue.retain(|waiting| waiting.id != id);
        self.dispatch(now)
    }

    fn peer_refused(&mut self, _now: MonoTime, _peer: usize, arrival: &Arrival) -> Vec<Step> {
        vec![Step::Refuse(arrival.id)]
    }

    fn timer(&mut self, _now: MonoTime) -> Vec<Step> {
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
