//! Concurrent histories from seeds. Guards against a second execution, a "not run" answer to a
//! request that ran, a wrong or truncated response, and a request that never ends.

mod support;

use std::collections::BTreeMap;

use fes_testkit::at_most_once::AttemptOutcome;
use fes_testkit::at_most_once::FleetSimulation;
use fes_testkit::at_most_once::InjectedBug;
use rstest::rstest;
use support::checks;
use support::history;

const DEFAULT_RUN_COUNT: u64 = 400;
/// Maximum number of histories that are run until the checks detect an injected bug.
const BUG_RUN_COUNT: u64 = 400;

/// Result codes that the histories must produce, so that every rule is exercised: queue full,
/// deadline, draining, key reused, upstream refused, sticky, store full, owner lost, owner
/// unreachable, upstream lost, key expired, response not held, drain bound, key epoch not accepted.
const REQUIRED_CODES: [u16; 14] = [
    2002, 2003, 2004, 2006, 2007, 2010, 2012, 3001, 3002, 3003, 3004, 3005, 3007, 3008,
];

/// Number of histories; `FES_HISTORY_RUNS` sets it for longer runs.
fn run_count() -> u64 {
    let variable = std::env::var("FES_HISTORY_RUNS").ok();
    variable
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_RUN_COUNT)
}

/// First seed; `FES_HISTORY_SEED` repeats a failing history.
fn first_seed() -> u64 {
    let variable = std::env::var("FES_HISTORY_SEED").ok();
    variable.and_then(|text| text.parse().ok()).unwrap_or(1)
}

fn count_codes(simulation: &FleetSimulation, codes: &mut BTreeMap<u16, usize>) {
    for (_, outcome) in simulation
        .attempts
        .iter()
        .flat_map(|attempt| &attempt.outcomes)
    {
        if let AttemptOutcome::Code(code, _) = outcome {
            *codes.entry(code.number()).or_default() += 1;
        }
    }
}

fn report(seed: u64, simulation: &FleetSimulation, violations: &[String]) -> String {
    let violations = violations.join("\n  ");
    let trace = simulation.trace.join("\n");
    format!("seed {seed}:\n  {violations}\ntrace:\n{trace}")
}

#[test]
fn concurrent_histories_uphold_all_guarantees() {
    let seeds = first_seed()..first_seed() + run_count();
    println!("seeds {seeds:?}");
    let (mut attempts, mut runs, mut answered) = (0, 0, 0);
    let mut codes = BTreeMap::new();

    for seed in seeds {
        let simulation = history::run(seed, InjectedBug::None);
        let violations = checks::violations(&simulation);
        assert!(
            violations.is_empty(),
            "{}",
            report(seed, &simulation, &violations)
        );
        attempts += simulation.attempts.len();
        runs += simulation.runs.len();
        answered += simulation.answered_count();
        count_codes(&simulation, &mut codes);
    }

    println!("{attempts} attempts, {runs} executions, {answered} complete responses");
    println!("codes: {codes:?}");
    if run_count() < DEFAULT_RUN_COUNT {
        return;
    }
    let missing: Vec<&u16> = REQUIRED_CODES
        .iter()
        .filter(|number| !codes.contains_key(number))
        .collect();
    assert!(missing.is_empty(), "no history produced {missing:?}");
    assert!(
        answered * 5 > attempts,
        "too few attempts succeed for the checks to be meaningful"
    );
}

/// The checks must detect an agent that violates a rule.
#[rstest]
#[case::refusal_is_not_final(InjectedBug::RunsAfterRefusal, "was answered F")]
#[case::store_forgets_too_early(InjectedBug::ExpiresKeysEarly, "ran 2 times")]
#[case::restart_answers_not_run(InjectedBug::RestartAnswersNotRun, "was answered F2005, but ran")]
#[case::lost_owner_is_replaced(InjectedBug::RunsForUnreachableOwner, "ran 2 times")]
#[case::lost_upstream_is_retried(InjectedBug::RetriesAfterUpstreamLoss, "ran 2 times")]
#[case::waiters_are_forgotten(InjectedBug::DropsWaiters, "got no answer")]
#[case::incarnation_is_ignored(InjectedBug::IgnoresIncarnation, "got \"done")]
#[case::truncated_is_whole(InjectedBug::AcceptsTruncatedResponse, "got \"done")]
#[case::lost_upstream_is_not_run(
    InjectedBug::LostUpstreamAnswersNotRun,
    "was answered F2008, but ran"
)]
#[case::drain_bound_is_not_run(InjectedBug::DrainBoundAnswersNotRun, "was answered F2004, but ran")]
#[case::deadline_is_ignored(InjectedBug::IgnoresDeadline, "past its deadline")]
fn checks_detect_a_faulty_agent(#[case] bug: InjectedBug, #[case] expected: &str) {
    let mut detected = None;

    for seed in 1..=BUG_RUN_COUNT {
        let simulation = history::run(seed, bug);
        let violations = checks::violations(&simulation);
        if violations.iter().any(|text| text.contains(expected)) {
            detected = Some((seed, violations));
            break;
        }
    }

    let (seed, violations) = detected.expect("no check reports a violation");
    println!("{bug:?} is detected with seed {seed}: {violations:?}");
}

/// The linearizability check alone must detect an execution after a refusal.
#[test]
fn linearizability_check_detects_a_refusal_that_is_not_final() {
    let seed = (1..=BUG_RUN_COUNT).find(|seed| {
        let simulation = history::run(*seed, InjectedBug::RunsAfterRefusal);
        !checks::linearizable(&simulation).is_empty()
    });

    println!("detected with seed {seed:?}");
    assert!(seed.is_some());
}
