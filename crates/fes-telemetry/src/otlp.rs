//! Export of spans by OTLP over HTTP.

use fes_protocol::Error;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use opentelemetry::InstrumentationScope;
use opentelemetry::KeyValue;
use opentelemetry::trace::SpanContext;
use opentelemetry::trace::SpanId;
use opentelemetry::trace::SpanKind;
use opentelemetry::trace::Status;
use opentelemetry::trace::TraceFlags;
use opentelemetry::trace::TraceId;
use opentelemetry::trace::TraceState;
use opentelemetry_otlp::WithExportConfig;
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::trace::BatchSpanProcessor;
use opentelemetry_sdk::trace::SpanData;
use opentelemetry_sdk::trace::SpanProcessor;

use crate::FinishedSpan;
use crate::Hop;

/// Service name and instrumentation scope of exported spans.
const SERVICE_NAME: &str = "fescueshift";

/// Exports spans in batches from a background thread. If the collector is slow, spans are dropped;
/// requests are never delayed.
#[derive(Debug)]
pub(crate) struct OtlpExporter {
    processor: BatchSpanProcessor,
}

impl OtlpExporter {
    pub(crate) fn start(endpoint: &str, node: &str) -> Result<Self> {
        let exporter = opentelemetry_otlp::SpanExporter::builder()
            .with_http()
            .with_endpoint(endpoint)
            .build()
            .map_err(|error| {
                let detail = format!("traces can't be exported to {endpoint}: {error}");
                Error::coded(ResultCode::SettingsBadAddress, detail)
            })?;
        let mut processor = BatchSpanProcessor::builder(exporter).build();
        let resource = Resource::builder()
            .with_service_name(SERVICE_NAME)
            .with_attribute(KeyValue::new("service.instance.id", node.to_owned()))
            .build();
        processor.set_resource(&resource);
        Ok(Self { processor })
    }

    pub(crate) fn export(&self, span: &FinishedSpan) {
        self.processor.on_end(span_data(span));
    }

    pub(crate) fn flush(&self) {
        if let Err(error) = self.processor.force_flush() {
            log::warn!(target: crate::log_target::TELEMETRY, "exporting spans failed: {error}");
        }
    }
}

fn span_data(span: &FinishedSpan) -> SpanData {
    let context = SpanContext::new(
        TraceId::from_bytes(span.context.trace_id.to_be_bytes()),
        SpanId::from_bytes(span.context.span_id.to_be_bytes()),
        TraceFlags::SAMPLED,
        true,
        TraceState::default(),
    );
    SpanData {
        span_context: context,
        parent_span_id: SpanId::from_bytes(span.parent_span_id.to_be_bytes()),
        parent_span_is_remote: span.parent_span_id != 0,
        span_kind: match span.hop {
            Hop::Client | Hop::Upstream => SpanKind::Client,
            Hop::Entry | Hop::Agent => SpanKind::Server,
        },
        name: span.name.clone().into(),
        start_time: span.start,
        end_time: span.end,
        attributes: vec![KeyValue::new("hop", span.hop.name())],
        dropped_attributes_count: 0,
        events: Default::default(),
        links: Default::default(),
        status: span
            .code
            .map_or(Status::Ok, |code| Status::error(code.to_string())),
        instrumentation_scope: InstrumentationScope::builder(SERVICE_NAME).build(),
    }
}
