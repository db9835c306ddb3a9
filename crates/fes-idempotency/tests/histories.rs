//! Seeded concurrent runs. Guards against double execution, a "not run" answer to a request that
//! ran, a wrong or truncated response, and a request without an end.

mod support;

use std::collections::BTreeMap;

use fes_testkit::at_most_once::Broken;
use fes_testkit::at_most_once::End;
use fes_testkit::at_most_once::World;
use rstest::rstest;
use support::checks;
use support::history;

const DEFAULT_RUN_COUNT: u64 = 400;
const BROKEN_RUN_COUNT: u64 = 400;

/// Answers that the runs must reach, so that no rule goes untested: queue full, deadline, draining,
/// key reused, upstream refused, sticky, store full, owner lost, owner unreachable, upstream lost,
/// expired, response not held, drain bound, key epoch not
/// accepted.
const REACHED_CODES: [u16; 14] = [
    2002, 2003, 2004, 2006, 2007, 2010, 2012, 3001, 3002, 3003, 3004, 3005, 3007, 3008,
];

/// Number of runs; thousands by `FES_HISTORY_RUNS`.
fn run_count() -> u64 {
    let wanted = std::env::var("FES_HISTORY_RUNS").ok();
    wanted
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_RUN_COUNT)
}

/// First seed; set `FES_HISTORY_SEED` to repeat a failing run.
fn first_seed() -> u64 {
    let wanted = std::env::var("FES_HISTORY_SEED").ok();
    wanted.and_then(|text| text.parse().ok()).unwrap_or(1)
}

fn count_codes(world: &World, codes: &mut BTreeMap<u16, usize>) {
    for (_, end) in world.tries.iter().flat_map(|attempt| &attempt.ends) {
        if let End::Code(code, _) = end {
            *codes.entry(code.number()).or_default() += 1;
        }
    }
}

fn report(seed: u64, world: &World, violations: &[String]) -> String {
    let violations = violations.join("\n  ");
    let trace = world.trace.join("\n");
    format!("seed {seed}:\n  {violations}\ntrace:\n{trace}")
}

#[test]
fn concurrent_runs_keep_every_promise() {
    let seeds = first_seed()..first_seed() + run_count();
    println!("seeds {seeds:?}");
    let (mut tries, mut runs, mut answered) = (0, 0, 0);
    let mut codes = BTreeMap::new();

    for seed in seeds {
        let world = history::run(seed, Broken::Nothing);
        let violations = checks::violations(&world);
        assert!(
            violations.is_empty(),
            "{}",
            report(seed, &world, &violations)
        );
        tries += world.tries.len();
        runs += world.runs.len();
        answered += world.answered_count();
        count_codes(&world, &mut codes);
    }

    println!("{tries} tries, {runs} executions, {answered} complete responses");
    println!("codes: {codes:?}");
    if run_count() < DEFAULT_RUN_COUNT {
        return;
    }
    let missing: Vec<&u16> = REACHED_CODES
        .iter()
        .filter(|number| !codes.contains_key(number))
        .collect();
    assert!(missing.is_empty(), "no run reached {missing:?}");
    assert!(
        answered * 5 > tries,
        "too few tries succeed for the checks to mean anything"
    );
}

/// What a check must report about an agent that breaks a rule.
#[rstest]
#[case::refusal_is_not_final(Broken::RefusalNotFinal, "was answered F")]
#[case::store_forgets_too_early(Broken::ForgetsEarly, "ran 2 times")]
#[case::restart_answers_not_run(Broken::RestartAnswersNotRun, "was answered F2005, but ran")]
#[case::lost_owner_is_replaced(Broken::RunsForLostOwner, "ran 2 times")]
#[case::lost_upstream_is_retried(Broken::RetriesLostUpstream, "ran 2 times")]
#[case::waiters_are_forgotten(Broken::SwallowsWaiters, "got no answer")]
#[case::incarnation_is_ignored(Broken::IgnoresIncarnation, "got \"done")]
#[case::truncated_is_whole(Broken::TruncatedIsWhole, "got \"done")]
#[case::lost_upstream_is_not_run(Broken::LostUpstreamAnswersNotRun, "was answered F2008, but ran")]
#[case::drain_bound_is_not_run(Broken::DrainBoundAnswersNotRun, "was answered F2004, but ran")]
#[case::deadline_is_ignored(Broken::IgnoresDeadline, "past its deadline")]
fn a_broken_agent_is_caught(#[case] broken: Broken, #[case] expected: &str) {
    let mut caught = None;

    for seed in 1..=BROKEN_RUN_COUNT {
        let world = history::run(seed, broken);
        let violations = checks::violations(&world);
        if violations.iter().any(|text| text.contains(expected)) {
            caught = Some((seed, violations));
            break;
        }
    }

    let (seed, violations) = caught.expect("the checks see nothing wrong");
    println!("{broken:?} is caught by seed {seed}: {violations:?}");
}

/// The linearizability checker alone must see a run after a refusal.
#[test]
fn the_linearizability_check_sees_a_refusal_that_is_not_final() {
    let seen = (1..=BROKEN_RUN_COUNT).find(|seed| {
        let world = history::run(*seed, Broken::RefusalNotFinal);
        !checks::linearizable(&world).is_empty()
    });

    println!("caught by seed {seen:?}");
    assert!(seen.is_some());
}
