//! The whole path on real sockets: client, fabric, entries, agents, upstreams.

mod support;

use fes_protocol::Lifecycle;
use fes_telemetry::Hop;
use fes_testkit::Outcome;
use fes_testkit::until;
use support::cluster;
use support::unpublished_cluster;

const ANSWERED: Outcome = Outcome::Answered { status: 200 };

/// Fails if a request, its response or its key takes any wrong turn between client and upstream.
#[actix_rt::test]
async fn requests_cross_the_whole_path() {
    let cluster = cluster(2, 3).await;
    let client = cluster.client("buyer");

    let got = client.get("/lots/1?size=4096").await;
    let submitted = client.submit("/reservations", "lot 1").await;

    assert_eq!((got, submitted), (ANSWERED, ANSWERED));
    assert_eq!(cluster.log.doubled(), 0);
    assert_eq!(cluster.sum(|agent| agent.counters().requests_finished), 2);
}

/// Fails if an agent goes on returning datagrams through dead entries, or if a flow depends on
/// state of one entry.
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
    // 100 events take longer than an entry counts as fresh on the return path.
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

/// Fails if a hop of a request leaves no span, or if its parent is another than the hop before.
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
    until("the spans are recorded", is_ended).await;

    let spans = agent.recent_spans();
    let of_hop = |hop| spans.iter().find(|span| span.hop == hop).expect("a span");
    let (entry, own) = (of_hop(Hop::Entry), of_hop(Hop::Agent));
    assert_ne!(entry.parent_span_id, 0);
    assert_eq!(own.parent_span_id, entry.context.span_id);
    assert_eq!(of_hop(Hop::Upstream).parent_span_id, own.context.span_id);
}

/// Fails if tickets don't reach every process from the platform alone, or if a process serves
/// before it holds them.
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
        wait_for_heartbeats(&cluster).await;
    }

    assert!(is_ready());
    assert_eq!(cluster.client("buyer").get("/lots/1").await, ANSWERED);
}

/// Lets the processes run until each agent has probed its upstream a few times.
async fn wait_for_heartbeats(cluster: &support::Cluster) {
    let asked = || cluster.platform.calls();
    let before = asked();
    until("processes ask the platform", || asked() > before).await;
}

async fn until_each(feeds: &[fes_testkit::Feed], events: u64) {
    until("every feed goes on", || {
        feeds.iter().all(|feed| feed.counts().events >= events)
    })
    .await;
}
