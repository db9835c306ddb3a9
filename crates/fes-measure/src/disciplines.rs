//! Comparison of queue disciplines at demand peaks on VMs of equal speed, where offload has no
//! effect.

use crate::Policy;
use crate::Profile;
use crate::experiments::PeakFigures;
use crate::experiments::peak_figures;
use crate::experiments::peak_scenario;
use crate::sim::Discipline;
use crate::sim::Fleet;

/// Figures of one queue discipline.
#[derive(Debug, Clone, PartialEq)]
pub struct DisciplineResult {
    /// Name of the discipline.
    pub name: &'static str,
    /// Goodput within deadline at the worst peak as a share of capacity.
    pub goodput: f64,
    /// Maximum time to a refusal at the refusing agent, in milliseconds.
    pub max_time_to_refusal_ms: f64,
    /// Share of requests answered in time from 2 s after the worst peak.
    pub in_time_share_after_peak: f64,
}

/// Runs the alternative disciplines and the current policy on the same scenario.
#[must_use]
pub fn compare_disciplines(profile: &Profile, seed: u64) -> Vec<DisciplineResult> {
    let speeds = vec![1.0; profile.targets];
    let scenario = peak_scenario(profile, seed, speeds);
    let alternatives = [
        ("first in, first out", Discipline::Fifo),
        (
            "last in, first out under overload",
            Discipline::AdaptiveLifo,
        ),
        ("CoDel", Discipline::CoDel),
    ];
    let mut results: Vec<DisciplineResult> = alternatives
        .into_iter()
        .map(|(name, discipline)| {
            let run = Fleet::run_discipline(scenario.clone(), discipline);
            result(name, peak_figures(&scenario, &run))
        })
        .collect();
    let current = Fleet::run(scenario.clone(), Policy::Current);
    let name = "earliest deadline first with refusal";
    results.push(result(name, peak_figures(&scenario, &current)));
    results
}

fn result(name: &'static str, figures: PeakFigures) -> DisciplineResult {
    DisciplineResult {
        name,
        goodput: figures.goodput,
        max_time_to_refusal_ms: figures.max_time_to_refusal_ms,
        in_time_share_after_peak: figures.in_time_share_after_peak,
    }
}
