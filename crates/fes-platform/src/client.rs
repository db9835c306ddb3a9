//! HTTP client that reads tickets and VMs and watches for tickets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fes_protocol::Error;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use fes_protocol::TicketNumber;
use http::Response;
use http::StatusCode;
use tokio::time::timeout;

use crate::ListedVm;
use crate::TicketReply;
use crate::connection::Connection;
use crate::connection::unreachable_error;
use crate::reply::parse_vms;

/// The platform normally replies within milliseconds; a slower connection is considered failed.
const REPLY_TIMEOUT_MS: u64 = 2_000;

/// Client of the platform. It reuses one connection for consecutive calls.
#[derive(Debug)]
pub struct PlatformClient {
    address: SocketAddr,
    reader: Option<Arc<str>>,
    reply_timeout_ms: u64,
    connection: Option<Connection>,
}

impl PlatformClient {
    /// Creates a client that sends `reader` as its name. It connects on its first call.
    #[must_use]
    pub fn new(address: SocketAddr, reader: impl Into<Arc<str>>) -> Self {
        Self {
            address,
            reader: Some(reader.into()),
            reply_timeout_ms: REPLY_TIMEOUT_MS,
            connection: None,
        }
    }

    /// Creates a client that sends no name. It connects on its first call.
    #[must_use]
    pub const fn anonymous(address: SocketAddr) -> Self {
        Self {
            address,
            reader: None,
            reply_timeout_ms: REPLY_TIMEOUT_MS,
            connection: None,
        }
    }

    /// Sets the time after which a call without a reply fails.
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
        let body = self.get_ok(&path, self.reply_timeout_ms).await?;
        TicketReply::parse(&body, after)
    }

    /// Waits up to `wait_ms` for a ticket above `after`. The reply is empty if none was published.
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
        let body = self.get_ok(&path, timeout_ms).await?;
        TicketReply::parse(&body, after)
    }

    /// Reads the list of live and leaving VMs. It may be out of date.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::PlatformUnreachable`] or [`ResultCode::PlatformMalformed`].
    pub async fn read_vms(&mut self) -> Result<Vec<ListedVm>> {
        let body = self.get_ok("/v1/vms", self.reply_timeout_ms).await?;
        parse_vms(&body)
    }

    /// Sends a GET request for `path` and returns the status and body of the response. The call
    /// fails if it takes longer than `timeout_ms`, including the time to connect.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::PlatformUnreachable`], or [`ResultCode::PlatformMalformed`] if the
    /// reply is too large.
    pub async fn get(&mut self, path: &str, timeout_ms: u64) -> Result<(StatusCode, Bytes)> {
        let response = self.get_response(path, timeout_ms).await?;
        Ok((response.status(), response.into_body()))
    }

    /// Sends a GET request for `path` and returns the response with its headers, otherwise like
    /// [`Self::get`].
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::PlatformUnreachable`], or [`ResultCode::PlatformMalformed`] if the
    /// reply is too large.
    pub async fn get_response(&mut self, path: &str, timeout_ms: u64) -> Result<Response<Bytes>> {
        // The connection is kept only after a complete reply. After an error, a timeout or a
        // cancelled call it may still contain the rest of an old reply.
        let idle_connection = self.connection.take();
        let exchange = async {
            let mut connection = match idle_connection {
                Some(connection) => connection,
                None => Connection::open(self.address).await?,
            };
            let response = connection.get(path, self.reader.as_deref()).await?;
            Ok((connection, response))
        };
        let outcome = timeout(Duration::from_millis(timeout_ms), exchange).await;
        let (connection, response) = outcome.map_err(|_| {
            let detail = format!("the platform did not answer within {timeout_ms} ms");
            Error::coded(ResultCode::PlatformUnreachable, detail)
        })??;
        self.connection = Some(connection);
        Ok(response)
    }

    async fn get_ok(&mut self, path: &str, timeout_ms: u64) -> Result<Bytes> {
        let (status, body) = self.get(path, timeout_ms).await?;
        if status != StatusCode::OK {
            return Err(unreachable_error(&format_args!("status {status}")));
        }
        Ok(body)
    }
}
