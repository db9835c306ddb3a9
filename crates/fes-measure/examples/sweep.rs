//! Runs an experiment with several seeds. Prints the median and the worst value of each figure
//! under the current policy, and the median under the baseline.
//!
//! Usage: `sweep PROFILE EXPERIMENT FIRST_SEED COUNT`.

use std::process::ExitCode;

use fes_measure::Bound;
use fes_measure::Experiment;
use fes_measure::Figure;
use fes_measure::Policy;
use fes_measure::Profile;
use fes_measure::Report;

const THREADS: usize = 4;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let argument = |position: usize| arguments.get(position).map_or("", String::as_str);
    let (Some(profile), Some(experiment), Ok(first), Ok(count)) = (
        Profile::from_name(argument(0)),
        Experiment::from_name(argument(1)),
        argument(2).parse::<u64>(),
        argument(3).parse::<u64>(),
    ) else {
        eprintln!("usage: sweep PROFILE EXPERIMENT FIRST_SEED COUNT");
        return ExitCode::from(2);
    };
    let reports = run_all(experiment, &profile, (first..first + count).collect());
    println!(
        "{}, seeds {first} to {}",
        profile.name,
        first + count.max(1) - 1
    );
    println!(
        "| experiment | figure | target | baseline, median | current, median | current, worst | seeds that missed |"
    );
    println!("|---|---|---|---|---|---|---|");
    let Some(first_report) = reports.first() else {
        return ExitCode::from(2);
    };
    for (position, figure) in first_report.figures.iter().enumerate() {
        let column: Vec<&Figure> = reports.iter().map(|r| &r.figures[position]).collect();
        print_row(figure, &column, first);
    }
    ExitCode::SUCCESS
}

/// Runs all seeds on [`THREADS`] threads; the reports are in the order of the seeds.
fn run_all(experiment: Experiment, profile: &Profile, seeds: Vec<u64>) -> Vec<Report> {
    let run = |seed: &u64| fes_measure::run(experiment, profile, *seed, Policy::Current);
    std::thread::scope(|scope| {
        let chunks = seeds.chunks(seeds.len().div_ceil(THREADS).max(1));
        let threads: Vec<_> = chunks
            .map(|chunk| scope.spawn(move || chunk.iter().map(run).collect::<Vec<Report>>()))
            .collect();
        let finished = threads.into_iter().filter_map(|thread| thread.join().ok());
        finished.flatten().collect()
    })
}

fn print_row(figure: &Figure, column: &[&Figure], first: u64) {
    let at_most = figure.bound == Bound::AtMost;
    let missing_value = if at_most { f64::INFINITY } else { 0.0 };
    let sorted = |value: fn(&Figure) -> Option<f64>| {
        let mut values: Vec<f64> = column
            .iter()
            .map(|f| value(f).unwrap_or(missing_value))
            .collect();
        values.sort_by(f64::total_cmp);
        values
    };
    let current = sorted(|f| f.current);
    let baseline = sorted(|f| f.baseline);
    let worst = if at_most {
        current[current.len() - 1]
    } else {
        current[0]
    };
    let missed: Vec<String> = (first..)
        .zip(column)
        .filter(|(_, f)| !f.met)
        .map(|(seed, _)| seed.to_string())
        .collect();
    let sign = if at_most { "≤" } else { "≥" };
    let target = figure
        .target
        .map_or_else(|| "-".to_owned(), |target| format!("{sign} {target}"));
    println!(
        "| {} | {} [{}] | {target} | {:.3} | {:.3} | {worst:.3} | {} |",
        figure.experiment,
        figure.name,
        figure.unit,
        baseline[baseline.len() / 2],
        current[current.len() / 2],
        missed.join(" "),
    );
}
