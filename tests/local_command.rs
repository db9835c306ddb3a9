//! `fescueshift local` runs a whole fleet while one of its entries is replaced.

use std::process::Command;

use rstest::rstest;
use serde_json::Value;

/// Guards against a flow, request or response that is harmed by the death of an entry, on the
/// whole path from clients to upstreams.
#[rstest]
#[case(1)]
#[case(2)]
fn the_death_of_an_entry_harms_nothing(#[case] seed: u64) {
    let seed_text = seed.to_string();
    let arguments = [
        "local",
        "--json",
        "--requests",
        "120",
        "--feeds",
        "8",
        "--seed",
    ];

    let output = Command::new(env!("CARGO_BIN_EXE_fescueshift"))
        .args(arguments)
        .arg(&seed_text)
        .output()
        .expect("program");

    let report: Value = serde_json::from_slice(&output.stdout).expect("one JSON object");
    println!("seed {seed}: {report}");
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert_eq!(report["requests"], 120);
    assert_eq!(report["answered"], 120);
    assert_eq!(report["feeds"], 8);
    for violation in [
        "lost",
        "doubled",
        "broken_feeds",
        "misrouted",
        "unknown",
        "failed",
    ] {
        assert_eq!(report[violation], 0, "{violation}");
    }
    // Non-repeatable requests must have run, or nothing about doubles is shown.
    let started: u64 = report["started_by_upstream"]
        .as_array()
        .expect("a count for each upstream")
        .iter()
        .filter_map(Value::as_u64)
        .sum();
    assert!(started >= 120, "{report}");
}
