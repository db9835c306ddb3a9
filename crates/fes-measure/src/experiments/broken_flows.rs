//! Flows broken by tickets, drain, key rotation, entry deaths and an upstream's death.

use super::Measured;
use super::RawFigure;
use crate::Policy;
use crate::Profile;
use crate::flows::FlowFleet;
use crate::flows::FlowResult;

/// Longest time until the client of a silent flow knows, in milliseconds.
const MAX_NOTICE_MS: f64 = 5_000.0;

pub(crate) fn broken_flows(profile: &Profile, seed: u64) -> Measured {
    let runs = [Policy::Baseline, Policy::Current].map(|p| FlowFleet::run(profile, seed, p));
    let both = |count: fn(&FlowResult) -> u64| [0, 1].map(|i| count(&runs[i]) as f64);
    let none = |name, count| RawFigure::at_most(name, "flows", 0.0, both(count));
    Measured {
        figures: vec![
            none("flows broken by planned changes", |r| {
                r.broken_by_planned_change
            }),
            none("flows broken when k of 4 entries die", |r| {
                r.broken_by_entry_death
            }),
            none("flows of other targets broken when one dies", |r| {
                r.broken_by_foreign_target_death
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
                MAX_NOTICE_MS,
                both(|r| r.longest_notice_ms),
            ),
            RawFigure::note(
                "flows lost with their own target",
                "flows",
                both(|r| r.broken_with_their_target),
            ),
            RawFigure::note("flows opened", "flows", both(|r| r.opened)),
            RawFigure::note("entries that die", "entries", both(|r| r.dead_entries)),
        ],
        series: Vec::new(),
    }
}
