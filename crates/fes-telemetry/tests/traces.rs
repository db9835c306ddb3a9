//! Trace contexts, spans and log lines.

use std::time::Duration;
use std::time::SystemTime;

use fes_protocol::ResultCode;
use fes_telemetry::Hop;
use fes_telemetry::TraceContext;
use fes_telemetry::Tracer;
use fes_telemetry::format_line;
use rstest::rstest;

const VALID: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

/// Fails if a malformed header is accepted as a parent.
#[rstest]
#[case::empty("")]
#[case::zero_trace("00-00000000000000000000000000000000-b7ad6b7169203331-01")]
#[case::zero_span("00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01")]
#[case::upper_case("00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01")]
#[case::short_trace("00-0af7651916cd43dd8448eb211c8031-b7ad6b7169203331-01")]
#[case::forbidden_version("ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")]
#[case::extra_field("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-x")]
#[case::sign("00-+af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")]
fn malformed_headers_are_ignored(#[case] header: &str) {
    assert_eq!(TraceContext::parse(header), None);
}

/// Fails if parsing and formatting change a header.
#[test]
fn parsing_and_formatting_preserve_a_header() {
    let context = TraceContext::parse(VALID).expect("valid");

    assert_eq!(context.to_string(), VALID);
}

/// Fails if the spans of a request differ in trace ID or don't name their parent.
#[test]
fn hops_share_the_trace_and_name_their_parent() {
    let tracer = Tracer::disabled().with_recent_spans(8);
    let start = SystemTime::UNIX_EPOCH + Duration::from_secs(1);
    let client = tracer.start_at(Hop::Client, "GET /a", None, start);
    let agent = tracer.start_at(Hop::Agent, "GET /a", Some(&client.context), start);
    let (client_id, trace_id) = (client.context.span_id, client.context.trace_id);

    let end = start + Duration::from_micros(250);
    tracer.finish_at(agent, Some(ResultCode::NotRunDraining), end);
    tracer.finish_at(client, None, end);

    let spans = tracer.recent_spans();
    assert_eq!(spans[0].parent_span_id, client_id);
    assert!(spans.iter().all(|span| span.context.trace_id == trace_id));
    let line = spans[0].to_string();
    assert!(line.ends_with("hop=agent name=\"GET /a\" duration_us=250 code=F2004"));
}

/// Fails if spans of a trace that isn't sampled are recorded.
#[test]
fn unsampled_traces_are_propagated_but_not_recorded() {
    let tracer = Tracer::disabled().with_recent_spans(8);
    let header = VALID.replace("-01", "-00");
    let parent = TraceContext::parse(&header).expect("valid");

    let span = tracer.start(Hop::Agent, "GET /a", Some(&parent));
    let context = span.context;
    tracer.finish(span, None);

    assert_eq!(context.trace_id, parent.trace_id);
    assert!(tracer.recent_spans().is_empty());
}

/// Fails if the number of recorded spans grows without bound.
#[test]
fn the_oldest_span_is_evicted() {
    let tracer = Tracer::disabled().with_recent_spans(2);

    for name in ["a", "b", "c"] {
        tracer.finish(tracer.start(Hop::Client, name, None), None);
    }

    let names: Vec<String> = tracer
        .recent_spans()
        .into_iter()
        .map(|span| span.name)
        .collect();
    assert_eq!(names, ["b", "c"]);
}

/// Fails if a line break in the input can forge a log record.
#[test]
fn a_record_stays_on_one_line() {
    let line = format_line("T", log::Level::Info, "agent", "Name: x\nT ERROR [agent] y");

    assert_eq!(line, "T INFO  [agent] Name: x\\nT ERROR [agent] y");
}
