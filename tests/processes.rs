//! Real daemons over loopback that are killed, paused, drained and replaced under load. Verdicts
//! depend on counts only; seeds are printed.

mod support;

use support::Fleet;
use support::Workload;

const REQUESTS: usize = 60;
const FEED_EVENTS: u64 = 30;

/// Guards against entries that hold state which a flow needs.
#[actix_rt::test]
async fn killed_entries_break_nothing() {
    let mut fleet = Fleet::start(3, 3, 11).await;
    let workload = Workload::start(&fleet);
    workload.progress(REQUESTS).await;

    fleet.entries[0].1.kill();
    fleet.entries[1].1.kill();
    workload.progress(REQUESTS).await;
    fleet.entries.drain(..2);
    fleet.add_entry().await;
    workload.progress(REQUESTS).await;
    workload.feeds_progress(FEED_EVENTS).await;

    let report = workload.finish(&fleet.log).await;
    assert_eq!(report.answered, report.requests, "{report:?}");
    assert_eq!(report.broken_feeds, 0, "{report:?}");
    assert_eq!(
        (report.doubled, report.false_refusals, report.false_answers),
        (0, 0, 0)
    );
}

/// Guards against a request that runs again, or is answered "not run" after it ran, because its
/// agent died and the client tried again.
#[actix_rt::test]
async fn killed_agent_runs_nothing_twice() {
    let mut fleet = Fleet::start(2, 3, 12).await;
    let workload = Workload::start(&fleet);
    workload.progress(REQUESTS).await;

    fleet.agents[1].kill();
    workload.progress(REQUESTS).await;

    let report = workload.finish(&fleet.log).await;
    assert_eq!(
        (report.doubled, report.false_refusals, report.false_answers),
        (0, 0, 0)
    );
    assert_eq!((report.misrouted, report.truncated), (0, 0), "{report:?}");
    assert!(report.answered > REQUESTS, "{report:?}");
}

/// Guards against a restarted agent that takes keys of its earlier incarnation for new ones, and
/// against one that gets no work again.
#[actix_rt::test]
async fn replaced_agent_runs_nothing_twice_and_serves_again() {
    let mut fleet = Fleet::start(2, 2, 17).await;
    let workload = Workload::start(&fleet);
    workload.progress(REQUESTS).await;

    fleet.agents[0].kill();
    workload.progress(REQUESTS).await;
    fleet.agents[0].restart();
    fleet.agents[0].await_ready().await;
    workload.progress(REQUESTS).await;

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

/// Guards against a paused agent that wakes up and acts on what it believed before.
#[actix_rt::test]
async fn paused_agent_runs_nothing_twice_when_it_wakes() {
    let fleet = Fleet::start(2, 3, 13).await;
    let workload = Workload::start(&fleet);
    workload.progress(REQUESTS).await;

    fleet.agents[0].pause();
    workload.progress(REQUESTS).await;
    fleet.agents[0].resume();
    workload.progress(REQUESTS).await;

    let report = workload.finish(&fleet.log).await;
    assert_eq!(
        (report.doubled, report.false_refusals, report.false_answers),
        (0, 0, 0)
    );
    assert_eq!((report.misrouted, report.truncated), (0, 0), "{report:?}");
}

/// Guards against a planned stop of an entry that loses datagrams of flows for good.
#[actix_rt::test]
async fn stopped_entry_breaks_nothing() {
    let mut fleet = Fleet::start(2, 2, 14).await;
    let workload = Workload::start(&fleet);
    workload.progress(REQUESTS).await;

    fleet.add_entry().await;
    fleet.entries[0].1.terminate();
    workload.progress(REQUESTS).await;
    workload.feeds_progress(FEED_EVENTS).await;

    let report = workload.finish(&fleet.log).await;
    assert_eq!(report.answered, report.requests, "{report:?}");
    assert_eq!(report.broken_feeds, 0, "{report:?}");
}

/// Guards against a leaving upstream that cuts off feeds or loses requests.
#[actix_rt::test]
async fn leaving_upstream_keeps_its_feeds_and_loses_no_request() {
    let mut fleet = Fleet::start(2, 3, 15).await;
    let workload = Workload::start(&fleet);
    workload.progress(REQUESTS).await;

    fleet.publish_leaving(2);
    workload.progress(REQUESTS).await;
    workload.feeds_progress(FEED_EVENTS).await;

    let report = workload.finish(&fleet.log).await;
    assert_eq!(report.lost, 0, "{report:?}");
    assert_eq!(report.broken_feeds, 0, "{report:?}");
    assert_eq!(
        (report.doubled, report.false_refusals, report.false_answers),
        (0, 0, 0)
    );
}

/// Guards against metrics that are served and never counted.
#[actix_rt::test]
async fn daemons_count_what_they_do() {
    let fleet = Fleet::start(1, 2, 16).await;
    let workload = Workload::start(&fleet);
    workload.progress(REQUESTS).await;

    let (entry, agent) = (&fleet.entries[0].1, &fleet.agents[0]);
    for metric in [
        "datagrams_forwarded_total",
        "control_bytes_received_total",
        "platform_reads_total",
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
