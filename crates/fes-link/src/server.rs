//! Server side of links.

use std::future::Future;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use fes_protocol::Error;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use futures::FutureExt;
use futures::stream::FuturesUnordered;
use futures::stream::StreamExt;
use h2::RecvStream;
use h2::server::SendResponse;
use http::Response;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio_rustls::TlsAcceptor;

use crate::LinkTls;
use crate::encode_head;
use crate::head::read_head;
use crate::head::with_length_prefix;
use crate::send_chunk;

const WINDOW_BYTES: u32 = 1024 * 1024;
const MAX_CONCURRENT_STREAMS: u32 = 1_024;

/// Maximum duration of a TLS handshake, so that a peer that doesn't authenticate can't hold a file
/// descriptor open.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay before connections are accepted again after an error, such as too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Handles one message. The returned future is dropped when the link closes.
pub type LinkHandler = Rc<dyn Fn(LinkRequest) -> Pin<Box<dyn Future<Output = ()>>>>;

/// A message from another process.
#[derive(Debug)]
pub struct LinkRequest {
    /// Kind of message: the path of the h2 request, without a leading slash.
    pub kind: String,
    /// Encoded head.
    pub head: Bytes,
    /// Body bytes that were received with the head.
    pub first_body: Bytes,
    /// Rest of the body.
    pub body: RecvStream,
    /// Sends the reply.
    pub responder: LinkResponder,
}

/// Sends the reply to a message.
#[derive(Debug)]
pub struct LinkResponder {
    respond: SendResponse<Bytes>,
}

impl LinkResponder {
    /// Replies with a head and no body.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::LinkClosed`] if the link closed.
    pub async fn reply(mut self, head: &impl Serialize) -> Result<()> {
        self.send_head(head, true).await.map(|_| ())
    }

    /// Replies with a head and returns the stream for the body. Dropping the stream before its end
    /// resets it.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::LinkClosed`] if the link closed.
    pub async fn reply_with_body(mut self, head: &impl Serialize) -> Result<h2::SendStream<Bytes>> {
        self.send_head(head, false).await
    }

    /// Resets the stream, so that the sender gets an error instead of a reply.
    pub fn reject(mut self) {
        self.respond.send_reset(h2::Reason::INTERNAL_ERROR);
    }

    /// Waits until the sender cancels the message or the link closes.
    pub async fn cancelled(&mut self) {
        let _ = std::future::poll_fn(|cx| self.respond.poll_reset(cx)).await;
    }

    async fn send_head(
        &mut self,
        head: &impl Serialize,
        end: bool,
    ) -> Result<h2::SendStream<Bytes>> {
        let closed = |e: h2::Error| Error::coded(ResultCode::LinkClosed, e.to_string());
        let head = with_length_prefix(&encode_head(head)?);
        let mut stream = self
            .respond
            .send_response(Response::new(()), false)
            .map_err(closed)?;
        send_chunk(&mut stream, head, end).await.map_err(closed)?;
        Ok(stream)
    }
}

/// Accepts links until it is dropped, which also closes the open ones.
#[derive(Debug)]
pub struct LinkServer {
    address: SocketAddr,
    accept_task: JoinHandle<()>,
}

impl LinkServer {
    /// Binds `address` and calls `handler` for each message, on the current arbiter.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::BindFailed`].
    pub fn start(address: SocketAddr, tls: &LinkTls, handler: LinkHandler) -> Result<Self> {
        let bind_error = |e| {
            Error::io(
                ResultCode::BindFailed,
                format!("binding TCP {address} failed"),
                e,
            )
        };
        let listener = std::net::TcpListener::bind(address).map_err(bind_error)?;
        listener.set_nonblocking(true).map_err(bind_error)?;
        let address = listener.local_addr().map_err(bind_error)?;
        let listener = TcpListener::from_std(listener).map_err(bind_error)?;
        let acceptor = TlsAcceptor::from(tls.server.clone());
        let accept_task = actix_rt::spawn(accept_links(listener, acceptor, handler));
        Ok(Self {
            address,
            accept_task,
        })
    }

    /// Returns the bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for LinkServer {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

/// Serves all links within one task, so that dropping the server closes them.
async fn accept_links(listener: TcpListener, acceptor: TlsAcceptor, handler: LinkHandler) {
    let mut links = FuturesUnordered::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(()) = links.next() => continue,
        };
        match accepted {
            Ok((stream, peer)) => {
                let link = serve_link(stream, peer, acceptor.clone(), handler.clone());
                links.push(link);
            }
            Err(e) => {
                log::warn!("link: accepting a connection failed: {e}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_link(
    stream: TcpStream,
    peer: SocketAddr,
    acceptor: TlsAcceptor,
    handler: LinkHandler,
) {
    let _ = stream.set_nodelay(true);
    let handshake = tokio::time::timeout(HANDSHAKE_TIMEOUT, acceptor.accept(stream));
    let stream = match handshake.await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => {
            log::warn!(
                "link: {}: TLS handshake with {peer} failed: {e}",
                ResultCode::LinkUnauthenticated
            );
            return;
        }
        Err(_) => return,
    };
    let mut builder = h2::server::Builder::new();
    builder
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES * 4)
        .max_concurrent_streams(MAX_CONCURRENT_STREAMS);
    let Ok(mut connection) = builder.handshake::<_, Bytes>(stream).await else {
        return;
    };
    let mut running = FuturesUnordered::new();
    loop {
        tokio::select! {
            accepted = connection.accept() => {
                let Some(Ok((request, respond))) = accepted else { return };
                running.push(serve_message(request, respond, handler.clone()));
            }
            Some(()) = running.next() => {}
        }
    }
}

async fn serve_message(
    request: http::Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    handler: LinkHandler,
) {
    let kind = request.uri().path().trim_start_matches('/').to_owned();
    let mut body = request.into_body();
    match read_head(&mut body).await {
        Ok((head, first_body)) => {
            let request = LinkRequest {
                kind,
                head,
                first_body,
                body,
                responder: LinkResponder { respond },
            };
            // All links are served by one task, which a panic must not end.
            let handled = AssertUnwindSafe(async { handler(request).await }).catch_unwind();
            if handled.await.is_err() {
                log::error!("link: the handler of a message panicked");
            }
        }
        Err(e) => {
            log::debug!("link: rejected a message whose head can't be read: {e}");
            respond.send_reset(h2::Reason::PROTOCOL_ERROR);
        }
    }
}
