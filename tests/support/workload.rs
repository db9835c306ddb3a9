//! Requests and feeds against a fleet, with a check of every outcome.

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

const CLIENTS: usize = 6;
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Polls after which progress is given up; far above what any fault of a test may take.
const MAX_POLLS: usize = 12_000;

/// A workload in progress: each client alternates repeatable and non-repeatable requests and holds
/// one feed.
pub struct Workload {
    clients: Vec<Client>,
    pub feeds: Vec<Feed>,
    shared: Rc<Shared>,
}

#[derive(Default)]
struct Shared {
    ended: Cell<usize>,
    stop: Cell<bool>,
    running: Cell<usize>,
    keyed: RefCell<Vec<(String, Outcome)>>,
    plain: RefCell<Vec<Outcome>>,
}

/// What the workload observed.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct WorkloadReport {
    pub requests: usize,
    pub answered: usize,
    pub lost: usize,
    pub misrouted: usize,
    pub truncated: usize,
    /// Keys that ran more than once.
    pub doubled: usize,
    /// Keys that were answered "not run" and ran.
    pub false_refusals: usize,
    /// Keys that were answered as run and never ran.
    pub false_answers: usize,
    pub broken_feeds: usize,
}

impl Workload {
    pub fn start(fleet: &Fleet) -> Self {
        let clients: Vec<Client> = (0..CLIENTS)
            .map(|number| fleet.client(format!("client-{number}")))
            .collect();
        let feeds = clients
            .iter()
            .map(|client| client.open_feed("/feed/stave"))
            .collect();
        let shared = Rc::new(Shared::default());
        for client in &clients {
            shared.running.set(shared.running.get() + 1);
            actix_rt::spawn(drive(client.clone(), Rc::clone(&shared)));
        }
        Self {
            clients,
            feeds,
            shared,
        }
    }

    /// Waits until this many more requests have ended.
    pub async fn progress(&self, requests: usize) {
        let wanted = self.shared.ended.get() + requests;
        self.poll("requests end", || self.shared.ended.get() >= wanted)
            .await;
    }

    /// Waits until every feed has delivered this many more events.
    pub async fn feeds_progress(&self, events: u64) {
        let wanted: Vec<u64> = self
            .feeds
            .iter()
            .map(|f| f.counts().events + events)
            .collect();
        let all = || {
            self.feeds
                .iter()
                .zip(&wanted)
                .all(|(feed, n)| feed.counts().events >= *n)
        };
        self.poll("feeds deliver", all).await;
    }

    /// Ends the workload and compares what clients were told with what upstreams ran.
    pub async fn finish(self, log: &ExecutionLog) -> WorkloadReport {
        self.shared.stop.set(true);
        self.poll("requests in progress end", || {
            self.shared.running.get() == 0
        })
        .await;
        let mut report = WorkloadReport::default();
        for outcome in self.shared.plain.borrow().iter() {
            report.count(outcome);
        }
        for (key, outcome) in self.shared.keyed.borrow().iter() {
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

    async fn poll(&self, what: &str, condition: impl Fn() -> bool) {
        for _ in 0..MAX_POLLS {
            if condition() {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("never happened: {what}");
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

async fn drive(client: Client, shared: Rc<Shared>) {
    let mut number = 0;
    while !shared.stop.get() {
        number += 1;
        let outcome = client.get(format!("/lots/{number}?nonce={number}")).await;
        shared.plain.borrow_mut().push(outcome);
        if let Ok(key) = client.next_key().await {
            let body = format!("lot {number}");
            let path = format!("/reservations?nonce={number}");
            let outcome = client
                .send(ClientRequest::post(path, key.clone(), body))
                .await;
            shared.keyed.borrow_mut().push((key, outcome));
        }
        shared.ended.set(shared.ended.get() + 2);
    }
    shared.running.set(shared.running.get() - 1);
}
