//! Command line of `fescueshift-passthrough`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use fes_passthrough::NodePlace;
use fes_passthrough_node::LogLine;
use fes_passthrough_node::NodeContext;
use fes_passthrough_node::explain;
use fes_passthrough_node::fetch_status;
use fes_passthrough_node::load_settings_at_start;
use fes_passthrough_node::render;
use fes_passthrough_node::run_agent;
use fes_passthrough_node::run_entry;
use fes_passthrough_node::timeline_of_files;
use fes_protocol::Error;
use jiff::Timestamp;
use log::LevelFilter;

const SETTINGS: &str = "settings";
const LOG_LEVEL: &str = "log-level";
const ENTRY: &str = "entry";
const AGENT: &str = "agent";
const CHECK: &str = "check";
const EXPLAIN: &str = "explain";
const STATUS: &str = "status";
const TIMELINE: &str = "timeline";
const FROM: &str = "from";
const JSON: &str = "json";
const ADDRESS: &str = "address";
const LOGS: &str = "logs";
#[cfg(feature = "ablation")]
const WITHOUT: &str = "without";
const REQUEST: &str = "request";
/// Time for writing the last log lines at exit. Bounded, because the output may not be read.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
const INVALID_SETTINGS_EXIT_STATUS: u8 = 2;

fn main() -> ExitCode {
    let matches = command().get_matches();
    if let Some(matches) = matches.subcommand_matches(EXPLAIN) {
        return explain_request(matches);
    }
    if let Some(matches) = matches.subcommand_matches(STATUS) {
        return show_status(matches);
    }
    if let Some(matches) = matches.subcommand_matches(TIMELINE) {
        return show_timeline(matches);
    }
    let path = matches.get_one::<PathBuf>(SETTINGS).cloned();
    let level = matches.get_one::<LevelFilter>(LOG_LEVEL).copied();
    let settings = match load_settings_at_start(path.as_deref()) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}; {}", error.help());
            return ExitCode::from(INVALID_SETTINGS_EXIT_STATUS);
        }
    };
    if matches.subcommand_name() == Some(CHECK) {
        println!("{settings:#?}");
        return ExitCode::SUCCESS;
    }
    let log = match fes_telemetry::init_queued_log(level.unwrap_or(LevelFilter::Info)) {
        Ok(log) => log,
        Err(error) => {
            eprintln!("cannot initialize the log: {error}");
            return ExitCode::FAILURE;
        }
    };
    #[cfg(feature = "ablation")]
    disable_mechanisms(&matches);
    let place = settings.place;
    let context = NodeContext::new(settings, path);
    let ended = actix_rt::System::new().block_on(async move {
        match (matches.subcommand_name(), place) {
            (Some(ENTRY), NodePlace::Entry) => run_entry(context).await,
            (Some(AGENT), NodePlace::Agent(place)) => run_agent(context, place).await,
            _ => Err(Error::coded(
                fes_protocol::ResultCode::SettingsMissingKey,
                "the settings don't match the command: an agent has a target, an entry has none",
            )),
        }
    });
    let status = match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(
                target: fes_telemetry::log_target::FLOWS,
                "the process stopped: {error}; {}",
                error.help()
            );
            ExitCode::FAILURE
        }
    };
    if !log.flush(LOG_FLUSH_TIMEOUT) {
        eprintln!("the last log lines were not written: the output is not being read");
    }
    status
}

fn show_status(matches: &ArgMatches) -> ExitCode {
    let Some(address) = matches.get_one::<SocketAddr>(ADDRESS) else {
        return ExitCode::FAILURE;
    };
    match actix_rt::System::new().block_on(fetch_status(*address)) {
        Ok(status) => {
            println!("{status}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}; {}", error.help());
            ExitCode::FAILURE
        }
    }
}

fn explain_request(matches: &ArgMatches) -> ExitCode {
    let paths = matches.get_many::<PathBuf>(LOGS).into_iter().flatten();
    let mut files = Vec::new();
    for path in paths {
        match std::fs::read_to_string(path) {
            Ok(text) => files.push((path.display().to_string(), text)),
            Err(error) => {
                eprintln!("cannot read the log file {}: {error}", path.display());
                return ExitCode::FAILURE;
            }
        }
    }
    let lines: Vec<LogLine<'_>> = files
        .iter()
        .flat_map(|(file, text)| text.lines().map(move |text| LogLine { file, text }))
        .collect();
    let request = matches.get_one::<String>(REQUEST);
    let explanation = explain(&lines, request.map_or("", String::as_str));
    print!("{}", render(&explanation));
    ExitCode::SUCCESS
}

fn show_timeline(matches: &ArgMatches) -> ExitCode {
    let paths = matches.get_many::<PathBuf>(LOGS).into_iter().flatten();
    let from = matches.get_one::<Timestamp>(FROM).copied();
    match timeline_of_files(paths.map(PathBuf::as_path), from, matches.get_flag(JSON)) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}; {}", error.help());
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    let command = base_command();
    #[cfg(feature = "ablation")]
    let command = command.arg(without_option());
    command
}

#[cfg(feature = "ablation")]
fn without_option() -> Arg {
    let names = fes_passthrough::Mechanism::ALL.map(fes_passthrough::Mechanism::name);
    Arg::new(WITHOUT)
        .long(WITHOUT)
        .global(true)
        .help("Mechanism to switch off")
        .value_name("MECHANISM")
        .value_parser(names)
        .action(ArgAction::Append)
}

#[cfg(feature = "ablation")]
fn disable_mechanisms(matches: &ArgMatches) {
    let names: Vec<&String> = matches.get_many(WITHOUT).into_iter().flatten().collect();
    let all = fes_passthrough::Mechanism::ALL.into_iter();
    all.filter(|mechanism| names.iter().any(|name| *name == mechanism.name()))
        .for_each(fes_passthrough::Mechanism::disable);
}

fn base_command() -> Command {
    Command::new("fescueshift-passthrough")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Forwards flows between clients and targets without changing their packets")
        .subcommand_required(true)
        .arg(
            Arg::new(SETTINGS)
                .long(SETTINGS)
                .global(true)
                .help(
                    "Settings file; by default, the file that the platform's environment variable \
                     names",
                )
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new(LOG_LEVEL)
                .long(LOG_LEVEL)
                .global(true)
                .help("Minimum log level")
                .value_name("LEVEL")
                .value_parser(value_parser!(LevelFilter)),
        )
        .subcommand(
            Command::new(ENTRY).about("Forwards packets of clients to the agents of their targets"),
        )
        .subcommand(Command::new(AGENT).about("Delivers packets to the target on its VM"))
        .subcommand(Command::new(CHECK).about("Checks the settings and prints them"))
        .subcommand(
            Command::new(STATUS)
                .about("Prints the status of a running process")
                .arg(
                    Arg::new(ADDRESS)
                        .help("Address at which the process serves status, readiness and metrics")
                        .value_name("IP:PORT")
                        .required(true)
                        .value_parser(value_parser!(SocketAddr)),
                ),
        )
        .subcommand(
            Command::new(EXPLAIN)
                .about("Finds a request in collected logs and explains how it ended")
                .arg(logs_option())
                .arg(Arg::new(REQUEST).help("ID of the request").required(true)),
        )
        .subcommand(timeline_command())
        .after_help(
            "Drains on SIGTERM and reloads its settings on SIGHUP. Exit status: 0 after a\n\
             drain, 1 if the start failed, 2 on invalid settings or a usage error.",
        )
}

fn logs_option() -> Arg {
    Arg::new(LOGS)
        .long(LOGS)
        .help("Log files of the processes")
        .value_name("FILE")
        .num_args(1..)
        .required(true)
        .value_parser(value_parser!(PathBuf))
}

fn timeline_command() -> Command {
    Command::new(TIMELINE)
        .about("Prints the phases of a recovery after all processes were lost, from collected logs")
        .arg(logs_option())
        .arg(
            Arg::new(FROM)
                .long(FROM)
                .help(
                    "Begin with the first start at or after this time; by default, with the last \
                     restart of at least half of the processes within 3 s",
                )
                .value_name("TIME")
                .value_parser(value_parser!(Timestamp)),
        )
        .arg(
            Arg::new(JSON)
                .long(JSON)
                .help("Print JSON")
                .action(ArgAction::SetTrue),
        )
}
