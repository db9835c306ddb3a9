//! `h3` transport over quinn that also reports when a client stops reading a response.
//!
//! `h3-quinn` owns its streams and has no way to wait for STOP_SENDING, but the slot of a request
//! must be freed as soon as its client cancels it. Unidirectional streams behave as in `h3-quinn`.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Buf;
use bytes::Bytes;
use fes_protocol::FastMap;
use h3::error::Code;
use h3::quic;
use h3::quic::ConnectionErrorIncoming;
use h3::quic::StreamErrorIncoming;
use h3::quic::StreamId;
use h3::quic::WriteBuf;
use quinn::Connection;
use quinn::ConnectionError;
use quinn::ReadError;
use quinn::StoppedError;
use quinn::VarInt;
use quinn::WriteError;

type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send + Sync>>;
type Accepted = Result<(quinn::SendStream, quinn::RecvStream), ConnectionError>;

/// Resolves when the client stops reading (`Ok(Some)`), has acknowledged the whole response
/// (`Ok(None)`), or the connection is lost (`Err`).
pub(crate) type StopSignal = BoxFuture<Result<Option<VarInt>, StoppedError>>;

/// Stop signals of accepted request streams, by stream ID.
#[derive(Clone, Default)]
pub(crate) struct StopSignals {
    signals: Arc<Mutex<FastMap<u64, StopSignal>>>,
}

impl StopSignals {
    /// Removes and returns the signal of a request stream.
    pub(crate) fn take(&self, stream: StreamId) -> Option<StopSignal> {
        let mut signals = self.signals.lock().unwrap_or_else(|e| e.into_inner());
        signals.remove(&stream.into_inner())
    }

    fn insert(&self, stream: &quinn::SendStream) {
        let mut signals = self.signals.lock().unwrap_or_else(|e| e.into_inner());
        let id = u64::from(VarInt::from(stream.id()));
        signals.insert(id, Box::pin(stream.stopped()));
    }
}

/// Server side of a quinn connection, as an `h3` transport.
pub(crate) struct Http3Transport {
    connection: Connection,
    signals: StopSignals,
    accepting_bidi: Option<BoxFuture<Accepted>>,
    accepting_uni: Option<BoxFuture<Result<quinn::RecvStream, ConnectionError>>>,
    opener: Http3Opener,
}

/// Opens unidirectional streams.
pub(crate) struct Http3Opener {
    connection: Connection,
    opening_uni: Option<BoxFuture<Result<quinn::SendStream, ConnectionError>>>,
}

/// A request stream.
pub(crate) struct BidiStream {
    send: SendStream,
    recv: RecvStream,
}

/// The sending half of a stream.
pub(crate) struct SendStream {
    stream: quinn::SendStream,
    writing: Option<WriteBuf<Bytes>>,
    is_finished: bool,
}

/// The receiving half of a stream.
pub(crate) struct RecvStream {
    stream: quinn::RecvStream,
}

impl Http3Transport {
    pub(crate) fn new(connection: Connection) -> Self {
        Self {
            signals: StopSignals::default(),
            accepting_bidi: None,
            accepting_uni: None,
            opener: Http3Opener::new(connection.clone()),
            connection,
        }
    }

    pub(crate) fn signals(&self) -> StopSignals {
        self.signals.clone()
    }
}

impl Http3Opener {
    fn new(connection: Connection) -> Self {
        Self {
            connection,
            opening_uni: None,
        }
    }
}

impl quic::Connection<Bytes> for Http3Transport {
    type RecvStream = RecvStream;
    type OpenStreams = Http3Opener;

    fn poll_accept_recv(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<RecvStream, ConnectionErrorIncoming>> {
        let connection = &self.connection;
        let accepting = self.accepting_uni.get_or_insert_with(|| {
            let connection = connection.clone();
            Box::pin(async move { connection.accept_uni().await })
        });
        let accepted = ready!(accepting.as_mut().poll(cx));
        self.accepting_uni = None;
        let stream = accepted.map_err(connection_error)?;
        Poll::Ready(Ok(RecvStream { stream }))
    }

    fn poll_accept_bidi(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<BidiStream, ConnectionErrorIncoming>> {
        let connection = &self.connection;
        let accepting = self.accepting_bidi.get_or_insert_with(|| {
            let connection = connection.clone();
            Box::pin(async move { connection.accept_bi().await })
        });
        let accepted = ready!(accepting.as_mut().poll(cx));
        self.accepting_bidi = None;
        let (send, recv) = accepted.map_err(connection_error)?;
        self.signals.insert(&send);
        Poll::Ready(Ok(BidiStream {
            send: SendStream::new(send),
            recv: RecvStream { stream: recv },
        }))
    }

    fn opener(&self) -> Http3Opener {
        Http3Opener::new(self.connection.clone())
    }
}

impl quic::OpenStreams<Bytes> for Http3Opener {
    type BidiStream = BidiStream;
    type SendStream = SendStream;

    fn poll_open_bidi(
        &mut self,
        _cx: &mut Context<'_>,
    ) -> Poll<Result<BidiStream, StreamErrorIncoming>> {
        // HTTP/3 servers open no bidirectional streams.
        let reason = "a server can't open request streams".to_owned();
        Poll::Ready(Err(StreamErrorIncoming::ConnectionErrorIncoming {
            connection_error: ConnectionErrorIncoming::InternalError(reason),
        }))
    }

    fn poll_open_send(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<SendStream, StreamErrorIncoming>> {
        let connection = &self.connection;
        let opening = self.opening_uni.get_or_insert_with(|| {
            let connection = connection.clone();
            Box::pin(async move { connection.open_uni().await })
        });
        let opened = ready!(opening.as_mut().poll(cx));
        self.opening_uni = None;
        let stream = opened.map_err(stream_connection_error)?;
        Poll::Ready(Ok(SendStream::new(stream)))
    }

    fn close(&mut self, code: Code, reason: &[u8]) {
        self.connection.close(var_int(code.value()), reason);
    }
}

impl quic::OpenStreams<Bytes> for Http3Transport {
    type BidiStream = BidiStream;
    type SendStream = SendStream;

    fn poll_open_bidi(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<BidiStream, StreamErrorIncoming>> {
        self.opener.poll_open_bidi(cx)
    }

    fn poll_open_send(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<SendStream, StreamErrorIncoming>> {
        self.opener.poll_open_send(cx)
    }

    fn close(&mut self, code: Code, reason: &[u8]) {
        self.opener.close(code, reason);
    }
}

impl SendStream {
    const fn new(stream: quinn::SendStream) -> Self {
        Self {
            stream,
            writing: None,
            is_finished: false,
        }
    }
}

/// Resets the stream unless it is finished. quinn finishes a dropped stream, which would make a
/// truncated response look complete.
impl Drop for SendStream {
    fn drop(&mut self) {
        if !self.is_finished {
            let _ = self.stream.reset(var_int(Code::H3_INTERNAL_ERROR.value()));
        }
    }
}

impl quic::SendStream<Bytes> for SendStream {
    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), StreamErrorIncoming>> {
        if let Some(data) = &mut self.writing {
            while data.has_remaining() {
                let written = Pin::new(&mut self.stream).poll_write(cx, data.chunk());
                data.advance(ready!(written).map_err(write_error)?);
            }
        }
        self.writing = None;
        Poll::Ready(Ok(()))
    }

    fn send_data<T: Into<WriteBuf<Bytes>>>(&mut self, data: T) -> Result<(), StreamErrorIncoming> {
        if self.writing.is_some() {
            let reason = "send_data called before the stream was ready".to_owned();
            return Err(StreamErrorIncoming::ConnectionErrorIncoming {
                connection_error: ConnectionErrorIncoming::InternalError(reason),
            });
        }
        self.writing = Some(data.into());
        Ok(())
    }

    fn poll_finish(&mut self, _cx: &mut Context<'_>) -> Poll<Result<(), StreamErrorIncoming>> {
        let finished = self.stream.finish();
        self.is_finished = finished.is_ok();
        Poll::Ready(finished.map_err(|e| StreamErrorIncoming::Unknown(Box::new(e))))
    }

    fn reset(&mut self, code: u64) {
        // Fails only if the stream has ended already.
        let _ = self.stream.reset(var_int(code));
        self.is_finished = true;
    }

    fn send_id(&self) -> StreamId {
        stream_id(self.stream.id())
    }
}

impl quic::RecvStream for RecvStream {
    type Buf = Bytes;

    fn poll_data(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Option<Bytes>, StreamErrorIncoming>> {
        // `read_chunk` keeps no state between polls, so each poll may create a new future.
        let reading = self.stream.read_chunk(usize::MAX, true);
        let chunk = ready!(std::pin::pin!(reading).poll(cx)).map_err(read_error)?;
        Poll::Ready(Ok(chunk.map(|chunk| chunk.bytes)))
    }

    fn stop_sending(&mut self, code: u64) {
        // Fails only if the stream has ended already.
        let _ = self.stream.stop(var_int(code));
    }

    fn recv_id(&self) -> StreamId {
        stream_id(self.stream.id())
    }
}

impl quic::BidiStream<Bytes> for BidiStream {
    type SendStream = SendStream;
    type RecvStream = RecvStream;

    fn split(self) -> (SendStream, RecvStream) {
        (self.send, self.recv)
    }
}

impl quic::SendStream<Bytes> for BidiStream {
    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), StreamErrorIncoming>> {
        self.send.poll_ready(cx)
    }

    fn send_data<T: Into<WriteBuf<Bytes>>>(&mut self, data: T) -> Result<(), StreamErrorIncoming> {
        self.send.send_data(data)
    }

    fn poll_finish(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), StreamErrorIncoming>> {
        self.send.poll_finish(cx)
    }

    fn reset(&mut self, code: u64) {
        self.send.reset(code);
    }

    fn send_id(&self) -> StreamId {
        self.send.send_id()
    }
}

impl quic::RecvStream for BidiStream {
    type Buf = Bytes;

    fn poll_data(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Option<Bytes>, StreamErrorIncoming>> {
        self.recv.poll_data(cx)
    }

    fn stop_sending(&mut self, code: u64) {
        self.recv.stop_sending(code);
    }

    fn recv_id(&self) -> StreamId {
        self.recv.recv_id()
    }
}

fn var_int(code: u64) -> VarInt {
    VarInt::from_u64(code).unwrap_or(VarInt::MAX)
}

fn stream_id(id: quinn::StreamId) -> StreamId {
    let number = u64::from(VarInt::from(id));
    // QUIC and HTTP/3 stream IDs have the same range.
    StreamId::try_from(number).unwrap_or_else(|_| unreachable!("stream IDs are below 2^62"))
}

fn connection_error(error: ConnectionError) -> ConnectionErrorIncoming {
    match error {
        ConnectionError::ApplicationClosed(close) => ConnectionErrorIncoming::ApplicationClose {
            error_code: close.error_code.into(),
        },
        ConnectionError::TimedOut => ConnectionErrorIncoming::Timeout,
        other => ConnectionErrorIncoming::Undefined(Arc::new(other)),
    }
}

fn stream_connection_error(error: ConnectionError) -> StreamErrorIncoming {
    StreamErrorIncoming::ConnectionErrorIncoming {
        connection_error: connection_error(error),
    }
}

fn read_error(error: ReadError) -> StreamErrorIncoming {
    match error {
        ReadError::Reset(code) => StreamErrorIncoming::StreamTerminated {
            error_code: code.into_inner(),
        },
        ReadError::ConnectionLost(error) => stream_connection_error(error),
        other => StreamErrorIncoming::Unknown(Box::new(other)),
    }
}

fn write_error(error: WriteError) -> StreamErrorIncoming {
    match error {
        WriteError::Stopped(code) => StreamErrorIncoming::StreamTerminated {
            error_code: code.into_inner(),
        },
        WriteError::ConnectionLost(error) => stream_connection_error(error),
        other => StreamErrorIncoming::Unknown(Box::new(other)),
    }
}
