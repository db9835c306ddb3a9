//! Routes that were in force during a soak, and the new flows that they allow.

use std::collections::HashMap;
use std::net::SocketAddrV4;

use tokio::time::Duration;
use tokio::time::Instant;

/// For this long after a route was changed, entries may still place new flows by the former one. An
/// entry whose view is older than 1.3 s reads the store itself.
const PROPAGATION_MS: u64 = 2_000;

/// Services of a route, each with the time from which the route led there.
#[derive(Debug, Default)]
pub struct RouteHistory {
    services: HashMap<SocketAddrV4, Vec<(Instant, &'static str)>>,
}

impl RouteHistory {
    /// Records that the route of a destination leads to a service from now on.
    pub fn record_route(&mut self, now: Instant, destination: SocketAddrV4, service: &'static str) {
        let services = self.services.entry(destination).or_default();
        services.push((now, service));
    }

    /// Returns whether a flow that its client opened at `opened_at` may reach a service now.
    pub fn is_allowed(
        &self,
        now: Instant,
        opened_at: Instant,
        destination: SocketAddrV4,
        service: &str,
    ) -> bool {
        let Some(services) = self.services.get(&destination) else {
            return false;
        };
        let ends = services.iter().skip(1).map(|(at, _)| *at);
        let ends = ends.chain([now]);
        let propagation = Duration::from_millis(PROPAGATION_MS);
        services
            .iter()
            .zip(ends)
            .any(|((_, name), end)| *name == service && opened_at <= end + propagation)
    }
}
