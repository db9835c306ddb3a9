//! The metric catalogue, the exposed text and the table in `docs/metrics.md` agree.

use fes_protocol::ResultCode;
use fes_telemetry::MetricKind;
use fes_telemetry::MetricSpec;
use fes_telemetry::Metrics;
use fes_telemetry::OutcomeLabel;
use fes_telemetry::PlatformReadReason;
use fes_telemetry::QueueLabel;

fn table_row(spec: &MetricSpec) -> String {
    let kind = match spec.kind {
        MetricKind::Counter => "counter",
        MetricKind::CounterByCode => "counter by `code`",
        MetricKind::CounterByOutcome => "counter by `outcome`",
        MetricKind::CounterByReason => "counter by `reason`",
        MetricKind::Gauge => "gauge",
        MetricKind::Histogram => "histogram",
        MetricKind::HistogramByOutcomeAndPriority => "histogram by `outcome` and `priority`",
    };
    format!("| `{}` | {kind} | {} |", spec.name, spec.help)
}

/// Fails if a metric is missing in the published table or differs from it.
#[test]
fn the_table_lists_exactly_the_metrics_of_the_program() {
    let page = include_str!("../../../docs/metrics.md");
    let rows: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with("| `"))
        .collect();

    let expected: Vec<String> = Metrics::CATALOGUE.iter().map(table_row).collect();

    assert_eq!(rows, expected);
}

/// Fails if a name in the catalogue differs from the exposed one, as when a suffix is added twice.
#[test]
fn every_catalogued_metric_is_exposed_under_its_name() {
    let metrics = Metrics::default();
    let code = ResultCode::DatagramForged;
    for counter in [
        &metrics.datagrams_dropped,
        &metrics.requests_failed,
        &metrics.platform_failures,
    ] {
        counter.get_or_create(&code.into()).inc();
    }

    let outcome = OutcomeLabel { outcome: "placed" };
    metrics.flow_decisions.get_or_create(&outcome).inc();
    let queue = QueueLabel {
        outcome: "placed",
        priority: 3,
    };
    metrics.flow_queue_wait.get_or_create(&queue).observe(0.0);

    let reason = PlatformReadReason::Watch.into();
    metrics.platform_reads.get_or_create(&reason).inc();

    let text = metrics.encode();

    for spec in Metrics::CATALOGUE {
        let sample = match spec.kind {
            MetricKind::Histogram => format!("\n{}_count 0\n", spec.name),
            MetricKind::HistogramByOutcomeAndPriority => {
                let labels = "outcome=\"placed\",priority=\"3\"";
                format!("\n{}_count{{{labels}}} 1\n", spec.name)
            }
            MetricKind::CounterByOutcome => format!("\n{}{{outcome=\"placed\"}} 1\n", spec.name),
            MetricKind::CounterByReason => format!("\n{}{{reason=\"watch\"}} 1\n", spec.name),
            MetricKind::CounterByCode => format!("\n{}{{code=\"F5006\"}} 1\n", spec.name),
            MetricKind::Counter | MetricKind::Gauge => format!("\n{} 0\n", spec.name),
        };
        assert!(
            text.contains(&sample),
            "{} is missing in:\n{text}",
            spec.name
        );
    }
}
