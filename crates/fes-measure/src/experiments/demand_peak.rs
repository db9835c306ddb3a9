//! Experiment `crest`: demand rises from 50 % to 200 % of capacity within 2 s and stays there for
//! 10 s, with clients that retry.

use fes_protocol::MonoTime;

use super::ExperimentResult;
use super::RawFigure;
use super::mix::mixed_speeds;
use super::mix::short_classes;
use super::statistics::ms_or_infinite;
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

/// Demand between peaks as a share of capacity.
const BASE_LOAD: f64 = 0.5;

/// Demand at a peak as a share of capacity.
const PEAK_LOAD: f64 = 2.0;

/// Number of peaks in a run. Latencies are compared over the windows around all peaks, because the
/// p99 ratio of two single windows exceeds 1.10 in 6 of 20 runs even without a peak.
const PEAK_COUNT: u64 = 6;

/// Start of the first ramp, in milliseconds.
const FIRST_PEAK_START_MS: u64 = 30_000;

/// Time between the starts of two ramps, in milliseconds.
const PEAK_PERIOD_MS: u64 = 26_000;

/// Duration of the ramp from base to peak demand, in milliseconds.
const RAMP_UP_MS: u64 = 2_000;

/// Duration of the peak, in milliseconds.
const PEAK_DURATION_MS: u64 = 10_000;

/// Time from the end of the peak until latency must have recovered, in milliseconds.
const RECOVERY_MS: u64 = 2_000;

/// Duration of the compared windows before the ramp and after recovery, in milliseconds.
const COMPARISON_WINDOW_MS: u64 = 5_000;

/// Minimum goodput at the peak as a share of capacity.
const MIN_GOODPUT: f64 = 0.95;

/// Maximum time to a refusal at the refusing agent, in milliseconds.
const MAX_REFUSAL_MS: f64 = 10.0;

/// Ratio of latency after to before the peak up to which latency counts as recovered. Percentiles
/// of two windows of the same load differ by a few per cent even without a peak.
const MAX_LATENCY_RATIO: f64 = 1.10;

/// Minimum share of requests answered in time after the peak. A lower share means that the
/// overload is metastable: it sustains itself after the peak.
const MIN_IN_TIME_SHARE_AFTER_PEAK: f64 = 0.95;

/// Figures of one run for the comparison of queue disciplines.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PeakFigures {
    /// Goodput within deadline at the worst peak as a share of capacity.
    pub(crate) goodput: f64,
    pub(crate) max_time_to_refusal_ms: f64,
    pub(crate) in_time_share_after_peak: f64,
}

/// Returns the scenario with targets of these speeds.
pub(crate) fn peak_scenario(profile: &Profile, seed: u64, speeds: Vec<f64>) -> Scenario {
    Scenario {
        profile: profile.clone(),
        seed,
        speeds,
        classes: short_classes(profile),
        load: peak_starts_ms().flat_map(peak_load_points).collect(),
        end: MonoTime::from_ms(FIRST_PEAK_START_MS + PEAK_COUNT * PEAK_PERIOD_MS),
        clients_retry: true,
    }
}

/// Returns the figures of one run.
pub(crate) fn peak_figures(scenario: &Scenario, run: &RunResult) -> PeakFigures {
    PeakFigures {
        goodput: min_goodput_at_peak_us_per_s(run) / (scenario.capacity_slots() * 1e6),
        max_time_to_refusal_ms: percentile(refusals_ms(run), 100.0),
        in_time_share_after_peak: in_time_share_after_peak(run),
    }
}

pub(crate) fn demand_peak(profile: &Profile, seed: u64) -> ExperimentResult {
    let scenario = peak_scenario(profile, seed, mixed_speeds(profile, seed));
    let runs = [Policy::Baseline, Policy::Current].map(|p| Fleet::run(scenario.clone(), p));
    let capacity_us_per_s = scenario.capacity_slots() * 1e6;
    let both = |measure: &dyn Fn(&RunResult) -> f64| [measure(&runs[0]), measure(&runs[1])];
    let figures = vec![
        RawFigure::at_least(
            "goodput within deadline over capacity, worst peak",
            "ratio",
            MIN_GOODPUT,
            both(&|run| min_goodput_at_peak_us_per_s(run) / capacity_us_per_s),
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
            "answered in time from 2 s after the worst peak",
            "share",
            MIN_IN_TIME_SHARE_AFTER_PEAK,
            both(&in_time_share_after_peak),
        ),
        RawFigure::without_target(
            "99.9th percentile of the time to a refusal, hops included",
            "ms",
            both(&|run| percentile(refusals_with_hops_ms(run), 99.9)),
        ),
        RawFigure::without_target(
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
                let goodput_us_per_s = goodput_us_per_s(run, w * 500, (w + 1) * 500);
                (w as f64 / 2.0, goodput_us_per_s / capacity_us_per_s)
            })
            .collect(),
    };
    ExperimentResult {
        figures,
        series: vec![curve("baseline", &runs[0]), curve("current", &runs[1])],
    }
}

fn peak_starts_ms() -> impl Iterator<Item = u64> {
    (0..PEAK_COUNT).map(|peak| FIRST_PEAK_START_MS + peak * PEAK_PERIOD_MS)
}

fn peak_load_points(start_ms: u64) -> [(u64, f64); 4] {
    let peak_end_ms = start_ms + RAMP_UP_MS + PEAK_DURATION_MS;
    [
        (start_ms, BASE_LOAD),
        (start_ms + RAMP_UP_MS, PEAK_LOAD),
        (peak_end_ms, PEAK_LOAD),
        (peak_end_ms + 1, BASE_LOAD),
    ]
}

/// Returns when latency must have recovered from the peak whose ramp starts at `start_ms`.
const fn recovered_by_ms(start_ms: u64) -> u64 {
    start_ms + RAMP_UP_MS + PEAK_DURATION_MS + RECOVERY_MS
}

fn min_goodput_at_peak_us_per_s(run: &RunResult) -> f64 {
    let peaks = peak_starts_ms().map(|start_ms| start_ms + RAMP_UP_MS);
    peaks
        .map(|from_ms| goodput_us_per_s(run, from_ms, from_ms + PEAK_DURATION_MS))
        .fold(f64::INFINITY, f64::min)
}

/// Returns the work answered in time, in microseconds of reference-slot time per second.
fn goodput_us_per_s(run: &RunResult, from_ms: u64, to_ms: u64) -> f64 {
    let window = MonoTime::from_ms(from_ms)..MonoTime::from_ms(to_ms);
    let work_us: u64 = run
        .outcomes
        .iter()
        .filter(|o| o.met_deadline() && o.answered_at.is_some_and(|at| window.contains(&at)))
        .map(|o| o.cost_us)
        .sum();
    work_us as f64 * 1e3 / (to_ms - from_ms) as f64
}

fn refusals_ms(run: &RunResult) -> Vec<f64> {
    let refusals = run.outcomes.iter().filter_map(Outcome::refusal_us);
    refusals.map(|us| us as f64 / 1e3).collect()
}

/// Returns the times from the first agent to the refusal, network hops included.
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
    let latency = |windows: &mut dyn Iterator<Item = u64>| {
        let sent = windows.flat_map(|from_ms| sent_in_window(run, from_ms));
        percentile(
            sent.map(|o| ms_or_infinite(o.latency_us())).collect(),
            percent,
        )
    };
    let before = latency(&mut peak_starts_ms().map(|start_ms| start_ms - COMPARISON_WINDOW_MS));
    let after = latency(&mut peak_starts_ms().map(recovered_by_ms));
    if after.is_finite() {
        after / before
    } else {
        f64::INFINITY
    }
}

fn in_time_share_after_peak(run: &RunResult) -> f64 {
    let in_time_share = |from_ms| {
        let in_time = sent_in_window(run, from_ms).filter(|o| o.met_deadline());
        share(in_time.count(), sent_in_window(run, from_ms).count())
    };
    peak_starts_ms()
        .map(recovered_by_ms)
        .map(in_time_share)
        .fold(f64::INFINITY, f64::min)
}

fn sent_in_window(run: &RunResult, from_ms: u64) -> impl Iterator<Item = &Outcome> {
    let from = MonoTime::from_ms(from_ms);
    sent_in(&run.outcomes, from, from.plus_ms(COMPARISON_WINDOW_MS))
}
