//! Sends requests and opens feeds through a local fleet while one of its entries is replaced.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use fes_protocol::Error;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use fes_telemetry::Hop;
use fes_testkit::Client;
use fes_testkit::ClientCounts;
use fes_testkit::Feed;
use fes_testkit::FeedCounts;
use fes_testkit::Outcome;
use indicatif::ProgressBar;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::latency::Latency;
use crate::latency::Recorder;
use crate::local_fleet::LocalFleet;

/// Phases of a run: before an entry is stopped, until its replacement serves, and after that.
const PHASE_COUNT: usize = 3;
const BEFORE: usize = 0;
const DURING: usize = 1;
const AFTER: usize = 2;
const MAX_CLIENT_COUNT: u64 = 32;
/// Concurrent requests: fewer than the slots of three upstreams, so that the run isn't affected by
/// overload.
const WORKER_COUNT: u64 = 8;
const READY_ATTEMPTS: u32 = 100;
const READY_INTERVAL_MS: u64 = 50;
/// Events that each feed must deliver after the replacement.
const EVENTS_AFTER_REPLACEMENT: u64 = 20;
/// Timeout for the events of a feed. Silent flows are detected within 5 s, so that a feed without
/// events for this long is broken.
const FEED_TIMEOUT_MS: u64 = 8_000;
const FEED_POLL_INTERVAL_MS: u64 = 20;

/// Parameters of a local run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LocalPlan {
    pub(crate) requests: u64,
    pub(crate) feeds: u64,
    pub(crate) seed: u64,
    pub(crate) upstream_count: u32,
    /// Stops the entry gracefully instead of killing it.
    pub(crate) drains: bool,
    /// Number of requests whose spans are reported.
    pub(crate) traces: usize,
}

/// Results of a local run, as observed by clients and upstreams.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct LocalReport {
    pub(crate) seed: u64,
    pub(crate) duration_ms: u64,
    pub(crate) requests: u64,
    pub(crate) answered: u64,
    pub(crate) refused: u64,
    pub(crate) unknown: u64,
    pub(crate) failed: u64,
    pub(crate) lost: u64,
    pub(crate) doubled: u64,
    pub(crate) misrouted: u64,
    pub(crate) feeds: u64,
    pub(crate) broken_feeds: u64,
    pub(crate) feed_events: u64,
    pub(crate) connections: u64,
    pub(crate) repeats: u64,
    pub(crate) entries_replaced: u64,
    pub(crate) started_by_upstream: Vec<u64>,
    pub(crate) failures_by_code: BTreeMap<String, u64>,
    pub(crate) connection_ends: BTreeMap<String, u64>,
    pub(crate) latency_before_us: Latency,
    pub(crate) latency_during_us: Latency,
    pub(crate) latency_after_us: Latency,
    pub(crate) tickets_in_force_ms: Vec<u64>,
    pub(crate) traces: Vec<String>,
}

impl LocalReport {
    /// Returns whether a request was lost or ran more than once, a response was misrouted, or a
    /// feed broke.
    pub(crate) fn has_violations(&self) -> bool {
        self.lost + self.doubled + self.broken_feeds + self.misrouted > 0
    }
}

/// State that the workers share: the number of the next request, and the phase of the replacement,
/// for which workers wait.
struct Workload {
    total: u64,
    next: Cell<u64>,
    phase: watch::Sender<usize>,
    random: RefCell<ChaCha8Rng>,
    recorders: RefCell<[Recorder; PHASE_COUNT]>,
}

/// Runs a local fleet and replaces one of its entries under load.
pub(crate) async fn run_local(plan: &LocalPlan, progress: &ProgressBar) -> Result<LocalReport> {
    let start = Instant::now();
    let mut fleet = LocalFleet::start(plan.upstream_count, plan.seed).await?;
    let clients = create_clients(&fleet, plan)?;
    await_ready(&clients).await?;
    let feeds = open_feeds(&clients, plan.feeds);
    let stalled = await_events(&feeds, 1).await;
    if stalled > 0 {
        let detail = format!("{stalled} feeds delivered no event after the start");
        return Err(Error::coded(ResultCode::RunFailed, detail));
    }
    let workload = Rc::new(Workload {
        total: plan.requests,
        next: Cell::new(0),
        phase: watch::Sender::new(BEFORE),
        random: RefCell::new(ChaCha8Rng::seed_from_u64(plan.seed)),
        recorders: RefCell::new([Recorder::new()?, Recorder::new()?, Recorder::new()?]),
    });
    progress.set_length(plan.requests);
    let workers = clients
        .iter()
        .cycle()
        .take(to_usize(WORKER_COUNT))
        .map(|client| {
            let (client, workload, progress) =
                (client.clone(), Rc::clone(&workload), progress.clone());
            actix_rt::spawn(async move { workload.run_worker(&client, &progress).await })
        });
    let workers: Vec<_> = workers.collect();
    replace_entry(&mut fleet, plan, &workload).await?;
    for worker in workers {
        worker.await.map_err(|error| {
            let detail = format!("a worker task failed: {error}");
            Error::coded(ResultCode::RunFailed, detail)
        })?;
    }
    let received: u64 = feeds
        .iter()
        .map(|feed| feed.counts().events)
        .max()
        .unwrap_or(0);
    let stalled = await_events(&feeds, received + EVENTS_AFTER_REPLACEMENT).await;
    let duration_ms = u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX);
    Ok(build_report(
        plan,
        duration_ms,
        &fleet,
        &clients,
        &feeds,
        stalled,
        &workload,
    ))
}

impl Workload {
    async fn run_worker(&self, client: &Client, progress: &ProgressBar) {
        while let Some(number) = self.next_request() {
            self.wait_for_replacement(number).await;
            let phase = *self.phase.borrow();
            let (nonce, is_non_repeatable) = {
                let mut random = self.random.borrow_mut();
                (random.random::<u64>(), random.random::<bool>())
            };
            let started = Instant::now();
            let outcome = request(client, number, nonce, is_non_repeatable).await;
            let mut recorders = self.recorders.borrow_mut();
            recorders[phase].record(&outcome, started.elapsed());
            progress.inc(1);
        }
    }

    fn next_request(&self) -> Option<u64> {
        let number = self.next.get();
        if number >= self.total {
            return None;
        }
        self.next.set(number + 1);
        Some(number)
    }

    /// Delays the last third of the requests until the entry has been replaced.
    async fn wait_for_replacement(&self, number: u64) {
        if number * 3 >= self.total * 2 {
            let mut phase = self.phase.subscribe();
            // Never fails, because `self` holds the sender.
            let _ = phase.wait_for(|phase| *phase == AFTER).await;
        }
    }

    /// Waits until the workers have started `number` requests.
    async fn wait_for_request(&self, number: u64) {
        while self.next.get() < number.min(self.total) {
            sleep(Duration::from_millis(1)).await;
        }
    }
}

async fn request(client: &Client, number: u64, nonce: u64, is_non_repeatable: bool) -> Outcome {
    if is_non_repeatable {
        let body = format!("lot {number}");
        return client
            .submit(format!("/reservations?nonce={nonce}"), body)
            .await;
    }
    client.get(format!("/lots/{number}?nonce={nonce}")).await
}

/// Kills one of the two entries after a third of the requests and starts a new one after half of
/// them. In between, half of all datagrams go to the dead entry. For a graceful stop, the new entry
/// is started before the old one is stopped.
async fn replace_entry(
    fleet: &mut LocalFleet,
    plan: &LocalPlan,
    workload: &Workload,
) -> Result<()> {
    workload.wait_for_request(workload.total / 3).await;
    workload.phase.send_replace(DURING);
    if plan.drains {
        fleet.drain_entry().await?;
    } else {
        fleet.kill_entry();
        workload.wait_for_request(workload.total / 2).await;
        fleet.add_entry().await?;
    }
    workload.phase.send_replace(AFTER);
    Ok(())
}

/// Returns the spans of the latest `count` traces that a client finished, one line for each span,
/// ordered by trace and start time.
fn trace_lines(fleet: &LocalFleet, count: usize) -> Vec<String> {
    let mut spans = fleet.spans();
    let finished = spans.iter().rev().filter(|span| span.hop == Hop::Client);
    let chosen: Vec<u128> = finished
        .map(|span| span.context.trace_id)
        .take(count)
        .collect();
    spans.retain(|span| chosen.contains(&span.context.trace_id));
    spans.sort_by_key(|span| (span.context.trace_id, span.start));
    spans.iter().map(ToString::to_string).collect()
}

fn create_clients(fleet: &LocalFleet, plan: &LocalPlan) -> Result<Vec<Client>> {
    let count = plan.feeds.clamp(WORKER_COUNT, MAX_CLIENT_COUNT);
    let client = |index| fleet.client(format!("client-{index}"));
    (0..count).map(client).collect()
}

/// Waits until the fleet answers a request, because its processes start concurrently.
async fn await_ready(clients: &[Client]) -> Result<()> {
    let mut last = None;
    for _ in 0..READY_ATTEMPTS {
        let call = fes_testkit::ClientRequest::get("/ready");
        match clients[0].exchange(&call).await {
            Ok(reply) if reply.status < 400 => return Ok(()),
            Ok(reply) => last = Some(format!("status {}", reply.status)),
            Err(outcome) => last = Some(outcome.to_string()),
        }
        sleep(Duration::from_millis(READY_INTERVAL_MS)).await;
    }
    let detail = format!(
        "the fleet didn't become ready; last outcome of a request: {}",
        last.unwrap_or_default()
    );
    Err(Error::coded(ResultCode::RunFailed, detail))
}

fn open_feeds(clients: &[Client], count: u64) -> Vec<Feed> {
    let clients = clients.iter().cycle();
    let numbered = clients.zip(0..count);
    numbered
        .map(|(client, number)| client.open_feed(format!("/feed/{number}")))
        .collect()
}

/// Waits until each feed has delivered `events` events. Returns the number of feeds that haven't
/// within the timeout.
async fn await_events(feeds: &[Feed], events: u64) -> u64 {
    let deadline = Instant::now() + Duration::from_millis(FEED_TIMEOUT_MS);
    loop {
        let behind = feeds.iter().filter(|feed| feed.counts().events < events);
        let behind = behind.count() as u64;
        if behind == 0 || Instant::now() >= deadline {
            return behind;
        }
        sleep(Duration::from_millis(FEED_POLL_INTERVAL_MS)).await;
    }
}

fn build_report(
    plan: &LocalPlan,
    duration_ms: u64,
    fleet: &LocalFleet,
    clients: &[Client],
    feeds: &[Feed],
    stalled: u64,
    workload: &Workload,
) -> LocalReport {
    let mut counts = ClientCounts::default();
    let mut connection_ends: BTreeMap<String, u64> = BTreeMap::new();
    for client in clients {
        counts.add(&client.counts());
        for (reason, count) in client.connection_ends() {
            *connection_ends.entry(reason).or_default() += count;
        }
    }
    let mut feed_counts = FeedCounts::default();
    for feed in feeds {
        feed_counts.add(&feed.counts());
    }
    let broken = feeds.iter().filter(|feed| feed.is_broken()).count() as u64;
    let recorders = workload.recorders.borrow();
    let mut failures_by_code: BTreeMap<String, u64> = BTreeMap::new();
    for (code, count) in recorders.iter().flat_map(Recorder::failures_by_code) {
        *failures_by_code.entry(code.clone()).or_default() += count;
    }
    LocalReport {
        seed: plan.seed,
        duration_ms,
        requests: counts.requests,
        answered: counts.answered,
        refused: counts.refused,
        unknown: counts.unknown,
        failed: counts.failed,
        lost: counts.lost + plan.requests.saturating_sub(counts.requests),
        doubled: fleet.log().duplicated_key_count() as u64,
        misrouted: counts.misrouted,
        feeds: plan.feeds,
        // A stalled feed may be broken although its client hasn't noticed.
        broken_feeds: broken.max(stalled),
        feed_events: feed_counts.events,
        connections: counts.connections,
        repeats: counts.repeats,
        entries_replaced: 1,
        started_by_upstream: fleet.started_by_upstream(),
        failures_by_code,
        connection_ends,
        latency_before_us: recorders[BEFORE].latency(),
        latency_during_us: recorders[DURING].latency(),
        latency_after_us: recorders[AFTER].latency(),
        tickets_in_force_ms: fleet.tickets_in_force_ms().to_vec(),
        traces: trace_lines(fleet, plan.traces),
    }
}

fn to_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
