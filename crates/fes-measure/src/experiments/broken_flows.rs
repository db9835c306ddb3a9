//! Experiment `broken-flows`: flows broken by tickets, drain, key rotation, entry crashes and a
//! target crash.

use super::ExperimentResult;
use super::RawFigure;
use crate::Policy;
use crate::Profile;
use crate::flows::FlowFleet;
use crate::flows::FlowResult;

/// Longest permitted time until a client detects that its target crashed, in milliseconds.
const MAX_DETECTION_MS: f64 = 5_000.0;

pub(crate) fn broken_flows(profile: &Profile, seed: u64) -> ExperimentResult {
    let runs = [Policy::Baseline, Policy::Current].map(|p| FlowFleet::run(profile, seed, p));
    let both = |count: fn(&FlowResult) -> u64| [0, 1].map(|i| count(&runs[i]) as f64);
    let must_be_zero = |name, count| RawFigure::at_most(name, "flows", 0.0, both(count));
    ExperimentResult {
        figures: vec![
            must_be_zero("flows broken by planned changes", |r| {
                r.broken_by_planned_change
            }),
            must_be_zero("flows broken when k of 4 entries die", |r| {
                r.broken_by_entry_crash
            }),
            must_be_zero("flows of other targets broken when one dies", |r| {
                r.broken_by_other_target_crash
            }),
            RawFigure::at_most(
                "datagrams delivered to another service",
                "datagrams",
                0.0,
                both(|r| r.delivered_to_other_service),
            ),
            RawFigure::at_most(
                "longest time until a client knows that its target died",
                "ms",
                MAX_DETECTION_MS,
                both(|r| r.max_detection_ms),
            ),
            RawFigure::without_target(
                "flows lost with their own target",
                "flows",
                both(|r| r.broken_with_own_target),
            ),
            RawFigure::without_target("flows opened", "flows", both(|r| r.opened)),
            RawFigure::without_target("entries that die", "entries", both(|r| r.crashed_entries)),
        ],
        series: Vec::new(),
    }
}
