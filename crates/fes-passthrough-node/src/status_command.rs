//! Fetches the status of a running process.

use std::net::SocketAddr;

use fes_platform::PlatformClient;
use fes_protocol::Error;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use serde_json::Value;

const STATUS_PATH: &str = "/status";
const REPLY_TIMEOUT_MS: u64 = 2_000;

/// Returns the status of the process at `address` as indented JSON.
///
/// # Errors
///
/// Returns [`ResultCode::PlatformUnreachable`] if there is no reply in time, or
/// [`ResultCode::PlatformMalformed`] if the reply isn't JSON.
pub async fn fetch_status(address: SocketAddr) -> Result<String> {
    let mut client = PlatformClient::anonymous(address);
    let (_, body) = client.get(STATUS_PATH, REPLY_TIMEOUT_MS).await?;
    let malformed =
        |e: serde_json::Error| Error::coded(ResultCode::PlatformMalformed, e.to_string());
    let status: Value = serde_json::from_slice(&body).map_err(malformed)?;
    Ok(format!("{status:#}"))
}
