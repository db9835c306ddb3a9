//! A demand peak from 50 % to 200 % of capacity within 2 s, for 10 s, with clients that retry.

use fes_protocol::MonoTime;

use super::Measured;
use super::RawFigure;
use super::mix::mixed_speeds;
use super::mix::short_classes;
use super::statistics::ms_or_never;
use super::statistics::percentile;
use super::statistics::sent_in;
use super::statistics::share;
use crate::Policy;
use crate::Profile;
use crate::Series;
use crate::sim::Fleet;
use crate::sim::Outcome;
use crate::sim::RunResult;
use crate::sim::Scenario;

const QUIET_LOAD: f64 = 0.5;
const PEAK_LOAD: f64 = 2.0;

/// When demand starts to rise, in milliseconds.
const RISE_MS: u64 = 30_000;

/// When demand has reached its peak, in milliseconds.
const PEAK_FROM_MS: u64 = 32_000;

/// When demand falls back, in milliseconds.
const PEAK_TO_MS: u64 = 42_000;

/// When latency must be back, in milliseconds.
const BACK_MS: u64 = PEAK_TO_MS + 2_000;

/// Length of the windows before and after the peak, in milliseconds.
const COMPARED_MS: u64 = 5_000;

/// Least goodput at the peak as a share of capacity.
const MIN_GOODPUT: f64 = 0.95;

/// Longest time to a refusal at the refusing agent, in milliseconds.
const MAX_REFUSAL_MS: f64 = 10.0;

/// Latency that counts as back at its level before the peak, as a ratio. Percentiles of two
/// windows of the same process differ by a few per cent.
const MAX_LATENCY_RATIO: f64 = 1.10;

/// Least goodput after the peak as a share of demand; below it the overload sustains itself.
const MIN_GOODPUT_AFTER: f64 = 0.95;

pub(crate) fn crest(profile: &Profile, seed: u64) -> Measured {
    let scenario = Scenario {
        profile: profile.clone(),
        seed,
        speeds: mixed_speeds(profile, seed),
        classes: short_classes(profile),
        load: vec![
            (0, QUIET_LOAD),
            (RISE_MS, QUIET_LOAD),
            (PEAK_FROM_MS, PEAK_LOAD),
            (PEAK_TO_MS, PEAK_LOAD),
            (PEAK_TO_MS + 1, QUIET_LOAD),
        ],
        end: MonoTime::from_ms(BACK_MS + COMPARED_MS + 1_000),
        clients_retry: true,
    };
    let runs = [Policy::Baseline, Policy::Current].map(|p| Fleet::run(scenario.clone(), p));
    let capacity_us_per_s = scenario.capacity_slots() * 1e6;
    let both = |measure: &dyn Fn(&RunResult) -> f64| [measure(&runs[0]), measure(&runs[1])];
    let figures = vec![
        RawFigure::at_least(
            "goodput within deadline at the peak over capacity",
            "ratio",
            MIN_GOODPUT,
            both(&|run| goodput(run, PEAK_FROM_MS, PEAK_TO_MS) / capacity_us_per_s),
        ),
        RawFigure::at_most(
            "longest time to a refusal at the refusing agent",
            "ms",
            MAX_REFUSAL_MS,
            both(&|run| percentile(refusals_ms(run), 100.0)),
        ),
        RawFigure::at_most(
            "p99 latency from 2 s after the peak over before",
            "ratio",
            MAX_LATENCY_RATIO,
            both(&|run| latency_ratio(run, 99.0)),
        ),
        RawFigure::at_most(
            "median latency from 2 s after the peak over before",
            "ratio",
            MAX_LATENCY_RATIO,
            both(&|run| latency_ratio(run, 50.0)),
        ),
        RawFigure::at_least(
            "answered in time from 2 s after the peak",
            "share",
            MIN_GOODPUT_AFTER,
            both(&good_share_after),
        ),
        RawFigure::note(
            "99.9th percentile of the time to a refusal, hops included",
            "ms",
            both(&|run| percentile(refusals_with_hops_ms(run), 99.9)),
        ),
        RawFigure::note(
            "requests refused after they waited over 10 ms",
            "share of refusals",
            both(&late_refusal_share),
        ),
    ];
    let curve = |label: &str, run: &RunResult| Series {
        plot: "crest",
        x_label: "time in s",
        y_label: "goodput within deadline over capacity",
        label: label.to_owned(),
        points: (0..scenario.end.as_ms() / 500)
            .map(|w| {
                let goodput = goodput(run, w * 500, (w + 1) * 500);
                (w as f64 / 2.0, goodput / capacity_us_per_s)
            })
            .collect(),
    };
    Measured {
        figures,
        series: vec![curve("baseline", &runs[0]), curve("current", &runs[1])],
    }
}

/// Work answered in time, in microseconds on a reference slot per second.
fn goodput(run: &RunResult, from_ms: u64, to_ms: u64) -> f64 {
    let window = MonoTime::from_ms(from_ms)..MonoTime::from_ms(to_ms);
    let work_us: u64 = run
        .outcomes
        .iter()
        .filter(|o| o.is_good() && o.answered_at.is_some_and(|at| window.contains(&at)))
        .map(|o| o.cost_us)
        .sum();
    work_us as f64 * 1e3 / (to_ms - from_ms) as f64
}

fn refusals_ms(run: &RunResult) -> Vec<f64> {
    let refusals = run.outcomes.iter().filter_map(Outcome::refusal_us);
    refusals.map(|us| us as f64 / 1e3).collect()
}

fn refusals_with_hops_ms(run: &RunResult) -> Vec<f64> {
    let refused = run.outcomes.iter();
    refused
        .filter_map(|o| Some(o.refused_at?.us_since(o.reached_at) as f64 / 1e3))
        .collect()
}

fn late_refusal_share(run: &RunResult) -> f64 {
    let refusals = refusals_ms(run);
    let late = refusals.iter().filter(|ms| **ms > MAX_REFUSAL_MS).count();
    share(late, refusals.len())
}

fn latency_ratio(run: &RunResult, percent: f64) -> f64 {
    let latency = |from_ms: u64| {
        let from = MonoTime::from_ms(from_ms);
        let sent = sent_in(&run.outcomes, from, from.plus_ms(COMPARED_MS));
        percentile(sent.map(|o| ms_or_never(o.latency_us())).collect(), percent)
    };
    latency(BACK_MS) / latency(RISE_MS - COMPARED_MS)
}

fn good_share_after(run: &RunResult) -> f64 {
    let from = MonoTime::from_ms(BACK_MS);
    let sent = || sent_in(&run.outcomes, from, from.plus_ms(COMPARED_MS));
    share(sent().filter(|o| o.is_good()).count(), sent().count())
}
