//! Command line arguments of the daemons.

use std::path::PathBuf;

use clap::Arg;
use clap::Command;
use clap::value_parser;

const SETTINGS: &str = "settings";

/// Returns the command line parser of a daemon.
#[must_use]
pub fn daemon_command(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .version(env!("CARGO_PKG_VERSION"))
        .about(about)
        .arg(
            Arg::new(SETTINGS)
                .long(SETTINGS)
                .help("Settings file in TOML; 'fescueshift check' validates it")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .required(true),
        )
        .after_help(
            "Drains on SIGTERM or SIGINT. Exit status: 0 after a drain, 1 if the start failed,\n\
             2 on invalid settings or a usage error.",
        )
}

/// Parses the process's arguments and returns the path of the settings file. Exits the process
/// after printing help, the version or a usage error.
#[must_use]
pub fn settings_path(command: Command) -> PathBuf {
    let matches = command.get_matches();
    matches
        .get_one::<PathBuf>(SETTINGS)
        .cloned()
        .unwrap_or_default()
}
