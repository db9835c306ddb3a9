//! Requests that run at a different agent than the one the client is connected to.

mod support;

use fes_protocol::ResultCode;
use fes_protocol::TargetId;
use fes_testkit::Client;
use fes_testkit::ClientRequest;
use fes_testkit::Outcome;
use fes_testkit::wait_until;
use futures::future::join_all;
use support::Cluster;
use support::cluster;

const ANSWERED: Outcome = Outcome::Answered { status: 200 };

async fn wait_until_peers_are_available(cluster: &Cluster) {
    let others = cluster.agents.len() - 1;
    let all_available = || {
        let agents = cluster.agents.iter();
        agents
            .map(|agent| agent.available_peer_count())
            .all(|count| count == others)
    };
    wait_until("the agents know each other", all_available).await;
}

/// Connects clients until every agent has a flow.
async fn clients_of_all_agents(cluster: &Cluster) -> Vec<Client> {
    let mut clients = Vec::new();
    let is_idle = |agent: &fes_agent::AgentHandle| agent.counters().flows_open == 0;
    while cluster.agents.iter().any(is_idle) {
        let client = cluster.client(&format!("c{}", clients.len()));
        assert_eq!(client.get("/lots/0").await, ANSWERED);
        clients.push(client);
    }
    clients
}

/// Sends the same call concurrently from every client; at most one of their agents owns its key.
async fn send_from_all(clients: &[Client], call: &ClientRequest) -> Vec<Outcome> {
    join_all(clients.iter().map(|client| client.send(call.clone()))).await
}

/// Fails if keyed requests aren't relayed to the owner of their key, or if relaying runs one twice.
#[actix_rt::test]
async fn keyed_requests_are_relayed_to_their_owner() {
    let cluster = cluster(2, 3).await;
    let clients = clients_of_all_agents(&cluster).await;
    let key = clients[0].next_key().await.expect("key");
    let call = ClientRequest::post("/reservations?bytes=20000", key.clone(), "lot 1");

    let outcomes = send_from_all(&clients, &call).await;

    assert_eq!(outcomes, vec![ANSWERED; clients.len()]);
    assert_eq!(cluster.log.runs_of(&key), 1);
    assert!(cluster.sum(|agent| agent.counters().requests_relayed) >= 2);
}

/// Fails if a relayed response that is too large to be stored is truncated, or if a retry with its
/// key runs again.
#[actix_rt::test]
async fn large_keyed_responses_are_streamed_through_the_relay() {
    let cluster = cluster(2, 2).await;
    let clients = clients_of_all_agents(&cluster).await;
    let mut outcomes = Vec::new();

    // Only the first attempt with a key can get the response, at whichever agent owns the key.
    for (number, client) in clients.iter().enumerate() {
        let key = clients[0].next_key().await.expect("key");
        let path = format!("/reports/{number}?bytes=500000");
        outcomes.push(
            client
                .send(ClientRequest::post(path, key, "all lots"))
                .await,
        );
    }
    let again = clients[0].next_key().await.expect("key");
    let call = ClientRequest::post("/reports/again?bytes=500000", again.clone(), "all lots");
    let first = clients[0].send(call.clone()).await;
    let retries = send_from_all(&clients, &call).await;

    assert_eq!(outcomes, vec![ANSWERED; clients.len()]);
    assert_eq!(first, ANSWERED);
    let not_held = Outcome::Unknown(ResultCode::FinishedNotHeld);
    assert_eq!(retries, vec![not_held; clients.len()]);
    assert_eq!(cluster.log.duplicated_key_count(), 0);
}

/// Fails if an overloaded agent offloads nothing to an idle peer, or if offloaded requests lose
/// their responses.
#[actix_rt::test]
async fn surplus_demand_runs_at_an_idle_peer() {
    let mut cluster = cluster(2, 2).await;
    cluster.leaving.push(TargetId(2));
    cluster.publish(2).await;
    let clients: Vec<_> = (0..8).map(|n| cluster.client(&format!("c{n}"))).collect();
    let first = join_all(clients.iter().map(|client| client.get("/lots/0"))).await;
    cluster.leaving.clear();
    cluster.publish(3).await;
    wait_until_peers_are_available(&cluster).await;
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
