//! Logs, metrics, health endpoints and traces.

mod health;
mod log_setup;
mod metrics;
mod otlp;
pub mod part;
mod span;
mod status_server;
mod trace_context;
mod tracer;

pub use health::Health;
pub use log_setup::format_line;
pub use log_setup::init_log;
pub use metrics::CodeCounter;
pub use metrics::CodeLabel;
pub use metrics::Counter;
pub use metrics::Gauge;
pub use metrics::Histogram;
pub use metrics::MetricKind;
pub use metrics::MetricSpec;
pub use metrics::Metrics;
pub use metrics::set_counter;
pub use span::FinishedSpan;
pub use span::Hop;
pub use span::Span;
pub use status_server::StatusServer;
pub use trace_context::TRACEPARENT_HEADER;
pub use trace_context::TraceContext;
pub use tracer::Tracer;
