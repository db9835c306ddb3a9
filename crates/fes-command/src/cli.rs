//! Root command: parses the command line and runs the subcommand.

use std::ffi::OsString;
use std::process::ExitCode;

use clap::Command;
use fes_protocol::Error;

use crate::commands;
use crate::output;

/// Exit status of usage errors and of commands that fail with an error.
const ERROR_EXIT_STATUS: u8 = 2;
const HELP_WIDTH_COLUMNS: usize = 80;

/// Returns the definition of the command line.
#[must_use]
pub fn cli() -> Command {
    Command::new("fescueshift")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Layer-4 load balancer for fleets of mismatched VMs")
        .max_term_width(HELP_WIDTH_COLUMNS)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands(
            commands::ALL
                .iter()
                .map(|subcommand| (subcommand.command)()),
        )
        .after_help(
            "Examples:\n  \
             fescueshift check entry.toml agent.toml\n  \
             fescueshift local --requests 1000 --feeds 20\n  \
             fescueshift explain F2001",
        )
}

/// Runs the command line `arguments`, the first of which is the name of the program.
#[must_use]
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let matches = match cli().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) => {
            // If standard error is closed, there is no way to report it.
            let _ = error.print();
            return ExitCode::from(u8::try_from(error.exit_code()).unwrap_or(ERROR_EXIT_STATUS));
        }
    };
    let outcome = matches.subcommand().map(|(name, matches)| {
        let subcommand = commands::ALL
            .iter()
            .find(|subcommand| subcommand.name == name);
        subcommand.map(|subcommand| (subcommand.run)(matches))
    });
    match outcome.flatten() {
        Some(Ok(status)) => status,
        Some(Err(error)) => report(&error),
        // Not reached: clap rejects unknown subcommands.
        None => ExitCode::from(ERROR_EXIT_STATUS),
    }
}

fn report(error: &Error) -> ExitCode {
    output::print_error(&format!("error: {error}\nhelp:  {}\n", error.help()));
    ExitCode::from(ERROR_EXIT_STATUS)
}
