//! Demand peaks from 50 % to 200 % of capacity within 2 s, for 10 s, with clients that retry.

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

/// Peaks in a run. The latencies of the windows around all of them are compared: with a single
/// peak the p99 ratio of two windows is above 1.10 in 6 of 20 runs even without any peak.
const PEAKS: u64 = 6;

/// When demand first starts to rise, in milliseconds.
const FIRST_RISE_MS: u64 = 30_000;

/// Time from one rise to the next, in milliseconds.
const CYCLE_MS: u64 = 26_000;

/// Time from the rise to the full peak, in milliseconds.
const RISE_MS: u64 = 2_000;

/// Length of the peak, in milliseconds.
const PEAK_MS: u64 = 10_000;

/// Time from the end of the peak until latency must be back, in milliseconds.
const BACK_MS: u64 = 2_000;

/// Length of the windows before the rise and after the peak, in milliseconds.
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

/// Figures of one run that queue disciplines are compared by.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PeakFigures {
    pub(crate) goodput: f64,
    pub(crate) max_time_to_refusal_ms: f64,
    pub(crate) in_time_share_after_peak: f64,
}

/// Makes the scenario on targets of these speeds.
pub(crate) fn peak_scenario(profile: &Profile, seed: u64, speeds: Vec<f64>) -> Scenario {
    Scenario {
        profile: profile.clone(),
        seed,
        speeds,
        classes: short_classes(profile),
        load: rises_ms().flat_map(load_of_peak).collect(),
        end: MonoTime::from_ms(FIRST_RISE_MS + PEAKS * CYCLE_MS),
        clients_retry: true,
    }
}

/// Returns the figures of one run.
pub(crate) fn peak_figures(scenario: &Scenario, run: &RunResult) -> PeakFigures {
    PeakFigures {
        goodput: least_goodput_at_peak(run) / (scenario.capacity_slots() * 1e6),
        max_time_to_refusal_ms: percentile(refusals_ms(run), 100.0),
        in_time_share_after_peak: good_share_after(run),
    }
}

pub(crate) fn crest(profile: &Profile, seed: u64) -> Measured {
    let scenario = peak_scenario(profile, seed, mixed_speeds(profile, seed));
    let runs = [Policy::Baseline, Policy::Current].map(|p| Fleet::run(scenario.clone(), p));
    let capacity_us_per_s = scenario.capacity_slots() * 1e6;
    let both = |measure: &dyn Fn(&RunResult) -> f64| [measure(&runs[0]), measure(&runs[1])];
    let figures = vec![
        RawFigure::at_least(
            "goodput within deadline over capacity, worst peak",
            "ratio",
            MIN_GOODPUT,
            both(&|run| least_goodput_at_peak(run) / capacity_us_per_s),
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

fn rises_ms() -> impl Iterator<Item = u64> {
    (0..PEAKS).map(|peak| FIRST_RISE_MS + peak * CYCLE_MS)
}

fn load_of_peak(rise_ms: u64) -> [(u64, f64); 4] {
    let peak_to_ms = rise_ms + RISE_MS + PEAK_MS;
    [
        (rise_ms, QUIET_LOAD),
        (rise_ms + RISE_MS, PEAK_LOAD),
        (peak_to_ms, PEAK_LOAD),
        (peak_to_ms + 1, QUIET_LOAD),
    ]
}

/// When latency must be back after the peak that begins at `rise_ms`.
const fn back_ms(rise_ms: u64) -> u64 {
    rise_ms + RISE_MS + PEAK_MS + BACK_MS
}

fn least_goodput_at_peak(run: &RunResult) -> f64 {
    let peaks = rises_ms().map(|rise_ms| rise_ms + RISE_MS);
    peaks
        .map(|from_ms| goodput(run, from_ms, from_ms + PEAK_MS))
        .fold(f64::INFINITY, f64::min)
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
    let latency = |windows: &mut dyn Iterator<Item = u64>| {
        let sent = windows.flat_map(|from_ms| sent_in_window(run, from_ms));
        percentile(sent.map(|o| ms_or_never(o.latency_us())).collect(), percent)
    };
    let before = latency(&mut rises_ms().map(|rise_ms| rise_ms - COMPARED_MS));
    let after = latency(&mut rises_ms().map(back_ms));
    if after.is_finite() {
        after / before
    } else {
        f64::INFINITY
    }
}

fn good_share_after(run: &RunResult) -> f64 {
    let good_share = |from_ms| {
        let good = sent_in_window(run, from_ms).filter(|o| o.is_good());
        share(good.count(), sent_in_window(run, from_ms).count())
    };
    rises_ms()
        .map(back_ms)
        .map(good_share)
        .fold(f64::INFINITY, f64::min)
}

fn sent_in_window(run: &RunResult, from_ms: u64) -> impl Iterator<Item = &Outcome> {
    let from = MonoTime::from_ms(from_ms);
    sent_in(&run.outcomes, from, from.plus_ms(COMPARED_MS))
}
