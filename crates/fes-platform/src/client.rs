//! Reads and watches tickets and VMs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fes_protocol::Error;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use fes_protocol::TicketNumber;
use http::StatusCode;
use tokio::time::timeout;

use crate::ListedVm;
use crate::TicketReply;
use crate::connection::Connection;
use crate::connection::unreachable;
use crate::reply::parse_vms;

/// The platform answers in milliseconds; a connection that takes longer is given up.
const REPLY_TIMEOUT_MS: u64 = 2_000;

/// A reader of the platform. It keeps one connection open between calls.
#[derive(Debug)]
pub struct PlatformClient {
    address: SocketAddr,
    reader: Option<Arc<str>>,
    reply_timeout_ms: u64,
    connection: Option<Connection>,
}

impl PlatformClient {
    /// Makes a client that the platform knows as `reader`; it connects with its first call.
    #[must_use]
    pub fn new(address: SocketAddr, reader: impl Into<Arc<str>>) -> Self {
        Self {
            address,
            reader: Some(reader.into()),
            reply_timeout_ms: REPLY_TIMEOUT_MS,
            connection: None,
        }
    }

    /// Makes a client that doesn't name itself; it connects with its first call.
    #[must_use]
    pub const fn anonymous(address: SocketAddr) -> Self {
        Self {
            address,
            reader: None,
            reply_timeout_ms: REPLY_TIMEOUT_MS,
            connection: None,
        }
    }

    /// Changes the time after which a call without a reply is given up.
    #[must_use]
    pub const fn with_reply_timeout_ms(mut self, reply_timeout_ms: u64) -> Self {
        self.reply_timeout_ms = reply_timeout_ms;
        self
    }

    /// Reads all tickets above `after`.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::PlatformUnreachable`] or [`ResultCode::PlatformMalformed`].
    pub async fn read_tickets(&mut self, after: TicketNumber) -> Result<TicketReply> {
        let path = format!("/v1/tickets?after={after}");
        let body = self.call(&path, self.reply_timeout_ms).await?;
        TicketReply::parse(&body, after)
    }

    /// Waits up to `wait_ms` for a ticket above `after`. The reply may be empty.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::PlatformUnreachable`] or [`ResultCode::PlatformMalformed`].
    pub async fn watch_tickets(
        &mut self,
        after: TicketNumber,
        wait_ms: u64,
    ) -> Result<TicketReply> {
        let path = format!("/v1/tickets/watch?after={after}&wait_ms={wait_ms}");
        let timeout_ms = wait_ms.saturating_add(self.reply_timeout_ms);
        let body = self.call(&path, timeout_ms).await?;
        TicketReply::parse(&body, after)
    }

    /// Reads the list of live and leaving VMs, which lags.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::PlatformUnreachable`] or [`ResultCode::PlatformMalformed`].
    pub async fn read_vms(&mut self) -> Result<Vec<ListedVm>> {
        let body = self.call("/v1/vms", self.reply_timeout_ms).await?;
        parse_vms(&body)
    }

    /// Reads any path of the platform, within `timeout_ms`, and returns the status and the body.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::PlatformUnreachable`], or [`ResultCode::PlatformMalformed`] if the
    /// reply is too large.
    pub async fn get(&mut self, path: &str, timeout_ms: u64) -> Result<(StatusCode, Bytes)> {
        // The connection is put back only after a complete reply: after an error, a timeout or a
        // cancelled call it may still hold the rest of an old reply.
        let kept = self.connection.take();
        let exchange = async {
            let mut connection = match kept {
                Some(connection) => connection,
                None => Connection::open(self.address).await?,
            };
            let reply = connection.get(path, self.reader.as_deref()).await?;
            Ok((connection, reply))
        };
        let bounded = timeout(Duration::from_millis(timeout_ms), exchange).await;
        let (connection, reply) = bounded.map_err(|_| {
            let detail = format!("the platform did not answer within {timeout_ms} ms");
            Error::coded(ResultCode::PlatformUnreachable, detail)
        })??;
        self.connection = Some(connection);
        Ok(reply)
    }

    async fn call(&mut self, path: &str, timeout_ms: u64) -> Result<Bytes> {
        let (status, body) = self.get(path, timeout_ms).await?;
        if status != StatusCode::OK {
            return Err(unreachable(&format_args!("status {status}")));
        }
        Ok(body)
    }
}
