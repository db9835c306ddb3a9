//! Starts spans and records finished ones.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::SystemTime;

use fes_protocol::ResultCode;

use crate::FinishedSpan;
use crate::Hop;
use crate::Span;
use crate::TraceContext;
use crate::otlp::OtlpExporter;

/// Starts spans and records finished ones. Clones share the recorded spans.
#[derive(Debug, Clone, Default)]
pub struct Tracer {
    recent_spans: Option<Arc<RecentSpans>>,
    exporter: Option<Arc<OtlpExporter>>,
}

#[derive(Debug)]
struct RecentSpans {
    limit: usize,
    spans: Mutex<VecDeque<FinishedSpan>>,
}

impl Tracer {
    /// Creates a tracer that records nothing; trace contexts are still propagated.
    #[must_use]
    pub fn disabled() -> Self {
        Self::default()
    }

    /// Keeps the latest `limit` finished spans in memory for [`Self::recent_spans`].
    #[must_use]
    pub fn with_recent_spans(mut self, limit: usize) -> Self {
        self.recent_spans = Some(Arc::new(RecentSpans {
            limit,
            spans: Mutex::default(),
        }));
        self
    }

    /// Exports spans by OTLP over HTTP to `endpoint`. `node` is the instance ID of the process.
    ///
    /// # Errors
    ///
    /// Returns the exporter's error if the endpoint isn't usable.
    pub fn with_otlp(mut self, endpoint: &str, node: &str) -> fes_protocol::Result<Self> {
        self.exporter = Some(Arc::new(OtlpExporter::start(endpoint, node)?));
        Ok(self)
    }

    /// Starts a span now. A span without a parent starts a new trace.
    #[must_use]
    pub fn start(&self, hop: Hop, name: impl Into<String>, parent: Option<&TraceContext>) -> Span {
        self.start_at(hop, name, parent, SystemTime::now())
    }

    /// Starts a span at the given time. See [`Self::start`].
    #[must_use]
    pub fn start_at(
        &self,
        hop: Hop,
        name: impl Into<String>,
        parent: Option<&TraceContext>,
        start: SystemTime,
    ) -> Span {
        Span {
            context: parent.map_or_else(TraceContext::root, TraceContext::child),
            parent_span_id: parent.map_or(0, |parent| parent.span_id),
            hop,
            name: name.into(),
            start,
        }
    }

    /// Ends a span now and records it, unless its trace isn't sampled.
    pub fn finish(&self, span: Span, code: Option<ResultCode>) {
        self.finish_at(span, code, SystemTime::now());
    }

    /// Ends a span at the given time and records it, unless its trace isn't sampled.
    pub fn finish_at(&self, span: Span, code: Option<ResultCode>, end: SystemTime) {
        if !span.context.is_sampled {
            return;
        }
        let finished = FinishedSpan {
            context: span.context,
            parent_span_id: span.parent_span_id,
            hop: span.hop,
            name: span.name,
            start: span.start,
            end,
            code,
        };
        if let Some(exporter) = &self.exporter {
            exporter.export(&finished);
        }
        if let Some(recent) = &self.recent_spans {
            recent.push(finished);
        }
    }

    /// Returns the recorded spans, oldest first.
    #[must_use]
    pub fn recent_spans(&self) -> Vec<FinishedSpan> {
        let Some(recent) = &self.recent_spans else {
            return Vec::new();
        };
        let spans = recent.spans.lock().unwrap_or_else(PoisonError::into_inner);
        spans.iter().cloned().collect()
    }

    /// Exports all pending spans. Blocks; call it when the process stops.
    pub fn flush(&self) {
        if let Some(exporter) = &self.exporter {
            exporter.flush();
        }
    }
}

impl RecentSpans {
    fn push(&self, span: FinishedSpan) {
        let mut spans = self.spans.lock().unwrap_or_else(PoisonError::into_inner);
        if spans.len() == self.limit {
            spans.pop_front();
        }
        spans.push_back(span);
    }
}
