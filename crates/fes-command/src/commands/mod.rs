//! The subcommands, one module each.

mod arguments;
mod check;
mod completions;
mod diff;
mod explain;
mod load;
mod local;
mod man;
mod measure;
mod status;

use std::process::ExitCode;

use clap::ArgMatches;
use clap::Command;
use fes_protocol::Result;

/// A subcommand.
pub(crate) struct Subcommand {
    /// Name on the command line.
    pub(crate) name: &'static str,
    /// Returns the definition for the argument parser.
    pub(crate) command: fn() -> Command,
    /// Runs the command.
    pub(crate) run: fn(&ArgMatches) -> Result<ExitCode>,
}

/// All subcommands, in the order of the help text.
pub(crate) const ALL: &[Subcommand] = &[
    Subcommand {
        name: check::NAME,
        command: check::command,
        run: check::run,
    },
    Subcommand {
        name: diff::NAME,
        command: diff::command,
        run: diff::run,
    },
    Subcommand {
        name: explain::NAME,
        command: explain::command,
        run: explain::run,
    },
    Subcommand {
        name: status::NAME,
        command: status::command,
        run: status::run,
    },
    Subcommand {
        name: local::NAME,
        command: local::command,
        run: local::run,
    },
    Subcommand {
        name: load::NAME,
        command: load::command,
        run: load::run,
    },
    Subcommand {
        name: measure::NAME,
        command: measure::command,
        run: measure::run,
    },
    Subcommand {
        name: completions::NAME,
        command: completions::command,
        run: completions::run,
    },
    Subcommand {
        name: man::NAME,
        command: man::command,
        run: man::run,
    },
];
