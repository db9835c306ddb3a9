//! HTTP/3 server whose answers are chosen by the test.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Buf;
use bytes::Bytes;
use fes_testkit::CertificateAuthority;
use h3::server::RequestStream;
use http::Request;
use http::Response;
use quinn::Endpoint;
use quinn::crypto::rustls::QuicServerConfig;

const H3_NO_ERROR: u32 = 0x100;

type Stream = RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>;

/// Reaction of the server to a request.
pub enum Answer {
    /// Sends a response with this body.
    Respond(Response<()>, Bytes),
    /// Resets the stream with this code.
    Reset(h3::error::Code),
    /// Closes the connection.
    Close,
}

/// A received request: head and body.
pub type ReceivedRequest = (Request<()>, Bytes);

/// A running server. `received` records all requests.
pub struct Server {
    pub address: SocketAddr,
    pub received: Rc<RefCell<Vec<ReceivedRequest>>>,
}

/// Starts a server that calls `choose` for the answer to each request.
pub fn start(
    authority: &CertificateAuthority,
    choose: impl Fn(&ReceivedRequest) -> Answer + 'static,
) -> Server {
    let identity = authority.client_identity();
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .expect("TLS 1.3")
        .with_no_client_auth()
        .with_single_cert(identity.certificates, identity.private_key.clone_key())
        .expect("certificate");
    tls.alpn_protocols = vec![b"h3".to_vec()];
    let crypto = QuicServerConfig::try_from(tls).expect("QUIC");
    let config = quinn::ServerConfig::with_crypto(Arc::new(crypto));
    let address = "127.0.0.1:0".parse().expect("address");
    let endpoint = Endpoint::server(config, address).expect("endpoint");
    let server = Server {
        address: endpoint.local_addr().expect("address"),
        received: Rc::default(),
    };
    let (received, choose) = (Rc::clone(&server.received), Rc::new(choose));
    actix_rt::spawn(async move {
        while let Some(incoming) = endpoint.accept().await {
            let Ok(connection) = incoming.await else {
                continue;
            };
            actix_rt::spawn(serve(connection, Rc::clone(&received), Rc::clone(&choose)));
        }
    });
    server
}

async fn serve(
    quic: quinn::Connection,
    received: Rc<RefCell<Vec<ReceivedRequest>>>,
    choose: Rc<impl Fn(&ReceivedRequest) -> Answer + 'static>,
) {
    let transport = h3_quinn::Connection::new(quic.clone());
    let mut connection = h3::server::Connection::new(transport)
        .await
        .expect("HTTP/3");
    while let Ok(Some(resolver)) = connection.accept().await {
        let (request, mut stream): (_, Stream) = resolver.resolve_request().await.expect("head");
        let mut body = Vec::new();
        while let Some(mut chunk) = stream.recv_data().await.expect("body") {
            body.extend_from_slice(&chunk.copy_to_bytes(chunk.remaining()));
        }
        let request = (request, Bytes::from(body));
        let answer = choose(&request);
        received.borrow_mut().push(request);
        match answer {
            Answer::Respond(head, body) => {
                stream.send_response(head).await.expect("head");
                stream.send_data(body).await.expect("body");
                stream.finish().await.expect("end");
            }
            Answer::Reset(code) => stream.stop_stream(code),
            Answer::Close => quic.close(quinn::VarInt::from_u32(H3_NO_ERROR), b"test"),
        }
    }
}
