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
    /// Times of writes that the store lost and that may have reached no entry, each with the time at
    /// which the operator had written again.
    lost: Vec<(Instant, Instant)>,
}

impl RouteHistory {
    /// Records that the route of a destination leads to a service from now on.
    pub fn record_route(&mut self, now: Instant, destination: SocketAddrV4, service: &'static str) {
        let services = self.services.entry(destination).or_default();
        services.push((now, service));
    }

    /// Records that the operator has written again what the store had lost, which was written at
    /// `copied_at` or later. What was written shortly before the store went away, or later, may have
    /// reached no entry until now. Entries know the rest and must not go back.
    pub fn record_written_again(
        &mut self,
        now: Instant,
        copied_at: Instant,
        went_away_at: Instant,
    ) {
        let unknown_since = went_away_at
            .checked_sub(Duration::from_millis(PROPAGATION_MS))
            .unwrap_or(copied_at);
        self.lost.push((copied_at.max(unknown_since), now));
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
        let known_at = |written_at: Instant| {
            let lost = self.lost.iter();
            let lost = lost.filter(|(from, until)| (*from..*until).contains(&written_at));
            lost.map(|(_, until)| *until).max().unwrap_or(written_at)
        };
        let ends = services.iter().skip(1).map(|(at, _)| known_at(*at));
        let ends = ends.chain([now]);
        let propagation = Duration::from_millis(PROPAGATION_MS);
        services
            .iter()
            .zip(ends)
            .any(|((_, name), end)| *name == service && opened_at <= end + propagation)
    }
}
