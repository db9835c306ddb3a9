//! `fescueshift local` runs a whole fleet while one of its entries is replaced.

use std::process::Command;

use rstest::rstest;
use serde_json::Value;

const VIOLATIONS: [&str; 6] = [
    "lost",
    "doubled",
    "broken_feeds",
    "misrouted",
    "unknown",
    "failed",
];

/// Runs 'local' with a few requests and feeds; returns its exit status and report.
fn local(seed: u64, more: &[&str]) -> (Option<i32>, Value) {
    let output = Command::new(env!("CARGO_BIN_EXE_fescueshift"))
        .args(["local", "--json", "--requests", "120", "--feeds", "8"])
        .args(["--seed", &seed.to_string()])
        .args(more)
        .output()
        .expect("program");
    let report = serde_json::from_slice(&output.stdout);
    let report = report.unwrap_or_else(|error| panic!("{error}: {output:?}"));
    println!("seed {seed}: {report}");
    (output.status.code(), report)
}

/// Guards against a flow, request or response that is harmed by the death or the planned stop of
/// an entry, on the whole path from clients to upstreams.
#[rstest]
#[case::death(1, &[])]
#[case::death(2, &[])]
#[case::planned_stop(3, &["--drain"])]
fn the_replacement_of_an_entry_harms_nothing(#[case] seed: u64, #[case] more: &[&str]) {
    let (status, report) = local(seed, more);

    assert_eq!(status, Some(0));
    assert_eq!(report["requests"], 120);
    assert_eq!(report["answered"], 120);
    assert_eq!(report["feeds"], 8);
    for violation in VIOLATIONS {
        assert_eq!(report[violation], 0, "{violation}");
    }
    // Without executions the counts of losses and doubles would show nothing.
    let started = report["started_by_upstream"].as_array().expect("counts");
    let started: u64 = started.iter().filter_map(Value::as_u64).sum();
    assert!(started >= 120, "{report}");
}

/// Guards against a hop without a span, or with a span of another trace.
#[test]
fn one_trace_shows_all_hops_of_a_request() {
    let (_, report) = local(4, &["--traces", "1"]);

    let lines = report["traces"].as_array().expect("traces");
    let lines: Vec<&str> = lines.iter().filter_map(Value::as_str).collect();
    let trace = lines[0].split(' ').next().expect("trace ID");
    assert!(
        lines.iter().all(|line| line.starts_with(trace)),
        "{lines:?}"
    );
    for hop in ["client", "entry", "agent", "upstream"] {
        let field = format!(" hop={hop} ");
        assert!(
            lines.iter().any(|line| line.contains(&field)),
            "{hop}: {lines:?}"
        );
    }
}
