//! `fescueshift measure`: measures decisions in virtual time and compares them with a baseline.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::builder::PossibleValuesParser;
use clap::value_parser;
use fes_measure::Experiment;
use fes_measure::Policy;
use fes_measure::Profile;
use fes_measure::capacity::run_capacity;
use fes_measure::pass_through::FlowScenario;
use fes_measure::pass_through::run_pass_through;
use fes_protocol::Error;
use fes_protocol::Result;
use fes_protocol::ResultCode;

use crate::commands::arguments::json_flag;
use crate::commands::arguments::number;
use crate::output;
use crate::path_run::PathPlan;
use crate::path_run::PathReport;
use crate::path_run::Quantiles;
use crate::path_run::run_path;

pub(crate) const NAME: &str = "measure";

const MISSED_EXIT_STATUS: u8 = 1;

const CAPACITY_EXPERIMENT: &str = "capacity";
const PATH_EXPERIMENT: &str = "path";
const PASS_THROUGH_EXPERIMENT: &str = "pass-through";

/// Experiments that run in real time on this host, so that their results differ between runs.
const REAL_TIME_EXPERIMENTS: [&str; 2] = [CAPACITY_EXPERIMENT, PATH_EXPERIMENT];
const PATH_REQUESTS: u64 = 1_000;
const PATH_FLOWS: u64 = 500;

pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Measure decisions in virtual time and compare them with a baseline")
        .arg(
            name_option("profile", "Deployment profile that sets the sizes")
                .value_parser(PossibleValuesParser::new(
                    Profile::all().map(|profile| profile.name),
                ))
                .default_value("staveworks"),
        )
        .arg(
            name_option("experiment", "Experiment to run")
                .value_parser(PossibleValuesParser::new(
                    Experiment::ALL
                        .map(Experiment::name)
                        .into_iter()
                        .chain([PASS_THROUGH_EXPERIMENT])
                        .chain(REAL_TIME_EXPERIMENTS),
                ))
                .default_value("all"),
        )
        .arg(
            name_option("policy", "Policy that must meet the targets")
                .value_parser(PossibleValuesParser::new(Policy::ALL.map(Policy::name)))
                .default_value("current"),
        )
        .arg(number(
            "seed",
            "Seed of all random choices",
            "1",
            0..=u64::MAX,
        ))
        .arg(json_flag())
        .arg(
            Arg::new("plot")
                .long("plot")
                .help("Directory for SVG plots")
                .value_name("DIR")
                .value_parser(value_parser!(PathBuf)),
        )
        .after_help(
            "The same arguments give the same output. Both policies are always run; only the\n\
             given one has to meet the targets. 'pass-through' compares the decisions on\n\
             pass-through flows with simpler policies and with a ceiling; it has no targets,\n\
             and profiles and policies don't apply. Two experiments run in real time on this\n\
             host instead: 'capacity' measures how the cost of each role grows with its\n\
             size, and 'path' sends requests through a local fleet and directly to an\n\
             upstream.\n\n\
             Exit status: 0 if all targets are met, 1 if one is missed, 2 on errors.\n\n\
             Examples:\n  \
             fescueshift measure --profile al-mafraq --experiment head-of-line\n  \
             fescueshift measure --seed 7 --json --plot plots\n  \
             fescueshift measure --experiment capacity",
        )
}

fn name_option(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help).value_name("NAME")
}

pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let seed = matches.get_one::<u64>("seed").copied().unwrap_or(1);
    match matches.get_one::<String>("experiment").map(String::as_str) {
        Some(CAPACITY_EXPERIMENT) => return measure_capacity(seed, matches.get_flag("json")),
        Some(PATH_EXPERIMENT) => return measure_path(seed, matches.get_flag("json")),
        Some(PASS_THROUGH_EXPERIMENT) => return measure_pass_through(matches, seed),
        _ => {}
    }
    let profile = parse_option(matches, "profile", Profile::from_name)?;
    let experiment = parse_option(matches, "experiment", Experiment::from_name)?;
    let policy = parse_option(matches, "policy", Policy::from_name)?;
    let report = fes_measure::run(experiment, &profile, seed, policy);
    if let Some(directory) = matches.get_one::<PathBuf>("plot") {
        fes_measure::write_plots(&report, directory)?;
    }
    if matches.get_flag("json") {
        output::print(&format!("{}\n", report.to_json()?))?;
    } else {
        output::print(&format!("{report}\n"))?;
    }
    Ok(exit_status(report.met))
}

fn parse_option<T>(matches: &ArgMatches, name: &str, parse: fn(&str) -> Option<T>) -> Result<T> {
    let value = matches.get_one::<String>(name);
    value.and_then(|value| parse(value)).ok_or_else(|| {
        let detail = format!("--{name} has an invalid value");
        Error::coded(ResultCode::UsageInvalid, detail)
    })
}

fn measure_pass_through(matches: &ArgMatches, seed: u64) -> Result<ExitCode> {
    let report = run_pass_through(&FlowScenario::ALL, seed);
    if let Some(directory) = matches.get_one::<PathBuf>("plot") {
        let suffix = format!("{PASS_THROUGH_EXPERIMENT}-{seed}");
        fes_measure::write_series(&report.series, &suffix, directory)?;
    }
    if matches.get_flag("json") {
        output::print(&format!("{}\n", report.to_json()?))?;
    } else {
        output::print(&report.to_string())?;
    }
    Ok(ExitCode::SUCCESS)
}

fn measure_capacity(seed: u64, as_json: bool) -> Result<ExitCode> {
    let report = run_capacity(seed);
    if as_json {
        output::print(&format!("{}\n", serde_json::json!(report)))?;
    } else {
        output::print(&report.to_markdown())?;
    }
    Ok(exit_status(report.budget.exceeded().next().is_none()))
}

fn measure_path(seed: u64, as_json: bool) -> Result<ExitCode> {
    let plan = PathPlan {
        requests: PATH_REQUESTS,
        flows: PATH_FLOWS,
        seed,
    };
    let progress = output::progress(plan.requests, "requests");
    let report = actix_rt::System::new().block_on(run_path(&plan, &progress))?;
    progress.finish_and_clear();
    if as_json {
        output::print(&format!("{}\n", serde_json::json!(report)))?;
    } else {
        output::print(&format_path_report(&report))?;
    }
    Ok(exit_status(report.meets_targets()))
}

fn format_path_report(report: &PathReport) -> String {
    let row = |name: &str, value: String| vec![name.to_owned(), value];
    let latency =
        |name: &str, value: &Quantiles| row(name, format!("{} / {}", value.p50_us, value.p99_us));
    output::table(&[
        row("seed", report.seed.to_string()),
        row(
            "decision, established flow, ns",
            format!("{:.0}", report.decision.established_ns),
        ),
        row(
            "decision, first packet, ns",
            format!("{:.0}", report.decision.first_packet_ns),
        ),
        row("flows opened", report.flows.to_string()),
        row(
            "flows opened per second",
            format!("{:.0}", report.flows_per_s),
        ),
        row("requests", report.requests.to_string()),
        latency("direct, p50 / p99, us", &report.direct),
        latency("through the fleet, p50 / p99, us", &report.through_fleet),
        latency("added, p50 / p99, us", &report.added),
    ])
}

fn exit_status(is_met: bool) -> ExitCode {
    ExitCode::from(if is_met { 0 } else { MISSED_EXIT_STATUS })
}
