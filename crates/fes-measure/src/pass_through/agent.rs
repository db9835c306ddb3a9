//! An agent with its target: the agent's queue is the production code, the target runs requests in
//! the order of their delivery.

use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use fes_passthrough::FlowKey;
use fes_passthrough::FlowRequirements;
use fes_passthrough::LoadReport;
use fes_passthrough::QueuedRequest;
use fes_passthrough::ReportedRunTime;
use fes_passthrough::RequestQueue;
use fes_passthrough::Segment;
use fes_passthrough::Sender;
use fes_protocol::MonoTime;

use super::fleet::SERVICE;

/// Requests that an agent delivers beyond the slots of its target, as in `fes-passthrough`.
const MAX_REQUESTS_BEYOND_SLOTS: usize = 1;
/// Destination of all flows.
pub(crate) const DESTINATION: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

/// Requests that wait for delivery to the target.
#[derive(Debug)]
pub(crate) enum Waiting {
    /// In the queue of the production code.
    Queue(RequestQueue),
    /// First come, first served, with the timeouts of the requests.
    FirstCome(VecDeque<(usize, MonoTime)>, RequestQueue),
}

/// An agent and its target.
#[derive(Debug)]
pub(crate) struct Agent {
    slots: usize,
    waiting: Waiting,
    /// Requests that were delivered and not answered, with the time of their delivery.
    delivered: Vec<(usize, MonoTime)>,
    /// Delivered requests without a slot.
    at_target: VecDeque<usize>,
    reported_run_time: ReportedRunTime,
    streams: u32,
}

impl Waiting {
    pub(crate) fn queue() -> Self {
        Self::Queue(RequestQueue::default())
    }

    pub(crate) fn first_come() -> Self {
        Self::FirstCome(VecDeque::new(), RequestQueue::default())
    }

    /// Returns the number of requests for which a new one waits.
    fn len_ahead(&self, now: MonoTime) -> usize {
        match self {
            Self::Queue(queue) => queue.len_in_time(now),
            Self::FirstCome(waiting, _) => waiting.len(),
        }
    }

    /// Returns the queue of the production code, which also learns run times.
    const fn run_times(&mut self) -> &mut RequestQueue {
        match self {
            Self::Queue(queue) | Self::FirstCome(_, queue) => queue,
        }
    }

    fn is_full(&self) -> bool {
        matches!(self, Self::Queue(queue) if queue.is_full())
    }

    fn push(&mut self, now: MonoTime, request: usize, requirements: FlowRequirements) {
        match self {
            Self::Queue(queue) => queue.push(now, requirements, segment(request), &[]),
            Self::FirstCome(waiting, _) => {
                let timeout_at = now.plus_ms(u64::from(requirements.timeout_ms));
                waiting.push_back((request, timeout_at));
            }
        }
    }

    /// Removes and returns the next request. Those that have reached their timeout don't run.
    fn pop(&mut self, now: MonoTime) -> Option<usize> {
        match self {
            Self::Queue(queue) => {
                queue.expire(now);
                queue.pop(now).map(|queued| request(&queued))
            }
            Self::FirstCome(waiting, _) => {
                while let Some((request, timeout_at)) = waiting.pop_front() {
                    if now < timeout_at {
                        return Some(request);
                    }
                }
                None
            }
        }
    }

    fn expire(&mut self, now: MonoTime) {
        match self {
            Self::Queue(queue) => {
                queue.expire(now);
            }
            Self::FirstCome(waiting, _) => waiting.retain(|(_, timeout_at)| now < *timeout_at),
        }
    }
}

impl Agent {
    pub(crate) fn new(slots: u32, waiting: Waiting) -> Self {
        Self {
            slots: slots as usize,
            waiting,
            delivered: Vec::new(),
            at_target: VecDeque::new(),
            reported_run_time: ReportedRunTime::default(),
            streams: 0,
        }
    }

    /// Counts a long flow that is opened.
    pub(crate) const fn open_stream(&mut self) {
        self.streams += 1;
    }

    /// Counts a long flow that is closed.
    pub(crate) const fn close_stream(&mut self) {
        self.streams -= 1;
    }

    /// Handles a request. Returns the requests that begin to run.
    pub(crate) fn on_request(
        &mut self,
        now: MonoTime,
        request: usize,
        requirements: FlowRequirements,
    ) -> Vec<usize> {
        if self.has_slot(now) || self.waiting.is_full() {
            return self.deliver(now, request).into_iter().collect();
        }
        self.waiting.push(now, request, requirements);
        Vec::new()
    }

    /// Handles the end of a request. Returns the requests that begin to run.
    pub(crate) fn on_end(&mut self, now: MonoTime, request: usize) -> Vec<usize> {
        let index = self.delivered.iter().position(|(id, _)| *id == request);
        if let Some(index) = index {
            let (_, delivered_at) = self.delivered.swap_remove(index);
            let run_us = now.us_since(delivered_at);
            self.waiting.run_times().record_run(run_us);
            self.reported_run_time.record(now, run_us);
        }
        let mut started: Vec<usize> = self.at_target.pop_front().into_iter().collect();
        while self.has_slot(now) {
            let Some(next) = self.waiting.pop(now) else {
                break;
            };
            started.extend(self.deliver(now, next));
        }
        started
    }

    /// Returns the agent's report.
    pub(crate) fn report(&mut self, now: MonoTime) -> LoadReport {
        self.waiting.expire(now);
        LoadReport {
            incarnation: 1,
            service: SERVICE,
            started_at_ms: 1,
            running: count(self.running(now)),
            waiting: count(self.waiting.len_ahead(now)),
            streams: self.streams,
            flows: self.streams,
            failures_per_mille: 0,
            is_complete: true,
            is_silent: false,
            is_leaving: false,
            run_time_us: self.reported_run_time.mean_us(now),
            supports_priority: true,
        }
    }

    /// Delivers a request to the target. Returns it if it begins to run at once.
    fn deliver(&mut self, now: MonoTime, request: usize) -> Option<usize> {
        let has_free_slot = self.delivered.len() < self.slots;
        self.delivered.push((request, now));
        if has_free_slot {
            return Some(request);
        }
        self.at_target.push_back(request);
        None
    }

    /// Returns the number of running requests as the agent counts them: without those that run for
    /// longer than the longest expected run time.
    fn running(&mut self, now: MonoTime) -> usize {
        let longest_us = self.waiting.run_times().run_time().longest_us();
        let is_counted = |(_, at): &&(usize, MonoTime)| now.us_since(*at) <= longest_us;
        self.delivered.iter().filter(is_counted).count()
    }

    fn has_slot(&mut self, now: MonoTime) -> bool {
        self.running(now) < self.slots + MAX_REQUESTS_BEYOND_SLOTS
    }
}

fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}

/// Returns the first packet of a request. Its client address encodes the request, so that requests
/// of a flow are queued independently of each other.
fn segment(request: usize) -> Segment {
    let client = SocketAddrV4::new(Ipv4Addr::from(count(request)), 1);
    Segment {
        flow: FlowKey {
            client,
            destination: DESTINATION,
        },
        sender: Sender::Client,
        is_syn: false,
        is_ack: true,
        is_fin: false,
        is_reset: false,
        is_failure: false,
        is_returned: false,
        sequence: 1,
        acknowledged: 0,
        payload_bytes: 100,
    }
}

fn request(queued: &QueuedRequest) -> usize {
    u32::from(*queued.flow.client.ip()) as usize
}
