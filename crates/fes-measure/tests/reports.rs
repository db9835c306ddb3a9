//! Tests that reports are deterministic, that the targets tell the policies apart, and that the
//! targets are those of the design page.

use fes_measure::Bound;
use fes_measure::Experiment;
use fes_measure::Policy;
use fes_measure::Profile;
use fes_measure::Report;
use rstest::rstest;

const SEED: u64 = 3;

fn report(experiment: Experiment, policy: Policy) -> Report {
    let report = fes_measure::run(experiment, &Profile::al_mafraq(), SEED, policy);
    println!("{report}");
    report
}

/// Guards against output that depends on more than the arguments, for example on the iteration
/// order of a map.
#[test]
fn same_arguments_give_the_same_bytes() {
    let run = || std::thread::spawn(|| report(Experiment::DemandPeak, Policy::Current));

    let (first, second) = (run(), run());
    let (first, second) = (first.join().unwrap(), second.join().unwrap());

    assert_eq!(first.to_json().unwrap(), second.to_json().unwrap());
    assert_eq!(first.series, second.series);
}

/// Guards against a current policy that misses a target, and against an experiment that can't tell
/// the policies apart: the baseline must miss at least one target.
#[rstest]
#[case(Experiment::BrokenFlows)]
#[case(Experiment::Imbalance)]
#[case(Experiment::HeadOfLine)]
fn current_policy_meets_targets_that_the_baseline_misses(#[case] experiment: Experiment) {
    let current = report(experiment, Policy::Current);

    assert!(current.met);
    let baseline_misses = current.figures.iter().any(|figure| {
        let worst = match figure.bound {
            Bound::AtMost => f64::INFINITY,
            Bound::AtLeast => 0.0,
        };
        let baseline = figure.baseline.unwrap_or(worst);
        figure.target.is_some_and(|target| match figure.bound {
            Bound::AtMost => baseline > target,
            Bound::AtLeast => baseline < target,
        })
    });
    assert!(baseline_misses);
}

/// Guards against evaluating another policy than the requested one.
#[test]
fn baseline_is_evaluated_on_its_own_figures() {
    let evaluated = report(Experiment::BrokenFlows, Policy::Baseline);

    assert!(!evaluated.met);
    assert!(evaluated.weighted_score < 1.0);
}

/// Guards against a target that differs from the table of the design page.
#[test]
fn targets_are_those_of_the_design_page() {
    let page = include_str!("../../../docs/design.md");
    let imbalance = report(Experiment::Imbalance, Policy::Current);

    let target = imbalance.figures[0].target.unwrap();

    let row = page
        .lines()
        .find(|line| line.starts_with("| imbalance:"))
        .unwrap();
    assert!(row.ends_with(&format!("≤ {target:.2} |")));
}

/// Guards against missing plots and plots that differ between runs.
#[test]
fn plots_are_the_same_for_the_same_report() {
    let directory = std::env::temp_dir().join(format!("fes-measure-{}", std::process::id()));
    let report = report(Experiment::Imbalance, Policy::Current);

    let draw = || {
        let paths = fes_measure::write_plots(&report, &directory).unwrap();
        let read = |path| std::fs::read_to_string(path).unwrap();
        paths.into_iter().map(read).collect::<Vec<String>>()
    };
    let (first, second) = (draw(), draw());
    std::fs::remove_dir_all(&directory).unwrap();

    assert_eq!(first.len(), 1);
    assert!(first[0].contains("<polyline"));
    assert_eq!(first, second);
}
