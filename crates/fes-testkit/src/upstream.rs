//! Double of an upstream: HTTP/2 without TLS.
//!
//! - Paths under `/feed` answer an endless stream of numbered server-sent events, starting at the
//!   query parameter `from`. Feeds take no slot.
//! - `/health` and `/load` answer the truth, or the opposite when told to mislead.
//! - All other paths take a slot, wait for their service time and answer
//!   [`crate::expected_body`].

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

/// A running upstream double. Dropping all handles kills it with everything in progress.
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

    /// Starts an upstream at a given address, as a restart does.
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

    /// Returns the address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the log of executions, which may be shared with other upstreams.
    #[must_use]
    pub fn log(&self) -> &ExecutionLog {
        &self.state.log
    }

    /// Starts a drain: refuses new requests, sends GOAWAY, completes what is in progress.
    pub fn drain(&self) {
        self.state.draining.send_replace(true);
    }

    /// Ends a drain; connections that were sent GOAWAY stay closed to new requests.
    pub fn undrain(&self) {
        self.state.draining.send_replace(false);
    }

    /// Changes when requests are refused.
    pub fn set_shedding(&self, shedding: Shedding) {
        self.state.shedding.set(shedding);
    }

    /// Makes `/health` and `/load` say the opposite of the truth.
    pub fn set_inverted_status(&self, misleads: bool) {
        self.state.misleads.set(misleads);
    }

    /// Makes every response end by a stream reset after half of its body.
    pub fn set_truncating_responses(&self, cuts: bool) {
        self.state.cuts_responses.set(cuts);
    }

    /// Keeps requests whose path starts with `prefix` from finishing, without any clock.
    pub fn hold(&self, prefix: &str) {
        let mut held = self.state.held_paths.borrow_mut();
        held.insert(prefix.to_owned());
    }

    /// Lets held requests finish.
    pub fn release(&self, prefix: &str) {
        self.state.held_paths.borrow_mut().remove(prefix);
        self.state.released.notify_waiters();
    }

    /// Returns how many requests hold a slot.
    #[must_use]
    pub fn running(&self) -> usize {
        self.state.running.get()
    }

    /// Returns how many feeds are open.
    #[must_use]
    pub fn open_feeds(&self) -> usize {
        self.state.feeds.get()
    }

    /// Returns how many requests were cancelled while they waited or ran.
    #[must_use]
    pub fn cancelled(&self) -> usize {
        self.state.cancelled.get()
    }

    /// Returns how many requests were refused without running.
    #[must_use]
    pub fn refused(&self) -> usize {
        self.state.refused.get()
    }

    /// Returns how many requests were started.
    #[must_use]
    pub fn started(&self) -> u64 {
        self.state.started.get()
    }
}

async fn accept(listener: TcpListener, state: Rc<UpstreamState>) {
    // Dropping the set with this task ends all connections.
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        connections.spawn_local(serve(stream, Rc::clone(&state)));
        while connections.try_join_next().is_some() {}
    }
}
