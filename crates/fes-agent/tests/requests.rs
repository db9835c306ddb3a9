//! Requests that fail, are cancelled or are retried between client and upstream.

mod support;

use std::rc::Rc;

use fes_protocol::ResultCode;
use fes_testkit::ClientRequest;
use fes_testkit::Outcome;
use fes_testkit::Upstream;
use fes_testkit::UpstreamOptions;
use fes_testkit::wait_until;
use support::Cluster;
use support::SLOTS;
use support::cluster;
use support::cluster_with;

/// Maximum number of refused requests before the restarted upstream must be found. The agent probes
/// it five times per second, and a refusal takes about a millisecond.
const MAX_ATTEMPTS: usize = 20_000;

const ANSWERED: Outcome = Outcome::Answered { status: 200 };

/// Fails if a response that the upstream truncates looks complete to the client, or if its slot
/// isn't released.
#[actix_rt::test]
async fn a_truncated_response_is_an_explicit_error() {
    let cluster = cluster(2, 1).await;
    let client = cluster.client("buyer");
    cluster.upstreams[0].set_truncating_responses(true);

    // Larger than the flow-control windows, so that the first half is already being sent to the
    // client when the response is truncated.
    let cut = client.get("/lots/1?bytes=8000000").await;
    cluster.upstreams[0].set_truncating_responses(false);
    let whole = client.get("/lots/1?bytes=8000000").await;

    assert_eq!(cut, Outcome::Unknown(ResultCode::ResponseTruncated));
    assert_eq!(whole, ANSWERED);
    assert_eq!(cluster.agents[0].counters().responses_truncated, 1);
    assert_eq!(cluster.agents[0].counters().slots_used, 0);
}

/// Fails if a keyed request whose response is truncated gets any answer but "unknown", or if its
/// retry runs again.
#[actix_rt::test]
async fn a_truncated_keyed_response_stays_unknown() {
    let cluster = cluster(2, 1).await;
    let client = cluster.client("buyer");
    let key = client.next_key().await.expect("key");
    let call = ClientRequest::post("/reservations", key.clone(), "lot 1");
    cluster.upstreams[0].set_truncating_responses(true);

    let first = client.send(call.clone()).await;
    cluster.upstreams[0].set_truncating_responses(false);
    let retry = client.send(call).await;

    let unknown = Outcome::Unknown(ResultCode::UnknownUpstreamLost);
    assert_eq!((first, retry), (unknown.clone(), unknown));
    assert_eq!(cluster.log.runs_of(&key), 1);
}

/// Fails if a request that its client cancelled keeps its slot or continues at the upstream.
#[actix_rt::test]
async fn a_cancelled_request_frees_its_slot() {
    let cluster = cluster(2, 1).await;
    let upstream = cluster.upstreams[0].clone();
    upstream.hold("/lots");
    let client = cluster.client("buyer");
    let requester = client.clone();
    let request = actix_rt::spawn(async move { requester.get("/lots/1").await });
    wait_until("the request runs", || upstream.running() == 1).await;

    request.abort();
    wait_until("the upstream sees the cancellation", || {
        upstream.cancelled() == 1
    })
    .await;

    let agent = &cluster.agents[0];
    wait_until("the slot is free", || agent.counters().slots_used == 0).await;
    assert_eq!(agent.counters().requests_cancelled, 1);
    assert_eq!(client.get("/health-check").await, ANSWERED);
}

/// Fails if concurrent or later attempts with one key run more than once or get different answers.
#[actix_rt::test]
async fn concurrent_requests_with_one_key_run_once() {
    let cluster = cluster(2, 3).await;
    let client = cluster.client("buyer");
    let key = client.next_key().await.expect("key");
    let call = ClientRequest::post("/reservations", key.clone(), "lot 1");

    let tries = (0..8).map(|n| {
        let client = cluster.client(&format!("try-{n}"));
        let call = call.clone();
        async move { client.send(call).await }
    });
    let outcomes = futures::future::join_all(tries).await;
    let later = client.send(call).await;

    assert_eq!(outcomes, vec![ANSWERED; 8]);
    assert_eq!(later, ANSWERED);
    assert_eq!(cluster.log.runs_of(&key), 1);
}

/// Fails if a request runs although its key was already used with another body.
#[actix_rt::test]
async fn a_reused_key_with_another_body_is_refused() {
    let cluster = cluster(1, 1).await;
    let client = cluster.client("buyer");
    let key = client.next_key().await.expect("key");

    let first = client
        .send(ClientRequest::post("/reservations", key.clone(), "lot 1"))
        .await;
    let other = client
        .send(ClientRequest::post("/reservations", key.clone(), "lot 2"))
        .await;

    assert_eq!(first, ANSWERED);
    assert_eq!(other, Outcome::NotRun(ResultCode::NotRunKeyReused));
    assert_eq!(cluster.log.runs_of(&key), 1);
}

/// Fails if a request whose key owner crashed is answered with "not run", or runs elsewhere.
#[actix_rt::test]
async fn a_request_whose_key_owner_crashed_is_unknown() {
    let mut cluster = cluster(2, 2).await;
    let clients: Vec<_> = (0..8).map(|n| cluster.client(&format!("c{n}"))).collect();
    let mut calls = Vec::new();
    for client in &clients {
        let key = client.next_key().await.expect("key");
        calls.push(ClientRequest::post("/reservations", key, "lot 1"));
    }
    let owners = owners_by_run(&cluster, &clients, &calls).await;
    cluster.agents.remove(0).kill();
    let survivor = cluster.client("survivor-side");

    let mut outcomes = Vec::new();
    for call in &calls {
        outcomes.push(retry_elsewhere(&survivor, call).await);
    }

    for (outcome, owner) in outcomes.iter().zip(&owners) {
        match owner.as_ref() == "upstream-1" {
            true => assert!(matches!(outcome, Outcome::Unknown(_)), "{outcome:?}"),
            false => assert_eq!(*outcome, ANSWERED),
        }
    }
    assert_eq!(cluster.log.duplicated_key_count(), 0);
}

/// Runs each call once; returns the upstreams that ran them, in the order of the calls.
async fn owners_by_run(
    cluster: &Cluster,
    clients: &[fes_testkit::Client],
    calls: &[ClientRequest],
) -> Vec<Rc<str>> {
    for (client, call) in clients.iter().zip(calls) {
        assert_eq!(client.send(call.clone()).await, ANSWERED);
    }
    let executions = cluster.log.all();
    let owner = |call: &ClientRequest| {
        let of_call = executions.iter().find(|e| e.key == call.key);
        Rc::clone(&of_call.expect("an execution").upstream)
    };
    calls.iter().map(owner).collect()
}

/// Retries a call until its connection reaches a running agent.
async fn retry_elsewhere(client: &fes_testkit::Client, call: &ClientRequest) -> Outcome {
    loop {
        match client.send(call.clone()).await {
            Outcome::Lost(_) => client.disconnect(),
            outcome => return outcome,
        }
    }
}

/// Fails if an overloaded agent queues requests beyond its limit, or if refused requests run.
#[actix_rt::test]
async fn requests_beyond_the_capacity_are_refused_as_not_run() {
    let cluster = cluster_with(1, 1, |settings| settings.queue_limit_requests = 2).await;
    let upstream = cluster.upstreams[0].clone();
    upstream.hold("/lots");
    let client = cluster.client("buyer");
    let total = SLOTS as usize + 6;

    let requests: Vec<_> = (0..total)
        .map(|n| {
            let client = client.clone();
            actix_rt::spawn(async move { client.get(format!("/lots/{n}")).await })
        })
        .collect();
    let agent = &cluster.agents[0];
    wait_until("the others are refused", || {
        let counters = agent.counters();
        counters.requests_received as usize == total && counters.requests_open <= 6
    })
    .await;
    upstream.release("/lots");
    let mut outcomes = Vec::new();
    for request in requests {
        outcomes.push(request.await.expect("task"));
    }

    let answered = outcomes.iter().filter(|o| **o == ANSWERED).count();
    let refused = outcomes
        .iter()
        .filter(|o| matches!(o, Outcome::NotRun(_)))
        .count();
    assert_eq!(answered + refused, total, "{outcomes:?}");
    assert!(refused >= 4, "{outcomes:?}");
    assert_eq!(cluster.log.len(), answered);
}

/// Fails if the agent doesn't reconnect to a restarted upstream, or if requests don't get an
/// explicit answer while the upstream is down.
#[actix_rt::test]
async fn the_agent_reconnects_to_a_restarted_upstream() {
    let mut cluster = cluster(1, 1).await;
    let client = cluster.client("buyer");
    assert_eq!(client.get("/lots/1").await, ANSWERED);
    let address = cluster.upstreams[0].address();

    cluster.upstreams.clear();
    let down = client.get("/lots/2").await;
    let options = UpstreamOptions::default();
    let upstream = Upstream::start_at(address, options, cluster.log.clone()).await;
    cluster.upstreams.push(upstream.expect("upstream"));
    let mut outcome = client.get("/lots/3").await;
    for _ in 0..MAX_ATTEMPTS {
        if !matches!(outcome, Outcome::NotRun(_)) {
            break;
        }
        outcome = client.get("/lots/3").await;
    }

    let is_refused = matches!(
        down,
        Outcome::NotRun(ResultCode::NotRunUpstreamDown)
            | Outcome::Unknown(ResultCode::UnknownUpstreamLost)
    );
    assert!(is_refused, "{down:?}");
    assert_eq!(outcome, ANSWERED);
}

/// Fails if a request body above the limit reaches the upstream.
#[actix_rt::test]
async fn an_oversized_body_is_refused() {
    let cluster = cluster_with(1, 1, |settings| settings.body_limit_bytes = 1_000).await;
    let client = cluster.client("buyer");
    let key = client.next_key().await.expect("key");

    let call = ClientRequest::post("/reservations", key.clone(), vec![7; 5_000]);
    let reply = client.exchange(&call).await.expect("a reply");

    assert_eq!(reply.status, 413);
    assert_eq!(cluster.log.runs_of(&key), 0);
}

/// Fails if the deadline that a client requests is ignored, or if a request that ran past it is
/// answered with "not run".
#[actix_rt::test]
async fn a_deadline_ends_a_running_request() {
    let cluster = cluster(1, 1).await;
    let upstream = cluster.upstreams[0].clone();
    upstream.hold("/lots");
    let client = cluster.client("buyer");
    let mut call = ClientRequest::get("/lots/1");
    call.deadline_ms = Some(200);

    let outcome = client.send(call).await;

    let is_ended = matches!(
        outcome,
        Outcome::Unknown(ResultCode::UnknownDeadline) | Outcome::Failed { status: 504 }
    );
    assert!(is_ended, "{outcome:?}");
    let agent = &cluster.agents[0];
    wait_until("the slot is free", || agent.counters().slots_used == 0).await;
}
