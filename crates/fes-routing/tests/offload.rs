//! Guards against offload that overloads a single peer, forwards a request twice, or relies on
//! reports that are stale, replayed or implausible.

use std::collections::BTreeMap;

use fes_protocol::Incarnation;
use fes_protocol::Lifecycle;
use fes_protocol::MonoTime;
use fes_protocol::PeerHeartbeat;
use fes_protocol::ServiceId;
use fes_protocol::TargetId;
use fes_routing::LocalLoad;
use fes_routing::OffloadChoice;
use fes_routing::OffloadPeer;
use fes_routing::OffloadPlanner;
use fes_routing::OffloadRequest;
use fes_routing::OffloadSettings;

const OWN: TargetId = TargetId(1);
const REQUESTS: usize = 10_000;

fn planner() -> OffloadPlanner {
    let mut planner = OffloadPlanner::new(OffloadSettings::new(OWN, 7));
    planner.set_peers((1..=4).map(|target| OffloadPeer {
        target: TargetId(target),
        round_trip_ms: 8,
    }));
    planner
}

fn own(capacity_milli: u32, demand_milli: u32) -> LocalLoad {
    LocalLoad {
        capacity_milli,
        demand_milli,
        movable_milli: demand_milli,
        ..LocalLoad::default()
    }
}

fn report(target: u32, capacity_milli: u32, demand_milli: u32) -> PeerHeartbeat {
    PeerHeartbeat {
        service: ServiceId(1),
        target: TargetId(target),
        incarnation: Incarnation(5),
        sequence: 1,
        lifecycle: Lifecycle::Serving,
        capacity_milli,
        demand_milli,
        queue_wait_ms: 0,
        long_wait_ms: 0,
        flow_count: 0,
        key_issue_ms: 77,
        heard: Vec::new(),
    }
}

fn request() -> OffloadRequest {
    OffloadRequest {
        deadline: MonoTime::from_ms(60_000),
        repeatable: true,
        already_forwarded: false,
        long: false,
    }
}

/// Returns the share of requests that each target gets.
fn shares(
    planner: &mut OffloadPlanner,
    now: MonoTime,
    own: &LocalLoad,
    request: &OffloadRequest,
) -> BTreeMap<u32, f64> {
    let mut shares = BTreeMap::new();
    for _ in 0..REQUESTS {
        let target = match planner.choose(now, own, request) {
            OffloadChoice::Local => OWN,
            OffloadChoice::Peer(target) => target,
        };
        *shares.entry(target.0).or_default() += 1.0 / REQUESTS as f64;
    }
    shares
}

fn assert_close(shares: &BTreeMap<u32, f64>, target: u32, expected: f64) {
    let share = shares.get(&target).copied().unwrap_or_default();
    assert!(
        (share - expected).abs() < 0.02,
        "target {target} gets {share}, not {expected}"
    );
}

/// Fails if the surplus goes only to the least loaded peer instead of to all peers with a deficit,
/// or if more than the surplus is offloaded.
#[test]
fn surplus_spreads_in_proportion_to_deficits() {
    let mut planner = planner();
    let load = own(4_000, 8_000);
    for heartbeat in [
        report(2, 8_000, 2_000),
        report(3, 4_000, 2_000),
        report(4, 4_000, 8_000),
    ] {
        planner.on_heartbeat(MonoTime::ZERO, &load, &heartbeat);
    }

    let shares = shares(&mut planner, MonoTime::from_ms(1), &load, &request());

    // Fair shares are 4,000 : 8,000 : 4,000 : 4,000 of a demand of 20,000.
    assert_close(&shares, 1, 0.5);
    assert_close(&shares, 2, 0.375);
    assert_close(&shares, 3, 0.125);
    assert_eq!(shares.get(&4), None);
}

/// Fails if a forwarded request is forwarded again, or if a non-repeatable one leaves the owner of
/// its key.
#[test]
fn forwarded_and_non_repeatable_requests_run_locally() {
    let mut planner = planner();
    let load = own(1_000, 8_000);
    planner.on_heartbeat(MonoTime::ZERO, &load, &report(2, 8_000, 0));
    let fixed = [
        OffloadRequest {
            already_forwarded: true,
            ..request()
        },
        OffloadRequest {
            repeatable: false,
            ..request()
        },
    ];

    let choices = fixed.map(|r| shares(&mut planner, MonoTime::ZERO, &load, &r));
    let overflow = fixed.map(|r| planner.choose_for_overflow(MonoTime::ZERO, &load, &r));

    assert!(choices.iter().all(|shares| shares.keys().eq([&OWN.0])));
    assert_eq!(overflow, [OffloadChoice::Local; 2]);
}

/// Fails if the last report of a silent peer keeps attracting requests. Two of the three peers
/// still report, so the panic threshold isn't reached.
#[test]
fn report_loses_weight_with_age() {
    let mut planner = planner();
    let load = own(2_000, 8_000);
    planner.on_heartbeat(MonoTime::ZERO, &load, &report(2, 4_000, 0));
    for heartbeat in [report(3, 4_000, 0), report(4, 4_000, 4_000)] {
        planner.on_heartbeat(MonoTime::from_ms(2_000), &load, &heartbeat);
    }

    let fading = shares(&mut planner, MonoTime::from_ms(2_250), &load, &request());
    let stale = shares(&mut planner, MonoTime::from_ms(3_000), &load, &request());

    assert!(fading[&2] < fading[&3] * 0.6);
    assert_eq!(stale.get(&2), None);
}

/// Fails if an agent that receives no heartbeats at all stops offloading. The cause is more likely
/// its own connectivity than a failure of all peers.
#[test]
fn last_reports_are_used_when_most_peers_are_silent() {
    let mut planner = planner();
    let load = own(2_000, 8_000);
    for target in 2..=4 {
        planner.on_heartbeat(MonoTime::ZERO, &load, &report(target, 4_000, 0));
    }

    let shares = shares(&mut planner, MonoTime::from_ms(20_000), &load, &request());

    assert!((2..=4).all(|target| shares[&target] > 0.2));
}

/// Fails if a replayed or late heartbeat replaces a newer one.
#[test]
fn older_heartbeat_is_ignored() {
    let mut planner = planner();
    let load = own(4_000, 8_000);
    let newer = PeerHeartbeat {
        sequence: 9,
        ..report(2, 4_000, 4_000)
    };
    let older = PeerHeartbeat {
        sequence: 8,
        ..report(2, 4_000, 0)
    };

    planner.on_heartbeat(MonoTime::ZERO, &load, &newer);
    let before = shares(&mut planner, MonoTime::ZERO, &load, &request());
    planner.on_heartbeat(MonoTime::ZERO, &load, &older);
    let after = shares(&mut planner, MonoTime::ZERO, &load, &request());

    assert_close(&before, 2, 0.25);
    assert_close(&after, 2, 0.25);
}

/// Fails if a peer that suddenly reports a hundredfold capacity attracts all requests.
#[test]
fn implausible_capacity_is_limited() {
    let mut planner = planner();
    let load = own(4_000, 8_000);
    for target in 2..=3 {
        planner.on_heartbeat(MonoTime::ZERO, &load, &report(target, 4_000, 2_000));
    }
    let implausible = PeerHeartbeat {
        sequence: 2,
        ..report(2, 400_000, 2_000)
    };

    planner.on_heartbeat(MonoTime::from_ms(500), &load, &implausible);
    let shares = shares(&mut planner, MonoTime::from_ms(500), &load, &request());

    assert!(
        shares[&1] > 0.1,
        "this agent keeps its share if the report of the peer is limited"
    );
}

/// Fails if a peer that refuses requests or drains continues to receive them because of its
/// reports.
#[test]
fn refusing_and_draining_peers_get_nothing() {
    let mut planner = planner();
    let load = own(1_000, 8_000);
    planner.on_heartbeat(MonoTime::ZERO, &load, &report(2, 4_000, 0));
    planner.on_heartbeat(MonoTime::ZERO, &load, &report(3, 4_000, 0));
    let draining = PeerHeartbeat {
        lifecycle: Lifecycle::Draining,
        ..report(4, 4_000, 0)
    };
    planner.on_heartbeat(MonoTime::ZERO, &load, &draining);

    planner.on_refused(MonoTime::ZERO, TargetId(2));
    let paused = shares(&mut planner, MonoTime::from_ms(499), &load, &request());
    let resumed = shares(&mut planner, MonoTime::from_ms(500), &load, &request());

    assert!(paused.keys().eq([&1, &3]));
    assert!(resumed.keys().eq([&1, &2, &3]));
}

/// Fails if a long request queues behind another one while a peer has a free slot, or if one report
/// attracts a second long request.
#[test]
fn long_request_goes_where_it_starts_earlier_once_per_report() {
    let mut planner = planner();
    let load = LocalLoad {
        long_wait_ms: 900,
        ..own(4_000, 2_000)
    };
    let busy = PeerHeartbeat {
        long_wait_ms: 5_000,
        ..report(3, 4_000, 2_000)
    };
    planner.on_heartbeat(MonoTime::ZERO, &load, &report(2, 4_000, 2_000));
    planner.on_heartbeat(MonoTime::ZERO, &load, &busy);
    let long = OffloadRequest {
        long: true,
        ..request()
    };

    let first = planner.choose(MonoTime::from_ms(1), &load, &long);
    let second = planner.choose(MonoTime::from_ms(2), &load, &long);

    assert_eq!(first, OffloadChoice::Peer(TargetId(2)));
    assert_eq!(second, OffloadChoice::Local);
}

/// Fails if two runs with the same seed make different choices.
#[test]
fn same_seed_gives_the_same_choices() {
    let load = own(2_000, 8_000);
    let run = || {
        let mut planner = planner();
        planner.on_heartbeat(MonoTime::ZERO, &load, &report(2, 4_000, 0));
        (0..100)
            .map(|_| planner.choose(MonoTime::ZERO, &load, &request()))
            .collect::<Vec<_>>()
    };

    assert_eq!(run(), run());
}

/// Fails if short requests wait for long ones to finish while a peer has no long ones, or if they
/// are offloaded for a gain below the network time.
#[test]
fn short_request_leaves_an_agent_blocked_by_long_ones() {
    let mut planner = planner();
    let blocked = |queue_wait_ms| LocalLoad {
        long_wait_ms: 900,
        queue_wait_ms,
        ..own(4_000, 1_000)
    };
    planner.on_heartbeat(MonoTime::ZERO, &blocked(0), &report(2, 4_000, 2_000));
    let also_blocked = PeerHeartbeat {
        long_wait_ms: 900,
        ..report(3, 4_000, 2_000)
    };
    planner.on_heartbeat(MonoTime::ZERO, &blocked(0), &also_blocked);

    let small_gain = shares(&mut planner, MonoTime::ZERO, &blocked(28), &request());
    let large_gain = shares(&mut planner, MonoTime::ZERO, &blocked(29), &request());

    assert!(small_gain.keys().eq([&1]));
    assert!(large_gain.keys().eq([&2]));
}
