//! Records latencies and failures of requests.

use std::collections::BTreeMap;
use std::time::Duration;

use fes_protocol::Error;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use fes_testkit::Outcome;
use hdrhistogram::Histogram;
use serde::Serialize;

const MAX_LATENCY_US: u64 = 3_600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Latency quantiles of answered requests, in microseconds.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(crate) struct Latency {
    pub(crate) p50: u64,
    pub(crate) p90: u64,
    pub(crate) p99: u64,
    pub(crate) max: u64,
}

/// Records latencies and failures of finished requests.
pub(crate) struct Recorder {
    latencies_us: Histogram<u64>,
    failures_by_code: BTreeMap<String, u64>,
}

impl Recorder {
    /// Creates an empty recorder.
    pub(crate) fn new() -> Result<Self> {
        let latencies_us = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS);
        Ok(Self {
            latencies_us: latencies_us.map_err(|error| {
                let detail = format!("creating the latency histogram failed: {error}");
                Error::coded(ResultCode::RunFailed, detail)
            })?,
            failures_by_code: BTreeMap::new(),
        })
    }

    /// Records the outcome and the latency of a request.
    pub(crate) fn record(&mut self, outcome: &Outcome, latency: Duration) {
        let latency_us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        let failure = match outcome {
            Outcome::Answered { .. } => {
                self.latencies_us.saturating_record(latency_us.max(1));
                return;
            }
            Outcome::NotRun(code) | Outcome::Unknown(code) => format!("F{:04}", code.number()),
            Outcome::Failed { status } => format!("status {status}"),
            Outcome::Lost(_) => "lost".to_owned(),
            Outcome::Misrouted => "misrouted".to_owned(),
            Outcome::Truncated => "truncated".to_owned(),
        };
        *self.failures_by_code.entry(failure).or_default() += 1;
    }

    /// Returns the latency quantiles of the answered requests.
    pub(crate) fn latency(&self) -> Latency {
        let quantile = |quantile| self.latencies_us.value_at_quantile(quantile);
        Latency {
            p50: quantile(0.5),
            p90: quantile(0.9),
            p99: quantile(0.99),
            max: self.latencies_us.max(),
        }
    }

    /// Returns the number of failed requests by result code or kind of failure.
    pub(crate) const fn failures_by_code(&self) -> &BTreeMap<String, u64> {
        &self.failures_by_code
    }
}
