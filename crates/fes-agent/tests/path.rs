//! End-to-end tests over loopback sockets: client, fabric, entries, agents and upstreams.

mod support;

use fes_protocol::Lifecycle;
use fes_telemetry::Hop;
use fes_testkit::Outcome;
use fes_testkit::wait_until;
use support::cluster;
use support::unpublished_cluster;

const ANSWERED: Outcome = Outcome::Answered { status: 200 };

/// Fails if a request with or without a key isn't answered end to end, or runs more than once.
#[actix_rt::test]
async fn requests_are_answered_end_to_end() {
    let cluster = cluster(2, 3).await;
    let client = cluster.client("buyer");

    let got = client.get("/lots/1?size=4096").await;
    let submitted = client.submit("/reservations", "lot 1").await;

    assert_eq!((got, submitted), (ANSWERED, ANSWERED));
    assert_eq!(cluster.log.duplicated_key_count(), 0);
    assert_eq!(cluster.sum(|agent| agent.counters().requests_finished), 2);
}

/// Fails if an agent keeps returning datagrams through dead entries, or if a flow depends on state
/// in a single entry.
#[actix_rt::test]
async fn flows_survive_the_death_of_all_entries_but_one() {
    let mut cluster = cluster(4, 3).await;
    let clients: Vec<_> = (0..12).map(|n| cluster.client(&format!("c{n}"))).collect();
    let feeds: Vec<_> = clients
        .iter()
        .map(|client| client.open_feed("/feed"))
        .collect();
    until_each(&feeds, 3).await;

    for entry in cluster.entries.drain(1..) {
        entry.kill();
    }
    // 100 events take longer than the return path considers a silent entry alive.
    for step in 1..=10 {
        until_each(&feeds, 10 * step).await;
    }

    for feed in &feeds {
        let counts = feed.counts();
        assert_eq!((counts.gaps, counts.duplicates, counts.breaks), (0, 0, 0));
    }
    let drops = cluster.entries[0].counters().drops;
    assert_eq!(drops, vec![], "the entry dropped datagrams of its clients");
    let connections: u64 = clients
        .iter()
        .map(|client| client.counts().connections)
        .sum();
    assert_eq!(connections, 12);
}

/// Fails if a hop of a request records no span, or if its parent isn't the span of the hop before.
#[actix_rt::test]
async fn each_hop_of_a_request_has_a_span() {
    let cluster = cluster(1, 1).await;
    let client = cluster.client("buyer");

    assert_eq!(client.get("/lots/1").await, ANSWERED);
    let agent = &cluster.agents[0];
    let is_ended = || {
        agent
            .recent_spans()
            .iter()
            .any(|span| span.hop == Hop::Agent)
    };
    wait_until("the spans are recorded", is_ended).await;

    let spans = agent.recent_spans();
    let of_hop = |hop| spans.iter().find(|span| span.hop == hop).expect("a span");
    let (entry, own) = (of_hop(Hop::Entry), of_hop(Hop::Agent));
    assert_ne!(entry.parent_span_id, 0);
    assert_eq!(own.parent_span_id, entry.context.span_id);
    assert_eq!(of_hop(Hop::Upstream).parent_span_id, own.context.span_id);
}

/// Fails if a process can't get tickets from the platform alone, or if it serves before it has
/// them.
#[actix_rt::test]
async fn tickets_come_from_the_platform() {
    let cluster = unpublished_cluster(2, 2).await;
    let is_ready = || {
        let agents = cluster.agents.iter().map(|agent| agent.lifecycle());
        let entries = cluster.entries.iter().map(|entry| entry.lifecycle());
        agents
            .chain(entries)
            .all(|phase| phase == Lifecycle::Serving)
    };
    assert!(!is_ready());

    cluster
        .platform
        .publish_ticket(&cluster.ticket(1))
        .expect("publish");
    for _ in 0..10 {
        if is_ready() {
            break;
        }
        wait_for_platform_request(&cluster).await;
    }

    assert!(is_ready());
    assert_eq!(cluster.client("buyer").get("/lots/1").await, ANSWERED);
}

/// Waits until the platform has received another request from the processes.
async fn wait_for_platform_request(cluster: &support::Cluster) {
    let platform_calls = || cluster.platform.request_count();
    let before = platform_calls();
    wait_until("processes ask the platform", || platform_calls() > before).await;
}

async fn until_each(feeds: &[fes_testkit::Feed], events: u64) {
    wait_until("every feed continues", || {
        feeds.iter().all(|feed| feed.counts().events >= events)
    })
    .await;
}
