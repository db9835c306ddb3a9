//! The walk from a request's id to its cause.

use fes_passthrough_node::LogLine;
use fes_passthrough_node::explain;
use fes_passthrough_node::render;
use rstest::rstest;

const FLOW: &str = "flow=1.1.1.1:7>2.2.2.2:80";

fn line(second: u32, outcome: &str, request: &str) -> String {
    format!(
        "2026-01-01T00:00:{second:02}.000Z INFO  [flows] outcome={outcome} {FLOW} age_ms=0 \
         version=0 load=0 request={request}"
    )
}

fn lines(texts: &[String]) -> Vec<LogLine<'_>> {
    let line = |text| LogLine { file: "a", text };
    texts.iter().map(|text| line(text.as_str())).collect()
}

/// Guards against a verdict that doesn't follow from the lines.
#[rstest]
#[case("given_up_waiting", "It has not run")]
#[case("timed_out_waiting", "It has not run")]
#[case("search_lost", "target ended")]
#[case("answered", "answered")]
#[case("accepted", "not handed")]
fn the_last_outcome_gives_the_verdict(#[case] outcome: &str, #[case] expected: &str) {
    let texts = [line(2, outcome, "-"), line(1, "held_back", "r1")];

    let explanation = explain(&lines(&texts), "r1");

    assert!(
        explanation.conclusion.contains(expected),
        "{}",
        explanation.conclusion
    );
    assert!(
        explanation.lines[0].text.contains("held_back"),
        "sorted by time"
    );
}

/// Guards against the answer of a later request on the same flow that is taken for this one's.
#[test]
fn a_later_request_of_the_flow_says_nothing() {
    let texts = [
        line(1, "started", "r1"),
        line(2, "started", "r2"),
        line(3, "answered", "-"),
    ];

    let explanation = explain(&lines(&texts), "r1");

    assert!(
        explanation.conclusion.contains("no answer was seen"),
        "{}",
        explanation.conclusion
    );
}

/// Guards against an empty answer where lines are missing.
#[test]
fn missing_lines_are_said_to_be_missing() {
    let explanation = explain(&[], "r1");

    assert!(render(&explanation).contains("No line names this request"));
}
