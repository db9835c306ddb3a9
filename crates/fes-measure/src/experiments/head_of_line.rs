//! Experiment `head-of-line`: queueing of short requests among 2 % stragglers of 50 times their
//! service time, at 70 % load.

use fes_protocol::MonoTime;

use super::ExperimentResult;
use super::RawFigure;
use super::mix::STRAGGLER_FACTOR;
use super::mix::hidden_straggler_classes;
use super::mix::mixed_speeds;
use super::mix::short_classes;
use super::mix::straggler_classes;
use super::statistics::ms_or_infinite;
use super::statistics::percentile;
use super::statistics::sent_in;
use super::statistics::share;
use crate::Policy;
use crate::Profile;
use crate::Series;
use crate::sim::Fleet;
use crate::sim::MixComponent;
use crate::sim::Outcome;
use crate::sim::RunResult;
use crate::sim::Scenario;

/// Demand as a share of capacity, with and without stragglers.
const LOAD: f64 = 0.7;

/// Start of the measured window, after the agents have learned capacities.
const FROM: MonoTime = MonoTime::from_ms(30_000);

/// End of the measured window.
const TO: MonoTime = MonoTime::from_ms(150_000);

/// Time after [`TO`] in which requests sent before it can finish, in milliseconds.
const TAIL_MS: u64 = 15_000;

/// Largest permitted ratio of the p99 queueing time of short requests with stragglers to that
/// without.
const MAX_WAIT_RATIO: f64 = 2.0;

/// Bound on the latency of long requests as a multiple of their mean service time on a reference
/// VM. It allows for the queueing age from which admission serves a long request first (4 times),
/// the wait for a slot to become free, and a long service time on the slowest VM.
const LONG_BOUND_MULTIPLE: f64 = 10.0;

pub(crate) fn head_of_line(profile: &Profile, seed: u64) -> ExperimentResult {
    let with = both_policies(profile, seed, straggler_classes(profile), LOAD);
    let without = both_policies(profile, seed, short_classes(profile), LOAD);
    let hidden = both_policies(profile, seed, hidden_straggler_classes(profile), LOAD);
    let queueing_p99_ms = |runs: &[RunResult; 2], i: usize| wait_p99_ms(&runs[i], queueing_us);
    let wait_with_hops_p99_ms =
        |runs: &[RunResult; 2], i: usize| wait_p99_ms(&runs[i], Outcome::wait_us);
    let long_bound_ms = LONG_BOUND_MULTIPLE * STRAGGLER_FACTOR * profile.short_service_us / 1e3;
    let figures = vec![
        RawFigure::at_most(
            "p99 queueing of short requests over without stragglers",
            "ratio",
            MAX_WAIT_RATIO,
            [0, 1].map(|i| queueing_p99_ms(&with, i) / queueing_p99_ms(&without, i)),
        ),
        RawFigure::at_most(
            "longest time to finish a long request",
            "ms",
            long_bound_ms,
            [0, 1].map(|i| longest_ms(&with[i])),
        ),
        RawFigure::without_target(
            "p99 queueing of short requests with stragglers",
            "ms",
            [0, 1].map(|i| queueing_p99_ms(&with, i)),
        ),
        RawFigure::without_target(
            "p99 queueing of short requests without stragglers",
            "ms",
            [0, 1].map(|i| queueing_p99_ms(&without, i)),
        ),
        RawFigure::without_target(
            "p99 wait with hops of short requests over without stragglers",
            "ratio",
            [0, 1].map(|i| wait_with_hops_p99_ms(&with, i) / wait_with_hops_p99_ms(&without, i)),
        ),
        RawFigure::without_target(
            "short requests refused or late with stragglers",
            "share",
            [0, 1].map(|i| missed_deadline_share(&with[i], false)),
        ),
        RawFigure::without_target(
            "p99 queueing ratio, stragglers hidden in a usual class",
            "ratio",
            [0, 1].map(|i| queueing_p99_ms(&hidden, i) / queueing_p99_ms(&without, i)),
        ),
        RawFigure::without_target(
            "short requests refused or late, stragglers hidden",
            "share",
            [0, 1].map(|i| missed_deadline_share(&hidden[i], false)),
        ),
        RawFigure::without_target(
            "long requests refused or late",
            "share",
            [0, 1].map(|i| missed_deadline_share(&with[i], true)),
        ),
    ];
    let curve = |label: &str, run: &RunResult| Series {
        plot: "head-of-line",
        x_label: "percentile",
        y_label: "queueing of short requests in ms",
        label: label.to_owned(),
        points: (50..100)
            .map(|percent| {
                let wait_ms = wait_ms(run, queueing_us, f64::from(percent));
                // An infinite wait can't be drawn.
                (f64::from(percent), wait_ms.min(10_000.0))
            })
            .collect(),
    };
    ExperimentResult {
        series: vec![
            curve("baseline", &with[0]),
            curve("current", &with[1]),
            curve("current without stragglers", &without[1]),
        ],
        figures,
    }
}

/// Returns the runs under the baseline and the current policy, in this order.
fn both_policies(
    profile: &Profile,
    seed: u64,
    classes: Vec<MixComponent>,
    load: f64,
) -> [RunResult; 2] {
    let scenario = Scenario {
        profile: profile.clone(),
        seed,
        speeds: mixed_speeds(profile, seed),
        classes,
        load: vec![(0, load)],
        end: TO.plus_ms(TAIL_MS),
        clients_retry: false,
    };
    [Policy::Baseline, Policy::Current].map(|p| Fleet::run(scenario.clone(), p))
}

/// Returns the time in the queue of the agent that ran the request.
fn queueing_us(outcome: &Outcome) -> Option<u64> {
    outcome.started_at.map(|at| at.us_since(outcome.handled_at))
}

fn wait_p99_ms(run: &RunResult, wait_us: fn(&Outcome) -> Option<u64>) -> f64 {
    wait_ms(run, wait_us, 99.0)
}

/// Returns a percentile of the wait of short requests. Requests that never started count as
/// infinite.
fn wait_ms(run: &RunResult, wait_us: fn(&Outcome) -> Option<u64>, percent: f64) -> f64 {
    let short = sent_in(&run.outcomes, FROM, TO).filter(|o| !o.long);
    percentile(short.map(|o| ms_or_infinite(wait_us(o))).collect(), percent)
}

fn longest_ms(run: &RunResult) -> f64 {
    let long = sent_in(&run.outcomes, FROM, TO).filter(|o| o.long);
    percentile(
        long.map(|o| ms_or_infinite(o.latency_us())).collect(),
        100.0,
    )
}

fn missed_deadline_share(run: &RunResult, long: bool) -> f64 {
    let of_kind = || sent_in(&run.outcomes, FROM, TO).filter(|o| o.long == long);
    share(
        of_kind().filter(|o| !o.met_deadline()).count(),
        of_kind().count(),
    )
}
