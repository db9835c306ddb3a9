//! Admission control for the slots of an upstream.

use fes_protocol::MonoTime;
use fes_protocol::RequestId;
use fes_protocol::ResultCode;

use crate::AdmissionAction;
use crate::AdmissionEvent;
use crate::AdmissionSettings;
use crate::CapacityEstimator;
use crate::ClassIndex;
use crate::ClassName;
use crate::ClassTable;
use crate::ConcurrencyLimit;
use crate::DemandEstimator;
use crate::Load;
use crate::RequestOrigin;
use crate::RetryBudget;
use crate::SlowStart;
use crate::forecast::Forecast;
use crate::queue::DeadlineQueue;
use crate::queue::QueuedRequest;
use crate::running::RunningRequest;
use crate::running::RunningSet;

/// Time constant of the demand estimate.
const DEMAND_TIME_CONSTANT_MS: u64 = 2_000;

/// Whether the upstream and its agent accept work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Availability {
    is_upstream_up: bool,
    is_draining: bool,
}

impl Availability {
    const fn accepts_work(self) -> bool {
        self.is_upstream_up && !self.is_draining
    }

    /// Returns the code for refusing every request, or `None` if requests may be admitted.
    const fn refusal(self) -> Option<ResultCode> {
        if self.is_draining {
            return Some(ResultCode::NotRunDraining);
        }
        if !self.is_upstream_up {
            return Some(ResultCode::NotRunUpstreamDown);
        }
        None
    }
}

/// Decides which requests start, wait or are refused.
#[derive(Debug)]
pub struct AdmissionController {
    settings: AdmissionSettings,
    availability: Availability,
    classes: ClassTable,
    queue: DeadlineQueue,
    running: RunningSet,
    limit: ConcurrencyLimit,
    retry_budget: RetryBudget,
    capacity: CapacityEstimator,
    slow_start: SlowStart,
    demand: DemandEstimator,
    movable_demand: DemandEstimator,
    timer_at: MonoTime,
}

impl AdmissionController {
    /// Creates a controller whose upstream is reachable and cold.
    #[must_use]
    pub fn new(now: MonoTime, settings: AdmissionSettings) -> Self {
        let mut slow_start = SlowStart::warm();
        slow_start.begin(now);
        Self {
            availability: Availability {
                is_upstream_up: true,
                is_draining: false,
            },
            classes: ClassTable::new(&settings),
            queue: DeadlineQueue::default(),
            running: RunningSet::default(),
            limit: ConcurrencyLimit::new(settings.slots),
            retry_budget: RetryBudget::new(settings.retry_ratio),
            capacity: CapacityEstimator::new(now, settings.slots),
            slow_start,
            demand: DemandEstimator::new(DEMAND_TIME_CONSTANT_MS),
            movable_demand: DemandEstimator::new(DEMAND_TIME_CONSTANT_MS),
            timer_at: MonoTime::NEVER,
            settings,
        }
    }

    /// Handles an event and returns the actions that the host has to carry out.
    ///
    /// - `Arrive` with an ID that is queued or started is a duplicate and is ignored; with an ID
    ///   that has ended, it is a new request. A request whose deadline has passed is refused.
    /// - `Finished`, `Failed`, `Cancelled` and `UpstreamShed` for an ID that is neither queued nor
    ///   started are ignored, so that a duplicate report doesn't free a second slot.
    /// - `Finished`, `Failed` and `UpstreamShed` for a queued ID are ignored, because they
    ///   belong to an earlier start of the request.
    /// - `UpstreamShed` for a repeatable request queues it again if the retry budget, its deadline
    ///   and the queue permit; a second `Start` follows. Otherwise the request is refused.
    /// - `Drain`, `Resume`, `UpstreamUp` and `UpstreamDown` are idempotent. Only `Resume` ends a
    ///   drain.
    /// - A late `Timer` only delays refusals of expired requests and starts that an increase of the
    ///   concurrency limit permits. An extra one has no effect.
    pub fn handle(&mut self, now: MonoTime, event: AdmissionEvent) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        match event {
            AdmissionEvent::Arrive {
                id,
                class,
                deadline,
                repeatable,
                origin,
            } => {
                if !self.queue.contains(id) && !self.running.contains(id) {
                    let class = self.record_demand(now, &class, repeatable, origin);
                    self.enqueue_or_refuse(now, id, class, deadline, repeatable, &mut actions);
                }
            }
            AdmissionEvent::OffloadedToPeer { class } => {
                self.record_demand(now, &class, true, RequestOrigin::Client);
            }
            AdmissionEvent::Finished { id } => self.finish(now, id),
            AdmissionEvent::Failed { id } => {
                self.running.remove(id);
            }
            AdmissionEvent::Cancelled { id } => {
                self.running.remove(id);
                self.queue.remove(id);
            }
            AdmissionEvent::UpstreamShed { id } => self.handle_shed(now, id, &mut actions),
            AdmissionEvent::UpstreamUp => self.upstream_up(now),
            AdmissionEvent::UpstreamDown => self.upstream_down(&mut actions),
            AdmissionEvent::Drain => self.availability.is_draining = true,
            AdmissionEvent::Resume => self.availability.is_draining = false,
            AdmissionEvent::Timer => self.timer_at = MonoTime::NEVER,
        }
        self.refuse_expired(now, &mut actions);
        self.dispatch(now, &mut actions);
        self.arm_timer(now, &mut actions);
        actions
    }

    /// Returns the load to report in heartbeats.
    pub fn load(&mut self, now: MonoTime) -> Load {
        let limit = self.limit.current(now);
        let speed = self.capacity.speed(now);
        let accepts_work = self.availability.accepts_work();
        let share = if accepts_work {
            self.slow_start.share(now)
        } else {
            0.0
        };
        let (short_us, long_us) = self.forecast(now).waits_us(&self.queue, &self.classes);
        let long_requests = self.running.long_count() as usize + self.queue.long().count();
        let are_long_slots_full = long_requests >= self.settings.long_slots(limit) as usize;
        let long_us = if are_long_slots_full { long_us } else { 0.0 };
        Load {
            capacity_milli: to_milli(f64::from(limit) * speed * share),
            demand_milli: to_milli(self.demand.slots(now)),
            movable_milli: to_milli(self.movable_demand.slots(now)),
            queue_wait_ms: (short_us / 1e3) as u32,
            long_wait_ms: (long_us / 1e3) as u32,
            has_free_slot: accepts_work && self.running.len() < limit && self.queue.len() == 0,
        }
    }

    /// Returns whether the class is long: its requests run many times longer than those of the
    /// shortest common class.
    #[must_use]
    pub fn is_long(&mut self, class: &ClassName) -> bool {
        let index = self.classes.index_of(class);
        self.classes.is_long(index)
    }

    /// Takes a token from the retry budget for a retry by the host, for example of a repeatable
    /// request that failed at a peer. Returns whether the retry may be made.
    pub fn take_retry_token(&mut self) -> bool {
        self.retry_budget.try_take()
    }

    /// Returns the number of requests that hold slots.
    #[must_use]
    pub fn running_count(&self) -> u32 {
        self.running.len()
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn queued_count(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether a drain is complete.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.availability.is_draining && self.running.len() == 0 && self.queue.len() == 0
    }

    fn record_demand(
        &mut self,
        now: MonoTime,
        class: &ClassName,
        repeatable: bool,
        origin: RequestOrigin,
    ) -> ClassIndex {
        let class = self.classes.index_of(class);
        if origin == RequestOrigin::Offloaded {
            return class;
        }
        let cost_us = self.reference_cost_us(now, class);
        self.demand.add(now, cost_us);
        if repeatable && origin == RequestOrigin::Client {
            self.movable_demand.add(now, cost_us);
        }
        class
    }

    /// Returns the expected service time on a reference VM. For a class without a prior it is
    /// derived from the mean at this agent and the estimated speed of the VM.
    fn reference_cost_us(&mut self, now: MonoTime, class: ClassIndex) -> f64 {
        match self.classes.prior_us(class) {
            Some(prior_us) => prior_us,
            None => self.classes.mean_us(class) * self.capacity.speed(now),
        }
    }

    fn enqueue_or_refuse(
        &mut self,
        now: MonoTime,
        id: RequestId,
        class: ClassIndex,
        deadline: MonoTime,
        repeatable: bool,
        actions: &mut Vec<AdmissionAction>,
    ) {
        self.classes.count_arrival(class);
        let waiting = QueuedRequest {
            id,
            class,
            deadline,
            enqueued_at: now,
            repeatable,
            long: self.classes.is_long(class),
        };
        match self.check_arrival(now, &waiting) {
            Ok(()) => {
                self.retry_budget.record_first_attempt();
                self.queue.push(waiting);
            }
            Err(code) => actions.push(AdmissionAction::Refuse { id, code }),
        }
    }

    fn check_arrival(&mut self, now: MonoTime, waiting: &QueuedRequest) -> Result<(), ResultCode> {
        if let Some(code) = self.availability.refusal() {
            return Err(code);
        }
        if waiting.deadline <= now {
            return Err(ResultCode::NotRunDeadline);
        }
        if self.queue.len() >= self.settings.queue_capacity {
            return Err(ResultCode::NotRunQueueFull);
        }
        if self
            .forecast(now)
            .accepts(now, &self.queue, &self.classes, waiting)
        {
            Ok(())
        } else {
            Err(ResultCode::NotRunOverloaded)
        }
    }

    fn forecast(&mut self, now: MonoTime) -> Forecast {
        let limit = self.limit.current(now);
        let long_slots = self.settings.long_slots(limit);
        Forecast::new(now, &self.running, &self.classes, limit, long_slots)
    }

    fn finish(&mut self, now: MonoTime, id: RequestId) {
        let Some(request) = self.running.remove(id) else {
            return;
        };
        let service_us = now.us_since(request.started_at) as f64;
        let capped_service_us = self.classes.observe(request.class, service_us);
        if let Some(prior_us) = self.classes.prior_us(request.class) {
            self.capacity.observe(prior_us, capped_service_us);
        }
    }

    fn handle_shed(&mut self, now: MonoTime, id: RequestId, actions: &mut Vec<AdmissionAction>) {
        let Some(request) = self.running.remove(id) else {
            return;
        };
        self.limit.record_shed(now, self.running.len());
        let expected_us = self.classes.mean_us(request.class) as u64;
        let is_in_time = now.plus_us(expected_us) <= request.deadline;
        let has_room =
            self.queue.len() < self.settings.queue_capacity && self.availability.accepts_work();
        if request.repeatable && is_in_time && has_room && self.retry_budget.try_take() {
            self.queue.push(QueuedRequest {
                id,
                class: request.class,
                deadline: request.deadline,
                enqueued_at: now,
                repeatable: true,
                long: request.long,
            });
            return;
        }
        let code = ResultCode::NotRunUpstreamRefused;
        actions.push(AdmissionAction::Refuse { id, code });
    }

    fn upstream_up(&mut self, now: MonoTime) {
        if !self.availability.is_upstream_up {
            self.availability.is_upstream_up = true;
            self.slow_start.begin(now);
        }
    }

    fn upstream_down(&mut self, actions: &mut Vec<AdmissionAction>) {
        self.availability.is_upstream_up = false;
        let ids: Vec<RequestId> = self.queue.iter().map(|w| w.id).collect();
        for id in ids {
            self.queue.remove(id);
            let code = ResultCode::NotRunUpstreamDown;
            actions.push(AdmissionAction::Refuse { id, code });
        }
    }

    fn refuse_expired(&mut self, now: MonoTime, actions: &mut Vec<AdmissionAction>) {
        for sub_queue in [SubQueue::Short, SubQueue::Long] {
            while let Some(first) = sub_queue.first(&self.queue).filter(|w| w.deadline <= now) {
                self.queue.remove(first.id);
                actions.push(AdmissionAction::Refuse {
                    id: first.id,
                    code: ResultCode::NotRunDeadline,
                });
            }
        }
    }

    fn dispatch(&mut self, now: MonoTime, actions: &mut Vec<AdmissionAction>) {
        let limit = self.limit.current(now);
        let long_after_us = self.settings.long_multiple * self.classes.shortest_common_us();
        self.running.mark_long(now, long_after_us);
        while self.running.len() < limit {
            let Some(next) = self.next_to_start(now, limit) else {
                return;
            };
            self.queue.remove(next.id);
            self.running.insert(RunningRequest {
                id: next.id,
                class: next.class,
                deadline: next.deadline,
                started_at: now,
                repeatable: next.repeatable,
                long: next.long,
            });
            actions.push(AdmissionAction::Start { id: next.id });
        }
    }

    /// Returns the request that gets the next free slot: a long one past its age bound, or else the
    /// one with the earliest deadline. Long ones are left out while they hold all slots that they
    /// may use.
    fn next_to_start(&self, now: MonoTime, limit: u32) -> Option<QueuedRequest> {
        let short = self.queue.first_short();
        if self.running.long_count() >= self.settings.long_slots(limit) {
            return short;
        }
        let past_age_bound = self.queue.long().find(|w| now >= self.age_bound(w));
        if past_age_bound.is_some() {
            return past_age_bound.copied();
        }
        match (short, self.queue.first_long()) {
            (Some(short), Some(long)) if long.deadline < short.deadline => Some(long),
            (None, long) => long,
            (short, _) => short,
        }
    }

    /// Returns the time from which a long request takes precedence over short ones.
    fn age_bound(&self, long: &QueuedRequest) -> MonoTime {
        let mean_us = self.classes.mean_us(long.class);
        let age_us = (mean_us * self.settings.age_bound_multiple) as u64;
        let min_us = self.settings.min_age_bound_ms.saturating_mul(1_000);
        long.enqueued_at.plus_us(age_us.max(min_us))
    }

    fn arm_timer(&mut self, now: MonoTime, actions: &mut Vec<AdmissionAction>) {
        let deadline = self.queue.earliest_deadline();
        let limit_increase = self
            .limit
            .next_increase_at()
            .filter(|_| self.queue.len() > 0);
        let Some(at) = deadline.into_iter().chain(limit_increase).min() else {
            return;
        };
        if at < self.timer_at || self.timer_at <= now {
            self.timer_at = at;
            actions.push(AdmissionAction::Timer { at });
        }
    }
}

#[derive(Debug, Clone, Copy)]
enum SubQueue {
    Short,
    Long,
}

impl SubQueue {
    fn first(self, queue: &DeadlineQueue) -> Option<QueuedRequest> {
        match self {
            Self::Short => queue.first_short(),
            Self::Long => queue.first_long(),
        }
    }
}

fn to_milli(slots: f64) -> u32 {
    (slots * 1e3).round() as u32
}
