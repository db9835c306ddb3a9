//! `fescueshift check`: finds all faults of settings files and tickets.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use fes_protocol::Error;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use fes_settings::AgentSettings;
use fes_settings::EntrySettings;
use fes_settings::Faults;
use fes_tickets::TicketFault;
use fes_tickets::TicketFormat;
use fes_tickets::parse_ticket;
use serde::Serialize;

use crate::commands::arguments::json_flag;
use crate::output;

pub(crate) const NAME: &str = "check";

const FAULTS_STATUS: u8 = 1;

/// What a file is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
enum Kind {
    Entry,
    Agent,
    Ticket,
}

#[derive(Serialize)]
struct Report {
    files: Vec<FileReport>,
    faults: usize,
}

#[derive(Serialize)]
struct FileReport {
    file: String,
    kind: Kind,
    faults: Vec<FaultReport>,
}

#[derive(Serialize)]
struct FaultReport {
    code: String,
    summary: &'static str,
    line: usize,
    key: String,
    value: String,
    allowed: String,
    help: &'static str,
}

pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Find all faults of settings files and tickets")
        .arg(
            Arg::new("file")
                .help("Settings of an entry or an agent (TOML), or a ticket (TOML or JSON)")
                .value_parser(value_parser!(PathBuf))
                .num_args(1..)
                .required(true),
        )
        .arg(
            Arg::new("kind")
                .long("kind")
                .help("What the files are, if their content doesn't show it")
                .value_parser(["entry", "agent", "ticket"]),
        )
        .arg(json_flag())
        .after_help(
            "Exit status: 0 without faults, 1 with faults, 2 if a file can't be read.\n\n\
             Examples:\n  \
             fescueshift check entry.toml agent.toml\n  \
             fescueshift check --kind ticket change-2041.json --json",
        )
}

pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let kind = matches.get_one::<String>("kind").map(|kind| named(kind));
    let files = matches.get_many::<PathBuf>("file").into_iter().flatten();
    let files = files
        .map(|path| check(path, kind))
        .collect::<Result<Vec<_>>>()?;
    let faults = files.iter().map(|file| file.faults.len()).sum();
    let report = Report { files, faults };
    if matches.get_flag("json") {
        output::print(&format!("{}\n", serde_json::json!(report)))?;
    } else {
        output::print(&text(&report))?;
    }
    Ok(ExitCode::from(if faults == 0 { 0 } else { FAULTS_STATUS }))
}

fn check(path: &Path, kind: Option<Kind>) -> Result<FileReport> {
    let content = std::fs::read_to_string(path).map_err(|source| {
        let detail = format!("{} can't be read", path.display());
        Error::io(ResultCode::SettingsUnreadable, detail, source)
    })?;
    let file = path.display().to_string();
    let kind = kind.unwrap_or_else(|| guess(&file, &content));
    let faults = match kind {
        Kind::Entry => of_settings(EntrySettings::parse(path, &content).err()),
        Kind::Agent => of_settings(AgentSettings::parse(path, &content).err()),
        Kind::Ticket => of_ticket(&file, &content),
    };
    Ok(FileReport { file, kind, faults })
}

fn of_settings(faults: Option<Faults>) -> Vec<FaultReport> {
    let faults = faults.into_iter().flat_map(|faults| faults.0);
    let report = |fault: fes_settings::Fault| FaultReport {
        code: code_text(fault.code),
        summary: fault.code.summary(),
        line: fault.line,
        key: fault.key,
        value: fault.value,
        allowed: fault.allowed,
        help: fault.code.help(),
    };
    faults.map(report).collect()
}

fn of_ticket(file: &str, content: &str) -> Vec<FaultReport> {
    let format = TicketFormat::from_file_name(file).unwrap_or(TicketFormat::Toml);
    let faults = parse_ticket(content, format).err().unwrap_or_default();
    let report = |fault: TicketFault| FaultReport {
        code: code_text(fault.code),
        summary: fault.code.summary(),
        line: 0,
        help: fault.help(),
        key: fault.location,
        value: fault.value,
        allowed: fault.allowed,
    };
    faults.into_iter().map(report).collect()
}

fn named(kind: &str) -> Kind {
    match kind {
        "entry" => Kind::Entry,
        "agent" => Kind::Agent,
        _ => Kind::Ticket,
    }
}

/// Looks for the key that only one kind of file has at its top level.
fn guess(file: &str, content: &str) -> Kind {
    if file.ends_with(".json") {
        return Kind::Ticket;
    }
    let top_level = content.lines().take_while(|line| !line.starts_with('['));
    let keys = top_level.filter_map(|line| Some(line.split_once('=')?.0.trim()));
    let kind = |key| match key {
        "entry" | "control_address" => Some(Kind::Entry),
        "target" | "agent_address" | "upstream_address" => Some(Kind::Agent),
        "number" => Some(Kind::Ticket),
        _ => None,
    };
    keys.filter_map(kind).next().unwrap_or(Kind::Entry)
}

fn text(report: &Report) -> String {
    let mut text = String::new();
    for file in &report.files {
        let kind = match file.kind {
            Kind::Entry => "entry settings",
            Kind::Agent => "agent settings",
            Kind::Ticket => "ticket",
        };
        let count = match file.faults.len() {
            0 => "no faults".to_owned(),
            1 => "1 fault".to_owned(),
            count => format!("{count} faults"),
        };
        text.push_str(&format!("{}: {kind}, {count}\n", file.file));
        for fault in &file.faults {
            text.push_str(&fault_text(&file.file, fault));
        }
    }
    output::wrap(&text)
}

fn fault_text(file: &str, fault: &FaultReport) -> String {
    let place = match fault.line {
        0 => file.to_owned(),
        line => format!("{file}:{line}"),
    };
    let mut text = format!("\n{place}: {} {}\n", fault.code, fault.summary);
    let fields = [
        ("key:    ", fault.key.as_str()),
        ("value:  ", fault.value.as_str()),
        ("allowed:", fault.allowed.as_str()),
        ("help:   ", fault.help),
    ];
    for (name, value) in fields.iter().filter(|(_, value)| !value.is_empty()) {
        text.push_str(&format!("  {name} {value}\n"));
    }
    text
}

fn code_text(code: ResultCode) -> String {
    format!("F{:04}", code.number())
}
