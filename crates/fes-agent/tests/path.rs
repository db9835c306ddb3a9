//! The whole path on real sockets: client, fabric, entries, agents, upstreams.

mod support;

use fes_testkit::Outcome;
use fes_testkit::until;
use support::cluster;

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

async fn until_each(feeds: &[fes_testkit::Feed], events: u64) {
    until("every feed goes on", || {
        feeds.iter().all(|feed| feed.counts().events >= events)
    })
    .await;
}
