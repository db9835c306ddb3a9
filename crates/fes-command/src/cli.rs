//! The root command.

use std::ffi::OsString;
use std::process::ExitCode;

use clap::Command;
use fes_protocol::Error;

use crate::commands;
use crate::output;

/// Exit status of a usage error, or of an error that kept a command from doing its work.
const ERROR_STATUS: u8 = 2;
const HELP_WIDTH: usize = 80;

/// Returns the whole command line interface.
#[must_use]
pub fn cli() -> Command {
    Command::new("fescueshift")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Layer-4 load balancer for fleets of mismatched VMs")
        .max_term_width(HELP_WIDTH)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands(commands::ALL.iter().map(|entry| (entry.command)()))
        .after_help(
            "Examples:\n  \
             fescueshift check entry.toml agent.toml\n  \
             fescueshift local --requests 1000 --feeds 20\n  \
             fescueshift explain F2001",
        )
}

/// Runs the command in `arguments`, of which the first is the program's name.
#[must_use]
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let matches = match cli().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) => {
            // Nothing can be done about a closed standard error.
            let _ = error.print();
            return ExitCode::from(u8::try_from(error.exit_code()).unwrap_or(ERROR_STATUS));
        }
    };
    let outcome = matches.subcommand().map(|(name, matches)| {
        let entry = commands::ALL.iter().find(|entry| entry.name == name);
        entry.map(|entry| (entry.run)(matches))
    });
    match outcome.flatten() {
        Some(Ok(status)) => status,
        Some(Err(error)) => report(&error),
        // clap requires a known command.
        None => ExitCode::from(ERROR_STATUS),
    }
}

fn report(error: &Error) -> ExitCode {
    output::print_error(&format!("error: {error}\nhelp:  {}\n", error.help()));
    ExitCode::from(ERROR_STATUS)
}
