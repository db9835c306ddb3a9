//! `fescueshift diff`: shows what a ticket would change.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use fes_platform::PlatformClient;
use fes_protocol::Error;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use fes_protocol::Ticket;
use fes_protocol::TicketNumber;
use fes_tickets::StateDiff;
use fes_tickets::TicketStore;
use fes_tickets::UpstreamChange;
use fes_tickets::UpstreamChangeKind;
use fes_tickets::diff_ticket;
use serde_json::Value;
use serde_json::json;

use crate::commands::arguments::json_flag;
use crate::output;
use crate::ticket_file::read_ticket;

pub(crate) const NAME: &str = "diff";

const REPORTS_EXIT_STATUS: u8 = 1;
const READER_NAME: &str = "fescueshift-diff";

pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Show what a ticket would change")
        .arg(
            Arg::new("ticket")
                .help("Ticket to publish (TOML or JSON)")
                .value_parser(value_parser!(PathBuf))
                .required(true),
        )
        .arg(
            Arg::new("in-force")
                .long("in-force")
                .help("Ticket in force; may be repeated")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .action(clap::ArgAction::Append),
        )
        .arg(
            Arg::new("platform")
                .long("platform")
                .help("Address of the platform from which the tickets in force are read")
                .value_name("IP:PORT")
                .value_parser(value_parser!(SocketAddr))
                .conflicts_with("in-force"),
        )
        .arg(json_flag())
        .after_help(
            "Exit status: 0 if the whole ticket would apply, 1 if the fleet would ignore part\n\
             of it or report a conflict, 2 on errors.\n\n\
             Examples:\n  \
             fescueshift diff change-2042.json --in-force change-2041.json\n  \
             fescueshift diff change-2042.json --platform 192.0.2.2:8080",
        )
}

pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let mut store = TicketStore::new();
    for ticket in tickets_in_force(matches)? {
        store.apply(ticket);
    }
    let path = matches.get_one::<PathBuf>("ticket");
    let missing = || Error::coded(ResultCode::UsageInvalid, "no ticket was given");
    let ticket = read_ticket(path.ok_or_else(missing)?)?;
    let diff = diff_ticket(&store, &ticket);
    if matches.get_flag("json") {
        let report = diff_to_json(ticket.number, &diff);
        output::print(&format!("{report}\n"))?;
    } else {
        let text = format!("ticket {}\n{diff}", ticket.number);
        output::print(&output::wrap(&text))?;
    }
    Ok(ExitCode::from(if diff.reports.is_empty() {
        0
    } else {
        REPORTS_EXIT_STATUS
    }))
}

fn tickets_in_force(matches: &ArgMatches) -> Result<Vec<Arc<Ticket>>> {
    if let Some(address) = matches.get_one::<SocketAddr>("platform") {
        let mut client = PlatformClient::new(*address, READER_NAME);
        let read = client.read_tickets(TicketNumber(0));
        let reply = actix_rt::System::new().block_on(read)?;
        return Ok(reply.tickets.into_iter().map(Arc::new).collect());
    }
    let files = matches.get_many::<PathBuf>("in-force");
    files
        .into_iter()
        .flatten()
        .map(|path| read_ticket(path))
        .collect()
}

fn diff_to_json(number: TicketNumber, diff: &StateDiff) -> Value {
    let services: Vec<Value> = diff
        .services
        .iter()
        .map(|service| {
            json!({
                "id": service.service.0,
                "name": service.name.as_str(),
                "change": format!("{:?}", service.kind).to_lowercase(),
                "ticket_before": service.tickets.0.map(|ticket| ticket.0),
                "addresses_added": service.addresses.added,
                "addresses_removed": service.addresses.removed,
                "moved_share": service.moved_share,
                "upstreams": service.upstreams.iter().map(upstream_to_json).collect::<Vec<_>>(),
            })
        })
        .collect();
    let entries = |ids: &[fes_protocol::EntryId]| ids.iter().map(|id| id.0).collect::<Vec<_>>();
    let fleets: Vec<Value> = diff
        .fleets
        .iter()
        .map(|fleet| {
            json!({
                "data_centre": fleet.data_centre.as_str(),
                "entries_added": entries(&fleet.entries.added),
                "entries_removed": entries(&fleet.entries.removed),
            })
        })
        .collect();
    let key_epoch = diff
        .key_epoch
        .map(|(before, after)| json!({"before": before.map(|epoch| epoch.0), "after": after.0}));
    let reports: Vec<Value> = diff
        .reports
        .iter()
        .map(|report| {
            let code = format!("F{:04}", report.code().number());
            json!({"code": code, "detail": report.to_string()})
        })
        .collect();
    json!({
        "ticket": number.0,
        "services": services,
        "fleets": fleets,
        "key_epoch": key_epoch,
        "reports": reports,
    })
}

fn upstream_to_json(upstream: &UpstreamChange) -> Value {
    let change = match upstream.kind {
        UpstreamChangeKind::Added => "added",
        UpstreamChangeKind::Removed => "removed",
        UpstreamChangeKind::StartsLeaving => "starts-leaving",
        UpstreamChangeKind::StopsLeaving => "stops-leaving",
        UpstreamChangeKind::Changed => "changed",
        UpstreamChangeKind::Unchanged => "unchanged",
    };
    json!({
        "target": upstream.target.0,
        "name": upstream.name.as_str(),
        "change": change,
        "slots_before": upstream.slots.0,
        "slots_after": upstream.slots.1,
        "share_before": upstream.share_before,
        "share_after": upstream.share_after,
    })
}
