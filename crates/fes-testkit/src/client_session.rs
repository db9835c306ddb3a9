//! An HTTP/3 connection of a client.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fes_protocol::Error;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use h3::client::RequestStream;
use h3::client::SendRequest;
use h3_quinn::BidiStream;
use h3_quinn::OpenStreams;
use http::Request;
use quinn::ClientConfig;
use quinn::Endpoint;
use quinn::IdleTimeout;
use quinn::TransportConfig;
use quinn::VarInt;
use quinn::crypto::rustls::QuicClientConfig;
use rustls::RootCertStore;
use rustls_pki_types::CertificateDer;
use tokio::time::timeout;

use crate::task::Task;

const ALPN_H3: &[u8] = b"h3";
const H3_NO_ERROR: u32 = 0x100;
/// Below 5 s, because a client must detect within 5 s that a node on the path lost the state of its
/// flow.
const IDLE_TIMEOUT_MS: u32 = 4_500;
const KEEP_ALIVE_MS: u64 = 1_000;
const CONNECT_TIMEOUT_MS: u64 = 4_000;

/// The stream of a request.
pub(crate) type Stream = RequestStream<BidiStream<Bytes>, Bytes>;

/// A connection. It is closed when the last reference to it is dropped.
pub(crate) struct Session {
    sender: SendRequest<OpenStreams, Bytes>,
    endpoint: Endpoint,
    connection: quinn::Connection,
    _driver: Task,
}

impl std::fmt::Debug for Session {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Session")
            .field("connection", &self.connection.stable_id())
            .finish_non_exhaustive()
    }
}

impl Session {
    /// Opens a connection from a new local port.
    pub(crate) async fn open(
        address: SocketAddr,
        server_name: &str,
        config: ClientConfig,
    ) -> Result<Self> {
        let connect_failed = |error: &dyn std::fmt::Display| {
            let detail = format!("can't connect to {address}: {error}");
            Error::coded(ResultCode::EndpointUnreachable, detail)
        };
        let local = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
        let mut endpoint = Endpoint::client(local).map_err(|error| connect_failed(&error))?;
        endpoint.set_default_client_config(config);
        let connecting = endpoint.connect(address, server_name);
        let connecting = connecting.map_err(|error| connect_failed(&error))?;
        let connection = timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), connecting)
            .await
            .map_err(|error| connect_failed(&error))?
            .map_err(|error| connect_failed(&error))?;
        let transport = h3_quinn::Connection::new(connection.clone());
        let (mut driver, sender) = h3::client::new(transport)
            .await
            .map_err(|error| connect_failed(&error))?;
        Ok(Self {
            sender,
            endpoint,
            connection,
            _driver: Task::spawn(async move {
                // The request streams report the end of the connection.
                let _ = std::future::poll_fn(|context| driver.poll_close(context)).await;
            }),
        })
    }

    /// Opens a stream and sends the head of a request.
    pub(crate) async fn send(
        &self,
        request: Request<()>,
    ) -> std::result::Result<Stream, h3::error::StreamError> {
        self.sender.clone().send_request(request).await
    }

    /// Returns whether the connection is closed.
    pub(crate) fn is_closed(&self) -> bool {
        self.connection.close_reason().is_some()
    }

    /// Returns why the connection was closed, or `None` while it is open.
    pub(crate) fn close_reason(&self) -> Option<String> {
        self.connection
            .close_reason()
            .map(|reason| reason.to_string())
    }

    /// Returns the loopback address and local port of the client, as the fabric sees them.
    pub(crate) fn local_address(&self) -> Option<SocketAddr> {
        let port = self.endpoint.local_addr().ok()?.port();
        Some(SocketAddr::from((Ipv4Addr::LOCALHOST, port)))
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        self.connection.close(VarInt::from_u32(H3_NO_ERROR), b"");
    }
}

/// Returns a QUIC configuration that trusts certificates signed by `authorities`.
pub(crate) fn client_config(
    authorities: impl IntoIterator<Item = CertificateDer<'static>>,
) -> Result<ClientConfig> {
    let invalid = |error: &dyn std::fmt::Display| {
        let detail = format!("invalid TLS configuration of the client: {error}");
        Error::coded(ResultCode::SettingsBadCertificate, detail)
    };
    let mut roots = RootCertStore::empty();
    for authority in authorities {
        roots.add(authority).map_err(|error| invalid(&error))?;
    }
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|error| invalid(&error))?
        .with_root_certificates(roots)
        .with_no_client_auth();
    tls.alpn_protocols = vec![ALPN_H3.to_vec()];
    let crypto = QuicClientConfig::try_from(tls).map_err(|error| invalid(&error))?;
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS))));
    transport.keep_alive_interval(Some(Duration::from_millis(KEEP_ALIVE_MS)));
    let mut config = ClientConfig::new(Arc::new(crypto));
    config.transport_config(Arc::new(transport));
    Ok(config)
}
