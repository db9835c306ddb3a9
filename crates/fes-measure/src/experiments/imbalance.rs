//! Experiment `imbalance`: spread of utilisation over upstreams of speeds 1:2:4 at 70 % load.

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
use crate::sim::RunResult;
use crate::sim::Scenario;

/// Demand as a share of capacity.
const LOAD: f64 = 0.7;

/// Start of the measured window, after the agents have learned capacities.
const FROM: MonoTime = MonoTime::from_ms(30_000);

/// End of the measured window.
const TO: MonoTime = MonoTime::from_ms(90_000);

/// Largest permitted ratio of maximum to mean utilisation.
const MAX_OVER_MEAN: f64 = 1.10;

pub(crate) fn imbalance(profile: &Profile, seed: u64) -> ExperimentResult {
    let scenario = Scenario {
        profile: profile.clone(),
        seed,
        speeds: mixed_speeds(profile, seed),
        classes: short_classes(profile),
        load: vec![(0, LOAD)],
        end: TO,
        clients_retry: false,
    };
    let runs = [Policy::Baseline, Policy::Current].map(|p| Fleet::run(scenario.clone(), p));
    let figures = vec![
        RawFigure::at_most(
            "max over mean of utilisation",
            "ratio",
            MAX_OVER_MEAN,
            [0, 1].map(|i| max_over_mean(&runs[i], profile.slots)),
        ),
        RawFigure::without_target(
            "99th percentile of latency",
            "ms",
            [0, 1].map(|i| latency_p99_ms(&runs[i])),
        ),
        RawFigure::without_target(
            "requests answered late or not at all",
            "share",
            [0, 1].map(|i| missed_deadline_share(&runs[i])),
        ),
        RawFigure::without_target(
            "requests passed on to a peer",
            "share",
            [0, 1].map(|i| runs[i].forwarded_count as f64 / runs[i].outcomes.len() as f64),
        ),
    ];
    let curve = |label: &str, run: &RunResult| Series {
        plot: "imbalance",
        x_label: "time in s",
        y_label: "max over mean of utilisation, 2 s windows",
        label: label.to_owned(),
        points: (0..TO.as_ms() / 2_000)
            .map(|window| {
                let from = MonoTime::from_ms(window * 2_000);
                let used = run.utilisation(profile.slots, from, from.plus_ms(2_000));
                (from.as_ms() as f64 / 1e3, ratio(&used))
            })
            .collect(),
    };
    ExperimentResult {
        figures,
        series: vec![curve("baseline", &runs[0]), curve("current", &runs[1])],
    }
}

fn max_over_mean(run: &RunResult, slots: u32) -> f64 {
    ratio(&run.utilisation(slots, FROM, TO))
}

fn ratio(utilisation: &[f64]) -> f64 {
    let max = utilisation.iter().copied().fold(0.0, f64::max);
    let mean = utilisation.iter().sum::<f64>() / utilisation.len() as f64;
    if mean > 0.0 { max / mean } else { 1.0 }
}

/// Requests of the last 2 s don't count, because they may still be open when the run ends.
fn latency_p99_ms(run: &RunResult) -> f64 {
    let window = sent_in(&run.outcomes, FROM, TO.min(MonoTime::from_ms(88_000)));
    percentile(
        window.map(|o| ms_or_infinite(o.latency_us())).collect(),
        99.0,
    )
}

/// Leaves out requests of the last 2 s, as [`latency_p99_ms`] does.
fn missed_deadline_share(run: &RunResult) -> f64 {
    let window = || sent_in(&run.outcomes, FROM, TO.min(MonoTime::from_ms(88_000)));
    share(
        window().filter(|o| !o.met_deadline()).count(),
        window().count(),
    )
}
