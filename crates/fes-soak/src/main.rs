//! Runs a soak test for each seed: `fescueshift-soak --program PATH --seed FIRST --count N`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use fes_soak::CallOptions;
use fes_soak::FaultKinds;
use fes_soak::SoakOptions;
use fes_soak::measure_calls;
use fes_soak::run;

fn main() -> ExitCode {
    let matches = command().get_matches();
    if matches.get_flag("calls") {
        return count_calls(&matches);
    }
    let first: u64 = number(&matches, "seed");
    let count: u64 = number(&matches, "count");
    let mut failed = 0;
    for seed in first..first + count {
        match run_seed(&matches, seed) {
            Ok(has_passed) => failed += u64::from(!has_passed),
            Err(error) => {
                eprintln!("the soak test with seed {seed} can't run: {error}");
                return ExitCode::FAILURE;
            }
        }
    }
    println!("{} seeds, {failed} with violations", count);
    ExitCode::from(u8::from(failed > 0))
}

fn count_calls(matches: &ArgMatches) -> ExitCode {
    let size = |name| usize::try_from(number(matches, name)).unwrap_or(1);
    let measured = tempfile::tempdir().and_then(|directory| {
        let options = CallOptions {
            program: matches.get_one("program").cloned().unwrap_or_default(),
            entries: size("entries"),
            targets: size("targets"),
            directory: directory.path().into(),
        };
        actix_rt::System::new().block_on(measure_calls(&options))
    });
    match measured {
        Ok(reports) => {
            reports.iter().for_each(|report| println!("{report}"));
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("the calls can't be counted: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_seed(matches: &ArgMatches, seed: u64) -> std::io::Result<bool> {
    let program = matches.get_one::<PathBuf>("program");
    let directory = tempfile::tempdir()?;
    let fault_kinds = match (matches.get_flag("planned"), matches.get_flag("returns")) {
        (_, true) => FaultKinds::Returns,
        (true, false) => FaultKinds::Planned,
        (false, false) => FaultKinds::All,
    };
    let options = SoakOptions {
        seed,
        fault_kinds,
        program: program.cloned().unwrap_or_default(),
        entries: usize::try_from(number(matches, "entries")).unwrap_or(1),
        targets: usize::try_from(number(matches, "targets")).unwrap_or(1),
        clients: usize::try_from(number(matches, "clients")).unwrap_or(1),
        faults_ms: number(matches, "faults-ms"),
        directory: directory.path().into(),
    };
    let report = actix_rt::System::new().block_on(run(&options))?;
    println!("{report}");
    let has_passed = report.violations.is_empty();
    if !has_passed {
        println!("logs kept in {}", directory.keep().display());
    }
    Ok(has_passed)
}

fn number(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one::<u64>(name).copied().unwrap_or(1)
}

fn command() -> Command {
    let option = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .help(help)
            .default_value(default)
            .value_parser(value_parser!(u64))
    };
    Command::new("fescueshift-soak")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Run the pass-through daemons as processes and inject faults from outside")
        .arg(
            Arg::new("program")
                .long("program")
                .help("Program of the daemons")
                .default_value("target/release/fescueshift-passthrough")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("returns")
                .long("returns")
                .help("Replace targets as planned while the store comes back from older copies")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("planned")
                .long("planned")
                .help("Only replace targets as planned, without random faults")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("calls")
                .long("calls")
                .help("Count the calls of the entries to the store in several phases")
                .action(ArgAction::SetTrue),
        )
        .arg(option("seed", "1", "First seed"))
        .arg(option("count", "1", "Number of seeds"))
        .arg(option("entries", "3", "Number of entries"))
        .arg(option(
            "targets",
            "5",
            "Number of targets of the first service, each with an agent",
        ))
        .arg(option(
            "clients",
            "10",
            "Number of clients with a long-lived flow, of clients with a flow per request, and of \
             clients that use a port again",
        ))
        .arg(option(
            "faults-ms",
            "12000",
            "Duration of fault injection, in milliseconds",
        ))
}
