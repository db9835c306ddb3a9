//! Splitting of a view into parts that fit into messages, and the reassembly of such parts.

use fes_protocol::FastSet;
use fes_protocol::UpstreamName;

use crate::FleetView;
use crate::Route;
use crate::RouteSet;
use crate::RoutesPart;
use crate::ServiceWarmUp;
use crate::TargetsPart;

/// Maximum size of the routes, of the targets and of the removed targets in one message. Together with
/// the other fields they stay below [`crate::MAX_MESSAGE_BYTES`], beyond which no peer decodes it.
const ROUTE_BYTES_PER_PART: usize = 1_300;
const TARGET_BYTES_PER_PART: usize = 1_300;
const REMOVED_BYTES_PER_PART: usize = 400;
/// Services in one message. They are in its extension, which has a limit of its own; each takes at
/// most 14 bytes.
const SERVICES_PER_PART: usize = 32;
/// Maximum size of a target without its names, of a removed target without its name, of a route
/// without its services, and of a service of a route.
const TARGET_BYTES: usize = 60;
const REMOVED_BYTES: usize = 11;
const ROUTE_BYTES: usize = 22;
const ROUTE_SERVICE_BYTES: usize = 14;
/// Upper bound on the parts of one response, beyond the largest fleet that the design allows for.
const MAX_PARTS: usize = 4_096;

/// Identifies a response of a peer. Parts of different responses must not be combined.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct ResponseKey {
    pub(crate) revision: u64,
    pub(crate) after_revision: u64,
    pub(crate) count: u32,
}

/// Parts received of the latest response of one peer.
#[derive(Debug, Clone, Default)]
pub(crate) struct Reassembly {
    response: ResponseKey,
    parts_received: Vec<bool>,
    pub(crate) routes: Vec<Route>,
    pub(crate) services: Vec<ServiceWarmUp>,
    pub(crate) listed: FastSet<UpstreamName>,
    /// Whether a part had no evacuations, so that those of its revision remain unknown.
    pub(crate) is_without_evacuations: bool,
}

impl Reassembly {
    /// Records a part, and starts over if it belongs to a different response than the previous
    /// parts. Returns whether the part is new.
    pub(crate) fn record(&mut self, response: ResponseKey, index: u32) -> bool {
        if self.response != response {
            let count = usize::try_from(response.count).unwrap_or(usize::MAX);
            *self = Self {
                response,
                parts_received: vec![false; count.min(MAX_PARTS)],
                ..Self::default()
            };
        }
        let index = usize::try_from(index).unwrap_or(usize::MAX);
        let is_received = self.parts_received.get_mut(index);
        is_received.is_some_and(|is_received| !std::mem::replace(is_received, true))
    }

    /// Responses without parts, or with more than [`MAX_PARTS`], are never complete.
    pub(crate) fn is_complete(&self) -> bool {
        let count = u32::try_from(self.parts_received.len()).unwrap_or(u32::MAX);
        let is_valid = count > 0 && count == self.response.count;
        is_valid && self.parts_received.iter().all(|is_received| *is_received)
    }
}

/// Returns the parts of a configuration, at least one.
pub(crate) fn routes_parts(set: &RouteSet) -> impl Iterator<Item = RoutesPart> {
    let mut routes: Vec<Route> = set.routes.values().cloned().collect();
    routes.sort_unstable_by_key(|route| route.destination);
    let mut services: Vec<ServiceWarmUp> = set.warm_ups.values().copied().collect();
    services.sort_unstable_by_key(|service| service.service);
    let route_bytes = |route: &Route| ROUTE_BYTES + route.services.len() * ROUTE_SERVICE_BYTES;
    let routes = split_by_size(routes, ROUTE_BYTES_PER_PART, route_bytes);
    let services = services.chunks(SERVICES_PER_PART).map(<[_]>::to_vec);
    let services: Vec<Vec<ServiceWarmUp>> = services.collect();
    let count = routes.len().max(services.len()).max(1);
    let (version, idle_timeout_ms) = (set.version, set.idle_timeout_ms);
    let to_u32 = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
    (0..count).map(move |index| RoutesPart {
        version,
        idle_timeout_ms,
        index: to_u32(index),
        count: to_u32(count),
        routes: routes.get(index).cloned().unwrap_or_default(),
        services: services.get(index).cloned().unwrap_or_default(),
    })
}

/// Splits the changes after a revision into parts. There is always at least one part, so that a
/// response without changes still confirms the revision. Each part has all evacuations, so that a
/// target never becomes known without an evacuation that is older than its record.
pub(crate) fn targets_parts(
    view: &FleetView,
    since_revision: u64,
    age_ms: u64,
) -> Vec<TargetsPart> {
    let mut changed: Vec<_> = view.changed_after(since_revision).cloned().collect();
    changed.sort_unstable_by(|a, b| a.id.cmp(&b.id));
    let mut removed: Vec<_> = view.removed_after(since_revision).collect();
    removed.sort_unstable();
    let changed = split_by_size(changed, TARGET_BYTES_PER_PART, |target| {
        TARGET_BYTES + target.id.as_str().len() + target.data_centre.as_str().len()
    });
    let removed = split_by_size(removed, REMOVED_BYTES_PER_PART, |(id, _)| {
        REMOVED_BYTES + id.as_str().len()
    });
    let count = changed.len().max(removed.len()).max(1);
    let evacuations = view.evacuations().to_vec();
    let to_u32 = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
    let part = |index: usize| TargetsPart {
        revision: view.revision(),
        after_revision: since_revision,
        routes_version: view.routes().version,
        age_ms,
        index: to_u32(index),
        count: to_u32(count),
        targets: changed.get(index).cloned().unwrap_or_default(),
        removed: removed.get(index).cloned().unwrap_or_default(),
        evacuations: Some(evacuations.clone()),
    };
    (0..count).map(part).collect()
}

/// Splits items into runs of at most `max_bytes` each. An item that exceeds this by itself is a run of
/// its own.
fn split_by_size<T>(
    items: Vec<T>,
    max_bytes: usize,
    item_bytes: impl Fn(&T) -> usize,
) -> Vec<Vec<T>> {
    let mut runs = Vec::new();
    let mut run = Vec::new();
    let mut run_bytes = 0;
    for item in items {
        let bytes = item_bytes(&item);
        if !run.is_empty() && run_bytes + bytes > max_bytes {
            runs.push(std::mem::take(&mut run));
            run_bytes = 0;
        }
        run_bytes += bytes;
        run.push(item);
    }
    if !run.is_empty() {
        runs.push(run);
    }
    runs
}
