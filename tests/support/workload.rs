//! Sends requests and opens feeds to a fleet, and checks every outcome.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use fes_testkit::Client;
use fes_testkit::ClientRequest;
use fes_testkit::ExecutionLog;
use fes_testkit::Feed;
use fes_testkit::Outcome;

use super::fleet::Fleet;

const CLIENT_COUNT: usize = 6;
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Maximum number of polls for a condition; far more than the recovery from any fault in the tests
/// takes.
const MAX_POLLS: usize = 12_000;

/// A running workload. Each client alternates repeatable and non-repeatable requests and keeps one
/// feed open.
pub struct Workload {
    clients: Vec<Client>,
    pub feeds: Vec<Feed>,
    shared: Rc<Shared>,
}

#[derive(Default)]
struct Shared {
    finished_requests: Cell<usize>,
    stop: Cell<bool>,
    running_clients: Cell<usize>,
    keyed_outcomes: RefCell<Vec<(String, Outcome)>>,
    unkeyed_outcomes: RefCell<Vec<Outcome>>,
}

/// Results of a workload.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct WorkloadReport {
    pub requests: usize,
    pub answered: usize,
    pub lost: usize,
    pub misrouted: usize,
    pub truncated: usize,
    /// Idempotency keys whose request ran more than once.
    pub doubled: usize,
    /// Idempotency keys whose request was answered "not run" although it ran.
    pub false_refusals: usize,
    /// Idempotency keys whose request was answered although it never ran.
    pub false_answers: usize,
    pub broken_feeds: usize,
}

impl Workload {
    pub fn start(fleet: &Fleet) -> Self {
        let clients: Vec<Client> = (0..CLIENT_COUNT)
            .map(|number| fleet.client(format!("client-{number}")))
            .collect();
        let feeds = clients
            .iter()
            .map(|client| client.open_feed("/feed/stave"))
            .collect();
        let shared = Rc::new(Shared::default());
        for client in &clients {
            shared.running_clients.set(shared.running_clients.get() + 1);
            actix_rt::spawn(run_client(client.clone(), Rc::clone(&shared)));
        }
        Self {
            clients,
            feeds,
            shared,
        }
    }

    /// Waits until this many more requests have finished.
    pub async fn await_requests(&self, requests: usize) {
        let expected = self.shared.finished_requests.get() + requests;
        self.await_condition("requests finish", || {
            self.shared.finished_requests.get() >= expected
        })
        .await;
    }

    /// Waits until every feed has delivered this many more events.
    pub async fn await_feed_events(&self, events: u64) {
        let expected: Vec<u64> = self
            .feeds
            .iter()
            .map(|feed| feed.counts().events + events)
            .collect();
        let all_delivered = || {
            self.feeds
                .iter()
                .zip(&expected)
                .all(|(feed, expected)| feed.counts().events >= *expected)
        };
        self.await_condition("feeds deliver events", all_delivered)
            .await;
    }

    /// Stops the workload and compares the outcomes at the clients with the executions at the
    /// upstreams.
    pub async fn finish(self, log: &ExecutionLog) -> WorkloadReport {
        self.shared.stop.set(true);
        self.await_condition("running requests finish", || {
            self.shared.running_clients.get() == 0
        })
        .await;
        let mut report = WorkloadReport::default();
        for outcome in self.shared.unkeyed_outcomes.borrow().iter() {
            report.count(outcome);
        }
        for (key, outcome) in self.shared.keyed_outcomes.borrow().iter() {
            report.count(outcome);
            let runs = log.runs_of(key);
            report.doubled += usize::from(runs > 1);
            report.false_refusals += usize::from(matches!(outcome, Outcome::NotRun(_)) && runs > 0);
            let is_answered = matches!(outcome, Outcome::Answered { .. });
            report.false_answers += usize::from(is_answered && runs == 0);
        }
        report.broken_feeds = self.feeds.iter().filter(|feed| feed.is_broken()).count();
        println!("{report:?}");
        report
    }

    /// Returns the clients, to send single requests.
    pub fn clients(&self) -> &[Client] {
        &self.clients
    }

    async fn await_condition(&self, what: &str, condition: impl Fn() -> bool) {
        for _ in 0..MAX_POLLS {
            if condition() {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("timed out waiting until {what}");
    }
}

impl WorkloadReport {
    fn count(&mut self, outcome: &Outcome) {
        self.requests += 1;
        match outcome {
            Outcome::Answered { .. } => self.answered += 1,
            Outcome::Lost(_) => self.lost += 1,
            Outcome::Misrouted => self.misrouted += 1,
            Outcome::Truncated => self.truncated += 1,
            Outcome::Failed { .. } | Outcome::NotRun(_) | Outcome::Unknown(_) => {}
        }
    }
}

async fn run_client(client: Client, shared: Rc<Shared>) {
    let mut number = 0;
    while !shared.stop.get() {
        number += 1;
        let outcome = client.get(format!("/lots/{number}?nonce={number}")).await;
        shared.unkeyed_outcomes.borrow_mut().push(outcome);
        if let Ok(key) = client.next_key().await {
            let body = format!("lot {number}");
            let path = format!("/reservations?nonce={number}");
            let outcome = client
                .send(ClientRequest::post(path, key.clone(), body))
                .await;
            shared.keyed_outcomes.borrow_mut().push((key, outcome));
        }
        shared
            .finished_requests
            .set(shared.finished_requests.get() + 2);
    }
    shared.running_clients.set(shared.running_clients.get() - 1);
}
