//! Results of the experiment, as a table or as JSON.

use std::fmt;

use fes_protocol::Error;
use fes_protocol::MonoTime;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use serde::Serialize;

use super::fleet::Target;
use super::fleet::total_capacity;
use super::flow_policy::FlowPolicy;
use super::load::Load;
use super::load::Request;
use super::load::RequestClass;
use super::outcome::Execution;
use super::outcome::RequestResult;
use super::outcome::result;
use super::scenario::FlowScenario;
use super::scenario::MEASURED_FROM;
use super::scenario::MEASURED_TO;
use crate::Series;
use crate::experiments::percentile;
use crate::experiments::share;

/// Time between two points of a plot.
const PLOT_WINDOW_MS: u64 = 500;
const WAIT_PERCENTILE: f64 = 99.0;

/// Results of all scenarios.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PassThroughReport {
    /// Seed of all random choices.
    pub seed: u64,
    /// Results by scenario.
    pub scenarios: Vec<ScenarioResult>,
    /// Curves for plots.
    #[serde(skip)]
    pub series: Vec<Series>,
}

/// Results of one scenario.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ScenarioResult {
    /// Name of the scenario.
    pub name: &'static str,
    /// Number of measured requests.
    pub requests: usize,
    /// Share of requests that no scheduler can exceed in time, from the capacity of all slots.
    pub bound_in_time: f64,
    /// Results by policy.
    pub policies: Vec<PolicyResult>,
}

/// Results of one policy.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PolicyResult {
    /// Name of the policy.
    pub policy: &'static str,
    /// Share of requests answered within their latency goal.
    pub in_time: f64,
    /// Share of requests answered after their latency goal and before their timeout.
    pub late: f64,
    /// Share of requests not answered before their timeout.
    pub failed: f64,
    /// Results by class.
    pub classes: Vec<ClassResult>,
    /// Utilisation of the busiest target over the mean, which is weighted by capacity.
    pub busiest_over_mean: f64,
    /// 99th percentile of the time from sending a request until it runs, of those that ran, in
    /// milliseconds.
    pub wait_p99_ms: f64,
}

/// Results of the requests of one class.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ClassResult {
    /// Name of the class.
    pub class: &'static str,
    /// Number of measured requests.
    pub requests: usize,
    /// Share of requests answered within their latency goal.
    pub in_time: f64,
    /// Share of requests answered after their latency goal and before their timeout.
    pub late: f64,
    /// Share of requests not answered before their timeout.
    pub failed: f64,
}

impl PassThroughReport {
    /// Returns the report as JSON.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::OutputUnwritable`] if serialization fails.
    pub fn to_json(&self) -> Result<String> {
        serde_json::to_string_pretty(self).map_err(|e| {
            let detail = format!("can't serialize the report as JSON: {e}");
            Error::coded(ResultCode::OutputUnwritable, detail)
        })
    }
}

impl ScenarioResult {
    /// Returns the results of a policy.
    #[must_use]
    pub fn policy(&self, policy: FlowPolicy) -> Option<&PolicyResult> {
        self.policies.iter().find(|p| p.policy == policy.name())
    }
}

impl PolicyResult {
    /// Returns the number of measured requests.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.classes.iter().map(|class| class.requests).sum()
    }

    /// Returns the share of failed requests of a class, or none if there are no such requests.
    #[must_use]
    pub fn failed_of(&self, class: RequestClass) -> Option<f64> {
        let mut classes = self.classes.iter();
        classes
            .find(|result| result.class == class.name())
            .filter(|result| result.requests > 0)
            .map(|result| result.failed)
    }
}

/// Counts of requests by result.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    in_time: usize,
    late: usize,
    failed: usize,
}

impl Counts {
    fn of<'a>(runs: impl Iterator<Item = (&'a Request, Option<&'a Execution>)>) -> Self {
        let mut counts = Self::default();
        for (request, execution) in runs {
            match result(request, execution) {
                RequestResult::InTime => counts.in_time += 1,
                RequestResult::Late => counts.late += 1,
                RequestResult::Failed => counts.failed += 1,
            }
        }
        counts
    }

    const fn all(self) -> usize {
        self.in_time + self.late + self.failed
    }
}

/// Returns the requests sent in `from..to` with their runs.
fn sent_in<'a>(
    load: &'a Load,
    executions: &'a [Option<Execution>],
    from: MonoTime,
    to: MonoTime,
) -> impl Iterator<Item = (&'a Request, Option<&'a Execution>)> {
    let runs = load.requests.iter().zip(executions);
    runs.filter(move |(request, _)| request.sent_at >= from && request.sent_at < to)
        .map(|(request, execution)| (request, execution.as_ref()))
}

/// Evaluates the runs of a policy.
pub(crate) fn policy_result(
    policy: FlowPolicy,
    load: &Load,
    targets: &[Target],
    executions: &[Option<Execution>],
) -> PolicyResult {
    let measured = || sent_in(load, executions, MEASURED_FROM, MEASURED_TO);
    let counts = Counts::of(measured());
    let class = |class: RequestClass| {
        let counts = Counts::of(measured().filter(|(request, _)| request.class == class));
        ClassResult {
            class: class.name(),
            requests: counts.all(),
            in_time: share(counts.in_time, counts.all()),
            late: share(counts.late, counts.all()),
            failed: share(counts.failed, counts.all()),
        }
    };
    let wait_ms = |(request, execution): (&Request, Option<&Execution>)| {
        execution.map(|run| run.started_at.us_since(request.sent_at) as f64 / 1e3)
    };
    PolicyResult {
        policy: policy.name(),
        in_time: share(counts.in_time, counts.all()),
        late: share(counts.late, counts.all()),
        failed: share(counts.failed, counts.all()),
        classes: RequestClass::ALL.map(class).to_vec(),
        busiest_over_mean: busiest_over_mean(targets, executions),
        wait_p99_ms: percentile(measured().filter_map(wait_ms).collect(), WAIT_PERCENTILE),
    }
}

/// Returns the utilisation of the busiest target over the mean of all, weighted by capacity, in the
/// measured time.
fn busiest_over_mean(targets: &[Target], executions: &[Option<Execution>]) -> f64 {
    let mut busy_us = vec![0_u64; targets.len()];
    for execution in executions.iter().flatten() {
        let from = execution.started_at.max(MEASURED_FROM);
        busy_us[execution.target] += execution.ended_at.min(MEASURED_TO).us_since(from);
    }
    let per_slot = |(target, busy_us): (&Target, &u64)| *busy_us as f64 / f64::from(target.slots);
    let used: Vec<f64> = targets.iter().zip(&busy_us).map(per_slot).collect();
    let weighted = |(target, used): (&Target, &f64)| used * target.capacity();
    let sum: f64 = targets.iter().zip(&used).map(weighted).sum();
    let busiest = used.iter().copied().fold(0.0, f64::max);
    busiest * total_capacity(targets) / sum
}

/// Returns the share of requests in time over the run.
pub(crate) fn policy_series(
    scenario: &FlowScenario,
    policy: FlowPolicy,
    load: &Load,
    executions: &[Option<Execution>],
) -> Series {
    let point = |window: u64| {
        let from = MonoTime::from_ms(window * PLOT_WINDOW_MS);
        let counts = Counts::of(sent_in(
            load,
            executions,
            from,
            from.plus_ms(PLOT_WINDOW_MS),
        ));
        (
            from.as_ms() as f64 / 1e3,
            share(counts.in_time, counts.all()),
        )
    };
    let windows = MEASURED_FROM.as_ms() / PLOT_WINDOW_MS..MEASURED_TO.as_ms() / PLOT_WINDOW_MS;
    Series {
        plot: scenario.name,
        x_label: "time in s",
        y_label: "share of requests in time, windows of 0.5 s",
        label: policy.name().to_owned(),
        points: windows.map(point).collect(),
    }
}

impl fmt::Display for PassThroughReport {
    /// Writes the results as a Markdown table.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}\n", self.seed)?;
        write!(f, "| scenario | policy | in time | late |")?;
        for class in RequestClass::ALL {
            write!(f, " failed, {} |", class.name())?;
        }
        writeln!(f, " busiest over mean | p99 wait, ms |")?;
        writeln!(f, "|{}", "---|".repeat(6 + RequestClass::ALL.len()))?;
        for scenario in &self.scenarios {
            scenario.write_rows(f)?;
        }
        Ok(())
    }
}

impl ScenarioResult {
    fn write_rows(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for result in &self.policies {
            let PolicyResult {
                policy,
                in_time,
                late,
                ..
            } = result;
            write!(f, "| {} | {policy} | {in_time:.4} | {late:.4} |", self.name)?;
            for class in RequestClass::ALL {
                match result.failed_of(class) {
                    Some(failed) => write!(f, " {failed:.4} |")?,
                    None => write!(f, " - |")?,
                }
            }
            let busiest = result.busiest_over_mean;
            writeln!(f, " {busiest:.3} | {:.1} |", result.wait_p99_ms)?;
        }
        let bound = self.bound_in_time;
        writeln!(
            f,
            "| {} | bound by capacity | {bound:.4} |{}",
            self.name,
            " - |".repeat(6)
        )
    }
}
