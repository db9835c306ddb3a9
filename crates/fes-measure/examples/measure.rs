//! Runs experiments and prints the report. The exit status is 1 if a target is missed.
//!
//! Usage: `measure PROFILE EXPERIMENT SEED POLICY [json] [PLOT_DIR]`.

use std::process::ExitCode;

use fes_measure::Experiment;
use fes_measure::Policy;
use fes_measure::Profile;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let argument = |position: usize| arguments.get(position).map_or("", String::as_str);
    let profile = Profile::from_name(argument(0));
    let experiment = Experiment::from_name(argument(1));
    let seed = argument(2).parse::<u64>();
    let policy = Policy::from_name(argument(3));
    let (Some(profile), Some(experiment), Ok(seed), Some(policy)) =
        (profile, experiment, seed, policy)
    else {
        eprintln!("usage: measure PROFILE EXPERIMENT SEED POLICY [json] [PLOT_DIR]");
        return ExitCode::from(2);
    };
    let report = fes_measure::run(experiment, &profile, seed, policy);
    match report.to_json() {
        Ok(json) if argument(4) == "json" => println!("{json}"),
        _ => println!("{report}"),
    }
    if !argument(5).is_empty()
        && let Err(error) = fes_measure::write_plots(&report, argument(5))
    {
        eprintln!("{error}");
        return ExitCode::FAILURE;
    }
    if report.met {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(1)
    }
}
