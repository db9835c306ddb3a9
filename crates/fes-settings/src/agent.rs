//! Settings of an agent.

use std::net::SocketAddr;
use std::path::Path;

use fes_protocol::ResultCode;
use fes_protocol::ServiceId;
use fes_protocol::TargetId;

use crate::ClientIdentity;
use crate::Faults;
use crate::NodeSettings;
use crate::node::ephemeral_loopback;
use crate::reader::SettingsFile;
use crate::reader::TableReader;
use crate::reader::read_file;

const MAX_ID: i64 = u32::MAX as i64;
/// Same bound as for `slots` in tickets.
const MAX_SLOTS: i64 = 1_024;
const MAX_FLOWS_OR_KEYS: i64 = 10_000_000;
const MAX_QUEUE_REQUESTS: i64 = 1_000_000;
const MAX_BYTES: i64 = 16 << 30;
const DAY_MS: i64 = 86_400_000;
const WEEK_MS: i64 = 7 * DAY_MS;
const MAX_CLASS_PRIORS: usize = 256;

const DEFAULT_DEADLINE_MS: i64 = 10_000;
const DEFAULT_FLOW_LIMIT: i64 = 20_000;
const DEFAULT_DRAIN_BOUND_MS: i64 = 3_600_000;
const DEFAULT_QUEUE_LIMIT_REQUESTS: i64 = 256;
const DEFAULT_QUEUE_LIMIT_BYTES: i64 = 16 << 20;
const DEFAULT_BODY_LIMIT_BYTES: i64 = 1 << 20;
const DEFAULT_RESPONSE_STORE_BYTES: i64 = 16 << 20;
const DEFAULT_KEY_LIMIT: i64 = 100_000;

/// Expected service time of a request class, used until service times have been observed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClassPrior {
    /// Method and first path segment, such as `GET /reports`.
    pub class: String,
    /// Mean service time in milliseconds.
    pub mean_ms: u64,
}

/// Settings of an agent.
#[derive(Debug, Clone)]
pub struct AgentSettings {
    /// ID of the target.
    pub target: TargetId,
    /// Service that the upstream runs.
    pub service: ServiceId,
    /// Maximum number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Settings shared with entries.
    pub node: NodeSettings,
    /// UDP address for encapsulated datagrams and control messages.
    pub agent_address: SocketAddr,
    /// TCP address of the upstream, which uses HTTP/2 without TLS.
    pub upstream_address: SocketAddr,
    /// Certificate and private key for client connections.
    pub client_tls: ClientIdentity,
    /// Deadline of a request that doesn't set one, in milliseconds after its arrival.
    pub default_deadline_ms: u64,
    /// Number of open flows above which first packets are handed off to peers.
    pub flow_limit: u32,
    /// Time from the start of a drain to the forced close of open requests and flows, in
    /// milliseconds.
    pub drain_bound_ms: u64,
    /// Maximum number of requests that wait for a slot.
    pub queue_limit_requests: u32,
    /// Maximum body bytes of all requests that wait for a slot.
    pub queue_limit_bytes: u64,
    /// Maximum size of a request body in bytes.
    pub body_limit_bytes: u64,
    /// Maximum bytes of responses that are stored for retries with an idempotency key.
    pub response_store_bytes: u64,
    /// Maximum number of idempotency keys that are stored.
    pub key_limit: u32,
    /// Expected service times of request classes.
    pub class_priors: Vec<ClassPrior>,
}

impl AgentSettings {
    /// Creates settings with all defaults; the agent socket binds an ephemeral loopback port.
    #[must_use]
    pub fn new(
        target: TargetId,
        service: ServiceId,
        slots: u32,
        node: NodeSettings,
        upstream_address: SocketAddr,
        client_tls: ClientIdentity,
    ) -> Self {
        Self {
            target,
            service,
            slots,
            node,
            agent_address: ephemeral_loopback(),
            upstream_address,
            client_tls,
            default_deadline_ms: DEFAULT_DEADLINE_MS as u64,
            flow_limit: DEFAULT_FLOW_LIMIT as u32,
            drain_bound_ms: DEFAULT_DRAIN_BOUND_MS as u64,
            queue_limit_requests: DEFAULT_QUEUE_LIMIT_REQUESTS as u32,
            queue_limit_bytes: DEFAULT_QUEUE_LIMIT_BYTES as u64,
            body_limit_bytes: DEFAULT_BODY_LIMIT_BYTES as u64,
            response_store_bytes: DEFAULT_RESPONSE_STORE_BYTES as u64,
            key_limit: DEFAULT_KEY_LIMIT as u32,
            class_priors: Vec::new(),
        }
    }

    /// Loads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns all faults of the file.
    pub fn load(path: impl AsRef<Path>) -> Result<Self, Faults> {
        let text = read_file(path.as_ref())?;
        Self::parse(path, &text)
    }

    /// Parses and validates settings. `path` appears in faults, and relative paths within the
    /// settings are resolved against its directory.
    ///
    /// # Errors
    ///
    /// Returns all faults of the text.
    pub fn parse(path: impl AsRef<Path>, text: &str) -> Result<Self, Faults> {
        let file = SettingsFile::parse(path.as_ref(), text)?;
        let settings = Self::read(&file.root());
        file.into_result(settings)
    }

    fn read(root: &TableReader<'_>) -> Option<Self> {
        let target = root.number("target", 1..=MAX_ID, None);
        let service = root.number("service", 1..=MAX_ID, None);
        let slots = root.number("slots", 1..=MAX_SLOTS, None);
        let node = NodeSettings::read(root);
        let agent_address = root.address("agent_address");
        let upstream_address = root.address("upstream_address");
        let client_tls = ClientIdentity::read(root);
        let limit = |key, max, default| root.number(key, 1..=max, Some(default));
        let default_deadline_ms = limit("default_deadline_ms", DAY_MS, DEFAULT_DEADLINE_MS);
        let flow_limit = limit("flow_limit", MAX_FLOWS_OR_KEYS, DEFAULT_FLOW_LIMIT);
        let drain_bound_ms = limit("drain_bound_ms", WEEK_MS, DEFAULT_DRAIN_BOUND_MS);
        let queue_limit_requests = limit(
            "queue_limit_requests",
            MAX_QUEUE_REQUESTS,
            DEFAULT_QUEUE_LIMIT_REQUESTS,
        );
        let queue_limit_bytes = limit("queue_limit_bytes", MAX_BYTES, DEFAULT_QUEUE_LIMIT_BYTES);
        let body_limit_bytes = limit("body_limit_bytes", MAX_BYTES, DEFAULT_BODY_LIMIT_BYTES);
        let response_store_bytes = limit(
            "response_store_bytes",
            MAX_BYTES,
            DEFAULT_RESPONSE_STORE_BYTES,
        );
        let key_limit = limit("key_limit", MAX_FLOWS_OR_KEYS, DEFAULT_KEY_LIMIT);
        let class_priors = read_class_priors(root);
        root.record_unknown_keys();
        Some(Self {
            target: TargetId(u32::try_from(target?).ok()?),
            service: ServiceId(u32::try_from(service?).ok()?),
            slots: u32::try_from(slots?).ok()?,
            node: node?,
            agent_address: agent_address?,
            upstream_address: upstream_address?,
            client_tls: client_tls?,
            default_deadline_ms: u64::try_from(default_deadline_ms?).ok()?,
            flow_limit: u32::try_from(flow_limit?).ok()?,
            drain_bound_ms: u64::try_from(drain_bound_ms?).ok()?,
            queue_limit_requests: u32::try_from(queue_limit_requests?).ok()?,
            queue_limit_bytes: u64::try_from(queue_limit_bytes?).ok()?,
            body_limit_bytes: u64::try_from(body_limit_bytes?).ok()?,
            response_store_bytes: u64::try_from(response_store_bytes?).ok()?,
            key_limit: u32::try_from(key_limit?).ok()?,
            class_priors: class_priors?,
        })
    }
}

fn read_class_priors(root: &TableReader<'_>) -> Option<Vec<ClassPrior>> {
    let tables = root.tables("class_prior");
    if tables.len() > MAX_CLASS_PRIORS {
        root.record_fault(
            "class_prior",
            ResultCode::SettingsBadNumber,
            format!("{} tables", tables.len()),
            format!("at most {MAX_CLASS_PRIORS} tables"),
        );
    }
    let priors: Vec<Option<ClassPrior>> = tables.iter().map(read_class_prior).collect();
    for (index, table) in tables.iter().enumerate() {
        let Some(prior) = &priors[index] else {
            continue;
        };
        let is_duplicate = priors[..index]
            .iter()
            .flatten()
            .any(|other| other.class == prior.class);
        if is_duplicate {
            table.record_fault(
                "class",
                ResultCode::SettingsDuplicate,
                prior.class.as_str(),
                "a class that no other table names",
            );
        }
    }
    priors.into_iter().collect()
}

fn read_class_prior(table: &TableReader<'_>) -> Option<ClassPrior> {
    const ALLOWED_CLASS: &str = "METHOD /FIRST-SEGMENT, such as GET /reports";
    let class = table.required_string("class", ResultCode::SettingsBadName, ALLOWED_CLASS);
    let mean_ms = table.number("mean_ms", 1..=DAY_MS, None);
    table.record_unknown_keys();
    let class = class?;
    let is_valid = class.split_once(' ').is_some_and(|(method, path)| {
        !method.is_empty()
            && method.bytes().all(|byte| byte.is_ascii_uppercase())
            && path.starts_with('/')
            && !path[1..].contains(['/', ' '])
    });
    if !is_valid {
        table.record_fault(
            "class",
            ResultCode::SettingsBadName,
            class.as_str(),
            ALLOWED_CLASS,
        );
    }
    Some(ClassPrior {
        class,
        mean_ms: u64::try_from(mean_ms?).ok()?,
    })
}
