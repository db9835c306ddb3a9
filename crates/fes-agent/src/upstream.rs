//! HTTP/2 client for the upstream on the same VM.

use std::net::SocketAddr;

use bytes::Bytes;
use fes_link::SharedConnection;
use fes_link::send_chunk;
use fes_protocol::ResultCode;
use h2::RecvStream;
use h2::client::ResponseFuture;
use h2::client::SendRequest;
use http::Request;
use http::Response;
use http::Uri;
use http::request::Parts;
use http::uri::Authority;
use http::uri::Scheme;
use tokio::net::TcpStream;

const WINDOW_BYTES: u32 = 1024 * 1024;

/// Hop-by-hop headers, which a proxy must not forward.
const HOP_BY_HOP_HEADERS: [&str; 6] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "transfer-encoding",
    "upgrade",
];

/// Sends requests to the upstream over one connection, which is reopened when needed.
#[derive(Debug)]
pub(crate) struct Upstream {
    address: SocketAddr,
    connection: SharedConnection,
}

/// Failure of an upstream request, by whether the request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum UpstreamFailure {
    /// The request didn't run.
    NotRun(ResultCode),
    /// The request may have run.
    Unknown(ResultCode),
}

/// A request in progress at the upstream. Dropping it cancels the request.
#[derive(Debug)]
pub(crate) struct UpstreamCall {
    response: ResponseFuture,
    /// Resets the stream when the call is dropped before the response.
    _request: h2::SendStream<Bytes>,
}

impl Upstream {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: SharedConnection::default(),
        }
    }

    /// Returns a sender for the connection, which is opened if necessary. Sends no part of a
    /// request.
    pub(crate) async fn ready(&self) -> Result<SendRequest<Bytes>, UpstreamFailure> {
        let connecting = || connect(self.address);
        let sender = self.connection.sender(connecting).await;
        sender.map_err(|e| self.connection_failed(&e))
    }

    /// Sends a request with its complete body.
    pub(crate) async fn send(
        &self,
        mut sender: SendRequest<Bytes>,
        parts: &Parts,
        body: Bytes,
    ) -> Result<UpstreamCall, UpstreamFailure> {
        let request = self.build_request(parts)?;
        let is_empty = body.is_empty();
        let (response, mut stream) = sender
            .send_request(request, is_empty)
            .map_err(|e| self.connection_failed(&e))?;
        if !is_empty {
            send_chunk(&mut stream, body, true)
                .await
                .map_err(|e| classify_error(&e))?;
        }
        Ok(UpstreamCall {
            response,
            _request: stream,
        })
    }

    /// Closes the connection.
    pub(crate) fn close(&self) {
        self.connection.close();
    }

    fn connection_failed(&self, error: &dyn std::fmt::Display) -> UpstreamFailure {
        log::debug!(
            "agent: connection to upstream {} failed: {error}",
            self.address
        );
        UpstreamFailure::NotRun(ResultCode::NotRunUpstreamDown)
    }

    fn build_request(&self, parts: &Parts) -> Result<Request<()>, UpstreamFailure> {
        let refused = UpstreamFailure::NotRun(ResultCode::NotRunUpstreamRefused);
        let authority = match parts.uri.authority() {
            Some(authority) => authority.clone(),
            None => Authority::try_from(self.address.to_string()).map_err(|_| refused)?,
        };
        let mut uri = http::uri::Parts::default();
        uri.scheme = Some(Scheme::HTTP);
        uri.authority = Some(authority);
        uri.path_and_query = parts.uri.path_and_query().cloned();
        let mut request = Request::new(());
        *request.method_mut() = parts.method.clone();
        *request.uri_mut() = Uri::from_parts(uri).map_err(|_| refused)?;
        *request.headers_mut() = parts.headers.clone();
        remove_hop_by_hop_headers(request.headers_mut());
        Ok(request)
    }
}

impl UpstreamCall {
    /// Waits for the response head.
    pub(crate) async fn response(&mut self) -> Result<Response<RecvStream>, UpstreamFailure> {
        let mut response = (&mut self.response).await.map_err(|e| classify_error(&e))?;
        remove_hop_by_hop_headers(response.headers_mut());
        Ok(response)
    }
}

/// Classifies an HTTP/2 error. REFUSED_STREAM guarantees that the request wasn't processed; after
/// any other error it may have run.
pub(crate) fn classify_error(error: &h2::Error) -> UpstreamFailure {
    if error.is_reset() && error.reason() == Some(h2::Reason::REFUSED_STREAM) {
        return UpstreamFailure::NotRun(ResultCode::NotRunUpstreamRefused);
    }
    UpstreamFailure::Unknown(ResultCode::UnknownUpstreamLost)
}

fn remove_hop_by_hop_headers(headers: &mut http::HeaderMap) {
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}

async fn connect(
    address: SocketAddr,
) -> std::io::Result<(SendRequest<Bytes>, impl Future<Output = ()>)> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let mut builder = h2::client::Builder::new();
    builder
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES * 8)
        .enable_push(false);
    let (sender, connection) = builder
        .handshake::<_, Bytes>(stream)
        .await
        .map_err(std::io::Error::other)?;
    let driver = async move {
        if let Err(e) = connection.await {
            log::warn!("agent: upstream connection ended: {e}");
        }
    };
    Ok((sender, driver))
}
