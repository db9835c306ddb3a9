//! Requests straight to an upstream over HTTP/2, as the reference for the added latency.

use std::net::SocketAddr;

use bytes::Bytes;
use fes_protocol::Error;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use h2::client::SendRequest;
use http::Request;
use tokio::net::TcpStream;

/// One HTTP/2 connection to an upstream.
pub(crate) struct DirectClient {
    requests: SendRequest<Bytes>,
    authority: SocketAddr,
}

impl DirectClient {
    /// Connects to an upstream.
    pub(crate) async fn connect(upstream: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(upstream).await.map_err(|source| {
            let detail = format!("no connection to the upstream at {upstream}");
            Error::io(ResultCode::RunFailed, detail, source)
        })?;
        // The agent does the same; otherwise small requests wait for delayed acknowledgements.
        let _ = stream.set_nodelay(true);
        let (requests, connection) = h2::client::handshake(stream).await.map_err(failed)?;
        actix_rt::spawn(async move {
            // A lost connection shows in the requests.
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
        let request = request.map_err(|error| failed_with(&error.to_string()))?;
        let mut requests = self.requests.clone().ready().await.map_err(failed)?;
        let (response, _) = requests.send_request(request, true).map_err(failed)?;
        let mut body = response.await.map_err(failed)?.into_body();
        let mut size_bytes = 0;
        while let Some(chunk) = body.data().await {
            let chunk = chunk.map_err(failed)?;
            size_bytes += chunk.len();
            body.flow_control()
                .release_capacity(chunk.len())
                .map_err(failed)?;
        }
        Ok(size_bytes)
    }
}

fn failed(error: h2::Error) -> Error {
    failed_with(&error.to_string())
}

fn failed_with(reason: &str) -> Error {
    Error::coded(
        ResultCode::RunFailed,
        format!("a direct request failed: {reason}"),
    )
}
