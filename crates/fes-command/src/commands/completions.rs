//! `fescueshift completions`: prints a completion script for a shell.

use std::process::ExitCode;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use clap_complete::Shell;
use clap_complete::generate;
use fes_protocol::Result;

use crate::cli;
use crate::output;

pub(crate) const NAME: &str = "completions";

pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Print a completion script for a shell")
        .arg(
            Arg::new("shell")
                .help("Shell that reads the script")
                .value_parser(value_parser!(Shell))
                .required(true),
        )
        .after_help(
            "Examples:\n  \
             fescueshift completions bash > fescueshift.bash\n  \
             fescueshift completions zsh > _fescueshift",
        )
}

pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let mut script = Vec::new();
    if let Some(shell) = matches.get_one::<Shell>("shell") {
        let mut root = cli();
        let name = root.get_name().to_owned();
        generate(*shell, &mut root, name, &mut script);
    }
    output::print(&String::from_utf8_lossy(&script))?;
    Ok(ExitCode::SUCCESS)
}
