//! Preference order of a service's targets for a flow, identical at every entry.
//!
//! A new flow is placed on one of the first targets of its order, and a search for the target of an
//! unknown flow follows the same order. So the first round of a search asks only a few agents,
//! however many there are.

use std::net::Ipv4Addr;

use fes_protocol::DataCentreName;
use fes_protocol::FastMap;

use crate::FlowKey;
use crate::TargetRecord;

/// Number of targets in each data centre among which a new flow is placed. Choosing among a few
/// balances load nearly as well as choosing among all.
pub const CANDIDATES_PER_DATA_CENTRE: usize = 3;

/// Returns up to `count` targets in each data centre, in the flow's preference order, after the
/// first `skipped` targets of that data centre.
#[must_use]
pub fn preferred_targets<'a>(
    targets: impl Iterator<Item = &'a TargetRecord>,
    flow: &FlowKey,
    skipped: usize,
    count: usize,
) -> Vec<&'a TargetRecord> {
    let mut by_data_centre: FastMap<&DataCentreName, Vec<(u64, &TargetRecord)>> =
        FastMap::default();
    for target in targets {
        let ranked = by_data_centre.entry(&target.data_centre).or_default();
        ranked.push((rank(flow, target.vm), target));
    }
    let mut chosen = Vec::new();
    for ranked in by_data_centre.values_mut() {
        ranked.sort_unstable_by_key(|(rank, target)| (*rank, target.vm));
        let window = ranked.iter().skip(skipped).take(count);
        chosen.extend(window.map(|(_, target)| *target));
    }
    chosen
}

/// Rendezvous hash of a flow and a VM: the relative order of two VMs doesn't depend on others.
fn rank(flow: &FlowKey, vm: Ipv4Addr) -> u64 {
    let client = u64::from(u32::from(*flow.client.ip())) << 16 | u64::from(flow.client.port());
    let destination =
        u64::from(u32::from(*flow.destination.ip())) << 16 | u64::from(flow.destination.port());
    mix(mix(client).wrapping_add(destination) ^ mix(u64::from(u32::from(vm))))
}

/// Returns the rank of a VM for one of several attempts, each of which has a different order.
#[must_use]
pub fn attempt_rank(flow: &FlowKey, vm: Ipv4Addr, attempt: u64) -> u64 {
    mix(rank(flow, vm).wrapping_add(attempt))
}

/// Returns the rank of a VM in one of many random orders.
#[must_use]
pub fn random_rank(vm: Ipv4Addr, order: u64) -> u64 {
    mix(mix(u64::from(u32::from(vm))) ^ mix(order))
}

/// Step of the SplitMix64 generator (Steele, Lea and Flood), used as a hash.
const fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
