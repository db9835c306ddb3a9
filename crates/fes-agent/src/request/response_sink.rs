//! Destination of a response: an HTTP/3 client or, over a link, another agent.

use std::rc::Rc;

use bytes::Bytes;
use fes_idempotency::Answer;
use h3::error::Code;
use h3::server::RequestStream;
use http::HeaderMap;
use http::Response;

use super::render::render;
use crate::context::AgentContext;
use crate::quic::Http3SendStream;
use crate::relay::LinkSink;

/// The receiver no longer accepts the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SinkClosed;

/// Sink for exactly one response. Dropping it before it is finished resets the stream, so that a
/// truncated response is never mistaken for a complete one.
pub(crate) enum ResponseSink {
    /// An HTTP/3 request stream.
    Http3(Box<Http3Sink>),
    /// The reply to a link message of another agent.
    Link(LinkSink),
}

/// The sending half of an HTTP/3 request stream.
pub(crate) struct Http3Sink {
    stream: RequestStream<Http3SendStream, Bytes>,
    is_started: bool,
    is_finished: bool,
}

impl Http3Sink {
    pub(crate) const fn new(stream: RequestStream<Http3SendStream, Bytes>) -> Self {
        Self {
            stream,
            is_started: false,
            is_finished: false,
        }
    }

    /// Rejects the request: no part of it was processed.
    pub(crate) fn reject(mut self) {
        self.is_finished = true;
        self.stream.stop_stream(Code::H3_REQUEST_REJECTED);
    }

    async fn finish(&mut self, trailers: Option<HeaderMap>) -> Result<(), SinkClosed> {
        if let Some(trailers) = trailers {
            let sent = self.stream.send_trailers(trailers).await;
            sent.map_err(|_| SinkClosed)?;
        }
        self.stream.finish().await.map_err(|_| SinkClosed)?;
        self.is_finished = true;
        Ok(())
    }
}

impl Drop for Http3Sink {
    fn drop(&mut self) {
        if !self.is_finished {
            self.stream.stop_stream(Code::H3_INTERNAL_ERROR);
        }
    }
}

impl ResponseSink {
    /// Returns whether any part of the response was sent.
    pub(crate) const fn is_started(&self) -> bool {
        match self {
            Self::Http3(sink) => sink.is_started,
            Self::Link(sink) => sink.is_started(),
        }
    }

    pub(crate) async fn start(&mut self, head: Response<()>) -> Result<(), SinkClosed> {
        match self {
            Self::Http3(sink) => {
                sink.is_started = true;
                let sent = sink.stream.send_response(head).await;
                sent.map_err(|_| SinkClosed)
            }
            Self::Link(sink) => sink.start(&head).await,
        }
    }

    pub(crate) async fn data(&mut self, chunk: Bytes) -> Result<(), SinkClosed> {
        match self {
            Self::Http3(sink) => sink.stream.send_data(chunk).await.map_err(|_| SinkClosed),
            Self::Link(sink) => sink.data(chunk).await,
        }
    }

    pub(crate) async fn finish(&mut self, trailers: Option<HeaderMap>) -> Result<(), SinkClosed> {
        match self {
            Self::Http3(sink) => sink.finish(trailers).await,
            Self::Link(sink) => sink.finish(trailers).await,
        }
    }

    /// Sends a complete response.
    pub(crate) async fn send_whole(
        &mut self,
        head: Response<()>,
        body: Bytes,
    ) -> Result<(), SinkClosed> {
        self.start(head).await?;
        if !body.is_empty() {
            self.data(body).await?;
        }
        self.finish(None).await
    }

    /// Sends an answer. Another agent gets a result code as such; a client gets an HTTP response.
    pub(crate) async fn answer(&mut self, answer: &Answer) -> Result<(), SinkClosed> {
        if let (Self::Link(sink), Answer::Code { code, detail }) = (&mut *self, answer) {
            return sink.send_code(*code, *detail).await;
        }
        let (head, body) = render(answer);
        self.send_whole(head, body).await
    }

    /// Sends an answer. A client also gets a fresh idempotency key prefix.
    pub(crate) async fn answer_with_key_prefix(
        &mut self,
        context: &Rc<AgentContext>,
        answer: &Answer,
    ) -> Result<(), SinkClosed> {
        if matches!(self, Self::Link(_)) {
            return self.answer(answer).await;
        }
        let (head, body) = render(answer);
        self.send_whole(context.with_key_prefix(head), body).await
    }
}
