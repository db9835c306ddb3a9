//! Runs experiments and evaluates their figures.

use crate::Experiment;
use crate::Figure;
use crate::Policy;
use crate::Profile;
use crate::Report;
use crate::experiments;
use crate::experiments::ExperimentResult;

/// Runs an experiment under both policies and evaluates the figures of `policy` against the
/// targets.
#[must_use]
pub fn run(experiment: Experiment, profile: &Profile, seed: u64, policy: Policy) -> Report {
    let mut figures = Vec::new();
    let mut series = Vec::new();
    let mut score = 0.0;
    let mut weight = 0.0;
    for part in experiment.expand() {
        let result = measure(part, profile, seed);
        let evaluated: Vec<Figure> = result
            .figures
            .into_iter()
            .map(|figure| figure.evaluate(part, policy))
            .collect();
        score += profile.weight(part) * met_share(&evaluated);
        weight += profile.weight(part);
        figures.extend(evaluated);
        series.extend(result.series);
    }
    Report {
        experiment: experiment.name(),
        profile: profile.name,
        seed,
        policy: policy.name(),
        met: figures.iter().all(|figure| figure.met),
        figures,
        weighted_score: score / weight,
        series,
    }
}

fn measure(experiment: Experiment, profile: &Profile, seed: u64) -> ExperimentResult {
    match experiment {
        Experiment::Imbalance => experiments::imbalance(profile, seed),
        Experiment::DemandPeak => experiments::demand_peak(profile, seed),
        Experiment::HeadOfLine => experiments::head_of_line(profile, seed),
        Experiment::BrokenFlows => experiments::broken_flows(profile, seed),
        Experiment::All => ExperimentResult::default(),
    }
}

fn met_share(figures: &[Figure]) -> f64 {
    let with_target = || figures.iter().filter(|figure| figure.target.is_some());
    let met = with_target().filter(|figure| figure.met).count();
    met as f64 / with_target().count().max(1) as f64
}
