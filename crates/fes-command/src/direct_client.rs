//! HTTP/2 client that sends requests directly to an upstream. Their latency is the baseline for the
//! latency that the fleet adds.

use std::net::SocketAddr;

use bytes::Bytes;
use fes_protocol::Error;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use h2::client::SendRequest;
use http::Request;
use tokio::net::TcpStream;

/// An HTTP/2 connection to an upstream.
pub(crate) struct DirectClient {
    requests: SendRequest<Bytes>,
    authority: SocketAddr,
}

impl DirectClient {
    /// Connects to an upstream.
    pub(crate) async fn connect(upstream: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(upstream).await.map_err(|source| {
            let detail = format!("connecting to the upstream at {upstream} failed");
            Error::io(ResultCode::RunFailed, detail, source)
        })?;
        // As in the agent: without TCP_NODELAY, small requests wait for delayed acknowledgements.
        let _ = stream.set_nodelay(true);
        let (requests, connection) = h2::client::handshake(stream).await.map_err(request_error)?;
        actix_rt::spawn(async move {
            // If the connection fails, so do the requests on it.
            let _ = connection.await;
        });
        Ok(Self {
            requests,
            authority: upstream,
        })
    }

    /// Sends a GET request and reads the whole response; returns the length of its body in bytes.
    pub(crate) async fn get(&self, path: &str) -> Result<usize> {
        let request = Request::get(format!("http://{}{path}", self.authority)).body(());
        let request = request.map_err(|error| request_error_with(&error.to_string()))?;
        let mut requests = self.requests.clone().ready().await.map_err(request_error)?;
        let (response, _) = requests
            .send_request(request, true)
            .map_err(request_error)?;
        let mut body = response.await.map_err(request_error)?.into_body();
        let mut size_bytes = 0;
        while let Some(chunk) = body.data().await {
            let chunk = chunk.map_err(request_error)?;
            size_bytes += chunk.len();
            body.flow_control()
                .release_capacity(chunk.len())
                .map_err(request_error)?;
        }
        Ok(size_bytes)
    }
}

fn request_error(error: h2::Error) -> Error {
    request_error_with(&error.to_string())
}

fn request_error_with(reason: &str) -> Error {
    Error::coded(
        ResultCode::RunFailed,
        format!("a direct request to the upstream failed: {reason}"),
    )
}
