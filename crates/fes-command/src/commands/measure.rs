//! `fescueshift measure`: measures the decisions on virtual time against a baseline.

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
use fes_protocol::Error;
use fes_protocol::Result;
use fes_protocol::ResultCode;

use crate::commands::arguments::json_flag;
use crate::commands::arguments::number;
use crate::output;

pub(crate) const NAME: &str = "measure";

const MISSED_STATUS: u8 = 1;

pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Measure the decisions on virtual time against a baseline")
        .arg(
            choice("profile", "Deployment whose sizes are used")
                .value_parser(PossibleValuesParser::new(
                    Profile::all().map(|profile| profile.name),
                ))
                .default_value("staveworks"),
        )
        .arg(
            choice("experiment", "What to measure")
                .value_parser(PossibleValuesParser::new(
                    Experiment::ALL.map(Experiment::name),
                ))
                .default_value("all"),
        )
        .arg(
            choice("policy", "Policy that must meet the targets")
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
            "The same arguments give the same output. Both policies run in each case; the\n\
             policy given is judged.\n\n\
             Exit status: 0 if all targets are met, 1 if one is missed, 2 on errors.\n\n\
             Examples:\n  \
             fescueshift measure --profile al-mafraq --experiment head-of-line\n  \
             fescueshift measure --seed 7 --json --plot plots",
        )
}

fn choice(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help).value_name("NAME")
}

pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let profile = chosen(matches, "profile", Profile::from_name)?;
    let experiment = chosen(matches, "experiment", Experiment::from_name)?;
    let policy = chosen(matches, "policy", Policy::from_name)?;
    let seed = matches.get_one::<u64>("seed").copied().unwrap_or(1);
    let report = fes_measure::run(experiment, &profile, seed, policy);
    if let Some(directory) = matches.get_one::<PathBuf>("plot") {
        fes_measure::write_plots(&report, directory)?;
    }
    if matches.get_flag("json") {
        output::print(&format!("{}\n", report.to_json()?))?;
    } else {
        output::print(&format!("{report}\n"))?;
    }
    Ok(ExitCode::from(if report.met { 0 } else { MISSED_STATUS }))
}

fn chosen<T>(matches: &ArgMatches, name: &str, parse: fn(&str) -> Option<T>) -> Result<T> {
    let value = matches.get_one::<String>(name);
    value.and_then(|value| parse(value)).ok_or_else(|| {
        let detail = format!("--{name} has no known value");
        Error::coded(ResultCode::UsageInvalid, detail)
    })
}
