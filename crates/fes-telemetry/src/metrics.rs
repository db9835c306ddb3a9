//! All metrics. A test compares them with the table in `docs/metrics.md`.

use std::sync::atomic::AtomicU64;

use fes_protocol::ResultCode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

use crate::ReasonLabel;

/// A count that only grows.
pub type Counter = prometheus_client::metrics::counter::Counter<u64, AtomicU64>;
/// A count for each result code.
pub type CodeCounter = Family<CodeLabel, Counter>;
/// A count for each outcome of a decision.
pub type OutcomeCounter = Family<OutcomeLabel, Counter>;
/// A count for each reason of a call to the platform.
pub type ReasonCounter = Family<ReasonLabel, Counter>;
/// A value that can rise and fall.
pub type Gauge = prometheus_client::metrics::gauge::Gauge;
/// A distribution of durations in seconds.
pub type Histogram = prometheus_client::metrics::histogram::Histogram;
/// A distribution of durations in seconds for each outcome and priority of queued requests.
pub type QueueHistogram = Family<QueueLabel, Histogram>;

const PREFIX: &str = "fescueshift";
const FIRST_BUCKET_BOUND_S: f64 = 0.000_25;
const BUCKET_FACTOR: f64 = 2.0;
const BUCKET_COUNT: u16 = 20;

/// Label whose value is a result code, such as `F2001`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CodeLabel {
    code: String,
}

impl From<ResultCode> for CodeLabel {
    fn from(code: ResultCode) -> Self {
        Self {
            code: format!("F{:04}", code.number()),
        }
    }
}

/// Label whose value is the outcome of a decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabel {
    /// Name of the outcome.
    pub outcome: &'static str,
}

/// Label of requests that left a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct QueueLabel {
    /// Name of the outcome.
    pub outcome: &'static str,
    /// Priority; 0 is the highest.
    pub priority: u32,
}

/// Kind of a metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MetricKind {
    /// A count that only grows.
    Counter,
    /// A count for each result code, under the label `code`.
    CounterByCode,
    /// A count for each outcome, under the label `outcome`.
    CounterByOutcome,
    /// A count for each reason, under the label `reason`.
    CounterByReason,
    /// A value that can rise and fall.
    Gauge,
    /// A distribution of durations in seconds.
    Histogram,
    /// A distribution of durations in seconds for each outcome and priority, under the labels
    /// `outcome` and `priority`.
    HistogramByOutcomeAndPriority,
}

/// Name, kind and help text of a metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MetricSpec {
    /// Name in the exposed text, with prefix and suffix.
    pub name: &'static str,
    /// Kind.
    pub kind: MetricKind,
    /// Help text.
    pub help: &'static str,
}

trait MetricType {
    const KIND: MetricKind;
    fn create() -> Self;
}

impl MetricType for Counter {
    const KIND: MetricKind = MetricKind::Counter;
    fn create() -> Self {
        Self::default()
    }
}

impl MetricType for CodeCounter {
    const KIND: MetricKind = MetricKind::CounterByCode;
    fn create() -> Self {
        Self::default()
    }
}

impl MetricType for OutcomeCounter {
    const KIND: MetricKind = MetricKind::CounterByOutcome;
    fn create() -> Self {
        Self::default()
    }
}

impl MetricType for ReasonCounter {
    const KIND: MetricKind = MetricKind::CounterByReason;
    fn create() -> Self {
        Self::default()
    }
}

impl MetricType for Gauge {
    const KIND: MetricKind = MetricKind::Gauge;
    fn create() -> Self {
        Self::default()
    }
}

impl MetricType for Histogram {
    const KIND: MetricKind = MetricKind::Histogram;
    fn create() -> Self {
        let length = BUCKET_COUNT;
        Self::new(prometheus_client::metrics::histogram::exponential_buckets(
            FIRST_BUCKET_BOUND_S,
            BUCKET_FACTOR,
            length,
        ))
    }
}

impl MetricType for QueueHistogram {
    const KIND: MetricKind = MetricKind::HistogramByOutcomeAndPriority;
    fn create() -> Self {
        Self::new_with_constructor(<Histogram as MetricType>::create)
    }
}

macro_rules! metrics {
    ($($field:ident: $kind:ty, $name:literal, $help:literal;)*) => {
        /// The metrics of a process. Entries and agents share one set; a metric that doesn't
        /// apply to a process stays at 0.
        pub struct Metrics {
            registry: Registry,
            $(#[doc = $help] pub $field: $kind,)*
        }

        impl Default for Metrics {
            fn default() -> Self {
                let mut registry = Registry::with_prefix(PREFIX);
                $(
                    let $field = <$kind as MetricType>::create();
                    registry.register(registered_name($name), $help, $field.clone());
                )*
                Self { registry, $($field,)* }
            }
        }

        impl Metrics {
            /// All metrics, in the order of the table in `docs/metrics.md`.
            pub const CATALOGUE: &'static [MetricSpec] = &[
                $(MetricSpec {
                    name: concat!("fescueshift_", $name),
                    kind: <$kind as MetricType>::KIND,
                    help: $help,
                },)*
            ];
        }
    };
}

metrics! {
    datagrams_received: Counter, "datagrams_received_total",
        "Datagrams received from clients, entries and agents.";
    datagrams_forwarded: Counter, "datagrams_forwarded_total",
        "Client datagrams sent on to an agent.";
    datagrams_returned: Counter, "datagrams_returned_total",
        "Datagrams sent back towards clients.";
    datagrams_dropped: CodeCounter, "datagrams_dropped_total",
        "Datagrams dropped, by reason.";
    first_packets_handed_off: Counter, "first_packets_handed_off_total",
        "First packets that an agent passed to a peer.";
    flows_open: Gauge, "flows_open",
        "Open client connections.";
    flows_opened: Counter, "flows_opened_total",
        "Client connections accepted.";
    flows_refused: Counter, "flows_refused_total",
        "Client connections refused at the flow limit.";
    flow_decisions: OutcomeCounter, "flow_decisions_total",
        "Decisions on pass-through flows, by outcome.";
    flow_accept_duration: Histogram, "flow_accept_duration_seconds",
        "Time from placing a pass-through flow to its target's acceptance.";
    flow_queue_wait: QueueHistogram, "flow_queue_wait_seconds",
        "Time that requests on pass-through flows were queued at an agent.";
    log_lines_suppressed: Counter, "log_lines_suppressed_total",
        "Decisions that were counted but not logged, since their kind had used its budget.";
    requests_received: Counter, "requests_received_total",
        "Requests received from clients.";
    requests_started: Counter, "requests_started_total",
        "Requests sent to the upstream.";
    requests_finished: Counter, "requests_finished_total",
        "Requests whose complete response was returned.";
    requests_failed: CodeCounter, "requests_failed_total",
        "Requests refused or ended with an error, by result code.";
    requests_offloaded: Counter, "requests_offloaded_total",
        "Repeatable requests passed to a peer for balance.";
    requests_relayed: Counter, "requests_relayed_total",
        "Non-repeatable requests relayed to the owner of their key.";
    requests_cancelled: Counter, "requests_cancelled_total",
        "Requests that the client cancelled.";
    upstream_refusals: Counter, "upstream_refusals_total",
        "Requests that the upstream refused without running them.";
    responses_discarded: Counter, "responses_discarded_total",
        "Late or duplicate responses that were discarded.";
    slots_used: Gauge, "slots_used",
        "Slots with a request in progress.";
    queue_requests: Gauge, "queue_requests",
        "Requests that wait for a slot.";
    queue_wait: Histogram, "queue_wait_seconds",
        "Time that started requests waited for a slot.";
    request_duration: Histogram, "request_duration_seconds",
        "Time from the arrival of a request to the end of its response.";
    idempotency_keys: Gauge, "idempotency_keys",
        "Idempotency keys held.";
    ticket_highest: Gauge, "ticket_highest_number",
        "Highest ticket number held.";
    platform_reads: ReasonCounter, "platform_reads_total",
        "Reads and watches sent to the platform, by reason.";
    platform_failures: CodeCounter, "platform_failures_total",
        "Failed reads and watches, by reason.";
    platform_age_ms: Gauge, "platform_age_milliseconds",
        "Age of the freshest platform contact known.";
    platform_era: Gauge, "platform_era",
        "Era of the platform's history that is followed; 0 if the platform tells none.";
    evacuations_in_force: Gauge, "evacuations_in_force",
        "Data centres that an operator has asked to evacuate.";
    longest_trip_us: Gauge, "longest_trip_microseconds",
        "Round trip to the agents of the farthest data centre; 0 if none is measured.";
    control_bytes_sent: Counter, "control_bytes_sent_total",
        "Bytes of control messages sent.";
    control_bytes_received: Counter, "control_bytes_received_total",
        "Bytes of control messages received.";
    peers_alive: Gauge, "peers_alive",
        "Peers heard within the suspicion timeout.";
    clock_jumps: Counter, "clock_jumps_total",
        "Pauses and clock jumps found.";
}

impl std::fmt::Debug for Metrics {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Metrics {
    /// Returns all metrics in the OpenMetrics text format.
    #[must_use]
    pub fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string can't fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

/// Raises `counter` to `total`, a count that is kept elsewhere. It never lowers the counter.
pub fn set_counter(counter: &Counter, total: u64) {
    counter.inc_by(total.saturating_sub(counter.get()));
}

/// Returns the name without the suffix `_total`, which the encoder adds to counters.
fn registered_name(name: &str) -> &str {
    name.strip_suffix("_total").unwrap_or(name)
}
