//! `fescueshift check`: finds all faults in settings files and tickets.

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

const FAULTS_EXIT_STATUS: u8 = 1;

/// Kind of an input file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
enum FileKind {
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
    kind: FileKind,
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
        .about("Find all faults in settings files and tickets")
        .arg(
            Arg::new("file")
                .help("Settings file of an entry or agent (TOML), or ticket (TOML or JSON)")
                .value_parser(value_parser!(PathBuf))
                .num_args(1..)
                .required(true),
        )
        .arg(
            Arg::new("kind")
                .long("kind")
                .help("Kind of the files; detected from their content by default")
                .value_parser(["entry", "agent", "ticket"]),
        )
        .arg(json_flag())
        .after_help(
            "Exit status: 0 if there are no faults, 1 if there are, 2 if a file can't be read.\n\n\
             Examples:\n  \
             fescueshift check entry.toml agent.toml\n  \
             fescueshift check --kind ticket change-2041.json --json",
        )
}

pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let kind = matches
        .get_one::<String>("kind")
        .map(|kind| parse_kind(kind));
    let files = matches.get_many::<PathBuf>("file").into_iter().flatten();
    let files = files
        .map(|path| check(path, kind))
        .collect::<Result<Vec<_>>>()?;
    let faults = files.iter().map(|file| file.faults.len()).sum();
    let report = Report { files, faults };
    if matches.get_flag("json") {
        output::print(&format!("{}\n", serde_json::json!(report)))?;
    } else {
        output::print(&format_report(&report))?;
    }
    Ok(ExitCode::from(if faults == 0 {
        0
    } else {
        FAULTS_EXIT_STATUS
    }))
}

fn check(path: &Path, kind: Option<FileKind>) -> Result<FileReport> {
    let content = std::fs::read_to_string(path).map_err(|source| {
        let detail = format!("{} can't be read", path.display());
        Error::io(ResultCode::SettingsUnreadable, detail, source)
    })?;
    let file = path.display().to_string();
    let kind = kind.unwrap_or_else(|| detect_kind(&file, &content));
    let faults = match kind {
        FileKind::Entry => settings_faults(EntrySettings::parse(path, &content).err()),
        FileKind::Agent => settings_faults(AgentSettings::parse(path, &content).err()),
        FileKind::Ticket => ticket_faults(&file, &content),
    };
    Ok(FileReport { file, kind, faults })
}

fn settings_faults(faults: Option<Faults>) -> Vec<FaultReport> {
    let faults = faults.into_iter().flat_map(|faults| faults.0);
    let report = |fault: fes_settings::Fault| FaultReport {
        code: format_code(fault.code),
        summary: fault.code.summary(),
        line: fault.line,
        key: fault.key,
        value: fault.value,
        allowed: fault.allowed,
        help: fault.code.help(),
    };
    faults.map(report).collect()
}

fn ticket_faults(file: &str, content: &str) -> Vec<FaultReport> {
    let format = TicketFormat::from_file_name(file).unwrap_or(TicketFormat::Toml);
    let faults = parse_ticket(content, format).err().unwrap_or_default();
    let report = |fault: TicketFault| FaultReport {
        code: format_code(fault.code),
        summary: fault.code.summary(),
        line: 0,
        help: fault.help(),
        key: fault.location,
        value: fault.value,
        allowed: fault.allowed,
    };
    faults.into_iter().map(report).collect()
}

fn parse_kind(kind: &str) -> FileKind {
    match kind {
        "entry" => FileKind::Entry,
        "agent" => FileKind::Agent,
        _ => FileKind::Ticket,
    }
}

/// Detects the kind of a file. JSON files are tickets; other files have a top-level key that only
/// their kind has.
fn detect_kind(file: &str, content: &str) -> FileKind {
    if file.ends_with(".json") {
        return FileKind::Ticket;
    }
    let top_level = content.lines().take_while(|line| !line.starts_with('['));
    let keys = top_level.filter_map(|line| Some(line.split_once('=')?.0.trim()));
    let kind = |key| match key {
        "entry" | "control_address" => Some(FileKind::Entry),
        "target" | "agent_address" | "upstream_address" => Some(FileKind::Agent),
        "number" => Some(FileKind::Ticket),
        _ => None,
    };
    keys.filter_map(kind).next().unwrap_or(FileKind::Entry)
}

fn format_report(report: &Report) -> String {
    let mut text = String::new();
    for file in &report.files {
        let kind = match file.kind {
            FileKind::Entry => "entry settings",
            FileKind::Agent => "agent settings",
            FileKind::Ticket => "ticket",
        };
        let count = match file.faults.len() {
            0 => "no faults".to_owned(),
            1 => "1 fault".to_owned(),
            count => format!("{count} faults"),
        };
        text.push_str(&format!("{}: {kind}, {count}\n", file.file));
        for fault in &file.faults {
            text.push_str(&format_fault(&file.file, fault));
        }
    }
    output::wrap(&text)
}

fn format_fault(file: &str, fault: &FaultReport) -> String {
    let location = match fault.line {
        0 => file.to_owned(),
        line => format!("{file}:{line}"),
    };
    let mut text = format!("\n{location}: {} {}\n", fault.code, fault.summary);
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

fn format_code(code: ResultCode) -> String {
    format!("F{:04}", code.number())
}
