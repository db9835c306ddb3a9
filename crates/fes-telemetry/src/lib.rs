//! Logs, metrics, health endpoints and traces.

mod health;
mod log_setup;
pub mod log_target;
mod metrics;
#[cfg(feature = "otlp")]
mod otlp;
mod platform_read_reason;
mod queued_writer;
#[cfg(feature = "otlp")]
mod span;
mod status_server;
mod trace_context;
#[cfg(feature = "otlp")]
mod tracer;

pub use health::Health;
pub use log_setup::format_line;
pub use log_setup::init_log;
pub use log_setup::init_queued_log;
pub use metrics::CodeCounter;
pub use metrics::CodeLabel;
pub use metrics::Counter;
pub use metrics::Gauge;
pub use metrics::Histogram;
pub use metrics::MetricKind;
pub use metrics::MetricSpec;
pub use metrics::Metrics;
pub use metrics::OutcomeCounter;
pub use metrics::OutcomeLabel;
pub use metrics::QueueHistogram;
pub use metrics::QueueLabel;
pub use metrics::ReasonCounter;
pub use metrics::set_counter;
pub use platform_read_reason::PlatformReadReason;
pub use platform_read_reason::ReasonLabel;
pub use queued_writer::LogFlusher;
pub use queued_writer::QueuedWriter;
#[cfg(feature = "otlp")]
pub use span::FinishedSpan;
#[cfg(feature = "otlp")]
pub use span::Hop;
#[cfg(feature = "otlp")]
pub use span::Span;
pub use status_server::StatusServer;
pub use trace_context::TRACEPARENT_HEADER;
pub use trace_context::TraceContext;
#[cfg(feature = "otlp")]
pub use tracer::Tracer;
