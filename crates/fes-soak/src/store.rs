//! Stand-in of the platform's store: reads, pages, watches, and ways to fail.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::rc::Rc;

use bytes::Bytes;
use fes_adapter::stand_in::StoreRequest;
use fes_adapter::stand_in::encode_events;
use fes_adapter::stand_in::encode_item;
use fes_adapter::stand_in::encode_page;
use fes_adapter::stand_in::encode_removal;
use fes_adapter::stand_in::parse_store_request;
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

const PAGE_ITEMS: usize = 5;
const HISTORY: usize = 400;
const SILENCE_MS: u64 = 60_000;

/// How the store behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreMode {
    /// Answers.
    Up,
    /// Accepts and never answers.
    Silent,
    /// Answers 503.
    Busy,
    /// Answers 429.
    Limited,
    /// Does what it is asked and breaks off without an answer.
    Losing,
    /// Answers after this many milliseconds.
    Slow(u64),
}

struct Item {
    value: String,
    revision: u64,
    created: u64,
}

/// The store.
pub struct Store {
    items: RefCell<BTreeMap<String, Item>>,
    events: RefCell<VecDeque<(u64, Value)>>,
    revision: Cell<u64>,
    /// How it behaves now.
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
            mode: Cell::new(StoreMode::Up),
        });
        let served = Rc::clone(&store);
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let store = Rc::clone(&served);
                actix_rt::spawn(async move {
                    let service = service_fn(|request| store.respond(request));
                    let connection =
                        http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                    // A reader that gives up closes its connection.
                    let _ = connection.await;
                });
            }
        });
        Ok(store)
    }

    /// Writes an entry.
    pub fn put(&self, key: &str, value: String) {
        let revision = self.next_revision();
        let created = self.items.borrow().get(key).map(|item| item.created);
        let created = created.unwrap_or(revision);
        self.record(revision, encode_item(key, &value, revision, created));
        self.items.borrow_mut().insert(
            key.into(),
            Item {
                value,
                revision,
                created,
            },
        );
    }

    /// Removes an entry.
    pub fn remove(&self, key: &str) {
        if self.items.borrow_mut().remove(key).is_some() {
            let revision = self.next_revision();
            self.record(revision, encode_removal(key, revision));
        }
    }

    /// Drops the history, so that watches from before must start anew.
    pub fn drop_history(&self) {
        self.events.borrow_mut().clear();
        self.next_revision();
    }

    fn next_revision(&self) -> u64 {
        self.revision.set(self.revision.get() + 1);
        self.revision.get()
    }

    fn record(&self, revision: u64, event: Value) {
        let mut events = self.events.borrow_mut();
        events.push_back((revision, event));
        if events.len() > HISTORY {
            events.pop_front();
        }
    }

    async fn respond(&self, request: Request<Incoming>) -> std::io::Result<Response<Full<Bytes>>> {
        match self.mode.get() {
            StoreMode::Up => {}
            StoreMode::Losing => return Err(std::io::Error::other("the answer is lost")),
            StoreMode::Slow(by_ms) => sleep(Duration::from_millis(by_ms)).await,
            StoreMode::Silent => sleep(Duration::from_millis(SILENCE_MS)).await,
            StoreMode::Busy => return Ok(reply(StatusCode::SERVICE_UNAVAILABLE, &Value::Null)),
            StoreMode::Limited => return Ok(reply(StatusCode::TOO_MANY_REQUESTS, &Value::Null)),
        }
        let query = request.uri().query().unwrap_or_default();
        let (status, body) = match parse_store_request(request.uri().path(), query) {
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
        Ok(reply(status, &body))
    }

    fn list(&self, prefix: &str, after: &str) -> Value {
        let items = self.items.borrow();
        let mut matching = items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let page: Vec<Value> = matching
            .by_ref()
            .take(PAGE_ITEMS)
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
        loop {
            let first = self.events.borrow().front().map(|(revision, _)| *revision);
            let is_gone = match first {
                Some(first) => after + 1 < first,
                None => after < self.revision.get(),
            };
            if is_gone {
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

fn reply(status: StatusCode, body: &Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
    *response.status_mut() = status;
    response
}
