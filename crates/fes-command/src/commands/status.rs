//! `fescueshift status`: shows the status page of running processes.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use bytes::Bytes;
use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use fes_protocol::Error;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use http::Request;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::Limited;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::output;

pub(crate) const NAME: &str = "status";

const UNREACHABLE_EXIT_STATUS: u8 = 1;
const READ_TIMEOUT_MS: u64 = 2_000;
const MAX_PAGE_BYTES: usize = 4 << 20;

pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Show the state of running processes")
        .arg(
            Arg::new("address")
                .help("Status address of a process, as IP:PORT")
                .value_parser(value_parser!(SocketAddr))
                .num_args(1..)
                .required(true),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .help("Print one JSON object per line, one for each process")
                .action(ArgAction::SetTrue),
        )
        .after_help(
            "Exit status: 0 if all processes answered, 1 otherwise.\n\n\
             Examples:\n  \
             fescueshift status 192.0.2.10:9001 192.0.2.11:9001\n  \
             fescueshift status --json 192.0.2.10:9001",
        )
}

pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let addresses = matches.get_many::<SocketAddr>("address");
    let addresses: Vec<SocketAddr> = addresses.into_iter().flatten().copied().collect();
    let pages = actix_rt::System::new().block_on(async {
        let reads = addresses.iter().map(|address| read_status(*address));
        futures::future::join_all(reads).await
    });
    let all_answered = pages.iter().all(Result::is_ok);
    for (address, page) in addresses.iter().zip(pages) {
        let text = if matches.get_flag("json") {
            page_to_json(*address, page)
        } else {
            page_to_text(*address, page)
        };
        output::print(&text)?;
    }
    Ok(ExitCode::from(if all_answered {
        0
    } else {
        UNREACHABLE_EXIT_STATUS
    }))
}

async fn read_status(address: SocketAddr) -> Result<Value> {
    let unreachable = |error: &dyn std::fmt::Display| {
        let detail = format!("reading the status of {address} failed: {error}");
        Error::coded(ResultCode::EndpointUnreachable, detail)
    };
    let read_timeout = Duration::from_millis(READ_TIMEOUT_MS);
    let body = timeout(read_timeout, fetch(address)).await;
    let body = body
        .map_err(|error| unreachable(&error))?
        .map_err(|error| unreachable(&error))?;
    serde_json::from_slice(&body).map_err(|error| unreachable(&error))
}

async fn fetch(address: SocketAddr) -> std::result::Result<Bytes, Box<dyn std::error::Error>> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    actix_rt::spawn(connection);
    let request = Request::get("/status")
        .header(HOST, address.to_string())
        .body(Empty::<Bytes>::new())?;
    let response = sender.send_request(request).await?;
    let limited = Limited::new(response.into_body(), MAX_PAGE_BYTES);
    let body = limited.collect().await.map_err(|error| error.to_string())?;
    Ok(body.to_bytes())
}

fn page_to_json(address: SocketAddr, page: Result<Value>) -> String {
    let line = match page {
        Ok(status) => json!({"address": address, "status": status}),
        Err(error) => json!({"address": address, "error": error.to_string()}),
    };
    format!("{line}\n")
}

fn page_to_text(address: SocketAddr, page: Result<Value>) -> String {
    let text = match page {
        Ok(Value::Object(fields)) => {
            let mut rows = vec![vec![format!("{address}")]];
            rows.extend(
                fields
                    .iter()
                    .flat_map(|(key, value)| field_rows(key, value)),
            );
            format_rows(&rows)
        }
        Ok(other) => format!("{address}\n  {other}\n"),
        Err(error) => format!("{address}\n  {error}\n  help: {}\n", error.help()),
    };
    output::wrap(&text)
}

/// Returns the rows of a field. A list of objects, such as the peers of an agent, has an additional
/// row for each item, because the whole list is too wide for one line.
fn field_rows(key: &str, value: &Value) -> Vec<Vec<String>> {
    let name = format!("  {key}");
    match value {
        Value::Array(items) if items.iter().any(Value::is_object) => {
            let items = items
                .iter()
                .map(|item| vec![format!("    {}", format_item(item))]);
            std::iter::once(vec![name]).chain(items).collect()
        }
        value => vec![vec![name, format_value(value)]],
    }
}

fn format_item(item: &Value) -> String {
    let Value::Object(fields) = item else {
        return format_value(item);
    };
    let fields = fields.iter();
    let fields = fields.map(|(key, value)| format!("{key} {}", format_value(value)));
    fields.collect::<Vec<_>>().join(", ")
}

fn format_value(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn format_rows(rows: &[Vec<String>]) -> String {
    let names = rows.iter().filter(|row| row.len() > 1);
    let width = names.map(|row| row[0].len()).max();
    let width = width.unwrap_or_default();
    let line = |row: &Vec<String>| match row.get(1) {
        Some(value) => format!("{:<width$}  {value}\n", row[0]),
        None => format!("{}\n", row[0]),
    };
    rows.iter().map(line).collect()
}
