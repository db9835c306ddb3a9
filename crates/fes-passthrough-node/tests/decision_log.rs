//! Rate limit of the decision log, and its metrics.

use std::sync::Arc;

use fes_passthrough::Evacuation;
use fes_passthrough::FlowDecision;
use fes_passthrough::Outcome;
use fes_passthrough::Priority;
use fes_passthrough_node::DecisionLog;
use fes_protocol::DataCentreName;
use fes_protocol::MonoTime;
use fes_telemetry::Metrics;

fn record(count: usize, decision: &FlowDecision) -> String {
    let metrics = Arc::new(Metrics::default());
    let log = DecisionLog::new(Arc::clone(&metrics));
    for _ in 0..count {
        log.record(MonoTime::from_ms(10), decision, &[]);
    }
    metrics.encode()
}

/// Guards against a flood of log lines, and against counters that miss suppressed lines.
#[test]
fn lines_beyond_the_budget_are_counted() {
    let text = record(100, &FlowDecision::new(Outcome::Placed));

    assert!(
        text.contains("flow_decisions_total{outcome=\"placed\"} 100"),
        "{text}"
    );
    assert!(text.contains("log_lines_suppressed_total 40"), "{text}");
}

/// Guards against durations that don't reach their histogram.
#[test]
fn durations_reach_the_histograms() {
    let answered = record(3, &FlowDecision::new(Outcome::Answered).age_ms(20));
    let accepted = record(
        2,
        &FlowDecision::new(Outcome::Accepted).vm([10, 0, 0, 1].into()),
    );

    assert!(
        answered.contains("request_duration_seconds_count 3"),
        "{answered}"
    );
    assert!(
        accepted.contains("flow_accept_duration_seconds_count 2"),
        "{accepted}"
    );
}

/// Guards against waits that don't reach their histogram, and against requests that weren't queued
/// and are counted.
#[test]
fn waits_reach_the_histogram_by_outcome_and_priority() {
    let metrics = Arc::new(Metrics::default());
    let log = DecisionLog::new(Arc::clone(&metrics));
    let started = FlowDecision::new(Outcome::Started);

    log.record_queued(MonoTime::ZERO, &started.age_ms(500), Priority(2), &[]);
    log.record(MonoTime::ZERO, &started, &[]);

    let text = metrics.encode();
    let sample = "flow_queue_wait_seconds_sum{outcome=\"started\",priority=\"2\"} 0.5\n";
    assert!(text.contains(sample), "{text}");
    let sample = "flow_queue_wait_seconds_count{outcome=\"started\",priority=\"2\"} 1\n";
    assert!(text.contains(sample), "{text}");
}

/// Guards against evacuations that aren't counted, and against a store that floods the log with
/// them.
#[test]
fn evacuations_are_counted_within_the_budget() {
    let metrics = Arc::new(Metrics::default());
    let log = DecisionLog::new(Arc::clone(&metrics));

    for index in 0..100 {
        let evacuation = Evacuation {
            data_centre: DataCentreName::from("a"),
            revision: index,
            is_in_force: index % 4 != 0,
        };
        log.record_evacuation(MonoTime::from_ms(10), &evacuation);
    }

    let text = metrics.encode();
    assert!(
        text.contains("outcome=\"evacuation_started\"} 75"),
        "{text}"
    );
    assert!(text.contains("outcome=\"evacuation_ended\"} 25"), "{text}");
    assert!(text.contains("log_lines_suppressed_total 15"), "{text}");
}
