//! HTTP/2 client for tests of the upstream double.

use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use h2::client::SendRequest;
use http::Request;
use tokio::net::TcpStream;

/// Opens an HTTP/2 connection.
pub async fn connect(address: SocketAddr) -> SendRequest<Bytes> {
    let stream = TcpStream::connect(address).await.expect("connect");
    let (sender, connection) = h2::client::handshake(stream).await.expect("handshake");
    actix_rt::spawn(async move {
        // The streams report the end of the connection to the test.
        let _ = connection.await;
    });
    sender
}

/// Returns a GET request without a body.
pub fn get(path: &str) -> Request<()> {
    let uri = format!("http://upstream{path}");
    Request::get(uri).body(()).expect("request")
}

/// Sends a request without a body and reads the complete response.
pub fn exchange(
    sender: &mut SendRequest<Bytes>,
    request: Request<()>,
) -> impl Future<Output = Result<(u16, Vec<u8>), h2::Error>> + 'static {
    let sent = sender.send_request(request, true);
    async move {
        let (response, _) = sent?;
        let response = response.await?;
        let status = response.status().as_u16();
        let mut stream = response.into_body();
        let mut body = Vec::new();
        while let Some(chunk) = stream.data().await {
            let chunk = chunk?;
            stream.flow_control().release_capacity(chunk.len())?;
            body.extend_from_slice(&chunk);
        }
        Ok((status, body))
    }
}
