//! Measures the cost of the request path: routing decision, flow setup and added latency.

use std::time::Duration;

use fes_measure::capacity::DecisionCost;
use fes_measure::capacity::DesignSize;
use fes_measure::capacity::decision_cost;
use fes_protocol::Error;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use fes_testkit::Client;
use fes_testkit::Outcome;
use futures::stream;
use futures::stream::StreamExt;
use futures::stream::TryStreamExt;
use hdrhistogram::Histogram;
use indicatif::ProgressBar;
use serde::Serialize;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::direct_client::DirectClient;
use crate::local_fleet::LocalFleet;

const UPSTREAM_COUNT: u32 = 3;
const WARM_UP_REQUESTS: u64 = 50;
/// Maximum number of concurrent handshakes.
const MAX_CONCURRENT_HANDSHAKES: usize = 16;
const READY_ATTEMPTS: u32 = 200;
const READY_INTERVAL: Duration = Duration::from_millis(50);
const MAX_LATENCY_US: u64 = 60_000_000;

/// Parameters of a measurement.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PathPlan {
    pub(crate) requests: u64,
    pub(crate) flows: u64,
    pub(crate) seed: u64,
}

/// Latency quantiles, in microseconds.
#[derive(Debug, Clone, Copy, Serialize)]
pub(crate) struct Quantiles {
    pub(crate) p50_us: u64,
    pub(crate) p99_us: u64,
}

/// Results of a measurement.
#[derive(Debug, Clone, Copy, Serialize)]
pub(crate) struct PathReport {
    pub(crate) seed: u64,
    pub(crate) decision: DecisionCost,
    pub(crate) flows: u64,
    pub(crate) flows_per_s: f64,
    pub(crate) requests: u64,
    pub(crate) direct: Quantiles,
    pub(crate) through_fleet: Quantiles,
    pub(crate) added: Quantiles,
}

impl PathReport {
    /// Returns whether the routing decisions for established flows and for first packets are within
    /// the required time.
    pub(crate) fn meets_targets(&self) -> bool {
        let bound_ns = DesignSize::required().decision_ns;
        self.decision.established_ns <= bound_ns && self.decision.first_packet_ns <= bound_ns
    }
}

/// Runs all measurements in this process, one after the other. Direct requests and requests through
/// the fleet alternate, so that both run under the same conditions.
pub(crate) async fn run_path(plan: &PathPlan, progress: &ProgressBar) -> Result<PathReport> {
    let decision = decision_cost();
    let fleet = LocalFleet::start(UPSTREAM_COUNT, plan.seed).await?;
    let client = fleet.client("path")?;
    await_ready(&client).await?;
    let direct_client = DirectClient::connect(fleet.upstream_address()).await?;
    progress.set_length(plan.requests);
    let mut direct = histogram()?;
    let mut through_fleet = histogram()?;
    for number in 0..WARM_UP_REQUESTS + plan.requests {
        let path = format!("/lots/{number}?nonce={number}");
        let started = Instant::now();
        direct_client.get(&path).await?;
        let direct_us = elapsed_us(started);
        let started = Instant::now();
        get(&client, &path).await?;
        let through_us = elapsed_us(started);
        if number >= WARM_UP_REQUESTS {
            direct.saturating_record(direct_us);
            through_fleet.saturating_record(through_us);
            progress.inc(1);
        }
    }
    let flows_per_s = flows_per_s(&fleet, plan.flows).await?;
    let (direct, through_fleet) = (quantiles(&direct), quantiles(&through_fleet));
    Ok(PathReport {
        seed: plan.seed,
        decision,
        flows: plan.flows,
        flows_per_s,
        requests: plan.requests,
        direct,
        through_fleet,
        added: Quantiles {
            p50_us: through_fleet.p50_us.saturating_sub(direct.p50_us),
            p99_us: through_fleet.p99_us.saturating_sub(direct.p99_us),
        },
    })
}

/// Measures the rate of new flows with one request each. The result is a lower bound, because it
/// includes the service time of that request.
async fn flows_per_s(fleet: &LocalFleet, flows: u64) -> Result<f64> {
    let clients: Vec<Client> = (0..flows)
        .map(|number| fleet.client(format!("flow-{number}")))
        .collect::<Result<_>>()?;
    let started = Instant::now();
    stream::iter(clients.iter())
        .map(|client| get(client, "/lots/1?nonce=1"))
        .buffer_unordered(MAX_CONCURRENT_HANDSHAKES)
        .try_collect::<Vec<()>>()
        .await?;
    Ok(flows as f64 / started.elapsed().as_secs_f64())
}

async fn get(client: &Client, path: &str) -> Result<()> {
    match client.get(path).await {
        Outcome::Answered { .. } => Ok(()),
        outcome => {
            let detail = format!("a request through the fleet failed: {outcome}");
            Err(Error::coded(ResultCode::RunFailed, detail))
        }
    }
}

async fn await_ready(client: &Client) -> Result<()> {
    let mut last = Ok(());
    for _ in 0..READY_ATTEMPTS {
        last = get(client, "/lots/0?nonce=0").await;
        if last.is_ok() {
            return last;
        }
        sleep(READY_INTERVAL).await;
    }
    last
}

fn histogram() -> Result<Histogram<u64>> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).map_err(|error| {
        let detail = format!("creating the latency histogram failed: {error}");
        Error::coded(ResultCode::RunFailed, detail)
    })
}

fn elapsed_us(started: Instant) -> u64 {
    u64::try_from(started.elapsed().as_micros())
        .unwrap_or(u64::MAX)
        .max(1)
}

fn quantiles(histogram: &Histogram<u64>) -> Quantiles {
    Quantiles {
        p50_us: histogram.value_at_quantile(0.5),
        p99_us: histogram.value_at_quantile(0.99),
    }
}
