//! Options and shared state of an upstream double.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::sync::watch;

use crate::ExecutionLog;

const PERCENT: u32 = 100;
const DEFAULT_SLOTS: usize = 4;
const DEFAULT_SERVICE_TIME_MS: u64 = 2;
const DEFAULT_FEED_INTERVAL_MS: u64 = 20;

/// Load shedding of an upstream double, which refuses requests with `REFUSED_STREAM`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shedding {
    /// Refuses no requests. Requests without a free slot wait.
    Off,
    /// Refuses requests while all slots are occupied.
    WhenFull,
    /// Refuses this percentage of all requests, at random.
    Share(u32),
}

/// Options of an upstream double.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamOptions {
    /// Name in the execution log.
    pub name: String,
    /// Maximum number of concurrent requests. Feeds occupy no slot.
    pub slots: usize,
    /// Service time of paths that match no prefix in `service_times_ms`, in milliseconds.
    pub service_time_ms: u64,
    /// Service times by path prefix, in milliseconds. The first match applies.
    pub service_times_ms: Vec<(String, u64)>,
    /// Interval between the events of a feed, in milliseconds.
    pub feed_interval_ms: u64,
    /// Number of requests after a start whose service time is increased.
    pub cold_start_requests: u64,
    /// Factor on the service time of the first request after a start. It decreases linearly to 1
    /// over `cold_start_requests`.
    pub cold_start_factor: u64,
    /// Seed of random refusals.
    pub seed: u64,
}

impl Default for UpstreamOptions {
    fn default() -> Self {
        Self {
            name: "upstream".to_owned(),
            slots: DEFAULT_SLOTS,
            service_time_ms: DEFAULT_SERVICE_TIME_MS,
            service_times_ms: Vec::new(),
            feed_interval_ms: DEFAULT_FEED_INTERVAL_MS,
            cold_start_requests: 0,
            cold_start_factor: 1,
            seed: 1,
        }
    }
}

/// Shared state of an upstream double.
#[derive(Debug)]
pub(crate) struct UpstreamState {
    pub(crate) name: Rc<str>,
    pub(crate) options: UpstreamOptions,
    pub(crate) log: ExecutionLog,
    pub(crate) slots: Semaphore,
    pub(crate) running: Cell<usize>,
    pub(crate) open_feeds: Cell<usize>,
    pub(crate) started: Cell<u64>,
    pub(crate) cancelled: Cell<usize>,
    pub(crate) refused: Cell<usize>,
    pub(crate) inverts_status: Cell<bool>,
    pub(crate) truncates_responses: Cell<bool>,
    pub(crate) shedding: Cell<Shedding>,
    pub(crate) random: RefCell<ChaCha8Rng>,
    pub(crate) held_prefixes: RefCell<BTreeSet<String>>,
    pub(crate) released: Notify,
    pub(crate) draining: watch::Sender<bool>,
}

impl UpstreamState {
    pub(crate) fn new(options: UpstreamOptions, log: ExecutionLog) -> Self {
        Self {
            name: Rc::from(options.name.as_str()),
            slots: Semaphore::new(options.slots),
            random: RefCell::new(ChaCha8Rng::seed_from_u64(options.seed)),
            options,
            log,
            running: Cell::new(0),
            open_feeds: Cell::new(0),
            started: Cell::new(0),
            cancelled: Cell::new(0),
            refused: Cell::new(0),
            inverts_status: Cell::new(false),
            truncates_responses: Cell::new(false),
            shedding: Cell::new(Shedding::Off),
            held_prefixes: RefCell::default(),
            released: Notify::new(),
            draining: watch::Sender::new(false),
        }
    }

    /// Returns whether the next request is refused, and counts it if it is.
    pub(crate) fn refuses(&self) -> bool {
        let refuses = match self.shedding.get() {
            _ if *self.draining.borrow() => true,
            Shedding::Off => false,
            Shedding::WhenFull => self.slots.available_permits() == 0,
            Shedding::Share(percent) => self.random.borrow_mut().random_range(0..PERCENT) < percent,
        };
        if refuses {
            self.refused.set(self.refused.get() + 1);
        }
        refuses
    }

    /// Returns the service time of the next request and counts the request as started.
    pub(crate) fn next_service_time_ms(&self, path: &str) -> u64 {
        let rules = &self.options.service_times_ms;
        let matching = rules.iter().find(|(prefix, _)| path.starts_with(prefix));
        let usual_ms = matching.map_or(self.options.service_time_ms, |(_, time_ms)| *time_ms);
        let index = self.started.get();
        self.started.set(index + 1);
        let cold_requests_left = self.options.cold_start_requests.saturating_sub(index);
        if cold_requests_left == 0 {
            return usual_ms;
        }
        let extra_factor = self.options.cold_start_factor.saturating_sub(1);
        usual_ms + usual_ms * extra_factor * cold_requests_left / self.options.cold_start_requests
    }

    /// Waits until no held prefix matches `path`.
    pub(crate) async fn wait_until_released(&self, path: &str) {
        loop {
            let released = self.released.notified();
            if !self.is_held(path) {
                return;
            }
            released.await;
        }
    }

    fn is_held(&self, path: &str) -> bool {
        let held_prefixes = self.held_prefixes.borrow();
        held_prefixes
            .iter()
            .any(|prefix| path.starts_with(prefix.as_str()))
    }
}
