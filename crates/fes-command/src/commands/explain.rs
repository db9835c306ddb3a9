//! `fescueshift explain`: explains result codes and the routing of datagrams and idempotency keys.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use fes_protocol::Error;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use fes_protocol::ServiceId;
use serde_json::json;

use crate::commands::arguments::json_flag;
use crate::explain_routing::Explanation;
use crate::explain_routing::RoutingContext;
use crate::explain_routing::parse_hex;
use crate::output;
use crate::ticket_file::read_ticket;

pub(crate) const NAME: &str = "explain";

const DATAGRAM: &str = "datagram";
const KEY: &str = "key";
const SETTINGS: &str = "settings";
const TICKET: &str = "ticket";
const SERVICE: &str = "service";

pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Explain a result code, a datagram of a flow or an idempotency key")
        .arg(
            Arg::new("code")
                .help("Result code, such as F2001; all codes are listed by default")
                .value_name("CODE"),
        )
        .arg(
            Arg::new(DATAGRAM)
                .long(DATAGRAM)
                .help("Client datagram in hexadecimal; shows which agent receives it and why")
                .value_name("HEX")
                .requires(SETTINGS)
                .conflicts_with_all(["code", KEY]),
        )
        .arg(
            Arg::new(KEY)
                .long(KEY)
                .help("Value of an Idempotency-Key header; shows which agent may run the request")
                .value_name("VALUE")
                .requires(SETTINGS)
                .conflicts_with("code"),
        )
        .arg(
            Arg::new(SETTINGS)
                .long(SETTINGS)
                .help("Settings file of an entry, which contains the secret keys")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .requires_all([TICKET, SERVICE]),
        )
        .arg(
            Arg::new(TICKET)
                .long(TICKET)
                .help("Ticket in force; may be repeated")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .action(ArgAction::Append),
        )
        .arg(
            Arg::new(SERVICE)
                .long(SERVICE)
                .help("ID of the service that the client addressed")
                .value_name("ID")
                .value_parser(value_parser!(u32)),
        )
        .arg(json_flag())
        .after_help(
            "The explanation assumes that all targets are alive. Only the first 26 bytes of a\n\
             datagram are used.\n\n\
             Examples:\n  \
             fescueshift explain F2001\n  \
             fescueshift explain --datagram c000000001088394c8f03e515708 \\\n      \
             --settings entry.toml --ticket staveworks.json --service 1",
        )
}

pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode> {
    if let Some(settings) = matches.get_one::<PathBuf>(SETTINGS) {
        return explain_routing(matches, settings);
    }
    let codes = match matches.get_one::<String>("code") {
        Some(text) => vec![parse_code(text)?],
        None => ResultCode::ALL.to_vec(),
    };
    if matches.get_flag("json") {
        let list: Vec<_> = codes.iter().map(|code| code_to_json(*code)).collect();
        output::print(&format!("{}\n", json!(list)))?;
    } else {
        let text: String = codes.iter().map(|code| code_to_text(*code)).collect();
        output::print(&output::wrap(&text))?;
    }
    Ok(ExitCode::SUCCESS)
}

fn explain_routing(matches: &ArgMatches, settings: &Path) -> Result<ExitCode> {
    let files = matches.get_many::<PathBuf>(TICKET).into_iter().flatten();
    let tickets: Vec<_> = files.map(|path| read_ticket(path)).collect::<Result<_>>()?;
    let service = matches.get_one::<u32>(SERVICE).copied().unwrap_or_default();
    let context = RoutingContext::new(settings, tickets, ServiceId(service))?;
    let text = |name| matches.get_one::<String>(name);
    let explanation = match (text(DATAGRAM), text(KEY)) {
        (Some(datagram), _) => context.explain_datagram(&parse_hex(datagram)?),
        (None, Some(key)) => context.explain_key(key),
        (None, None) => {
            let detail = "--settings requires --datagram or --key";
            return Err(Error::coded(ResultCode::UsageInvalid, detail));
        }
    };
    if matches.get_flag("json") {
        output::print(&format!("{}\n", json!(explanation)))?;
    } else {
        output::print(&output::wrap(&format_explanation(&explanation)))?;
    }
    Ok(ExitCode::SUCCESS)
}

fn format_explanation(explanation: &Explanation) -> String {
    let number = |value: Option<u64>| value.map(|value| value.to_string());
    let rows = [
        ("outcome", Some(explanation.outcome.clone())),
        ("rule", Some(explanation.rule.to_owned())),
        ("target", number(explanation.target.map(u64::from))),
        ("upstream", explanation.upstream.clone()),
        ("ticket", number(explanation.ticket)),
        ("code", explanation.code.clone()),
    ];
    let line = |(name, value): (&str, Option<String>)| Some(format!("{name}: {}\n", value?));
    rows.into_iter().filter_map(line).collect()
}

fn parse_code(text: &str) -> Result<ResultCode> {
    let digits = text.trim_start_matches(['F', 'f']);
    let code = digits.parse().ok().and_then(ResultCode::from_number);
    code.ok_or_else(|| {
        let detail = format!("unknown result code {text}");
        Error::coded(ResultCode::UsageInvalid, detail)
    })
}

fn code_to_text(code: ResultCode) -> String {
    format!(
        "F{:04} {}\n  meaning: {}\n  help:    {}\n",
        code.number(),
        code.name(),
        code.summary(),
        code.help()
    )
}

fn code_to_json(code: ResultCode) -> serde_json::Value {
    json!({
        "code": format!("F{:04}", code.number()),
        "name": code.name(),
        "summary": code.summary(),
        "help": code.help(),
    })
}
