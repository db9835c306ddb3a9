//! Splits a configuration into messages.

use crate::Route;
use crate::RouteSet;
use crate::RoutesPart;
use crate::ServiceWarmUp;

/// Routes and services that fit into one message; a route takes about 60 to 90 bytes, a service at
/// most 14.
const ROUTES_PER_PART: usize = 16;
const SERVICES_PER_PART: usize = 32;

/// Returns the parts of a configuration, at least one.
pub(crate) fn routes_parts(set: &RouteSet) -> impl Iterator<Item = RoutesPart> {
    let mut routes: Vec<Route> = set.routes.values().cloned().collect();
    routes.sort_unstable_by_key(|route| route.destination);
    let mut services: Vec<ServiceWarmUp> = set.warm_ups.values().copied().collect();
    services.sort_unstable_by_key(|service| service.service);
    let count = (routes.len().div_ceil(ROUTES_PER_PART))
        .max(services.len().div_ceil(SERVICES_PER_PART))
        .max(1);
    let (version, idle_timeout_ms) = (set.version, set.idle_timeout_ms);
    let to_u32 = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
    (0..count).map(move |index| RoutesPart {
        version,
        idle_timeout_ms,
        index: to_u32(index),
        count: to_u32(count),
        routes: chunk(&routes, ROUTES_PER_PART, index),
        services: chunk(&services, SERVICES_PER_PART, index),
    })
}

fn chunk<T: Clone>(items: &[T], size: usize, index: usize) -> Vec<T> {
    let chunk = items.chunks(size).nth(index);
    chunk.map(<[T]>::to_vec).unwrap_or_default()
}
