//! Drains, crashes and restarts of agents while clients have open flows.

mod support;

use fes_protocol::Lifecycle;
use fes_protocol::ResultCode;
use fes_protocol::TargetId;
use fes_protocol::headers::RESULT_CODE;
use fes_testkit::ClientRequest;
use fes_testkit::Outcome;
use fes_testkit::wait_until;
use support::cluster;
use support::cluster_with;

const ANSWERED: Outcome = Outcome::Answered { status: 200 };

/// Fails if a drain aborts a request in progress, or if the draining agent accepts new work.
#[actix_rt::test]
async fn a_drain_completes_open_requests() {
    let mut cluster = cluster(2, 3).await;
    // Fewer reports than slots, so that every agent keeps a free slot for other requests.
    for upstream in &cluster.upstreams {
        upstream.hold("/reports");
    }
    let clients: Vec<_> = (0..3).map(|n| cluster.client(&format!("c{n}"))).collect();
    let reports: Vec<_> = clients
        .iter()
        .map(|client| {
            let client = client.clone();
            actix_rt::spawn(async move { client.get("/reports/1?bytes=50000").await })
        })
        .collect();
    let admitted = || cluster.sum(|agent| agent.counters().requests_open);
    wait_until("all reports are admitted", || admitted() == 3).await;

    let is_busy = |agent: &fes_agent::AgentHandle| agent.counters().requests_open > 0;
    let busy = cluster.agents.iter().position(is_busy).expect("a report");
    let leaving = cluster.agents.remove(busy);
    leaving.stop();
    assert_eq!(leaving.lifecycle(), Lifecycle::Draining);
    let received = leaving.counters().requests_received;
    let late = cluster.client("late").get("/lots/1").await;
    let on_open_flow = clients[0].get("/lots/1").await;
    for upstream in &cluster.upstreams {
        upstream.release("/reports");
    }
    let mut outcomes = Vec::new();
    for report in reports {
        outcomes.push(report.await.expect("task"));
    }
    let status = leaving.stopped().await;

    assert_eq!(outcomes, vec![ANSWERED; 3]);
    assert_eq!((late, on_open_flow), (ANSWERED, ANSWERED));
    assert_eq!(leaving.counters().requests_received, received);
    assert_eq!(status, 0);
}

/// Fails if killing an agent stalls or breaks flows of other agents.
#[actix_rt::test]
async fn a_killed_agent_breaks_only_its_own_flows() {
    let mut cluster = cluster(2, 3).await;
    let clients: Vec<_> = (0..12).map(|n| cluster.client(&format!("c{n}"))).collect();
    let feeds: Vec<_> = clients.iter().map(|c| c.open_feed("/feed")).collect();
    wait_until("feeds are open", || {
        feeds.iter().all(|f| f.counts().events > 2)
    })
    .await;
    let flows_of_killed = cluster.agents[0].counters().flows_open;

    cluster.agents.remove(0).kill();
    for step in 1..=12 {
        wait_until("the feeds of the other agents continue", || {
            let has_continued = |f: &fes_testkit::Feed| f.counts().events > 20 * step;
            feeds.iter().filter(|f| has_continued(f)).count() >= 12 - flows_of_killed as usize
        })
        .await;
    }

    let broken = feeds.iter().filter(|feed| feed.counts().breaks > 0).count();
    assert!(
        broken as u64 <= flows_of_killed,
        "{broken} of {flows_of_killed}"
    );
}

/// Fails if a request that is open at the drain bound gets no explicit answer, or "not run" even
/// though it ran.
#[actix_rt::test]
async fn open_requests_are_answered_at_the_drain_bound() {
    let mut cluster = cluster_with(2, 1, |settings| settings.drain_bound_ms = 1).await;
    let upstream = cluster.upstreams[0].clone();
    upstream.hold("/reports");
    let clients: Vec<_> = (0..5).map(|n| cluster.client(&format!("c{n}"))).collect();
    let key = clients[0].next_key().await.expect("key");
    let keyed = ClientRequest::post("/reports/keyed", key, "all lots");
    let mut calls = vec![keyed];
    calls.extend((1..5).map(|n| ClientRequest::get(format!("/reports/{n}"))));
    let requests = clients.iter().zip(calls).map(|(client, call)| {
        let client = client.clone();
        actix_rt::spawn(async move { client.exchange(&call).await })
    });
    let requests: Vec<_> = requests.collect();
    let agent = cluster.agents.remove(0);
    wait_until("all are admitted", || agent.counters().requests_open == 5).await;
    wait_until("some run", || upstream.running() > 1).await;

    let status = agent.drain().await;
    let mut codes = Vec::new();
    for request in requests {
        let reply = request.await.expect("task").expect("a reply");
        let code = reply.headers.get(RESULT_CODE).expect("a code");
        codes.push(code.to_str().expect("text").to_owned());
    }

    let unknown = codes.iter().filter(|code| *code == "F3007").count();
    let not_run = codes.iter().filter(|code| *code == "F2004").count();
    // At most four requests run, one for each slot. One may be aborted before it reached the
    // upstream.
    assert_eq!(unknown + not_run, 5, "{codes:?}");
    assert!((cluster.log.len()..=4).contains(&unknown), "{codes:?}");
    assert_eq!(status, 1);
}

/// Fails if a restarted agent runs a request with a key of its previous incarnation, or answers
/// "not run".
#[actix_rt::test]
async fn a_restarted_agent_does_not_know_its_former_keys() {
    let mut cluster = cluster(2, 1).await;
    let client = cluster.client("buyer");
    let key = client.next_key().await.expect("key");
    let call = ClientRequest::post("/reservations", key.clone(), "lot 1");
    assert_eq!(client.send(call.clone()).await, ANSWERED);

    cluster.restart_agent(0).await;
    cluster.publish(2).await;
    client.disconnect();
    let retry = client.send(call).await;
    let fresh = cluster
        .client("other")
        .submit("/reservations", "lot 2")
        .await;

    assert_eq!(retry, Outcome::Unknown(ResultCode::UnknownOwnerLost));
    assert_eq!(fresh, ANSWERED);
    assert_eq!(cluster.log.runs_of(&key), 1);
}

/// Fails if a leaving upstream gets new requests, or if its open feeds break.
#[actix_rt::test]
async fn a_leaving_upstream_keeps_its_feeds_and_gets_no_new_requests() {
    let mut cluster = cluster(2, 2).await;
    let watchers: Vec<_> = (0..8).map(|n| cluster.client(&format!("w{n}"))).collect();
    let feeds: Vec<_> = watchers.iter().map(|c| c.open_feed("/feed")).collect();
    wait_until("feeds are open", || {
        feeds.iter().all(|f| f.counts().events > 2)
    })
    .await;

    cluster.leaving.push(TargetId(1));
    cluster.publish(2).await;
    let before = cluster.agents[0].counters().requests_started;
    let mut outcomes = Vec::new();
    for n in 0..16 {
        outcomes.push(cluster.client(&format!("new-{n}")).get("/lots/1").await);
    }
    wait_until("the feeds continue", || {
        feeds.iter().all(|f| f.counts().events > 20)
    })
    .await;

    assert_eq!(outcomes, vec![ANSWERED; 16]);
    assert_eq!(cluster.agents[0].counters().requests_started, before);
    let breaks: u64 = feeds.iter().map(|feed| feed.counts().breaks).sum();
    assert_eq!(breaks, 0);
}

const CLIENTS_BEYOND_LIMIT: usize = 32;

/// Fails if an agent exceeds its flow limit, or if excess flows are refused although a peer has
/// capacity.
#[actix_rt::test]
async fn first_packets_beyond_the_flow_limit_go_to_a_peer() {
    let cluster = cluster_with(2, 2, |settings| {
        if settings.target == TargetId(1) {
            settings.flow_limit = 1;
        }
    })
    .await;
    let peer_is_available = || cluster.agents[0].available_peer_count() == 1;
    wait_until("the peer is available", peer_is_available).await;

    // First packets are spread by a hash of random connection IDs. Of so many, at least two reach
    // the agent with the limit.
    let names = (0..CLIENTS_BEYOND_LIMIT).map(|n| format!("c{n}"));
    let clients: Vec<_> = names.map(|name| cluster.client(&name)).collect();
    let mut outcomes = Vec::new();
    for client in &clients {
        outcomes.push(client.get("/lots/1").await);
    }

    assert_eq!(outcomes, vec![ANSWERED; CLIENTS_BEYOND_LIMIT]);
    assert_eq!(cluster.agents[0].counters().flows_open, 1);
    assert!(cluster.agents[0].counters().first_packets_handed_off > 0);
}
