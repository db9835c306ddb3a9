//! Test double of an upstream, with HTTP/2 without TLS.
//!
//! - Paths that start with `/feed` return an endless stream of numbered server-sent events,
//!   starting at the query parameter `from`. Feeds occupy no slot.
//! - `/health` and `/load` return the status of the upstream, or false values after
//!   [`Upstream::set_inverted_status`].
//! - All other paths occupy a slot for their service time and return [`crate::expected_body`].

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;

use fes_protocol::Error;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use crate::ExecutionLog;
use crate::Shedding;
use crate::UpstreamOptions;
use crate::task::Task;
use crate::upstream_connection::serve;
use crate::upstream_state::UpstreamState;

/// Handle of a running upstream double. Dropping the last clone stops it and aborts its requests.
#[derive(Debug, Clone)]
pub struct Upstream {
    address: SocketAddr,
    state: Rc<UpstreamState>,
    _task: Rc<Task>,
}

impl Upstream {
    /// Starts an upstream that records its executions in `log`.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::BindFailed`].
    pub async fn start(options: UpstreamOptions, log: ExecutionLog) -> Result<Self> {
        let ephemeral = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self::start_at(ephemeral, options, log).await
    }

    /// Starts an upstream at a given address, for example to simulate a restart.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::BindFailed`].
    pub async fn start_at(
        address: SocketAddr,
        options: UpstreamOptions,
        log: ExecutionLog,
    ) -> Result<Self> {
        let bind_failed = |source| {
            let detail = format!("the upstream double can't bind {address}");
            Error::io(ResultCode::BindFailed, detail, source)
        };
        let listener = TcpListener::bind(address).await.map_err(bind_failed)?;
        let address = listener.local_addr().map_err(bind_failed)?;
        let state = Rc::new(UpstreamState::new(options, log));
        let task = Task::spawn(accept(listener, Rc::clone(&state)));
        Ok(Self {
            address,
            state,
            _task: Rc::new(task),
        })
    }

    /// Returns the listening address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the execution log, which other upstreams may share.
    #[must_use]
    pub fn log(&self) -> &ExecutionLog {
        &self.state.log
    }

    /// Starts a drain: sends GOAWAY, refuses new requests and completes requests in progress.
    pub fn drain(&self) {
        self.state.draining.send_replace(true);
    }

    /// Ends a drain. Connections that received GOAWAY still accept no new requests.
    pub fn undrain(&self) {
        self.state.draining.send_replace(false);
    }

    /// Changes the load shedding.
    pub fn set_shedding(&self, shedding: Shedding) {
        self.state.shedding.set(shedding);
    }

    /// Sets whether `/health` and `/load` return false values, such as "healthy" during a drain.
    pub fn set_inverted_status(&self, inverts_status: bool) {
        self.state.inverts_status.set(inverts_status);
    }

    /// Sets whether each response ends with a stream reset after half of its body.
    pub fn set_truncating_responses(&self, truncates_responses: bool) {
        self.state.truncates_responses.set(truncates_responses);
    }

    /// Blocks requests and feeds whose path starts with `prefix` until [`Self::release`]. Requests
    /// occupy their slot meanwhile.
    pub fn hold(&self, prefix: &str) {
        let mut held_prefixes = self.state.held_prefixes.borrow_mut();
        held_prefixes.insert(prefix.to_owned());
    }

    /// Unblocks the requests and feeds that were held with `prefix`.
    pub fn release(&self, prefix: &str) {
        self.state.held_prefixes.borrow_mut().remove(prefix);
        self.state.released.notify_waiters();
    }

    /// Returns the number of requests that occupy a slot.
    #[must_use]
    pub fn running(&self) -> usize {
        self.state.running.get()
    }

    /// Returns the number of open feeds.
    #[must_use]
    pub fn open_feeds(&self) -> usize {
        self.state.open_feeds.get()
    }

    /// Returns the number of requests that were cancelled while they waited or ran.
    #[must_use]
    pub fn cancelled(&self) -> usize {
        self.state.cancelled.get()
    }

    /// Returns the number of requests that were refused without running.
    #[must_use]
    pub fn refused(&self) -> usize {
        self.state.refused.get()
    }

    /// Returns the number of requests that were started.
    #[must_use]
    pub fn started(&self) -> u64 {
        self.state.started.get()
    }
}

async fn accept(listener: TcpListener, state: Rc<UpstreamState>) {
    // The set is dropped with this task, which closes all connections.
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        connections.spawn_local(serve(stream, Rc::clone(&state)));
        while connections.try_join_next().is_some() {}
    }
}
