//! Kills, pauses, drains and replaces daemon processes under load, on loopback addresses.
//! Assertions depend on counts and not on timing. The seeds are printed.

mod support;

use support::Fleet;
use support::Workload;

const REQUESTS: usize = 60;
const FEED_EVENTS: u64 = 30;

/// Guards against entries that hold state on which a flow depends.
#[actix_rt::test]
async fn killed_entries_lose_no_request_or_feed() {
    let mut fleet = Fleet::start(3, 3, 11).await;
    let workload = Workload::start(&fleet);
    workload.await_requests(REQUESTS).await;

    fleet.entries[0].1.kill();
    fleet.entries[1].1.kill();
    workload.await_requests(REQUESTS).await;
    fleet.entries.drain(..2);
    fleet.add_entry().await;
    workload.await_requests(REQUESTS).await;
    workload.await_feed_events(FEED_EVENTS).await;

    let report = workload.finish(&fleet.log).await;
    assert_eq!(report.answered, report.requests, "{report:?}");
    assert_eq!(report.broken_feeds, 0, "{report:?}");
    assert_eq!(
        (report.doubled, report.false_refusals, report.false_answers),
        (0, 0, 0)
    );
}

/// Guards against a request that is repeated after its agent was killed and runs a second time, or
/// is answered "not run" although it ran.
#[actix_rt::test]
async fn requests_of_a_killed_agent_run_at_most_once() {
    let mut fleet = Fleet::start(2, 3, 12).await;
    let workload = Workload::start(&fleet);
    workload.await_requests(REQUESTS).await;

    fleet.agents[1].kill();
    workload.await_requests(REQUESTS).await;

    let report = workload.finish(&fleet.log).await;
    assert_eq!(
        (report.doubled, report.false_refusals, report.false_answers),
        (0, 0, 0)
    );
    assert_eq!((report.misrouted, report.truncated), (0, 0), "{report:?}");
    assert!(report.answered > REQUESTS, "{report:?}");
}

/// Guards against a restarted agent that accepts idempotency keys of its previous incarnation as
/// new ones, or that receives no more requests.
#[actix_rt::test]
async fn restarted_agent_runs_no_request_twice_and_serves_again() {
    let mut fleet = Fleet::start(2, 2, 17).await;
    let workload = Workload::start(&fleet);
    workload.await_requests(REQUESTS).await;

    fleet.agents[0].kill();
    workload.await_requests(REQUESTS).await;
    fleet.agents[0].restart();
    fleet.agents[0].await_ready().await;
    workload.await_requests(REQUESTS).await;

    fleet.agents[0]
        .await_metric("fescueshift_requests_finished_total")
        .await;
    let report = workload.finish(&fleet.log).await;
    assert_eq!(
        (report.doubled, report.false_refusals, report.false_answers),
        (0, 0, 0)
    );
    assert_eq!((report.misrouted, report.truncated), (0, 0), "{report:?}");
}

/// Guards against an agent that acts on outdated state after a pause.
#[actix_rt::test]
async fn resumed_agent_runs_no_request_twice() {
    let fleet = Fleet::start(2, 3, 13).await;
    let workload = Workload::start(&fleet);
    workload.await_requests(REQUESTS).await;

    fleet.agents[0].pause();
    workload.await_requests(REQUESTS).await;
    fleet.agents[0].resume();
    workload.await_requests(REQUESTS).await;

    let report = workload.finish(&fleet.log).await;
    assert_eq!(
        (report.doubled, report.false_refusals, report.false_answers),
        (0, 0, 0)
    );
    assert_eq!((report.misrouted, report.truncated), (0, 0), "{report:?}");
}

/// Guards against a planned stop of an entry that breaks flows.
#[actix_rt::test]
async fn stopped_entry_loses_no_request_or_feed() {
    let mut fleet = Fleet::start(2, 2, 14).await;
    let workload = Workload::start(&fleet);
    workload.await_requests(REQUESTS).await;

    fleet.add_entry().await;
    fleet.entries[0].1.terminate();
    workload.await_requests(REQUESTS).await;
    workload.await_feed_events(FEED_EVENTS).await;

    let report = workload.finish(&fleet.log).await;
    assert_eq!(report.answered, report.requests, "{report:?}");
    assert_eq!(report.broken_feeds, 0, "{report:?}");
}

/// Guards against a leaving upstream that closes feeds or loses requests.
#[actix_rt::test]
async fn leaving_upstream_keeps_its_feeds_and_loses_no_request() {
    let mut fleet = Fleet::start(2, 3, 15).await;
    let workload = Workload::start(&fleet);
    workload.await_requests(REQUESTS).await;

    fleet.publish_leaving(2);
    workload.await_requests(REQUESTS).await;
    workload.await_feed_events(FEED_EVENTS).await;

    let report = workload.finish(&fleet.log).await;
    assert_eq!(report.lost, 0, "{report:?}");
    assert_eq!(report.broken_feeds, 0, "{report:?}");
    assert_eq!(
        (report.doubled, report.false_refusals, report.false_answers),
        (0, 0, 0)
    );
}

/// Guards against metrics that are exported but never updated.
#[actix_rt::test]
async fn daemons_update_their_metrics() {
    let fleet = Fleet::start(1, 2, 16).await;
    let workload = Workload::start(&fleet);
    workload.await_requests(REQUESTS).await;

    let (entry, agent) = (&fleet.entries[0].1, &fleet.agents[0]);
    for metric in [
        "datagrams_forwarded_total",
        "control_bytes_received_total",
        "platform_reads_total{reason=\"watch\"}",
    ] {
        entry.await_metric(&format!("fescueshift_{metric}")).await;
    }
    for metric in [
        "requests_finished_total",
        "request_duration_seconds_count",
        "queue_wait_seconds_count",
        "idempotency_keys",
        "control_bytes_sent_total",
    ] {
        agent.await_metric(&format!("fescueshift_{metric}")).await;
    }

    let report = workload.finish(&fleet.log).await;
    assert_eq!(report.answered, report.requests, "{report:?}");
}
