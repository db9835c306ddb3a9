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

/// When an upstream double refuses requests with `REFUSED_STREAM`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shedding {
    /// Never; requests beyond its slots wait.
    Off,
    /// When all slots are taken.
    WhenFull,
    /// A random share of all requests, in percent.
    Share(u32),
}

/// Options of an upstream double.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamOptions {
    /// Name in execution records.
    pub name: String,
    /// Requests that run at the same time. Feeds take no slot.
    pub slots: usize,
    /// Service time of paths that no rule matches.
    pub service_time_ms: u64,
    /// Service times by path prefix; the first match counts.
    pub service_times_ms: Vec<(String, u64)>,
    /// Time between two events of a feed.
    pub feed_interval_ms: u64,
    /// Requests after a start that take longer than usual.
    pub cold_start_requests: u64,
    /// Factor on the service time of the first request after a start; it falls to 1 linearly.
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

/// Shared state of a double.
#[derive(Debug)]
pub(crate) struct UpstreamState {
    pub(crate) name: Rc<str>,
    pub(crate) options: UpstreamOptions,
    pub(crate) log: ExecutionLog,
    pub(crate) slots: Semaphore,
    pub(crate) running: Cell<usize>,
    pub(crate) feeds: Cell<usize>,
    pub(crate) started: Cell<u64>,
    pub(crate) cancelled: Cell<usize>,
    pub(crate) refused: Cell<usize>,
    pub(crate) misleads: Cell<bool>,
    pub(crate) cuts_responses: Cell<bool>,
    pub(crate) shedding: Cell<Shedding>,
    pub(crate) random: RefCell<ChaCha8Rng>,
    pub(crate) held_paths: RefCell<BTreeSet<String>>,
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
            feeds: Cell::new(0),
            started: Cell::new(0),
            cancelled: Cell::new(0),
            refused: Cell::new(0),
            misleads: Cell::new(false),
            cuts_responses: Cell::new(false),
            shedding: Cell::new(Shedding::Off),
            held_paths: RefCell::default(),
            released: Notify::new(),
            draining: watch::Sender::new(false),
        }
    }

    /// Returns whether the next request is refused.
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

    /// Returns the service time of the next request, and counts it as started.
    pub(crate) fn next_service_time_ms(&self, path: &str) -> u64 {
        let rules = &self.options.service_times_ms;
        let matching = rules.iter().find(|(prefix, _)| path.starts_with(prefix));
        let usual_ms = matching.map_or(self.options.service_time_ms, |(_, time_ms)| *time_ms);
        let index = self.started.get();
        self.started.set(index + 1);
        let cold_left = self.options.cold_start_requests.saturating_sub(index);
        if cold_left == 0 {
            return usual_ms;
        }
        let extra = self.options.cold_start_factor.saturating_sub(1);
        usual_ms + usual_ms * extra * cold_left / self.options.cold_start_requests
    }

    /// Waits while `path` is held.
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
        let held = self.held_paths.borrow();
        held.iter().any(|prefix| path.starts_with(prefix.as_str()))
    }
}
