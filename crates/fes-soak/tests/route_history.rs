//! Tests which services new flows may reach while routes change.

use std::net::SocketAddrV4;

use fes_soak::RouteHistory;
use rstest::rstest;
use tokio::time::Duration;
use tokio::time::Instant;

fn destination() -> SocketAddrV4 {
    "198.18.0.1:80".parse().expect("address")
}

/// Guards against a soak that doesn't detect flows to a service that the route has left, or that
/// reports flows that were opened while entries still learned of the change. The route moves from
/// `old` to `new` at 10 s.
#[rstest]
#[case::before("old", 9_000, true)]
#[case::too_early("new", 9_000, false)]
#[case::while_entries_learn_of_it("old", 11_000, true)]
#[case::long_after("old", 13_000, false)]
#[case::after("new", 13_000, true)]
#[case::no_route("other", 13_000, false)]
fn a_new_flow_may_reach_a_service_in_force(
    #[case] service: &str,
    #[case] opened_ms: u64,
    #[case] is_allowed: bool,
) {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut routes = RouteHistory::default();
    routes.record_route(start, destination(), "old");
    if opened_ms > 10_000 {
        routes.record_route(at(10_000), destination(), "new");
    }

    let allowed = routes.is_allowed(at(opened_ms + 50), at(opened_ms), destination(), service);

    assert_eq!(allowed, is_allowed);
}
