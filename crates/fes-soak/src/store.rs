//! Test double of the store of the platform: reads, paged lists, watches and failure modes.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::rc::Rc;

use bytes::Bytes;
use fes_adapter::ERA_HEADER;
use fes_adapter::stand_in::StoreRequest;
use fes_adapter::stand_in::encode_events;
use fes_adapter::stand_in::encode_item;
use fes_adapter::stand_in::encode_page;
use fes_adapter::stand_in::encode_removal;
use fes_adapter::stand_in::parse_store_request;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::time::Duration;
use tokio::time::Instant;
use tokio::time::sleep;

const ITEMS_PER_PAGE: usize = 5;
const MAX_HISTORY_EVENTS: usize = 400;
const UNRESPONSIVE_DELAY_MS: u64 = 60_000;

/// Behaviour of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreMode {
    /// Answers normally.
    Available,
    /// Accepts connections and doesn't answer.
    Unresponsive,
    /// Answers with status 503.
    Unavailable,
    /// Answers with status 429.
    RateLimited,
    /// Closes the connection without an answer.
    Aborting,
    /// Answers with a delay in milliseconds.
    Slow(u64),
}

/// Calls received by the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReadCounts {
    /// Pages of lists.
    pub lists: usize,
    /// Watches.
    pub watches: usize,
}

#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
}

/// Copy of the store's data, without the history of events.
#[derive(Debug, Clone)]
struct StoreCopy {
    items: BTreeMap<String, Item>,
    revision: u64,
}

/// Test double of the store.
pub struct Store {
    items: RefCell<BTreeMap<String, Item>>,
    events: RefCell<VecDeque<(u64, Value)>>,
    revision: Cell<u64>,
    /// Number of times that the store has come back from a copy, plus one.
    era: Cell<u64>,
    copy: RefCell<Option<StoreCopy>>,
    copied_at: Cell<Instant>,
    went_away_at: Cell<Instant>,
    back_at: Cell<Instant>,
    reads: Cell<ReadCounts>,
    /// Current behaviour.
    pub mode: Cell<StoreMode>,
}

impl Store {
    /// Starts the store.
    pub async fn start(address: SocketAddrV4) -> std::io::Result<Rc<Self>> {
        let listener = TcpListener::bind(address).await?;
        let store = Rc::new(Self {
            items: RefCell::default(),
            events: RefCell::default(),
            revision: Cell::new(1),
            era: Cell::new(1),
            copy: RefCell::default(),
            copied_at: Cell::new(Instant::now()),
            went_away_at: Cell::new(Instant::now()),
            back_at: Cell::new(Instant::now()),
            reads: Cell::default(),
            mode: Cell::new(StoreMode::Available),
        });
        let accepting_store = Rc::clone(&store);
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let store = Rc::clone(&accepting_store);
                actix_rt::spawn(async move {
                    let service = service_fn(|request| store.respond(request));
                    let connection =
                        http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                    // Fails if the reader closes the connection early.
                    let _ = connection.await;
                });
            }
        });
        Ok(store)
    }

    /// Writes an item.
    pub fn put(&self, key: &str, value: String) {
        let revision = self.next_revision();
        let created = self.items.borrow().get(key).map(|item| item.created);
        let created = created.unwrap_or(revision);
        self.record_event(revision, encode_item(key, &value, revision, created));
        self.items.borrow_mut().insert(
            key.into(),
            Item {
                value,
                revision,
                created,
            },
        );
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        if self.items.borrow_mut().remove(key).is_some() {
            let revision = self.next_revision();
            self.record_event(revision, encode_removal(key, revision));
        }
    }

    /// Drops the history of events, so that existing watches must start over.
    pub fn drop_history(&self) {
        self.events.borrow_mut().clear();
        self.next_revision();
    }

    /// Takes a copy of the data.
    pub fn take_copy(&self) {
        self.copied_at.set(Instant::now());
        *self.copy.borrow_mut() = Some(StoreCopy {
            items: self.items.borrow().clone(),
            revision: self.revision.get(),
        });
    }

    /// Becomes unavailable, to come back from the copy.
    pub fn go_away(&self) {
        self.went_away_at.set(Instant::now());
        self.mode.set(StoreMode::Unavailable);
    }

    /// Comes back from the copy, if there is one. What was written since is lost, and revisions are
    /// given out again.
    pub fn come_back_from_copy(&self) {
        let Some(copy) = self.copy.borrow_mut().take() else {
            return;
        };
        *self.items.borrow_mut() = copy.items;
        self.events.borrow_mut().clear();
        self.revision.set(copy.revision);
        self.era.set(self.era.get() + 1);
        self.back_at.set(Instant::now());
    }

    /// Returns when the latest copy was taken, and when the store last went away after it.
    pub const fn copied_and_went_away_at(&self) -> (Instant, Instant) {
        (self.copied_at.get(), self.went_away_at.get())
    }

    /// Returns when the store last came back from a copy, or its start.
    pub const fn back_at(&self) -> Instant {
        self.back_at.get()
    }

    /// Returns the calls received since the previous call of this method. Calls that failed count.
    pub fn take_reads(&self) -> ReadCounts {
        self.reads.take()
    }

    fn count_read(&self, request: Option<&StoreRequest>) {
        let mut reads = self.reads.get();
        match request {
            Some(StoreRequest::Watch { .. }) => reads.watches += 1,
            Some(StoreRequest::List { .. }) => reads.lists += 1,
            Some(StoreRequest::Read { .. }) | None => {}
        }
        self.reads.set(reads);
    }

    fn next_revision(&self) -> u64 {
        self.revision.set(self.revision.get() + 1);
        self.revision.get()
    }

    fn record_event(&self, revision: u64, event: Value) {
        let mut events = self.events.borrow_mut();
        events.push_back((revision, event));
        if events.len() > MAX_HISTORY_EVENTS {
            events.pop_front();
        }
    }

    async fn respond(&self, request: Request<Incoming>) -> std::io::Result<Response<Full<Bytes>>> {
        let query = request.uri().query().unwrap_or_default();
        let store_request = parse_store_request(request.uri().path(), query);
        self.count_read(store_request.as_ref());
        match self.mode.get() {
            StoreMode::Available => {}
            StoreMode::Aborting => {
                return Err(std::io::Error::other("the store aborts the connection"));
            }
            StoreMode::Slow(delay_ms) => sleep(Duration::from_millis(delay_ms)).await,
            StoreMode::Unresponsive => sleep(Duration::from_millis(UNRESPONSIVE_DELAY_MS)).await,
            StoreMode::Unavailable => {
                return Ok(self.reply(StatusCode::SERVICE_UNAVAILABLE, &Value::Null));
            }
            StoreMode::RateLimited => {
                return Ok(self.reply(StatusCode::TOO_MANY_REQUESTS, &Value::Null));
            }
        }
        let (status, body) = match store_request {
            Some(StoreRequest::List { prefix, after }) => {
                (StatusCode::OK, self.list(&prefix, &after))
            }
            Some(StoreRequest::Read { key }) => self.read(&key),
            Some(StoreRequest::Watch {
                after_revision,
                wait_ms,
            }) => self.watch(after_revision, wait_ms).await,
            None => (StatusCode::NOT_FOUND, Value::Null),
        };
        Ok(self.reply(status, &body))
    }

    fn reply(&self, status: StatusCode, body: &Value) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
        *response.status_mut() = status;
        let era = HeaderValue::from(self.era.get());
        response.headers_mut().insert(ERA_HEADER, era);
        response
    }

    fn list(&self, prefix: &str, after: &str) -> Value {
        let items = self.items.borrow();
        let mut matching = items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let page: Vec<Value> = matching
            .by_ref()
            .take(ITEMS_PER_PAGE)
            .map(|(key, item)| encode_item(key, &item.value, item.revision, item.created))
            .collect();
        encode_page(&page, matching.next().is_some(), self.revision.get())
    }

    fn read(&self, key: &str) -> (StatusCode, Value) {
        match self.items.borrow().get(key) {
            Some(item) => (
                StatusCode::OK,
                encode_item(key, &item.value, item.revision, item.created),
            ),
            None => (StatusCode::NOT_FOUND, Value::Null),
        }
    }

    fn events_after(&self, revision: u64) -> Vec<Value> {
        let events = self.events.borrow();
        let newer = events.iter().filter(|(at, _)| *at > revision);
        newer.map(|(_, event)| event.clone()).collect()
    }

    async fn watch(&self, after: u64, wait_ms: u64) -> (StatusCode, Value) {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let era = self.era.get();
        loop {
            // A watch from a revision that the store doesn't have, or no longer has.
            if after > self.revision.get() || self.era.get() != era {
                return (StatusCode::GONE, Value::Null);
            }
            let first = self.events.borrow().front().map(|(revision, _)| *revision);
            let is_dropped = match first {
                Some(first) => after + 1 < first,
                None => after < self.revision.get(),
            };
            if is_dropped {
                return (StatusCode::GONE, Value::Null);
            }
            let newer = self.events_after(after);
            if !newer.is_empty() || Instant::now() >= end {
                return (StatusCode::OK, encode_events(&newer, self.revision.get()));
            }
            sleep(Duration::from_millis(10)).await;
        }
    }
}
