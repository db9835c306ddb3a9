//! Trace spans for the hops of a request.

use std::cell::Cell;
use std::time::Duration;
use std::time::SystemTime;

use fes_protocol::ResultCode;
use fes_telemetry::Hop;
use fes_telemetry::Span;
use fes_telemetry::TRACEPARENT_HEADER;
use fes_telemetry::TraceContext;
use fes_telemetry::Tracer;
use http::HeaderValue;
use http::request::Parts;

use crate::quic::EntryHop;

/// Longest plausible time between entry and agent, in milliseconds. Beyond it, the entry's clock is
/// considered wrong and no span is recorded for the entry.
const MAX_ENTRY_HOP_MS: u32 = 60_000;

/// A span that is recorded when it is dropped.
#[derive(Debug)]
pub(crate) struct HopSpan {
    tracer: Tracer,
    span: Span,
    code: Cell<Option<ResultCode>>,
}

impl HopSpan {
    /// Starts the agent's span of a request, as a child of the entry's span if the entry is known.
    pub(crate) fn start_agent(tracer: &Tracer, parts: &Parts, entry: Option<EntryHop>) -> Self {
        let header = parts.headers.get(TRACEPARENT_HEADER);
        let parent = header
            .and_then(|value| value.to_str().ok())
            .and_then(TraceContext::parse);
        let parent = match entry.and_then(entry_send_time) {
            Some((entry, sent_at)) => {
                let name = format!("forward by entry-{}", entry.entry);
                let span = tracer.start_at(Hop::Entry, name, parent.as_ref(), sent_at);
                let context = span.context;
                tracer.finish(span, None);
                Some(context)
            }
            None => parent,
        };
        Self::start(tracer, Hop::Agent, parts, parent.as_ref())
    }

    /// Starts the span of an upstream attempt and injects its context into `parts`.
    pub(crate) fn start_upstream(&self, parts: &mut Parts) -> Self {
        let parent = &self.span.context;
        let span = Self::start(&self.tracer, Hop::Upstream, parts, Some(parent));
        span.inject_context(parts);
        span
    }

    /// Injects the trace context into the headers of a request to the next process.
    pub(crate) fn inject_context(&self, parts: &mut Parts) {
        if let Ok(value) = HeaderValue::from_str(&self.span.context.to_string()) {
            parts.headers.insert(TRACEPARENT_HEADER, value);
        }
    }

    /// Records the result code with which the hop failed.
    pub(crate) fn set_error(&self, code: ResultCode) {
        self.code.set(Some(code));
    }

    fn start(tracer: &Tracer, hop: Hop, parts: &Parts, parent: Option<&TraceContext>) -> Self {
        let name = format!("{} {}", parts.method, parts.uri.path());
        Self {
            tracer: tracer.clone(),
            span: tracer.start(hop, name, parent),
            code: Cell::new(None),
        }
    }
}

impl Drop for HopSpan {
    fn drop(&mut self) {
        self.tracer.finish(self.span.clone(), self.code.get());
    }
}

/// Returns when the entry sent the datagram, reconstructed from its wall clock modulo 2^32.
fn entry_send_time(entry: EntryHop) -> Option<(EntryHop, SystemTime)> {
    let now = SystemTime::now();
    let since_epoch = now.duration_since(SystemTime::UNIX_EPOCH).ok()?;
    let now_ms = (since_epoch.as_millis() & u128::from(u32::MAX)) as u32;
    let hop_ms = now_ms.wrapping_sub(entry.sent_ms);
    let sent_at = now.checked_sub(Duration::from_millis(u64::from(hop_ms)))?;
    (hop_ms <= MAX_ENTRY_HOP_MS).then_some((entry, sent_at))
}
