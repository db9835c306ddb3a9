//! Tests of the experiment `pass-through`: its output is deterministic, the ceiling is one, and it
//! tells good policies from bad ones.

use fes_measure::pass_through::FlowPolicy;
use fes_measure::pass_through::FlowScenario;
use fes_measure::pass_through::ScenarioResult;
use fes_measure::pass_through::run_pass_through;
use rstest::rstest;

const SEED: u64 = 1;

fn run(scenario: FlowScenario) -> ScenarioResult {
    let report = run_pass_through(&[scenario], SEED);
    println!("{report}");
    let mut scenarios = report.scenarios.into_iter();
    scenarios.next().expect("one scenario")
}

fn in_time(result: &ScenarioResult, policy: FlowPolicy) -> f64 {
    result.policy(policy).expect("policy").in_time
}

/// Guards against output that depends on more than the arguments, for example on the iteration
/// order of a map, and against a seed that has no effect.
#[test]
fn same_seed_gives_the_same_bytes() {
    let run = |seed: u64| {
        let report = move || run_pass_through(&[FlowScenario::COMBINED], seed);
        std::thread::spawn(report).join().expect("report")
    };

    let (first, second, other) = (run(SEED), run(SEED), run(SEED + 1));

    assert_eq!(first.to_json().unwrap(), second.to_json().unwrap());
    assert_eq!(first.series, second.series);
    assert_ne!(first.to_json().unwrap(), other.to_json().unwrap());
}

/// Guards against a ceiling that a policy exceeds, and against one above what the slots allow.
#[rstest]
fn the_ceiling_is_not_below_any_policy(#[values(0, 1, 2, 3, 4, 5, 6, 7, 8)] scenario: usize) {
    let result = run(FlowScenario::ALL[scenario]);

    let ceiling = in_time(&result, FlowPolicy::Ceiling);

    assert!(ceiling <= result.bound_in_time);
    for policy in &result.policies {
        assert!(policy.in_time <= ceiling, "{}", policy.policy);
    }
}

/// Guards against an experiment that doesn't notice a bad policy.
#[rstest]
#[case(FlowScenario::UNEVEN_SPEED)]
#[case(FlowScenario::LONG_FLOWS)]
#[case(FlowScenario::OVERLOAD_1_8)]
fn random_targets_are_clearly_worse(#[case] scenario: FlowScenario) {
    let result = run(scenario);

    let random = in_time(&result, FlowPolicy::Random);

    assert!(random < 0.8 * in_time(&result, FlowPolicy::Current));
    assert!(random < 0.8 * in_time(&result, FlowPolicy::Ceiling));
}

/// Guards against slots that are spent on requests that are late anyway, and against targets that
/// have none but late requests while others have too many: entries placed by reports that counted
/// requests which could no longer be in time.
#[rstest]
fn overload_costs_little_beside_a_ceiling_that_expects_run_times(
    #[values(
        FlowScenario::OVERLOAD_1_2,
        FlowScenario::OVERLOAD_1_8,
        FlowScenario::OVERLOAD_3
    )]
    scenario: FlowScenario,
) {
    let result = run(scenario);

    let current = in_time(&result, FlowPolicy::Current);

    assert!(current >= 0.95 * in_time(&result, FlowPolicy::CeilingUnknownRunTimes));
}

/// Compares with the ceiling that knows run times, and so refuses the longest requests.
#[rstest]
#[ignore = "known failure, see KNOWN-RED.txt"]
fn overload_costs_little_beside_the_ceiling(
    #[values(
        FlowScenario::OVERLOAD_1_2,
        FlowScenario::OVERLOAD_1_8,
        FlowScenario::OVERLOAD_3
    )]
    scenario: FlowScenario,
) {
    let result = run(scenario);

    let current = in_time(&result, FlowPolicy::Current);

    assert!(current >= 0.95 * in_time(&result, FlowPolicy::Ceiling));
}
