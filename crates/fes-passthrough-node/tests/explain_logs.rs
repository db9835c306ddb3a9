//! Explanation of a request from its log lines.

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

/// Guards against a conclusion that contradicts the log lines.
#[rstest]
#[case("given_up_waiting", "The request has not run")]
#[case("timed_out_waiting", "It has not run")]
#[case("dropped_stale", "It has not run")]
#[case("search_lost", "target of the flow ended")]
#[case("answered", "answered")]
#[case("failed", "failed it")]
#[case("accepted", "don't show that the request was sent")]
fn the_outcomes_determine_the_conclusion(#[case] outcome: &str, #[case] expected: &str) {
    let texts = [line(2, outcome, "-"), line(1, "held_back", "r1")];

    let explanation = explain(&lines(&texts), "r1");

    assert!(
        explanation.conclusion.contains(expected),
        "{}",
        explanation.conclusion
    );
    assert!(
        explanation.lines[0].text.contains("held_back"),
        "lines are sorted by time"
    );
}

/// Guards against a conclusion that takes the zeros of older agents for a waiting time.
#[rstest]
#[case(
    "age_ms=980 load=6",
    "queued for 980 ms; 6 requests were queued at the end, including it."
)]
#[case("age_ms=0 load=0", "The request has not run.")]
fn the_conclusion_has_the_waiting_time_if_known(#[case] figures: &str, #[case] expected: &str) {
    let texts = [format!(
        "outcome=given_up_waiting {FLOW} {figures} request=r1"
    )];

    let explanation = explain(&lines(&texts), "r1");

    assert!(explanation.conclusion.ends_with(expected));
}

/// Guards against attributing the answer of a later request on the same flow to this request.
#[test]
fn later_requests_of_the_flow_are_ignored() {
    let texts = [
        line(1, "started", "r1"),
        line(2, "started", "r2"),
        line(3, "answered", "-"),
    ];

    let explanation = explain(&lines(&texts), "r1");

    assert!(
        explanation.conclusion.contains("no answer was logged"),
        "{}",
        explanation.conclusion
    );
}

/// Guards against an empty explanation when no line contains the request ID.
#[test]
fn missing_lines_are_reported() {
    let explanation = explain(&[], "r1");

    assert!(render(&explanation).contains("No log line contains this request ID"));
}
