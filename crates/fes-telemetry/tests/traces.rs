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

/// Guards against a malformed header that is taken for a parent.
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

/// Guards against a header that changes on its way through.
#[test]
fn a_header_survives_parsing_and_formatting() {
    let context = TraceContext::parse(VALID).expect("valid");

    assert_eq!(context.to_string(), VALID);
}

/// Guards against hops of one request that can't be joined.
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

/// Guards against records of traces that the client asked not to record.
#[test]
fn unsampled_traces_are_passed_on_but_not_recorded() {
    let tracer = Tracer::disabled().with_recent_spans(8);
    let header = VALID.replace("-01", "-00");
    let parent = TraceContext::parse(&header).expect("valid");

    let span = tracer.start(Hop::Agent, "GET /a", Some(&parent));
    let passed_on = span.context;
    tracer.finish(span, None);

    assert_eq!(passed_on.trace_id, parent.trace_id);
    assert!(tracer.recent_spans().is_empty());
}

/// Guards against unbounded growth of the recent spans.
#[test]
fn the_oldest_span_makes_room() {
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

/// Guards against input that forges a log record by a line break.
#[test]
fn a_record_stays_on_one_line() {
    let line = format_line("T", log::Level::Info, "agent", "Name: x\nT ERROR [agent] y");

    assert_eq!(line, "T INFO  [agent] Name: x\\nT ERROR [agent] y");
}
