//! Sends requests at a fixed rate and records latencies.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use fes_protocol::Result;
use fes_testkit::Client;
use fes_testkit::ClientCounts;
use fes_testkit::ClientOptions;
use fes_testkit::ClientRequest;
use fes_testkit::Feed;
use fes_testkit::FeedCounts;
use fes_testkit::Outcome;
use indicatif::ProgressBar;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::latency::Latency;
use crate::latency::Recorder;

const PERCENT: u32 = 100;
const US_PER_S: u64 = 1_000_000;

/// Parameters of a load run.
#[derive(Debug, Clone)]
pub(crate) struct LoadPlan {
    pub(crate) connections: usize,
    pub(crate) requests_per_s: u64,
    pub(crate) duration_s: u64,
    pub(crate) non_repeatable_percent: u32,
    pub(crate) feeds: usize,
    pub(crate) path: String,
    pub(crate) feed_path: String,
    pub(crate) body_bytes: usize,
    pub(crate) deadline_ms: Option<u64>,
    pub(crate) seed: u64,
}

/// Results of a load run.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct LoadReport {
    pub(crate) seed: u64,
    pub(crate) duration_ms: u64,
    #[serde(flatten)]
    pub(crate) counts: ClientCounts,
    pub(crate) failures_by_code: BTreeMap<String, u64>,
    pub(crate) latency_us: Latency,
    pub(crate) feeds: usize,
    pub(crate) broken_feeds: usize,
    pub(crate) feed_counts: FeedCounts,
}

impl LoadReport {
    /// Returns whether a request was lost or ran more than once, a response was misrouted, or a
    /// feed broke.
    pub(crate) fn has_violations(&self) -> bool {
        let counts = &self.counts;
        counts.lost + counts.misrouted + counts.doubled > 0 || self.broken_feeds > 0
    }
}

/// Generates an open-loop load: each request is sent at a fixed time, whether or not earlier ones
/// have finished, so that a slow server doesn't reduce the load.
pub(crate) async fn run_load(
    plan: &LoadPlan,
    options: &ClientOptions,
    progress: &ProgressBar,
) -> Result<LoadReport> {
    let clients = create_clients(plan.connections.max(1), options)?;
    let feeds = open_feeds(plan, &clients);
    let recorder = Rc::new(RefCell::new(Recorder::new()?));
    let mut random = ChaCha8Rng::seed_from_u64(plan.seed);
    let total = plan.requests_per_s.saturating_mul(plan.duration_s);
    progress.set_length(total);
    let start = Instant::now();
    let mut tasks = Vec::new();
    for index in 0..total {
        let due = start + Duration::from_micros(index * US_PER_S / plan.requests_per_s.max(1));
        sleep_until(due).await;
        let is_non_repeatable = random.random_range(0..PERCENT) < plan.non_repeatable_percent;
        let path = format!("{}?nonce={}", plan.path, random.random::<u64>());
        let client = clients[usize::try_from(index).unwrap_or(0) % clients.len()].clone();
        let recorder = Rc::clone(&recorder);
        let progress = progress.clone();
        let plan = plan.clone();
        tasks.push(actix_rt::spawn(async move {
            let outcome = send(&client, path, is_non_repeatable, &plan).await;
            recorder.borrow_mut().record(&outcome, due.elapsed());
            progress.inc(1);
        }));
    }
    // A task that panics shows up as a missing request in the counts.
    futures::future::join_all(tasks).await;
    let duration_ms = u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX);
    Ok(build_report(plan, duration_ms, &clients, &feeds, &recorder))
}

async fn send(client: &Client, path: String, is_non_repeatable: bool, plan: &LoadPlan) -> Outcome {
    let mut call = ClientRequest::get(path);
    if is_non_repeatable {
        let body = Bytes::from(vec![b'x'; plan.body_bytes]);
        let key = match client.next_key().await {
            Ok(key) => key,
            Err(outcome) => return client.record(outcome),
        };
        call = ClientRequest::post(call.path, key, body);
    }
    call.deadline_ms = plan.deadline_ms;
    client.send(call).await
}

fn create_clients(count: usize, options: &ClientOptions) -> Result<Vec<Client>> {
    let client = |index| {
        let mut options = options.clone();
        options.name = format!("{}-{index}", options.name);
        Client::new(options)
    };
    (0..count).map(client).collect()
}

fn open_feeds(plan: &LoadPlan, clients: &[Client]) -> Vec<Feed> {
    let feed = |index: usize| {
        let path = format!("{}/{index}", plan.feed_path);
        clients[index % clients.len()].open_feed(path)
    };
    (0..plan.feeds).map(feed).collect()
}

fn build_report(
    plan: &LoadPlan,
    duration_ms: u64,
    clients: &[Client],
    feeds: &[Feed],
    recorder: &RefCell<Recorder>,
) -> LoadReport {
    let mut counts = ClientCounts::default();
    for client in clients {
        counts.add(&client.counts());
    }
    let mut feed_counts = FeedCounts::default();
    for feed in feeds {
        feed_counts.add(&feed.counts());
    }
    let recorder = recorder.borrow();
    LoadReport {
        seed: plan.seed,
        duration_ms,
        counts,
        failures_by_code: recorder.failures_by_code().clone(),
        latency_us: recorder.latency(),
        feeds: feeds.len(),
        broken_feeds: feeds.iter().filter(|feed| feed.is_broken()).count(),
        feed_counts,
    }
}
