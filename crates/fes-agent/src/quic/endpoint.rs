//! QUIC endpoint of an agent.

use std::sync::Arc;
use std::time::Duration;

use fes_protocol::Error;
use fes_protocol::MAX_CLIENT_DATAGRAM_BYTES;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use fes_protocol::ServiceId;
use fes_protocol::TargetId;
use fes_settings::ClientIdentity;
use quinn::Endpoint;
use quinn::EndpointConfig;
use quinn::IdleTimeout;
use quinn::MtuDiscoveryConfig;
use quinn::ServerConfig;
use quinn::TokioRuntime;
use quinn::TransportConfig;
use quinn::VarInt;
use quinn::crypto::rustls::QuicServerConfig;

use super::EncapsulatedSocket;
use super::SharedKeys;
use super::connection_ids::TargetConnectionIds;

const QUIC_VERSION_1: u32 = 1;
const ALPN_H3: &[u8] = b"h3";
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Idle timeout of a connection. It is below 5 s, within which a client must learn that its flow is
/// dead.
const IDLE_TIMEOUT_MS: u32 = 4_500;

/// Minimum time between two stateless resets. It is short, because when a target is lost, the
/// targets that placement selects instead must reset thousands of its flows. This doesn't allow
/// amplification attacks, because a packet whose connection ID fails its integrity check triggers
/// no reset.
const MIN_RESET_INTERVAL: Duration = Duration::from_micros(100);

const MAX_REQUEST_STREAMS: u32 = 256;

/// Creates the QUIC endpoint on top of the encapsulated socket.
pub(crate) fn make_endpoint(
    socket: Arc<EncapsulatedSocket>,
    keys: &SharedKeys,
    service: ServiceId,
    target: TargetId,
    identity: &ClientIdentity,
) -> Result<Endpoint> {
    let config = endpoint_config(keys, service, target)?;
    let server = server_config(identity)?;
    Endpoint::new_with_abstract_socket(config, Some(server), socket, Arc::new(TokioRuntime))
        .map_err(|e| Error::io(ResultCode::BindFailed, "starting the QUIC endpoint", e))
}

fn endpoint_config(
    keys: &SharedKeys,
    service: ServiceId,
    target: TargetId,
) -> Result<EndpointConfig> {
    let connection_ids = TargetConnectionIds {
        keys: keys.clone(),
        service,
        target,
    };
    let mut config = EndpointConfig::new(Arc::new(keys.clone()));
    let payload_bytes = u16::try_from(MAX_CLIENT_DATAGRAM_BYTES).unwrap_or(u16::MAX);
    config
        .cid_generator(move || Box::new(connection_ids.clone()))
        // Entries recognise QUIC datagrams by this bit; clients that greased it lost half of their
        // datagrams.
        .grease_quic_bit(false)
        .supported_versions(vec![QUIC_VERSION_1])
        .min_reset_interval(MIN_RESET_INTERVAL)
        .max_udp_payload_size(payload_bytes)
        .map_err(|e| Error::coded(ResultCode::BindFailed, e.to_string()))?;
    Ok(config)
}

fn server_config(identity: &ClientIdentity) -> Result<ServerConfig> {
    let bad =
        |e: &dyn std::fmt::Display| Error::coded(ResultCode::SettingsBadCertificate, e.to_string());
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|e| bad(&e))?
        .with_no_client_auth()
        .with_single_cert(
            identity.certificates.clone(),
            identity.private_key.clone_key(),
        )
        .map_err(|e| bad(&e))?;
    tls.alpn_protocols = vec![ALPN_H3.to_vec()];
    let crypto = QuicServerConfig::try_from(tls).map_err(|e| bad(&e))?;
    let mut server = ServerConfig::with_crypto(Arc::new(crypto));
    server.transport_config(Arc::new(transport_config()));
    Ok(server)
}

fn transport_config() -> TransportConfig {
    let mut mtu = MtuDiscoveryConfig::default();
    mtu.upper_bound(u16::try_from(MAX_CLIENT_DATAGRAM_BYTES).unwrap_or(u16::MAX));
    let mut transport = TransportConfig::default();
    transport
        .max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS))))
        .keep_alive_interval(Some(KEEP_ALIVE_INTERVAL))
        .mtu_discovery_config(Some(mtu))
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_REQUEST_STREAMS))
        .datagram_receive_buffer_size(None);
    transport
}
