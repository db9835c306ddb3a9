//! HTTP/3 client that reconnects, checks every response and counts what it saw.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Buf;
use bytes::Bytes;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use fes_protocol::headers;
use fes_telemetry::Hop;
use fes_telemetry::TRACEPARENT_HEADER;
use fes_telemetry::TraceContext;
use fes_telemetry::Tracer;
use h3::error::Code;
use h3::error::StreamError;
use http::HeaderMap;
use http::Method;
use http::Request;
use quinn::ClientConfig;
use rustls_pki_types::CertificateDer;
use tokio::time::timeout;

use crate::ClientCounts;
use crate::Outcome;
use crate::SERVER_NAME;
use crate::body::expected_body;
use crate::client_session::Session;
use crate::client_session::client_config;

const DEFAULT_TIMEOUT_MS: u64 = 30_000;
const FIRST_ERROR_STATUS: u16 = 400;
const DEFAULT_ATTEMPTS: u32 = 8;

/// Options of a client.
#[derive(Debug, Clone)]
pub struct ClientOptions {
    /// Address of the service.
    pub address: SocketAddr,
    /// Name that the server's certificate must have.
    pub server_name: String,
    /// Authorities that sign server certificates.
    pub authorities: Vec<CertificateDer<'static>>,
    /// Name in idempotency keys, unique among the clients of a run.
    pub name: String,
    /// Time after which a request without an outcome counts as lost.
    pub timeout_ms: u64,
    /// Sends of a request whose connection was lost, including the first.
    pub attempts: u32,
    /// Whether response bodies must be those of an upstream double.
    pub verifies_bodies: bool,
    /// Records the client's spans.
    pub tracer: Tracer,
}

impl ClientOptions {
    /// Makes options with defaults.
    #[must_use]
    pub fn new(
        address: SocketAddr,
        authorities: impl IntoIterator<Item = CertificateDer<'static>>,
        name: impl Into<String>,
    ) -> Self {
        Self {
            address,
            server_name: SERVER_NAME.to_owned(),
            authorities: authorities.into_iter().collect(),
            name: name.into(),
            timeout_ms: DEFAULT_TIMEOUT_MS,
            attempts: DEFAULT_ATTEMPTS,
            verifies_bodies: true,
            tracer: Tracer::disabled(),
        }
    }
}

/// A request to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientRequest {
    /// Method.
    pub method: Method,
    /// Path with query.
    pub path: String,
    /// Body.
    pub body: Bytes,
    /// Idempotency key, which makes the request non-repeatable.
    pub key: Option<String>,
    /// Time left until the deadline, in milliseconds.
    pub deadline_ms: Option<u64>,
}

impl ClientRequest {
    /// Makes a repeatable request without a body.
    #[must_use]
    pub fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            body: Bytes::new(),
            key: None,
            deadline_ms: None,
        }
    }

    /// Makes a non-repeatable request.
    #[must_use]
    pub fn post(path: impl Into<String>, key: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self {
            method: Method::POST,
            path: path.into(),
            body: body.into(),
            key: Some(key.into()),
            deadline_ms: None,
        }
    }
}

/// A complete response.
#[derive(Debug, Clone)]
pub struct ClientResponse {
    /// HTTP status.
    pub status: u16,
    /// Response headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// A client with at most one current connection. Clones share it.
#[derive(Debug, Clone)]
pub struct Client {
    inner: Rc<Inner>,
}

#[derive(Debug)]
struct Inner {
    options: ClientOptions,
    config: ClientConfig,
    session: RefCell<Option<Rc<Session>>>,
    connecting: tokio::sync::Mutex<()>,
    prefix: RefCell<Option<String>>,
    next_key: Cell<u64>,
    counts: RefCell<ClientCounts>,
    ends: RefCell<BTreeMap<String, u64>>,
}

/// Why a try ended without a reply.
enum Failure {
    /// The request was not sent, or the server states that it did not run.
    NotRun,
    /// The stream ended by an explicit error.
    Reset,
    /// The connection is lost; the outcome is open.
    Connection(String),
}

impl From<Failure> for Outcome {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::NotRun => Self::NotRun(ResultCode::NotRunDraining),
            Failure::Reset => Self::Unknown(ResultCode::ResponseTruncated),
            Failure::Connection(reason) => Self::Lost(reason),
        }
    }
}

impl Client {
    /// Makes a client; it connects with its first request.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::SettingsBadCertificate`] if an authority can't be used.
    pub fn new(options: ClientOptions) -> Result<Self> {
        let config = client_config(options.authorities.iter().cloned())?;
        Ok(Self {
            inner: Rc::new(Inner {
                options,
                config,
                session: RefCell::default(),
                connecting: tokio::sync::Mutex::default(),
                prefix: RefCell::default(),
                next_key: Cell::new(1),
                counts: RefCell::default(),
                ends: RefCell::default(),
            }),
        })
    }

    /// Sends a repeatable request and checks its response.
    pub async fn get(&self, path: impl Into<String>) -> Outcome {
        self.send(ClientRequest::get(path)).await
    }

    /// Sends a non-repeatable request under a new key and checks its response.
    pub async fn submit(&self, path: impl Into<String>, body: impl Into<Bytes>) -> Outcome {
        let key = match self.next_key().await {
            Ok(key) => key,
            Err(outcome) => return self.record(outcome),
        };
        self.send(ClientRequest::post(path, key, body)).await
    }

    /// Sends a request, again on a new connection if the connection is lost, and checks the
    /// response. Sending a key again is safe: it runs at most once.
    pub async fn send(&self, call: ClientRequest) -> Outcome {
        let outcome = self.send_uncounted(&call).await;
        self.record(outcome)
    }

    /// Counts and returns the outcome of a request that ended before it was sent.
    pub fn record(&self, outcome: Outcome) -> Outcome {
        self.inner.counts.borrow_mut().record(&outcome);
        outcome
    }

    /// Sends a request once, without a check, and returns the reply.
    ///
    /// # Errors
    ///
    /// Returns how the request ended without a reply.
    pub async fn exchange(
        &self,
        call: &ClientRequest,
    ) -> std::result::Result<ClientResponse, Outcome> {
        let root = TraceContext::root();
        let exchanged = self.try_once(call, &root).await;
        exchanged.map_err(Outcome::from)
    }

    /// Returns a new idempotency key, or how the request for a prefix ended.
    ///
    /// # Errors
    ///
    /// Returns the outcome if the system issues no prefix.
    pub async fn next_key(&self) -> std::result::Result<String, Outcome> {
        if self.inner.prefix.borrow().is_none() {
            let call = ClientRequest::get(headers::KEY_PREFIX_PATH);
            self.repeat(&call).await?;
        }
        let prefix = self.inner.prefix.borrow().clone();
        let prefix = prefix.ok_or_else(|| Outcome::Lost("no key prefix was issued".into()))?;
        let number = self.inner.next_key.get();
        self.inner.next_key.set(number + 1);
        Ok(format!("{prefix}.{}-{number}", self.inner.options.name))
    }

    /// Returns the counts so far.
    #[must_use]
    pub fn counts(&self) -> ClientCounts {
        *self.inner.counts.borrow()
    }

    /// Returns how often connections ended for each reason.
    #[must_use]
    pub fn connection_ends(&self) -> BTreeMap<String, u64> {
        self.inner.ends.borrow().clone()
    }

    /// Returns the address that the fabric sees, while there is a connection.
    #[must_use]
    pub fn local_address(&self) -> Option<SocketAddr> {
        self.inner.session.borrow().as_ref()?.local_address()
    }

    /// Closes the connection; the next request opens another.
    pub fn disconnect(&self) {
        self.inner.session.borrow_mut().take();
    }

    async fn send_uncounted(&self, call: &ClientRequest) -> Outcome {
        let bound = Duration::from_millis(self.inner.options.timeout_ms);
        let Ok(replied) = timeout(bound, self.repeat(call)).await else {
            return Outcome::Lost("no outcome within the time limit".into());
        };
        match replied {
            Ok(reply) => {
                self.count_run(&reply);
                judge(call, &reply, self.inner.options.verifies_bodies)
            }
            Err(outcome) => outcome,
        }
    }

    /// Sends `call` until there is a reply or an explicit failure.
    async fn repeat(&self, call: &ClientRequest) -> std::result::Result<ClientResponse, Outcome> {
        let tracer = &self.inner.options.tracer;
        let path = call.path.split('?').next().unwrap_or_default();
        let span = tracer.start(Hop::Client, format!("{} {path}", call.method), None);
        let mut last = Outcome::Lost("no attempt was made".into());
        for attempt in 0..self.inner.options.attempts.max(1) {
            if attempt > 0 {
                self.inner.counts.borrow_mut().repeats += 1;
            }
            match self.try_once(call, &span.context).await {
                Ok(reply) => {
                    tracer.finish(span, result_code(&reply));
                    return Ok(reply);
                }
                Err(failure @ Failure::Reset) => {
                    tracer.finish(span, Some(ResultCode::ResponseTruncated));
                    return Err(failure.into());
                }
                Err(failure) => last = failure.into(),
            }
        }
        tracer.finish(span, Some(ResultCode::EndpointUnreachable));
        Err(last)
    }

    async fn try_once(
        &self,
        call: &ClientRequest,
        context: &TraceContext,
    ) -> std::result::Result<ClientResponse, Failure> {
        // The reference keeps the connection open while the request is in progress, even when
        // new requests have moved to another.
        let session = self.session().await?;
        let outcome = self.exchange_on(&session, call, context).await;
        if let Err(failure) = &outcome {
            let is_over = session.is_closed() || !matches!(failure, Failure::Reset);
            if is_over {
                self.retire(&session);
            }
        }
        outcome
    }

    async fn exchange_on(
        &self,
        session: &Session,
        call: &ClientRequest,
        context: &TraceContext,
    ) -> std::result::Result<ClientResponse, Failure> {
        let request = self.build(call, context)?;
        let mut stream = session.send(request).await.map_err(|_| Failure::NotRun)?;
        if !call.body.is_empty() {
            // A refusal stops the body early and arrives as the response.
            let _ = stream.send_data(call.body.clone()).await;
        }
        let _ = stream.finish().await;
        let response = stream.recv_response().await.map_err(in_progress)?;
        let mut body = Vec::new();
        while let Some(mut chunk) = stream.recv_data().await.map_err(in_progress)? {
            body.extend_from_slice(&chunk.copy_to_bytes(chunk.remaining()));
        }
        let reply = ClientResponse {
            status: response.status().as_u16(),
            headers: response.headers().clone(),
            body: Bytes::from(body),
        };
        self.remember_prefix(&reply.headers);
        Ok(reply)
    }

    fn build(
        &self,
        call: &ClientRequest,
        context: &TraceContext,
    ) -> std::result::Result<Request<()>, Failure> {
        let authority = &self.inner.options.server_name;
        let mut request = Request::builder()
            .method(call.method.clone())
            .uri(format!("https://{authority}{}", call.path))
            .header(TRACEPARENT_HEADER, context.to_string());
        if let Some(key) = &call.key {
            request = request.header(headers::IDEMPOTENCY_KEY, key);
        }
        if let Some(deadline_ms) = call.deadline_ms {
            request = request.header(headers::DEADLINE_MS, deadline_ms);
        }
        let request = request.body(());
        request.map_err(|error| Failure::Connection(error.to_string()))
    }

    /// Returns the current connection, or opens one. Concurrent requests open only one.
    pub(crate) async fn open_session(&self) -> std::result::Result<Rc<Session>, String> {
        let _connecting = self.inner.connecting.lock().await;
        if let Some(session) = &*self.inner.session.borrow()
            && !session.is_closed()
        {
            return Ok(Rc::clone(session));
        }
        let options = &self.inner.options;
        let config = self.inner.config.clone();
        let opened = Session::open(options.address, &options.server_name, config).await;
        let session = Rc::new(opened.map_err(|error| error.to_string())?);
        self.inner.counts.borrow_mut().connections += 1;
        *self.inner.session.borrow_mut() = Some(Rc::clone(&session));
        Ok(session)
    }

    /// Sends new requests elsewhere; requests in progress on `session` go on.
    pub(crate) fn retire(&self, session: &Rc<Session>) {
        let mut current = self.inner.session.borrow_mut();
        if current.as_ref().is_some_and(|c| Rc::ptr_eq(c, session)) {
            current.take();
            let end = session
                .end()
                .unwrap_or_else(|| "no new requests".to_owned());
            *self.inner.ends.borrow_mut().entry(end).or_default() += 1;
        }
    }

    pub(crate) fn feed_request(&self, path: &str) -> Option<Request<()>> {
        self.build(&ClientRequest::get(path), &TraceContext::root())
            .ok()
    }

    async fn session(&self) -> std::result::Result<Rc<Session>, Failure> {
        self.open_session().await.map_err(Failure::Connection)
    }

    fn count_run(&self, reply: &ClientResponse) {
        let count = reply.headers.get(headers::RUN_COUNT);
        let count = count.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
        if count.is_some_and(|count| count > 1) {
            self.inner.counts.borrow_mut().doubled += 1;
        }
    }

    fn remember_prefix(&self, response: &HeaderMap) {
        let prefix = response.get(headers::KEY_PREFIX);
        if let Some(Ok(prefix)) = prefix.map(|value| value.to_str()) {
            *self.inner.prefix.borrow_mut() = Some(prefix.to_owned());
        }
    }
}

fn in_progress(error: StreamError) -> Failure {
    match error {
        StreamError::RemoteTerminate { code, .. } if code == Code::H3_REQUEST_REJECTED => {
            Failure::NotRun
        }
        StreamError::RemoteTerminate { .. } => Failure::Reset,
        other => Failure::Connection(other.to_string()),
    }
}

/// Returns the result code in a reply.
pub(crate) fn result_code(reply: &ClientResponse) -> Option<ResultCode> {
    let text = reply.headers.get(headers::RESULT_CODE)?.to_str().ok()?;
    ResultCode::from_number(text.strip_prefix('F')?.parse().ok()?)
}

/// Decides what a reply means: a refusal, or a response that must be the one expected.
fn judge(call: &ClientRequest, reply: &ClientResponse, verifies_body: bool) -> Outcome {
    match result_code(reply) {
        Some(code) if code.is_not_run() => return Outcome::NotRun(code),
        Some(code) => return Outcome::Unknown(code),
        None => {}
    }
    if reply.status >= FIRST_ERROR_STATUS {
        return Outcome::Failed {
            status: reply.status,
        };
    }
    let expected = expected_body(&call.path, &call.body);
    if !verifies_body || reply.body == expected {
        return Outcome::Answered {
            status: reply.status,
        };
    }
    if expected.starts_with(&reply.body) {
        return Outcome::Truncated;
    }
    Outcome::Misrouted
}
