//! One file for each command.

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

/// A command of the command line.
pub(crate) struct Entry {
    /// Name on the command line.
    pub(crate) name: &'static str,
    /// Makes the description for the parser.
    pub(crate) command: fn() -> Command,
    /// Runs the command.
    pub(crate) run: fn(&ArgMatches) -> Result<ExitCode>,
}

/// All commands in the order of the help text.
pub(crate) const ALL: &[Entry] = &[
    Entry {
        name: check::NAME,
        command: check::command,
        run: check::run,
    },
    Entry {
        name: diff::NAME,
        command: diff::command,
        run: diff::run,
    },
    Entry {
        name: explain::NAME,
        command: explain::command,
        run: explain::run,
    },
    Entry {
        name: status::NAME,
        command: status::command,
        run: status::run,
    },
    Entry {
        name: local::NAME,
        command: local::command,
        run: local::run,
    },
    Entry {
        name: load::NAME,
        command: load::command,
        run: load::run,
    },
    Entry {
        name: measure::NAME,
        command: measure::command,
        run: measure::run,
    },
    Entry {
        name: completions::NAME,
        command: completions::command,
        run: completions::run,
    },
    Entry {
        name: man::NAME,
        command: man::command,
        run: man::run,
    },
];
