//! `fescueshift man`: prints or writes manual pages.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use clap_mangen::Man;
use fes_protocol::Error;
use fes_protocol::Result;
use fes_protocol::ResultCode;

use crate::cli;
use crate::output;

pub(crate) const NAME: &str = "man";

pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Print the manual page, or write all pages to a directory")
        .arg(
            Arg::new("directory")
                .long("directory")
                .help("Write one page for each command to this directory")
                .value_parser(value_parser!(PathBuf)),
        )
        .after_help(
            "Examples:\n  \
             fescueshift man > fescueshift.1\n  \
             fescueshift man --directory man1",
        )
}

pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode> {
    match matches.get_one::<PathBuf>("directory") {
        Some(directory) => write_pages(directory)?,
        None => output::print(&String::from_utf8_lossy(&render(cli())?))?,
    }
    Ok(ExitCode::SUCCESS)
}

fn write_pages(directory: &Path) -> Result<()> {
    let root = cli();
    let pages = root.get_subcommands().cloned().map(|command| {
        let name = format!("fescueshift-{}", command.get_name());
        command.name(name)
    });
    for page in std::iter::once(root.clone()).chain(pages) {
        let path = directory.join(format!("{}.1", page.get_name()));
        let text = render(page)?;
        std::fs::write(&path, text).map_err(|source| {
            let detail = format!("{} can't be written", path.display());
            Error::io(ResultCode::OutputUnwritable, detail, source)
        })?;
    }
    Ok(())
}

fn render(command: Command) -> Result<Vec<u8>> {
    let mut page = Vec::new();
    Man::new(command).render(&mut page).map_err(|source| {
        let detail = "a manual page can't be rendered";
        Error::io(ResultCode::OutputUnwritable, detail, source)
    })?;
    Ok(page)
}
