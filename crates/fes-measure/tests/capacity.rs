//! Tests of the capacity budget: line fits, extrapolation, bounds, and that the capacity page can
//! be derived again from its published measurements.

use fes_measure::capacity::Budget;
use fes_measure::capacity::CapacityReport;
use fes_measure::capacity::DesignSize;
use fes_measure::capacity::LinearFit;
use fes_measure::capacity::Point;
use fes_measure::capacity::Slope;
use rstest::rstest;

fn points(values: &[(f64, f64)]) -> Vec<Point> {
    values
        .iter()
        .map(|(size, cost)| Point {
            size: *size,
            cost: *cost,
        })
        .collect()
}

#[rstest]
#[case::line(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)], 2.0, 3.0, 1.0)]
#[case::flat(&[(1.0, 5.0), (2.0, 5.0)], 0.0, 5.0, 1.0)]
#[case::one_size(&[(3.0, 5.0), (3.0, 7.0)], 0.0, 6.0, 0.0)]
fn linear_fit_is_the_least_squares_line(
    #[case] values: &[(f64, f64)],
    #[case] slope: f64,
    #[case] intercept: f64,
    #[case] r_squared: f64,
) {
    let fit = LinearFit::of(&points(values));

    assert!((fit.slope - slope).abs() < 1e-9);
    assert!((fit.intercept - intercept).abs() < 1e-9);
    assert!((fit.r_squared - r_squared).abs() < 1e-9);
}

#[test]
fn extrapolation_is_relative_to_the_largest_measured_size() {
    let slope = Slope::new(
        "s",
        "targets",
        "bytes",
        points(&[(1_000.0, 1.0), (4_000.0, 4.0)]),
    );

    assert!((slope.extrapolation(8_000.0) - 2.0).abs() < 1e-9);
    assert!((slope.at(8_000.0) - 8.0).abs() < 1e-9);
}

#[test]
fn extrapolated_cost_does_not_fall_below_the_largest_measured_cost() {
    let noisy = Slope::new(
        "s",
        "targets",
        "ns",
        points(&[(1_000.0, 50.0), (8_000.0, 40.0)]),
    );

    assert!((noisy.at(80_000.0) - 50.0).abs() < 1e-9);
}

#[test]
fn exceeded_bounds_are_reported() {
    let steep = Slope::new(
        "decision_established",
        "targets",
        "ns",
        points(&[(1_000.0, 100.0), (2_000.0, 200.0)]),
    );

    let budget = Budget::derive(&[steep], &DesignSize::required());

    let exceeded: Vec<_> = budget
        .exceeded()
        .map(|line| line.quantity.as_str())
        .collect();
    assert_eq!(exceeded, ["routing decision, established flow"]);
    let line = budget.most_utilised().unwrap();
    assert!((line.at_design - 800.0).abs() < 1e-6);
    assert!((line.extrapolation - 4.0).abs() < 1e-9);
}

#[test]
fn capacity_page_matches_its_published_slopes() {
    let published = include_str!("../../../docs/capacity.json");
    let page = include_str!("../../../docs/CAPACITY.md");
    let published: CapacityReport = serde_json::from_str(published).unwrap();

    let derived = CapacityReport::new(DesignSize::required(), published.slopes);

    for line in derived
        .to_markdown()
        .lines()
        .filter(|line| !line.is_empty())
    {
        assert!(page.contains(line), "the page lacks: {line}");
    }
    let exceeded: Vec<_> = derived
        .budget
        .exceeded()
        .map(|line| line.quantity.clone())
        .collect();
    assert_eq!(exceeded, Vec::<String>::new());
}
