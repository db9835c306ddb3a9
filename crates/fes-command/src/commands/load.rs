//! `fescueshift load`: sends load to a running fleet and reports what the clients observe.

use std::net::SocketAddr;
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
use fes_testkit::ClientOptions;
use fes_testkit::SERVER_NAME;
use rustls_pki_types::CertificateDer;
use rustls_pki_types::pem::PemObject;

use crate::commands::arguments::json_flag;
use crate::commands::arguments::number;
use crate::load_run::LoadPlan;
use crate::load_run::LoadReport;
use crate::load_run::run_load;
use crate::output;

pub(crate) const NAME: &str = "load";

const VIOLATIONS_EXIT_STATUS: u8 = 1;

pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Send load to a running fleet and report what the clients observe")
        .arg(
            Arg::new("address")
                .help("Address of the service, as IP:PORT")
                .value_parser(value_parser!(SocketAddr))
                .required(true),
        )
        .arg(
            Arg::new("authority")
                .long("authority")
                .help("PEM file with the certificate authority of the agents' certificates")
                .value_parser(value_parser!(PathBuf))
                .required(true),
        )
        .arg(
            Arg::new("server-name")
                .long("server-name")
                .help("Server name in the agents' certificates")
                .default_value(SERVER_NAME),
        )
        .args(quantity_arguments())
        .args(request_arguments())
        .args(flag_arguments())
        .after_help(
            "Exit status: 0 without violations, 1 if a request was lost or ran more than\n\
             once, a response was misrouted or a feed broke, 2 on errors.\n\n\
             Requests that ran more than once are detected only if the upstreams are test\n\
             doubles, and misrouted responses only if --verify is given as well.\n\n\
             Examples:\n  \
             fescueshift load 192.0.2.1:443 --authority ca.pem --rate 500\n  \
             fescueshift load 192.0.2.1:443 --authority ca.pem --feeds 200 --json",
        )
}

fn quantity_arguments() -> Vec<Arg> {
    vec![
        number("connections", "Client connections", "10", 1..=100_000),
        number(
            "rate",
            "Requests per second over all connections",
            "100",
            1..=1_000_000,
        ),
        number("duration-s", "Duration in seconds", "10", 1..=86_400),
        number(
            "non-repeatable",
            "Share of non-repeatable requests, in percent",
            "10",
            0..=100,
        ),
        number("feeds", "Feeds to keep open", "0", 0..=100_000),
        number("seed", "Seed of all random choices", "1", 0..=u64::MAX),
    ]
}

fn request_arguments() -> Vec<Arg> {
    vec![
        Arg::new("path")
            .long("path")
            .help("Path of requests")
            .default_value("/work"),
        Arg::new("feed-path")
            .long("feed-path")
            .help("Path of feeds; the number of the feed is appended")
            .default_value("/feed"),
        number(
            "body-bytes",
            "Body size of non-repeatable requests, in bytes",
            "64",
            0..=16_777_216,
        ),
        Arg::new("deadline-ms")
            .long("deadline-ms")
            .help("Deadline of each request, in milliseconds")
            .value_parser(value_parser!(u64)),
        number(
            "timeout-ms",
            "Time after which a request counts as lost, in milliseconds",
            "30000",
            1..=86_400_000,
        ),
    ]
}

fn flag_arguments() -> Vec<Arg> {
    vec![
        Arg::new("verify")
            .long("verify")
            .help("Verify response bodies; requires test doubles as upstreams")
            .action(ArgAction::SetTrue),
        json_flag(),
    ]
}

pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let plan = load_plan(matches);
    let options = client_options(matches)?;
    let progress = output::progress(0, "requests");
    let report = actix_rt::System::new().block_on(run_load(&plan, &options, &progress))?;
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

fn load_plan(matches: &ArgMatches) -> LoadPlan {
    let number = |name| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let size = |name| usize::try_from(number(name)).unwrap_or(usize::MAX);
    let text = |name| matches.get_one::<String>(name).cloned().unwrap_or_default();
    LoadPlan {
        connections: size("connections"),
        requests_per_s: number("rate"),
        duration_s: number("duration-s"),
        non_repeatable_percent: u32::try_from(number("non-repeatable")).unwrap_or(100),
        feeds: size("feeds"),
        path: text("path"),
        feed_path: text("feed-path"),
        body_bytes: size("body-bytes"),
        deadline_ms: matches.get_one::<u64>("deadline-ms").copied(),
        seed: number("seed"),
    }
}

fn client_options(matches: &ArgMatches) -> Result<ClientOptions> {
    let missing = || Error::coded(ResultCode::UsageInvalid, "a required argument is missing");
    let address = matches
        .get_one::<SocketAddr>("address")
        .ok_or_else(missing)?;
    let path = matches
        .get_one::<PathBuf>("authority")
        .ok_or_else(missing)?;
    let unusable = |reason: &dyn std::fmt::Display| {
        let detail = format!("{} can't be used: {reason}", path.display());
        Error::coded(ResultCode::SettingsBadCertificate, detail)
    };
    let pem = std::fs::read(path).map_err(|error| unusable(&error))?;
    let authorities: Vec<CertificateDer<'static>> = CertificateDer::pem_slice_iter(&pem)
        .collect::<std::result::Result<_, _>>()
        .map_err(|error| unusable(&error))?;
    let name = format!("load-{}", std::process::id());
    let mut options = ClientOptions::new(*address, authorities, name);
    options.verifies_bodies = matches.get_flag("verify");
    if let Some(name) = matches.get_one::<String>("server-name") {
        options.server_name.clone_from(name);
    }
    if let Some(timeout_ms) = matches.get_one::<u64>("timeout-ms") {
        options.timeout_ms = *timeout_ms;
    }
    Ok(options)
}

fn format_report(report: &LoadReport) -> String {
    let counts = &report.counts;
    let row = |name: &str, value: u64| vec![name.to_owned(), value.to_string()];
    let mut rows = vec![
        row("seed", report.seed),
        row("duration, ms", report.duration_ms),
        row("connections opened", counts.connections),
        row("requests", counts.requests),
        row("answered", counts.answered),
        row("refused, not run", counts.refused),
        row("outcome unknown", counts.unknown),
        row("failed", counts.failed),
        row("lost", counts.lost),
        row("misrouted", counts.misrouted),
        row("doubled", counts.doubled),
        row("latency p50, us", report.latency_us.p50),
        row("latency p90, us", report.latency_us.p90),
        row("latency p99, us", report.latency_us.p99),
        row("latency max, us", report.latency_us.max),
        row("feeds", report.feeds as u64),
        row("broken feeds", report.broken_feeds as u64),
        row("feed events", report.feed_counts.events),
    ];
    for (code, count) in &report.failures_by_code {
        rows.push(row(&format!("failures {code}"), *count));
    }
    output::table(&rows)
}
