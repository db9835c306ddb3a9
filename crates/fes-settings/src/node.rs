//! Settings that entries and agents share.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use fes_protocol::DataCentreName;
use fes_protocol::ResultCode;
use fes_protocol::VmName;
use log::LevelFilter;

use crate::LinkIdentity;
use crate::SecretKeys;
use crate::reader::TableReader;

const ALLOWED_LOG_LEVEL: &str = "off, error, warn, info, debug or trace";
const ALLOWED_OTLP_ENDPOINT: &str = "a URL such as http://192.0.2.10:4318/v1/traces";

/// Settings that every process has.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Data centre of the VM.
    pub data_centre: DataCentreName,
    /// VM that runs the process.
    pub vm: VmName,
    /// TCP address for HTTP/2 links from other processes.
    pub link_address: SocketAddr,
    /// TCP address of `/metrics`, `/healthz`, `/readyz` and `/status`.
    pub status_address: SocketAddr,
    /// TCP address of the platform's configuration service.
    pub platform_address: SocketAddr,
    /// Link addresses of the processes that are asked for tickets at start.
    pub seed_peers: Vec<SocketAddr>,
    /// Secret keys by epoch.
    pub keys: SecretKeys,
    /// Certificates and private key for links.
    pub link_tls: LinkIdentity,
    /// OTLP/HTTP endpoint that traces are exported to, if any.
    pub otlp_endpoint: Option<String>,
    /// Least severe level that is logged.
    pub log_level: LevelFilter,
}

impl NodeSettings {
    /// Creates settings that listen on ephemeral loopback ports and have no seed peers.
    #[must_use]
    pub fn new(
        data_centre: DataCentreName,
        vm: VmName,
        platform_address: SocketAddr,
        keys: SecretKeys,
        link_tls: LinkIdentity,
    ) -> Self {
        Self {
            data_centre,
            vm,
            link_address: ephemeral_loopback(),
            status_address: ephemeral_loopback(),
            platform_address,
            seed_peers: Vec::new(),
            keys,
            link_tls,
            otlp_endpoint: None,
            log_level: LevelFilter::Info,
        }
    }

    pub(crate) fn read(root: &TableReader<'_>) -> Option<Self> {
        let data_centre = root.name("data_centre");
        let vm = root.name("vm");
        let link_address = root.address("link_address");
        let status_address = root.address("status_address");
        let platform_address = root.address("platform_address");
        let seed_peers = root.addresses("seed_peers");
        check_distinct_addresses(root, "seed_peers", &seed_peers);
        let keys = SecretKeys::read(root);
        let link_tls = LinkIdentity::read(root);
        let otlp_endpoint = read_otlp_endpoint(root);
        let log_level = read_log_level(root);
        check_distinct_sockets(
            root,
            &[
                ("link_address", link_address),
                ("status_address", status_address),
            ],
        );
        Some(Self {
            data_centre: data_centre?.into(),
            vm: vm?.into(),
            link_address: link_address?,
            status_address: status_address?,
            platform_address: platform_address?,
            seed_peers,
            keys: keys?,
            link_tls: link_tls?,
            otlp_endpoint,
            log_level: log_level?,
        })
    }
}

/// Returns 127.0.0.1 with port 0, for which the system chooses a free port.
pub(crate) fn ephemeral_loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Records a fault for each socket that would bind the address of an earlier one. All `sockets`
/// have the same transport protocol. Port 0 never conflicts.
pub(crate) fn check_distinct_sockets(
    root: &TableReader<'_>,
    sockets: &[(&str, Option<SocketAddr>)],
) {
    for (index, (key, address)) in sockets.iter().enumerate() {
        let Some(address) = address.filter(|address| address.port() != 0) else {
            continue;
        };
        let earlier = sockets[..index].iter().find(|(_, a)| *a == Some(address));
        if let Some((other, _)) = earlier {
            let allowed = format!("an address other than that of {other}");
            root.record_fault(
                key,
                ResultCode::SettingsDuplicate,
                address.to_string(),
                allowed,
            );
        }
    }
}

fn check_distinct_addresses(root: &TableReader<'_>, key: &str, addresses: &[SocketAddr]) {
    for (index, address) in addresses.iter().enumerate() {
        if addresses[..index].contains(address) {
            let value = address.to_string();
            root.record_fault(
                key,
                ResultCode::SettingsDuplicate,
                value,
                "each address once",
            );
        }
    }
}

fn read_log_level(root: &TableReader<'_>) -> Option<LevelFilter> {
    let Some(text) = root.optional_string("log_level", ResultCode::SettingsBadName) else {
        return Some(LevelFilter::Info);
    };
    let level = text.parse().ok();
    if level.is_none() {
        root.record_fault(
            "log_level",
            ResultCode::SettingsBadName,
            text,
            ALLOWED_LOG_LEVEL,
        );
    }
    level
}

fn read_otlp_endpoint(root: &TableReader<'_>) -> Option<String> {
    let text = root.optional_string("otlp_endpoint", ResultCode::SettingsBadAddress)?;
    let authority = text.strip_prefix("http://").and_then(|rest| {
        let authority = rest.split('/').next()?;
        authority.parse::<SocketAddr>().ok()
    });
    if authority.is_none() {
        root.record_fault(
            "otlp_endpoint",
            ResultCode::SettingsBadAddress,
            text.as_str(),
            ALLOWED_OTLP_ENDPOINT,
        );
    }
    Some(text)
}
