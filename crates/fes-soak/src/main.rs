//! `fescueshift-soak --program PATH --seeds FIRST..=LAST`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use fes_soak::SoakOptions;
use fes_soak::run;

fn main() -> ExitCode {
    let matches = command().get_matches();
    let first: u64 = number(&matches, "seed");
    let count: u64 = number(&matches, "count");
    let mut failed = 0;
    for seed in first..first + count {
        match soak(&matches, seed) {
            Ok(is_clean) => failed += u64::from(!is_clean),
            Err(error) => {
                eprintln!("the soak can't run: {error}");
                return ExitCode::FAILURE;
            }
        }
    }
    println!("{} seeds, {failed} with violations", count);
    ExitCode::from(u8::from(failed > 0))
}

fn soak(matches: &ArgMatches, seed: u64) -> std::io::Result<bool> {
    let program = matches.get_one::<PathBuf>("program");
    let folder = tempfile::tempdir()?;
    let options = SoakOptions {
        seed,
        program: program.cloned().unwrap_or_default(),
        entries: usize::try_from(number(matches, "entries")).unwrap_or(1),
        targets: usize::try_from(number(matches, "targets")).unwrap_or(1),
        clients: usize::try_from(number(matches, "clients")).unwrap_or(1),
        faults_ms: number(matches, "faults-ms"),
        directory: folder.path().into(),
    };
    let report = actix_rt::System::new().block_on(run(&options))?;
    println!("{report:?}");
    let is_clean = report.violations.is_empty();
    if !is_clean {
        println!("logs kept in {}", folder.keep().display());
    }
    Ok(is_clean)
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
        .about("Runs the pass-through daemons as processes and injects faults from outside")
        .arg(
            Arg::new("program")
                .long("program")
                .help("The daemons' program")
                .default_value("target/release/fescueshift-passthrough")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(option("seed", "1", "First seed"))
        .arg(option("count", "1", "Number of seeds"))
        .arg(option("entries", "3", "Entries"))
        .arg(option("targets", "5", "Targets, each with an agent"))
        .arg(option(
            "clients",
            "10",
            "Streams, and clients that open a flow for each request",
        ))
        .arg(option(
            "faults-ms",
            "12000",
            "Time with faults, in milliseconds",
        ))
}
