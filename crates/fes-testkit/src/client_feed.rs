//! A feed that a client keeps open and whose event numbers it verifies.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Buf;
use http::StatusCode;
use serde::Serialize;
use tokio::time::sleep;

use crate::Client;
use crate::task::Task;

const REOPEN_DELAY_MS: u64 = 50;
const ID_FIELD: &str = "id: ";

/// Counts of a feed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct FeedCounts {
    /// Events received.
    pub events: u64,
    /// Events skipped.
    pub gaps: u64,
    /// Events received more than once.
    pub duplicates: u64,
    /// Number of times that the open feed was interrupted.
    pub breaks: u64,
    /// Number of failed attempts to open the feed.
    pub refusals: u64,
}

impl FeedCounts {
    /// Adds the counts of another feed.
    pub fn add(&mut self, other: &Self) {
        self.events += other.events;
        self.gaps += other.gaps;
        self.duplicates += other.duplicates;
        self.breaks += other.breaks;
        self.refusals += other.refusals;
    }
}

/// A feed that is kept open until this is dropped.
#[derive(Debug)]
pub struct Feed {
    counts: Rc<Cell<FeedCounts>>,
    _task: Task,
}

impl Client {
    /// Opens the feed at `path` and keeps it open. After an interruption it resumes after the last
    /// received event.
    #[must_use]
    pub fn open_feed(&self, path: impl Into<String>) -> Feed {
        let counts = Rc::new(Cell::new(FeedCounts::default()));
        let reader = FeedReader {
            client: self.clone(),
            path: path.into(),
            next: 1,
            counts: Rc::clone(&counts),
        };
        Feed {
            counts,
            _task: Task::spawn(reader.run()),
        }
    }
}

impl Feed {
    /// Returns the counts so far.
    #[must_use]
    pub fn counts(&self) -> FeedCounts {
        self.counts.get()
    }

    /// Returns whether the feed was ever interrupted, or skipped or repeated an event.
    #[must_use]
    pub fn is_broken(&self) -> bool {
        let counts = self.counts.get();
        counts.breaks + counts.gaps + counts.duplicates > 0
    }
}

struct FeedReader {
    client: Client,
    path: String,
    next: u64,
    counts: Rc<Cell<FeedCounts>>,
}

impl FeedReader {
    async fn run(mut self) {
        loop {
            if self.read_until_closed().await.is_some() {
                self.count(|counts| counts.breaks += 1);
            } else {
                self.count(|counts| counts.refusals += 1);
            }
            sleep(Duration::from_millis(REOPEN_DELAY_MS)).await;
        }
    }

    /// Opens the feed and reads it until it ends. Returns `None` if it could not be opened.
    async fn read_until_closed(&mut self) -> Option<()> {
        let session = self.client.open_session().await.ok()?;
        let request = self
            .client
            .feed_request(&format!("{}?from={}", self.path, self.next))?;
        let opened = session.send(request).await;
        let Ok(mut stream) = opened else {
            self.client.retire(&session);
            return None;
        };
        // The request has no body. An error here also appears when the response is received.
        let _ = stream.finish().await;
        let response = stream.recv_response().await;
        let is_open = response.is_ok_and(|response| response.status() == StatusCode::OK);
        if !is_open {
            self.client.retire(&session);
            return None;
        }
        let mut pending = String::new();
        while let Ok(Some(mut chunk)) = stream.recv_data().await {
            let bytes = chunk.copy_to_bytes(chunk.remaining());
            pending.push_str(&String::from_utf8_lossy(&bytes));
            self.process_lines(&mut pending);
        }
        self.client.retire(&session);
        Some(())
    }

    /// Processes all complete lines in `pending` and removes them.
    fn process_lines(&mut self, pending: &mut String) {
        let Some(end) = pending.rfind('\n') else {
            return;
        };
        for line in pending[..end].lines() {
            let number = line.strip_prefix(ID_FIELD).and_then(|id| id.parse().ok());
            if let Some(number) = number {
                self.verify_number(number);
            }
        }
        pending.drain(..=end);
    }

    fn verify_number(&mut self, number: u64) {
        let next = self.next;
        self.count(|counts| {
            counts.events += 1;
            counts.gaps += number.saturating_sub(next);
            counts.duplicates += u64::from(number < next);
        });
        self.next = self.next.max(number + 1);
    }

    fn count(&self, change: impl FnOnce(&mut FeedCounts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }
}
