//! Generator of connection IDs that every entry can route.

use std::time::Duration;

use fes_protocol::CONNECTION_ID_LEN_BYTES;
use fes_protocol::RoutableId;
use fes_protocol::ServiceId;
use fes_protocol::TargetId;
use quinn::ConnectionId;
use quinn::ConnectionIdGenerator;
use quinn_proto::InvalidCid;

use super::SharedKeys;

/// Lifetime of connection IDs. Replacing them moves open flows to a new key epoch before the old
/// epoch expires.
const CONNECTION_ID_LIFETIME: Duration = Duration::from_secs(600);

/// Generates connection IDs that route to one target.
#[derive(Debug, Clone)]
pub(crate) struct TargetConnectionIds {
    pub(crate) keys: SharedKeys,
    pub(crate) service: ServiceId,
    pub(crate) target: TargetId,
}

impl ConnectionIdGenerator for TargetConnectionIds {
    fn generate_cid(&mut self) -> ConnectionId {
        let id = RoutableId {
            service: self.service,
            target: self.target,
            nonce: rand::random(),
        };
        let random = rand::random();
        self.keys
            .with_connection_ids(|codec| ConnectionId::new(&codec.encode(id, random)))
    }

    fn validate(&self, id: &ConnectionId) -> Result<(), InvalidCid> {
        self.keys
            .with_connection_ids(|codec| codec.decode(id, self.service))
            .map(|_| ())
            .ok_or(InvalidCid)
    }

    fn cid_len(&self) -> usize {
        CONNECTION_ID_LEN_BYTES
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        Some(CONNECTION_ID_LIFETIME)
    }
}
