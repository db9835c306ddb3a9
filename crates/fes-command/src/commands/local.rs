//! `fescueshift local`: runs a complete fleet in this process and replaces an entry under load.

use std::process::ExitCode;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use fes_protocol::Result;

use crate::commands::arguments::json_flag;
use crate::commands::arguments::number;
use crate::local_run::LocalPlan;
use crate::local_run::LocalReport;
use crate::local_run::run_local;
use crate::output;

pub(crate) const NAME: &str = "local";

const VIOLATIONS_EXIT_STATUS: u8 = 1;

pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Run a fleet in this process and replace an entry under load")
        .long_about(
            "Starts test doubles of the platform, the network fabric and the upstreams, two \
             entries and an agent for each upstream in this process, on loopback sockets. Opens \
             feeds and sends requests, kills one entry after a third of the requests and starts \
             another after half of them; the last third is sent once the new entry serves. All \
             figures are observed by the clients and upstreams.",
        )
        .arg(number(
            "requests",
            "Requests to send",
            "300",
            1..=10_000_000,
        ))
        .arg(number("feeds", "Feeds to keep open", "20", 0..=10_000))
        .arg(number(
            "seed",
            "Seed of all random choices",
            "1",
            0..=u64::MAX,
        ))
        .arg(number(
            "upstream-count",
            "Number of upstreams, each with an agent",
            "3",
            1..=64,
        ))
        .arg(
            Arg::new("drain")
                .long("drain")
                .help("Stop the entry gracefully instead of killing it")
                .action(ArgAction::SetTrue),
        )
        .arg(number(
            "traces",
            "Number of requests whose spans are shown",
            "0",
            0..=64,
        ))
        .arg(json_flag())
        .after_help(
            "Exit status: 0 if no request was lost or ran more than once, no response was\n\
             misrouted and no feed broke, 1 otherwise, 2 on errors.\n\n\
             Examples:\n  \
             fescueshift local\n  \
             fescueshift local --drain --traces 1\n  \
             fescueshift local --requests 5000 --feeds 200 --seed 7 --json",
        )
}

pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let number = |name| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let plan = LocalPlan {
        requests: number("requests"),
        feeds: number("feeds"),
        seed: number("seed"),
        drains: matches.get_flag("drain"),
        traces: usize::try_from(number("traces")).unwrap_or_default(),
        upstream_count: u32::try_from(number("upstream-count")).unwrap_or(1),
    };
    let progress = output::progress(plan.requests, "requests");
    let report = actix_rt::System::new().block_on(run_local(&plan, &progress))?;
    progress.finish_and_clear();
    if matches.get_flag("json") {
        output::print(&format!("{}\n", serde_json::json!(report)))?;
    } else {
        output::print(&format_report(&report))?;
    }
    Ok(ExitCode::from(if report.has_violations() {
        VIOLATIONS_EXIT_STATUS
    } else {
        0
    }))
}

fn format_report(report: &LocalReport) -> String {
    let row = |name: &str, value: u64| vec![name.to_owned(), value.to_string()];
    let mut rows = vec![
        row("seed", report.seed),
        row("duration, ms", report.duration_ms),
        row("requests", report.requests),
        row("answered", report.answered),
        row("refused, not run", report.refused),
        row("outcome unknown", report.unknown),
        row("failed", report.failed),
        row("lost", report.lost),
        row("doubled", report.doubled),
        row("misrouted", report.misrouted),
        row("feeds", report.feeds),
        row("broken feeds", report.broken_feeds),
        row("feed events", report.feed_events),
        row("connections", report.connections),
        row("requests sent again", report.repeats),
        row("entries replaced", report.entries_replaced),
    ];
    let phases = [
        ("before", report.latency_before_us),
        ("during the replacement", report.latency_during_us),
        ("after", report.latency_after_us),
    ];
    for (phase, latency) in phases {
        rows.push(row(&format!("latency p50 {phase}, us"), latency.p50));
        rows.push(row(&format!("latency p99 {phase}, us"), latency.p99));
    }
    for (number, in_force_ms) in (1..).zip(&report.tickets_in_force_ms) {
        rows.push(row(
            &format!("ticket {number} in force after, ms"),
            *in_force_ms,
        ));
    }
    for (number, started) in (1..).zip(&report.started_by_upstream) {
        rows.push(row(&format!("run by upstream {number}"), *started));
    }
    for (code, count) in &report.failures_by_code {
        rows.push(row(&format!("failures {code}"), *count));
    }
    for (reason, count) in &report.connection_ends {
        rows.push(row(&format!("ended: {reason}"), *count));
    }
    let mut text = output::table(&rows);
    for line in &report.traces {
        text.push_str(&output::wrap(line));
    }
    text
}
