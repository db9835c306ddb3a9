//! Rotation of the secret keys while clients have open flows.

mod support;

use std::sync::Arc;

use fes_protocol::KeyEpoch;
use fes_protocol::KeyEpochSpec;
use fes_protocol::SecretKey;
use fes_protocol::Ticket;
use fes_protocol::TicketNumber;
use fes_protocol::TicketObject;
use fes_settings::NodeSettings;
use fes_testkit::ClientRequest;
use fes_testkit::Outcome;
use fes_testkit::wait_until;
use support::Cluster;
use support::cluster_with_nodes;

const ANSWERED: Outcome = Outcome::Answered { status: 200 };

fn add_next_key(node: &mut NodeSettings) {
    let next = SecretKey::new([3; 16]);
    node.keys = node.keys.clone().with_adjacent_key(KeyEpoch(1), next);
}

fn rotation(number: u64) -> Arc<Ticket> {
    let current = KeyEpoch(1);
    Arc::new(Ticket {
        number: TicketNumber(number),
        objects: vec![TicketObject::KeyEpoch(KeyEpochSpec { current })],
    })
}

/// Applies the rotation at one entry and one agent only.
fn rotate_half(cluster: &Cluster) {
    cluster.entries[0].inject_ticket(rotation(2));
    cluster.agents[0].inject_ticket(rotation(2));
}

fn rotate_rest(cluster: &Cluster) {
    cluster
        .entries
        .iter()
        .for_each(|entry| entry.inject_ticket(rotation(2)));
    cluster
        .agents
        .iter()
        .for_each(|agent| agent.inject_ticket(rotation(2)));
}

/// Fails if flows or idempotency keys from before a rotation stop working, either while processes
/// use different epochs or after all have switched.
#[actix_rt::test]
async fn flows_and_keys_survive_a_rotation() {
    let cluster = cluster_with_nodes(2, 2, add_next_key).await;
    let clients: Vec<_> = (0..6).map(|n| cluster.client(&format!("c{n}"))).collect();
    let feeds: Vec<_> = clients.iter().map(|c| c.open_feed("/feed")).collect();
    wait_until("feeds are open", || {
        feeds.iter().all(|f| f.counts().events > 2)
    })
    .await;
    let key = clients[0].next_key().await.expect("key");

    rotate_half(&cluster);
    let mixed = cluster.client("mixed").get("/lots/1").await;
    wait_until("the feeds continue", || {
        feeds.iter().all(|f| f.counts().events > 20)
    })
    .await;
    rotate_rest(&cluster);
    let after = cluster.client("after").get("/lots/1").await;
    let keyed = clients[0]
        .send(ClientRequest::post("/reservations", key, "lot 1"))
        .await;
    wait_until("the feeds continue", || {
        feeds.iter().all(|f| f.counts().events > 40)
    })
    .await;

    assert_eq!((mixed, after, keyed), (ANSWERED, ANSWERED, ANSWERED));
    let breaks: u64 = feeds.iter().map(|feed| feed.counts().breaks).sum();
    assert_eq!(breaks, 0);
}
