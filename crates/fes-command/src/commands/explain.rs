//! `fescueshift explain`: says what a result code means.

use std::process::ExitCode;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use fes_protocol::Error;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use serde_json::json;

use crate::commands::arguments::json_flag;
use crate::output;

pub(crate) const NAME: &str = "explain";

pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Say what a result code means and what to do about it")
        .arg(
            Arg::new("code")
                .help("Result code, such as F2001; without one, all are listed")
                .value_name("CODE"),
        )
        .arg(json_flag())
        .after_help("Examples:\n  fescueshift explain F2001\n  fescueshift explain")
}

pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let codes = match matches.get_one::<String>("code") {
        Some(text) => vec![parse(text)?],
        None => ResultCode::ALL.to_vec(),
    };
    if matches.get_flag("json") {
        let list: Vec<_> = codes.iter().map(|code| as_json(*code)).collect();
        output::print(&format!("{}\n", json!(list)))?;
    } else {
        let text: String = codes.iter().map(|code| as_text(*code)).collect();
        output::print(&output::wrap(&text))?;
    }
    Ok(ExitCode::SUCCESS)
}

fn parse(text: &str) -> Result<ResultCode> {
    let digits = text.trim_start_matches(['F', 'f']);
    let code = digits.parse().ok().and_then(ResultCode::from_number);
    code.ok_or_else(|| {
        let detail = format!("there is no result code {text}");
        Error::coded(ResultCode::UsageInvalid, detail)
    })
}

fn as_text(code: ResultCode) -> String {
    format!(
        "F{:04} {}\n  meaning: {}\n  help:    {}\n",
        code.number(),
        code.name(),
        code.summary(),
        code.help()
    )
}

fn as_json(code: ResultCode) -> serde_json::Value {
    json!({
        "code": format!("F{:04}", code.number()),
        "name": code.name(),
        "summary": code.summary(),
        "help": code.help(),
    })
}
