//! Response to a request that another agent forwarded.

use bytes::Bytes;
use fes_idempotency::AnswerDetail;
use fes_link::LinkResponder;
use fes_link::send_chunk;
use fes_protocol::ResultCode;
use http::HeaderMap;
use http::Response;
use tokio::sync::mpsc;

use super::wire::ReplyWire;
use crate::request::SinkClosed;

/// Maximum number of buffered response parts while the link is slow.
const REPLY_CHANNEL_CAPACITY: usize = 4;

/// Part of a response. The head comes first, the end last.
#[derive(Debug)]
pub(crate) enum ReplyPart {
    Head(ReplyWire),
    Data(Bytes),
    End(Option<HeaderMap>),
}

/// Sink for one response, whose parts go to the task that owns the link stream.
pub(crate) struct LinkSink {
    parts: mpsc::Sender<ReplyPart>,
    is_started: bool,
}

impl LinkSink {
    pub(crate) fn new() -> (Self, mpsc::Receiver<ReplyPart>) {
        let (parts, receiver) = mpsc::channel(REPLY_CHANNEL_CAPACITY);
        let sink = Self {
            parts,
            is_started: false,
        };
        (sink, receiver)
    }

    pub(crate) const fn is_started(&self) -> bool {
        self.is_started
    }

    pub(crate) async fn start(&mut self, head: &Response<()>) -> Result<(), SinkClosed> {
        self.is_started = true;
        self.send(ReplyPart::Head(head.into())).await
    }

    pub(crate) async fn data(&self, chunk: Bytes) -> Result<(), SinkClosed> {
        self.send(ReplyPart::Data(chunk)).await
    }

    pub(crate) async fn finish(&self, trailers: Option<HeaderMap>) -> Result<(), SinkClosed> {
        self.send(ReplyPart::End(trailers)).await
    }

    pub(crate) async fn send_code(
        &self,
        code: ResultCode,
        detail: AnswerDetail,
    ) -> Result<(), SinkClosed> {
        let head = ReplyWire::Code {
            code: code.number(),
            detail: detail.into(),
        };
        self.send(ReplyPart::Head(head)).await?;
        self.finish(None).await
    }

    async fn send(&self, part: ReplyPart) -> Result<(), SinkClosed> {
        self.parts.send(part).await.map_err(|_| SinkClosed)
    }
}

/// Writes a response to the link until it is complete or the other agent cancels it. Resets the
/// stream if the response is truncated.
pub(crate) async fn write_reply(
    mut responder: LinkResponder,
    mut parts: mpsc::Receiver<ReplyPart>,
) {
    let head = tokio::select! {
        head = parts.recv() => head,
        () = responder.cancelled() => return,
    };
    let Some(ReplyPart::Head(head)) = head else {
        responder.reject();
        return;
    };
    let Ok(mut stream) = responder.reply_with_body(&head).await else {
        return;
    };
    loop {
        let part = tokio::select! {
            part = parts.recv() => part,
            _ = std::future::poll_fn(|cx| stream.poll_reset(cx)) => return,
        };
        let written = match part {
            Some(ReplyPart::Data(chunk)) => send_chunk(&mut stream, chunk, false).await,
            Some(ReplyPart::End(trailers)) => {
                finish_stream(&mut stream, trailers);
                return;
            }
            Some(ReplyPart::Head(_)) | None => {
                stream.send_reset(h2::Reason::INTERNAL_ERROR);
                return;
            }
        };
        if written.is_err() {
            return;
        }
    }
}

fn finish_stream(stream: &mut h2::SendStream<Bytes>, trailers: Option<HeaderMap>) {
    // Fails only if the link has closed, which the other agent detects as well.
    let _ = match trailers {
        Some(trailers) => stream.send_trailers(trailers),
        None => stream.send_data(Bytes::new(), true),
    };
}
