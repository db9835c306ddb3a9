//! Stand-in of the platform's metadata store: key-range reads and watches over HTTP/1.1.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
}

#[derive(Clone, Default)]
struct Data {
    items: BTreeMap<String, Item>,
    revision: u64,
}

#[derive(Default)]
struct State {
    data: Data,
    /// Events since the history began, with their revisions.
    events: Vec<(u64, String)>,
    /// Revision after which the history begins.
    history_from: u64,
    era: u64,
    is_away: bool,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// Number of times that idle connections went silent, and how long they had been idle.
    silences: Mutex<Vec<(Instant, Duration)>>,
    last_answer_at: Mutex<Instant>,
}

impl Store {
    pub fn start(address: SocketAddrV4) -> std::io::Result<Arc<Store>> {
        let listener = TcpListener::bind(address)?;
        let store = Arc::new(Store {
            state: Mutex::new(State {
                era: 1,
                data: Data {
                    revision: 1,
                    ..Data::default()
                },
                history_from: 1,
                ..State::default()
            }),
            changed: Condvar::new(),
            silences: Mutex::default(),
            last_answer_at: Mutex::new(Instant::now()),
        });
        let accepting = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&accepting);
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an item. Returns when the store acknowledged it.
    pub fn put(&self, key: &str, value: &str) -> Instant {
        let mut state = self.state.lock().unwrap();
        state.data.revision += 1;
        let revision = state.data.revision;
        let created = state
            .data
            .items
            .get(key)
            .map_or(revision, |item| item.created);
        let item = Item {
            value: value.as_bytes().to_vec(),
            revision,
            created,
        };
        let event = item_json(key, &item);
        state.data.items.insert(key.to_owned(), item);
        state.events.push((revision, event));
        self.changed.notify_all();
        Instant::now()
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        if state.data.items.remove(key).is_some() {
            state.data.revision += 1;
            let revision = state.data.revision;
            let event = format!("{{\"key\":\"{key}\",\"revision\":{revision},\"isDeleted\":true}}");
            state.events.push((revision, event));
            self.changed.notify_all();
        }
    }

    /// The open connections on which nothing was sent for a time go silent for good; new ones work.
    pub fn silence_idle_connections(&self, idle: Duration) {
        self.silences.lock().unwrap().push((Instant::now(), idle));
    }

    /// Returns whether a connection on which the last answer was sent at `idle_since` went silent.
    fn is_silent(&self, idle_since: Instant) -> bool {
        let silences = self.silences.lock().unwrap();
        silences
            .iter()
            .any(|(at, idle)| at.saturating_duration_since(idle_since) >= *idle)
    }

    /// Returns the time since the latest answer.
    pub fn since_answer(&self) -> Duration {
        self.last_answer_at.lock().unwrap().elapsed()
    }

    pub fn is_away(&self) -> bool {
        self.state.lock().unwrap().is_away
    }

    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.state.lock().unwrap().data.clone())
    }

    pub fn go_away(&self) {
        self.state.lock().unwrap().is_away = true;
        self.changed.notify_all();
    }

    /// Comes back from an older copy: revisions go back, the history is empty, and the era rises.
    pub fn come_back_from(&self, copy: StoreCopy) {
        let mut state = self.state.lock().unwrap();
        state.data = copy.0;
        state.events.clear();
        state.history_from = state.data.revision;
        state.era += 1;
        state.is_away = false;
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut lines = BufReader::new(reading).lines();
        let mut writing = stream;
        let mut idle_since = Instant::now();
        loop {
            let Some(Ok(request)) = lines.next() else {
                return;
            };
            while matches!(lines.next(), Some(Ok(line)) if !line.is_empty()) {}
            if self.is_silent(idle_since) {
                // The connection stays open, and nothing comes back on it.
                std::thread::sleep(Duration::from_secs(600));
                return;
            }
            let (status, body, era) = self.answer(request.split(' ').nth(1).unwrap_or(""));
            let text = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writing.write_all(text.as_bytes()).is_err() {
                return;
            }
            idle_since = Instant::now();
            *self.last_answer_at.lock().unwrap() = idle_since;
        }
    }

    fn answer(&self, target: &str) -> (&'static str, String, u64) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| *key == name)
                .map_or("", |(_, value)| value)
                .replace("%2F", "/")
        };
        let state = self.state.lock().unwrap();
        if state.is_away {
            return ("503 Service Unavailable", "{}".into(), state.era);
        }
        match path {
            "/kv-range" => {
                let (prefix, after) = (parameter("prefix"), parameter("after"));
                let matching = state.data.items.iter();
                let matching =
                    matching.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<String> = matching.map(|(key, item)| item_json(key, item)).collect();
                let revision = state.data.revision;
                let body = format!(
                    "{{\"items\":[{}],\"hasMore\":false,\"atRevision\":{revision}}}",
                    items.join(",")
                );
                ("200 OK", body, state.era)
            }
            "/kv-watch" => {
                let after: u64 = parameter("after").parse().unwrap_or(0);
                let wait_ms: u64 = parameter("waitMs").parse().unwrap_or(0);
                self.watch(state, after, Duration::from_millis(wait_ms))
            }
            _ => ("404 Not Found", "{}".into(), state.era),
        }
    }

    fn watch(
        &self,
        mut state: std::sync::MutexGuard<'_, State>,
        after: u64,
        wait: Duration,
    ) -> (&'static str, String, u64) {
        let end = Instant::now() + wait;
        let era = state.era;
        loop {
            if state.is_away {
                return ("503 Service Unavailable", "{}".into(), state.era);
            }
            if state.era != era || after > state.data.revision || after < state.history_from {
                return ("410 Gone", "{}".into(), state.era);
            }
            let newer = state
                .events
                .iter()
                .filter(|(revision, _)| *revision > after);
            let newer: Vec<&str> = newer.map(|(_, event)| event.as_str()).collect();
            let now = Instant::now();
            if !newer.is_empty() || now >= end {
                let revision = state.data.revision;
                let body = format!(
                    "{{\"events\":[{}],\"atRevision\":{revision}}}",
                    newer.join(",")
                );
                return ("200 OK", body, state.era);
            }
            state = self.changed.wait_timeout(state, end - now).unwrap().0;
        }
    }
}

/// Copy of the store's data.
pub struct StoreCopy(Data);

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":0}}",
        base64(&item.value),
        item.revision,
        item.created
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for place in 0..4 {
            let digit = (bits >> (18 - 6 * place)) & 63;
            text.push(if place <= chunk.len() {
                char::from(DIGITS[digit as usize])
            } else {
                '='
            });
        }
    }
    text
}
