//! Requests and feeds through a local fleet while one of its entries is replaced.

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

/// Phases of a run: before the death of the entry, until another serves, and after.
const PHASES: usize = 3;
const BEFORE: usize = 0;
const DURING: usize = 1;
const AFTER: usize = 2;
const MAX_CLIENTS: u64 = 32;
/// Requests in progress at the same time; below the slots of three upstreams, so that the run
/// measures flows and not overload.
const WORKERS: u64 = 8;
const READY_ATTEMPTS: u32 = 100;
const READY_INTERVAL_MS: u64 = 50;
/// Events that each feed must deliver after the replacement.
const EVENTS_AFTER: u64 = 20;
/// A silent flow is noticed within 5 s; a feed that delivers nothing for longer is broken.
const FEED_BOUND_MS: u64 = 8_000;
const FEED_POLL_MS: u64 = 20;

/// What to run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LocalPlan {
    pub(crate) requests: u64,
    pub(crate) feeds: u64,
    pub(crate) seed: u64,
    pub(crate) upstream_count: u32,
    /// Stops the entry gracefully instead of killing it.
    pub(crate) drains: bool,
    /// Requests whose spans are reported.
    pub(crate) traces: usize,
}

/// What clients and upstream doubles observed.
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
    /// Returns whether anything happened that must never happen.
    pub(crate) fn has_violations(&self) -> bool {
        self.lost + self.doubled + self.broken_feeds + self.misrouted > 0
    }
}

/// Hands out request numbers to the workers and waits at the two steps of the replacement.
struct Work {
    total: u64,
    next: Cell<u64>,
    phase: watch::Sender<usize>,
    random: RefCell<ChaCha8Rng>,
    recorders: RefCell<[Recorder; PHASES]>,
}

/// Runs the plan.
pub(crate) async fn run_local(plan: &LocalPlan, progress: &ProgressBar) -> Result<LocalReport> {
    let start = Instant::now();
    let mut fleet = LocalFleet::start(plan.upstream_count, plan.seed).await?;
    let clients = make_clients(&fleet, plan)?;
    await_ready(&clients).await?;
    let feeds = open_feeds(&clients, plan.feeds);
    let stalled = await_events(&feeds, 1).await;
    if stalled > 0 {
        let detail = format!("{stalled} feeds deliver nothing at the start");
        return Err(Error::coded(ResultCode::RunFailed, detail));
    }
    let work = Rc::new(Work {
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
        .take(usize_of(WORKERS))
        .map(|client| {
            let (client, work, progress) = (client.clone(), Rc::clone(&work), progress.clone());
            actix_rt::spawn(async move { work.drive(&client, &progress).await })
        });
    let workers: Vec<_> = workers.collect();
    replace_entry(&mut fleet, plan, &work).await?;
    for worker in workers {
        worker.await.map_err(|error| {
            let detail = format!("a worker ended early: {error}");
            Error::coded(ResultCode::RunFailed, detail)
        })?;
    }
    let seen: u64 = feeds
        .iter()
        .map(|feed| feed.counts().events)
        .max()
        .unwrap_or(0);
    let stalled = await_events(&feeds, seen + EVENTS_AFTER).await;
    let duration_ms = u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX);
    Ok(report(
        plan,
        duration_ms,
        &fleet,
        &clients,
        &feeds,
        stalled,
        &work,
    ))
}

impl Work {
    async fn drive(&self, client: &Client, progress: &ProgressBar) {
        while let Some(number) = self.take() {
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

    fn take(&self) -> Option<u64> {
        let number = self.next.get();
        if number >= self.total {
            return None;
        }
        self.next.set(number + 1);
        Some(number)
    }

    /// Keeps the last third of the requests for the time after the replacement.
    async fn wait_for_replacement(&self, number: u64) {
        if number * 3 >= self.total * 2 {
            let mut phase = self.phase.subscribe();
            // The sender lives as long as this work.
            let _ = phase.wait_for(|phase| *phase == AFTER).await;
        }
    }

    async fn reach(&self, number: u64) {
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

/// Kills an entry after a third of the requests and starts another after half of them; in between,
/// half of all datagrams go to the dead one. A graceful stop instead starts the other first.
async fn replace_entry(fleet: &mut LocalFleet, plan: &LocalPlan, work: &Work) -> Result<()> {
    work.reach(work.total / 3).await;
    work.phase.send_replace(DURING);
    if plan.drains {
        fleet.drain_entry().await?;
    } else {
        fleet.kill_entry();
        work.reach(work.total / 2).await;
        fleet.add_entry().await?;
    }
    work.phase.send_replace(AFTER);
    Ok(())
}

/// Returns the spans of the latest `count` traces that a client finished, one line for each, in
/// order of their starts.
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

fn make_clients(fleet: &LocalFleet, plan: &LocalPlan) -> Result<Vec<Client>> {
    let count = plan.feeds.clamp(WORKERS, MAX_CLIENTS);
    let client = |index| fleet.client(format!("client-{index}"));
    (0..count).map(client).collect()
}

/// Waits until the fleet answers; its processes start at the same time.
async fn await_ready(clients: &[Client]) -> Result<()> {
    let mut last = None;
    for _ in 0..READY_ATTEMPTS {
        let call = fes_testkit::ClientRequest::get("/ready");
        match clients[0].exchange(&call).await {
            Ok(reply) if reply.status < 400 => return Ok(()),
            Ok(reply) => last = Some(format!("status {}", reply.status)),
            Err(outcome) => last = Some(format!("{outcome:?}")),
        }
        sleep(Duration::from_millis(READY_INTERVAL_MS)).await;
    }
    let detail = format!(
        "the fleet did not become ready: {}",
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

/// Waits until each feed has delivered `events`; returns how many have not within the bound.
async fn await_events(feeds: &[Feed], events: u64) -> u64 {
    let deadline = Instant::now() + Duration::from_millis(FEED_BOUND_MS);
    loop {
        let behind = feeds.iter().filter(|feed| feed.counts().events < events);
        let behind = behind.count() as u64;
        if behind == 0 || Instant::now() >= deadline {
            return behind;
        }
        sleep(Duration::from_millis(FEED_POLL_MS)).await;
    }
}

fn report(
    plan: &LocalPlan,
    duration_ms: u64,
    fleet: &LocalFleet,
    clients: &[Client],
    feeds: &[Feed],
    stalled: u64,
    work: &Work,
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
    let recorders = work.recorders.borrow();
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
        // A feed that stalled may have broken unnoticed.
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

fn usize_of(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
