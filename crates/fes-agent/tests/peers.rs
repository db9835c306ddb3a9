//! Requests that run at another agent than the one that the client is connected to.

mod support;

use fes_protocol::TargetId;
use fes_testkit::Client;
use fes_testkit::Outcome;
use fes_testkit::until;
use futures::future::join_all;
use support::Cluster;
use support::cluster;

const ANSWERED: Outcome = Outcome::Answered { status: 200 };

async fn until_peers_are_heard(cluster: &Cluster) {
    let others = cluster.agents.len() - 1;
    let hears_all = || {
        let agents = cluster.agents.iter();
        agents
            .map(|agent| agent.peers_taking_work())
            .all(|heard| heard == others)
    };
    until("the agents hear each other", hears_all).await;
}

/// Fails if a keyed request doesn't run at the owner of its key, or if relaying runs it twice.
#[actix_rt::test]
async fn keyed_requests_are_relayed_to_their_owner() {
    let cluster = cluster(2, 3).await;
    until_peers_are_heard(&cluster).await;
    let clients: Vec<_> = (0..6).map(|n| cluster.client(&format!("c{n}"))).collect();

    let mut outcomes = Vec::new();
    for round in 0..4 {
        let submits = clients.iter().map(|client| {
            let body = format!("lot {round}");
            client.submit("/reservations?bytes=20000", body)
        });
        outcomes.extend(join_all(submits).await);
    }

    assert_eq!(outcomes, vec![ANSWERED; 24]);
    assert_eq!(cluster.log.doubled(), 0);
    assert_eq!(cluster.log.len(), 24);
    assert!(cluster.sum(|agent| agent.counters().requests_relayed) > 0);
}

/// Fails if a relayed response that is too large to be held is cut, or if its key can run again.
#[actix_rt::test]
async fn large_keyed_responses_are_streamed_through_the_relay() {
    let cluster = cluster(2, 2).await;
    until_peers_are_heard(&cluster).await;
    let clients: Vec<_> = (0..4).map(|n| cluster.client(&format!("c{n}"))).collect();

    let mut outcomes = Vec::new();
    for _ in 0..3 {
        let submit = |client: &Client| {
            let client = client.clone();
            async move { client.submit("/reports?bytes=500000", "all lots").await }
        };
        outcomes.extend(join_all(clients.iter().map(submit)).await);
    }

    assert_eq!(outcomes, vec![ANSWERED; 12]);
    assert_eq!(cluster.log.doubled(), 0);
}

/// Fails if an agent with more demand than capacity keeps all of it while a peer is idle, or if
/// offloaded requests lose their responses.
#[actix_rt::test]
async fn surplus_demand_runs_at_an_idle_peer() {
    let mut cluster = cluster(2, 2).await;
    cluster.leaving.push(TargetId(2));
    cluster.publish(2).await;
    let clients: Vec<_> = (0..8).map(|n| cluster.client(&format!("c{n}"))).collect();
    let first = join_all(clients.iter().map(|client| client.get("/lots/0"))).await;
    cluster.leaving.clear();
    cluster.publish(3).await;
    until_peers_are_heard(&cluster).await;
    let before = cluster.upstreams[1].started();

    let mut outcomes = first;
    for round in 1..=120 {
        let gets = clients.iter().enumerate();
        let gets = gets.map(|(n, client)| client.get(format!("/lots/{round}-{n}?bytes=2000")));
        outcomes.extend(join_all(gets).await);
    }

    let failed: Vec<_> = outcomes.iter().filter(|o| **o != ANSWERED).collect();
    assert_eq!(failed, Vec::<&Outcome>::new());
    assert!(cluster.agents[0].counters().requests_offloaded > 0);
    assert!(cluster.upstreams[1].started() > before);
}
