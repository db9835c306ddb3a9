//! Runs `fescueshift local`, which replaces an entry of a complete fleet.

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

/// Runs `local` with a few requests and feeds, and returns its exit status and report.
fn run_local(seed: u64, more: &[&str]) -> (Option<i32>, Value) {
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

/// Guards against flows, requests and responses that fail because an entry is killed or stopped, on
/// the whole path from clients to upstreams.
#[rstest]
#[case::killed(1, &[])]
#[case::killed(2, &[])]
#[case::stopped(3, &["--drain"])]
fn replacing_an_entry_causes_no_violation(#[case] seed: u64, #[case] more: &[&str]) {
    let (status, report) = run_local(seed, more);

    assert_eq!(status, Some(0));
    assert_eq!(report["requests"], 120);
    assert_eq!(report["answered"], 120);
    assert_eq!(report["feeds"], 8);
    for violation in VIOLATIONS {
        assert_eq!(report[violation], 0, "{violation}");
    }
    // Without executions, the counts of lost and duplicated requests would always be 0.
    let started = report["started_by_upstream"].as_array().expect("counts");
    let started: u64 = started.iter().filter_map(Value::as_u64).sum();
    assert!(started >= 120, "{report}");
}

/// Guards against hops that record no span, or record it under another trace ID.
#[test]
fn trace_includes_all_hops_of_a_request() {
    let (_, report) = run_local(4, &["--traces", "1"]);

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
