//! HTTP/3 client that reconnects, verifies every response and counts the outcomes.

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
    /// Name that the server's certificate must be valid for.
    pub server_name: String,
    /// Trusted certificate authorities.
    pub authorities: Vec<CertificateDer<'static>>,
    /// Name that is part of the idempotency keys; unique among the clients of a run.
    pub name: String,
    /// Time after which a request without an outcome counts as lost, in milliseconds.
    pub timeout_ms: u64,
    /// Maximum number of attempts of a request, including the first. Another attempt is made if the
    /// connection is lost or the request did not run.
    pub attempts: u32,
    /// Whether response bodies are compared with [`expected_body`].
    pub verifies_bodies: bool,
    /// Tracer for the client's spans.
    pub tracer: Tracer,
}

impl ClientOptions {
    /// Returns options with default values.
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
    /// Idempotency key of a non-repeatable request.
    pub key: Option<String>,
    /// Time left until the deadline, in milliseconds.
    pub deadline_ms: Option<u64>,
}

impl ClientRequest {
    /// Returns a repeatable request without a body.
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

    /// Returns a non-repeatable request.
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

/// A client that sends new requests on a single connection. Clones share the connection.
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
    close_reasons: RefCell<BTreeMap<String, u64>>,
}

/// Why an attempt ended without a response.
enum Failure {
    /// The request was not sent, or the server reported that it did not run.
    NotRun,
    /// The server reset the stream.
    Reset,
    /// The connection was lost; the outcome is unknown.
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
    /// Creates a client. It connects when it sends its first request.
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
                close_reasons: RefCell::default(),
            }),
        })
    }

    /// Sends a repeatable request and verifies the response.
    pub async fn get(&self, path: impl Into<String>) -> Outcome {
        self.send(ClientRequest::get(path)).await
    }

    /// Sends a non-repeatable request with a new key and verifies the response.
    pub async fn submit(&self, path: impl Into<String>, body: impl Into<Bytes>) -> Outcome {
        let key = match self.next_key().await {
            Ok(key) => key,
            Err(outcome) => return self.record(outcome),
        };
        self.send(ClientRequest::post(path, key, body)).await
    }

    /// Sends a request and verifies the response. If the connection is lost or the server rejects
    /// the stream, the request is sent again on a new connection. This is safe for non-repeatable
    /// requests, because a key runs at most once.
    pub async fn send(&self, request: ClientRequest) -> Outcome {
        let outcome = self.send_uncounted(&request).await;
        self.record(outcome)
    }

    /// Counts an outcome and returns it. [`Self::send`] does this itself; call it for a request
    /// that ended before it was sent.
    pub fn record(&self, outcome: Outcome) -> Outcome {
        self.inner.counts.borrow_mut().record(&outcome);
        outcome
    }

    /// Sends a request once and returns the response without verifying it.
    ///
    /// # Errors
    ///
    /// Returns the outcome if there is no response.
    pub async fn exchange(
        &self,
        request: &ClientRequest,
    ) -> std::result::Result<ClientResponse, Outcome> {
        let root = TraceContext::root();
        let result = self.send_once(request, &root).await;
        result.map_err(Outcome::from)
    }

    /// Returns a new idempotency key. The first call requests a key prefix.
    ///
    /// # Errors
    ///
    /// Returns the outcome of the request for a prefix if no prefix was issued.
    pub async fn next_key(&self) -> std::result::Result<String, Outcome> {
        if self.inner.prefix.borrow().is_none() {
            let request = ClientRequest::get(headers::KEY_PREFIX_PATH);
            self.send_with_retries(&request).await?;
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

    /// Returns the number of connections that the client stopped using, by the reason for which
    /// they were closed. Connections that were still open count as "no new requests".
    #[must_use]
    pub fn connection_ends(&self) -> BTreeMap<String, u64> {
        self.inner.close_reasons.borrow().clone()
    }

    /// Returns the address of the current connection as the fabric sees it, if there is one.
    #[must_use]
    pub fn local_address(&self) -> Option<SocketAddr> {
        self.inner.session.borrow().as_ref()?.local_address()
    }

    /// Closes the connection when no request uses it anymore. The next request opens a new one.
    pub fn disconnect(&self) {
        self.inner.session.borrow_mut().take();
    }

    async fn send_uncounted(&self, request: &ClientRequest) -> Outcome {
        let limit = Duration::from_millis(self.inner.options.timeout_ms);
        let Ok(result) = timeout(limit, self.send_with_retries(request)).await else {
            return Outcome::Lost("no outcome within the time limit".into());
        };
        match result {
            Ok(response) => {
                self.count_duplicate_run(&response);
                classify_response(request, &response, self.inner.options.verifies_bodies)
            }
            Err(outcome) => outcome,
        }
    }

    /// Sends a request until there is a response or the server resets the stream, up to the maximum
    /// number of attempts.
    async fn send_with_retries(
        &self,
        request: &ClientRequest,
    ) -> std::result::Result<ClientResponse, Outcome> {
        let tracer = &self.inner.options.tracer;
        let path = request.path.split('?').next().unwrap_or_default();
        let span = tracer.start(Hop::Client, format!("{} {path}", request.method), None);
        let mut last = Outcome::Lost("no attempt was made".into());
        for attempt in 0..self.inner.options.attempts.max(1) {
            if attempt > 0 {
                self.inner.counts.borrow_mut().repeats += 1;
            }
            match self.send_once(request, &span.context).await {
                Ok(response) => {
                    tracer.finish(span, result_code(&response));
                    return Ok(response);
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

    async fn send_once(
        &self,
        request: &ClientRequest,
        context: &TraceContext,
    ) -> std::result::Result<ClientResponse, Failure> {
        // This reference keeps the connection open while the request is in progress, even if new
        // requests use another connection.
        let session = self.session().await?;
        let outcome = self.exchange_on(&session, request, context).await;
        if let Err(failure) = &outcome {
            let is_unusable = session.is_closed() || !matches!(failure, Failure::Reset);
            if is_unusable {
                self.retire(&session);
            }
        }
        outcome
    }

    async fn exchange_on(
        &self,
        session: &Session,
        request: &ClientRequest,
        context: &TraceContext,
    ) -> std::result::Result<ClientResponse, Failure> {
        let head = self.build(request, context)?;
        let mut stream = session.send(head).await.map_err(|_| Failure::NotRun)?;
        if !request.body.is_empty() {
            // A server that refuses the request may stop reading the body; its response follows.
            let _ = stream.send_data(request.body.clone()).await;
        }
        let _ = stream.finish().await;
        let head = stream
            .recv_response()
            .await
            .map_err(classify_stream_error)?;
        let mut body = Vec::new();
        while let Some(mut chunk) = stream.recv_data().await.map_err(classify_stream_error)? {
            body.extend_from_slice(&chunk.copy_to_bytes(chunk.remaining()));
        }
        let response = ClientResponse {
            status: head.status().as_u16(),
            headers: head.headers().clone(),
            body: Bytes::from(body),
        };
        self.store_key_prefix(&response.headers);
        Ok(response)
    }

    fn build(
        &self,
        request: &ClientRequest,
        context: &TraceContext,
    ) -> std::result::Result<Request<()>, Failure> {
        let authority = &self.inner.options.server_name;
        let mut builder = Request::builder()
            .method(request.method.clone())
            .uri(format!("https://{authority}{}", request.path))
            .header(TRACEPARENT_HEADER, context.to_string());
        if let Some(key) = &request.key {
            builder = builder.header(headers::IDEMPOTENCY_KEY, key);
        }
        if let Some(deadline_ms) = request.deadline_ms {
            builder = builder.header(headers::DEADLINE_MS, deadline_ms);
        }
        let head = builder.body(());
        head.map_err(|error| Failure::Connection(error.to_string()))
    }

    /// Returns the current connection, or opens one. Concurrent calls open a single connection.
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

    /// Stops using `session` for new requests. Requests in progress on it continue.
    pub(crate) fn retire(&self, session: &Rc<Session>) {
        let mut current = self.inner.session.borrow_mut();
        if current.as_ref().is_some_and(|c| Rc::ptr_eq(c, session)) {
            current.take();
            let reason = session
                .close_reason()
                .unwrap_or_else(|| "no new requests".to_owned());
            *self
                .inner
                .close_reasons
                .borrow_mut()
                .entry(reason)
                .or_default() += 1;
        }
    }

    pub(crate) fn feed_request(&self, path: &str) -> Option<Request<()>> {
        self.build(&ClientRequest::get(path), &TraceContext::root())
            .ok()
    }

    async fn session(&self) -> std::result::Result<Rc<Session>, Failure> {
        self.open_session().await.map_err(Failure::Connection)
    }

    fn count_duplicate_run(&self, response: &ClientResponse) {
        let count = response.headers.get(headers::RUN_COUNT);
        let count = count.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
        if count.is_some_and(|count| count > 1) {
            self.inner.counts.borrow_mut().doubled += 1;
        }
    }

    fn store_key_prefix(&self, response: &HeaderMap) {
        let prefix = response.get(headers::KEY_PREFIX);
        if let Some(Ok(prefix)) = prefix.map(|value| value.to_str()) {
            *self.inner.prefix.borrow_mut() = Some(prefix.to_owned());
        }
    }
}

fn classify_stream_error(error: StreamError) -> Failure {
    match error {
        StreamError::RemoteTerminate { code, .. } if code == Code::H3_REQUEST_REJECTED => {
            Failure::NotRun
        }
        StreamError::RemoteTerminate { .. } => Failure::Reset,
        other => Failure::Connection(other.to_string()),
    }
}

/// Returns the result code in the header of a response.
pub(crate) fn result_code(response: &ClientResponse) -> Option<ResultCode> {
    let text = response.headers.get(headers::RESULT_CODE)?.to_str().ok()?;
    ResultCode::from_number(text.strip_prefix('F')?.parse().ok()?)
}

/// Returns the outcome that a response stands for: a result code, an error status, or a body that
/// is compared with the expected one.
fn classify_response(
    request: &ClientRequest,
    response: &ClientResponse,
    verifies_body: bool,
) -> Outcome {
    match result_code(response) {
        Some(code) if code.is_not_run() => return Outcome::NotRun(code),
        Some(code) => return Outcome::Unknown(code),
        None => {}
    }
    if response.status >= FIRST_ERROR_STATUS {
        return Outcome::Failed {
            status: response.status,
        };
    }
    let expected = expected_body(&request.path, &request.body);
    if !verifies_body || response.body == expected {
        return Outcome::Answered {
            status: response.status,
        };
    }
    if expected.starts_with(&response.body) {
        return Outcome::Truncated;
    }
    Outcome::Misrouted
}
