//! One HTTP/1.1 connection to the platform.

use std::net::SocketAddr;

use bytes::Bytes;
use fes_protocol::Error;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use fes_protocol::headers;
use http::Request;
use http::Response;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Bounds the memory used by a reply. All tickets in force of a system at design size take about
/// 3 MB.
const MAX_REPLY_BYTES: usize = 16 << 20;

/// An open connection. Dropping it aborts a call in progress.
#[derive(Debug)]
pub(crate) struct Connection {
    address: SocketAddr,
    sender: SendRequest<Empty<Bytes>>,
    driver: JoinHandle<()>,
}

impl Connection {
    pub(crate) async fn open(address: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(address).await.map_err(|source| {
            let detail = format!("connecting to the platform at {address} failed");
            Error::io(ResultCode::PlatformUnreachable, detail, source)
        })?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| unreachable_error(&error))?;
        let driver = tokio::spawn(async move {
            // `send_request` returns the error to the call in progress.
            let _ = connection.await;
        });
        Ok(Self {
            address,
            sender,
            driver,
        })
    }

    /// Sends a GET request and returns the status and body of the response.
    pub(crate) async fn get(
        &mut self,
        path: &str,
        reader: Option<&str>,
    ) -> Result<Response<Bytes>> {
        let mut request = Request::get(path).header(HOST, self.address.to_string());
        if let Some(reader) = reader {
            request = request.header(headers::READER, reader);
        }
        let request = request
            .body(Empty::new())
            .map_err(|error| unreachable_error(&error))?;
        let result = self.sender.send_request(request).await;
        let response = result.map_err(|error| unreachable_error(&error))?;
        let (parts, body) = response.into_parts();
        let collected = Limited::new(body, MAX_REPLY_BYTES).collect();
        let body = collected.await.map_err(|error| {
            if error.is::<LengthLimitError>() {
                let detail = format!("the platform's reply is larger than {MAX_REPLY_BYTES} bytes");
                return Error::coded(ResultCode::PlatformMalformed, detail);
            }
            unreachable_error(&error)
        })?;
        Ok(Response::from_parts(parts, body.to_bytes()))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

pub(crate) fn unreachable_error(error: &dyn std::fmt::Display) -> Error {
    let detail = format!("the request to the platform failed: {error}");
    Error::coded(ResultCode::PlatformUnreachable, detail)
}
