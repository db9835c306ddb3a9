//! Selects the agents that receive a ticket directly, because they must learn at once of an
//! upstream that starts to leave or is removed.

use fes_protocol::FastSet;
use fes_protocol::NodeId;
use fes_protocol::ObjectKey;
use fes_protocol::ServiceSpec;
use fes_protocol::TargetId;
use fes_protocol::UpstreamState;

use crate::Snapshot;

/// Maximum number of agents that receive a ticket directly. The other agents of a large service
/// receive it by gossip.
const MAX_RECEIVERS: usize = 32;

/// Returns the agents of the upstreams that start to leave or are removed with this change,
/// followed by the other agents of their services.
pub(crate) fn urgent_receivers(
    old: &Snapshot,
    new: &Snapshot,
    changed: &[ObjectKey],
) -> Vec<NodeId> {
    let mut receivers = Vec::new();
    for key in changed {
        let ObjectKey::Service(id) = key else {
            continue;
        };
        let before = old.service(*id).map(|service| &*service.value);
        let after = new.service(*id).map(|service| &*service.value);
        receivers.extend(receivers_of_service(before, after));
    }
    receivers.truncate(MAX_RECEIVERS);
    receivers.into_iter().map(NodeId::Agent).collect()
}

fn receivers_of_service(
    before: Option<&ServiceSpec>,
    after: Option<&ServiceSpec>,
) -> Vec<TargetId> {
    let active_targets = |spec: Option<&ServiceSpec>| -> FastSet<TargetId> {
        let upstreams = spec.into_iter().flat_map(|spec| &spec.upstreams);
        let active = upstreams.filter(|upstream| upstream.state == UpstreamState::Active);
        active.map(|upstream| upstream.target).collect()
    };
    let active_after = active_targets(after);
    let mut leaving: Vec<TargetId> = active_targets(before)
        .into_iter()
        .filter(|target| !active_after.contains(target))
        .collect();
    if leaving.is_empty() {
        return leaving;
    }
    leaving.sort_unstable();
    let all = after.into_iter().flat_map(|spec| &spec.upstreams);
    let peers: Vec<TargetId> = all
        .map(|upstream| upstream.target)
        .filter(|target| !leaving.contains(target))
        .collect();
    leaving.extend(peers);
    leaving
}
