//! Selection of the processes that observe an agent.

use std::hash::Hasher;
use std::sync::Arc;

use fes_protocol::DataCentreName;
use fes_protocol::EntryId;
use fes_protocol::FleetSpec;
use fes_protocol::ServiceSpec;
use fes_protocol::TargetId;
use siphasher::sip::SipHasher24;

/// Maximum number of agents that observe an agent. Services with at most one more target form a
/// full mesh; in larger ones observers are chosen by rendezvous hashing, so that the cost per agent
/// stays constant.
pub const MAX_AGENT_OBSERVERS: usize = 8;

/// Maximum number of entries that observe an agent.
pub const MAX_ENTRY_OBSERVERS: usize = 2;

/// Returns the agents that observe `target`, in ascending order.
#[must_use]
pub fn agent_observers(service: &ServiceSpec, target: TargetId) -> Vec<TargetId> {
    let others = service.upstreams.iter().map(|upstream| upstream.target);
    let mut others: Vec<TargetId> = others.filter(|other| *other != target).collect();
    if others.len() > MAX_AGENT_OBSERVERS {
        others.sort_by_key(|other| std::cmp::Reverse((score(target.0, other.0), *other)));
        others.truncate(MAX_AGENT_OBSERVERS);
    }
    others.sort_unstable();
    others
}

/// Returns the targets that `own` observes, in ascending order.
#[must_use]
pub fn targets_observed_by(service: &ServiceSpec, own: TargetId) -> Vec<TargetId> {
    let targets = service.upstreams.iter().map(|upstream| upstream.target);
    let mut targets: Vec<TargetId> = targets.filter(|target| *target != own).collect();
    if targets.len() > MAX_AGENT_OBSERVERS {
        targets.retain(|target| agent_observers(service, *target).contains(&own));
    }
    targets.sort_unstable();
    targets
}

/// Returns the entries that observe `target`: one in its own data centre and one in another, so
/// that an entry hears it on either side of a partition between data centres.
#[must_use]
pub fn entry_observers(
    fleets: &[Arc<FleetSpec>],
    target: TargetId,
    data_centre: &DataCentreName,
) -> Vec<EntryId> {
    let entries_where = |near: bool| {
        fleets
            .iter()
            .filter(move |fleet| (fleet.data_centre == *data_centre) == near)
            .flat_map(|fleet| fleet.entries.iter().map(|entry| entry.id))
    };
    let mut near: Vec<EntryId> = entries_where(true).collect();
    let mut far: Vec<EntryId> = entries_where(false).collect();
    near.sort_by_key(|entry| std::cmp::Reverse((score(target.0, entry.0), *entry)));
    far.sort_by_key(|entry| std::cmp::Reverse((score(target.0, entry.0), *entry)));
    let near_count = if far.is_empty() {
        MAX_ENTRY_OBSERVERS
    } else {
        1
    };
    let mut observers: Vec<EntryId> = near.into_iter().take(near_count).collect();
    let far_count = MAX_ENTRY_OBSERVERS - observers.len();
    observers.extend(far.into_iter().take(far_count));
    observers
}

fn score(target: u32, observer: u32) -> u64 {
    let mut hasher = SipHasher24::new();
    hasher.write_u32(target);
    hasher.write_u32(observer);
    hasher.finish()
}
