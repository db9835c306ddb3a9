//! Follows the platform's list: one full read, then watches; a full read again after any doubt.

use std::net::SocketAddr;
use std::time::Duration;

use fes_adapter::RejectedEntry;
use fes_adapter::decode_routes;
use fes_adapter::decode_target_page;
use fes_adapter::decode_watch;
use fes_adapter::list_targets_path;
use fes_adapter::read_routes_path;
use fes_adapter::watch_path;
use fes_passthrough::ListChange;
use fes_platform::PlatformClient;
use fes_protocol::Error;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use fes_telemetry::log_target;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http::StatusCode;
use tokio::time::sleep;

use crate::node_context::NodeContext;

/// The platform answers in milliseconds; a slow one may take a second.
const READ_TIMEOUT_MS: u64 = 1_500;
/// Shorter than the time in which a change must be in force, since a connection may go silent.
const WATCH_WAIT_MS: u64 = 1_000;
const WATCH_TIMEOUT_MS: u64 = WATCH_WAIT_MS + 1_000;
/// Targets write several times a second in all; a watch that returns at once would be a busy loop.
const WATCH_PERIOD_MS: u64 = 700;
const RETRY_MS: u64 = 250;
/// Attempts to read the list that may be under way at once.
const MAX_ATTEMPTS: usize = 6;
const REST_CHECK_MS: u64 = 100;
/// Pages of one listing; more would mean that the list never ends.
const MAX_PAGES: usize = 200;

/// What the follower learns.
#[derive(Debug)]
pub(crate) enum ListNews {
    /// The whole list at a revision.
    Listing {
        /// Entries.
        changes: Vec<ListChange>,
        /// Revision at which the read began.
        revision: u64,
    },
    /// Changes since the news before.
    Changes {
        /// Changes in order.
        changes: Vec<ListChange>,
        /// Revision that is now known in full.
        revision: u64,
    },
    /// The platform doesn't answer.
    Outage,
}

/// What the follower needs to know of the rest of the process.
pub(crate) struct ListSource<'a> {
    /// Whether other processes read for this one.
    pub(crate) may_rest: &'a dyn Fn() -> bool,
    /// Revision that is known in full from here or from peers.
    pub(crate) known_revision: &'a dyn Fn() -> Option<u64>,
}

/// Why a watch ended.
enum WatchEnd {
    /// Other processes read.
    Resting,
    /// The history between the known revision and the present is gone, or may have gaps.
    HistoryLost,
    Failed(Error),
}

/// Follows the list and hands news to `tell`; never returns.
pub(crate) async fn follow_list(
    context: &NodeContext,
    source: &ListSource<'_>,
    mut tell: impl FnMut(ListNews),
) {
    let address = SocketAddr::V4(context.settings.platform_address);
    let mut client = PlatformClient::anonymous(address);
    let mut is_connected = false;
    let mut needs_listing = true;
    loop {
        rest(source).await;
        let known = (source.known_revision)();
        let revision = match known.filter(|_| !needs_listing) {
            Some(revision) => revision,
            None => match read_all_hedged(context).await {
                Ok((changes, revision)) => {
                    log::info!(
                        target: log_target::PLATFORM,
                        "event=list_read revision={revision} entries={}",
                        changes.len()
                    );
                    tell(ListNews::Listing { changes, revision });
                    revision
                }
                Err(error) => {
                    record_failure(context, &error, &mut is_connected);
                    tell(ListNews::Outage);
                    continue;
                }
            },
        };
        needs_listing = false;
        match watch(
            context,
            &mut client,
            revision,
            source,
            &mut tell,
            &mut is_connected,
        )
        .await
        {
            WatchEnd::Resting => {}
            WatchEnd::HistoryLost => {
                needs_listing = true;
                log::info!(target: log_target::PLATFORM, "event=history_lost revision={revision}");
            }
            WatchEnd::Failed(error) => {
                // Entries may have lapsed meanwhile without an event that is still kept.
                needs_listing = true;
                record_failure(context, &error, &mut is_connected);
                tell(ListNews::Outage);
                sleep(Duration::from_millis(RETRY_MS)).await;
            }
        }
    }
}

/// Waits while other processes read for this one.
async fn rest(source: &ListSource<'_>) {
    while (source.may_rest)() {
        sleep(Duration::from_millis(REST_CHECK_MS)).await;
    }
}

/// Reads the whole list, starting another attempt on a connection of its own while the ones before
/// have no answer: a connection may have gone silent, and the platform may have just come back.
async fn read_all_hedged(context: &NodeContext) -> Result<(Vec<ListChange>, u64)> {
    let address = SocketAddr::V4(context.settings.platform_address);
    let attempt = || async move {
        let mut client = PlatformClient::anonymous(address);
        read_all(context, &mut client).await
    };
    let mut attempts = FuturesUnordered::new();
    loop {
        if attempts.len() < MAX_ATTEMPTS {
            attempts.push(attempt());
        }
        let more_at = sleep(Duration::from_millis(RETRY_MS));
        tokio::pin!(more_at);
        tokio::select! {
            Some(Ok(list)) = attempts.next() => return Ok(list),
            () = &mut more_at => {}
        }
        if attempts.is_empty() {
            let detail = "no attempt to read the list succeeded";
            return Err(Error::coded(ResultCode::PlatformUnreachable, detail));
        }
    }
}

fn record_failure(context: &NodeContext, error: &Error, is_connected: &mut bool) {
    let code = error.code().into();
    context.metrics.platform_failures.get_or_create(&code).inc();
    if std::mem::take(is_connected) {
        log::warn!(target: log_target::PLATFORM, "event=platform_lost reason=\"{error}\"");
    }
}

async fn read_all(
    context: &NodeContext,
    client: &mut PlatformClient,
) -> Result<(Vec<ListChange>, u64)> {
    let mut changes = Vec::new();
    let mut after = None;
    let mut first_revision = None;
    for _ in 0..MAX_PAGES {
        let path = list_targets_path(after.as_deref());
        let body = read(context, client, &path, READ_TIMEOUT_MS).await?;
        let page = decode_target_page(&body)?;
        log_rejected(&page.rejected);
        // Pages are not a snapshot: what changed since the first page is watched for.
        first_revision.get_or_insert(page.revision);
        changes.extend(page.changes);
        after = page.next_after;
        if after.is_none() {
            break;
        }
    }
    let revision = first_revision.unwrap_or(0);
    changes.extend(read_routes(context, client).await?);
    Ok((changes, revision))
}

async fn read_routes(
    context: &NodeContext,
    client: &mut PlatformClient,
) -> Result<Vec<ListChange>> {
    context.metrics.platform_reads.inc();
    let (status, body) = client.get(&read_routes_path(), READ_TIMEOUT_MS).await?;
    // Before the operator's first configuration there is none.
    if status == StatusCode::NOT_FOUND {
        return Ok(Vec::new());
    }
    expect_ok(status)?;
    let reply = decode_routes(&body)?;
    log_rejected(&reply.rejected);
    Ok(reply.changes)
}

async fn read(
    context: &NodeContext,
    client: &mut PlatformClient,
    path: &str,
    timeout_ms: u64,
) -> Result<Vec<u8>> {
    context.metrics.platform_reads.inc();
    let (status, body) = client.get(path, timeout_ms).await?;
    expect_ok(status)?;
    Ok(body.to_vec())
}

fn expect_ok(status: StatusCode) -> Result<()> {
    match status {
        StatusCode::OK => Ok(()),
        _ => Err(Error::coded(
            ResultCode::PlatformUnreachable,
            format!("status {status}"),
        )),
    }
}

async fn watch(
    context: &NodeContext,
    client: &mut PlatformClient,
    from_revision: u64,
    source: &ListSource<'_>,
    tell: &mut impl FnMut(ListNews),
    is_connected: &mut bool,
) -> WatchEnd {
    let mut revision = from_revision;
    loop {
        if (source.may_rest)() {
            return WatchEnd::Resting;
        }
        let next_at = context.now().plus_ms(WATCH_PERIOD_MS);
        context.metrics.platform_reads.inc();
        let path = watch_path(revision, WATCH_WAIT_MS);
        let body = match client.get(&path, WATCH_TIMEOUT_MS).await {
            Ok((StatusCode::GONE, _)) => return WatchEnd::HistoryLost,
            Ok((status, body)) => match expect_ok(status) {
                Ok(()) => body,
                Err(error) => return WatchEnd::Failed(error),
            },
            Err(error) => return WatchEnd::Failed(error),
        };
        let reply = match decode_watch(&body) {
            Ok(reply) => reply,
            Err(error) => return WatchEnd::Failed(error),
        };
        log_rejected(&reply.rejected);
        // A revision that went back belongs to another history.
        if reply.revision < revision {
            return WatchEnd::HistoryLost;
        }
        revision = reply.revision;
        if !std::mem::replace(is_connected, true) {
            log::info!(target: log_target::PLATFORM, "event=platform_back revision={revision}");
        }
        tell(ListNews::Changes {
            changes: reply.changes,
            revision,
        });
        sleep(context.now().until(next_at)).await;
    }
}

fn log_rejected(rejected: &[RejectedEntry]) {
    for entry in rejected {
        log::debug!(
            target: log_target::PLATFORM,
            "event=entry_refused key={} reason=\"{}\"",
            entry.key.escape_default(),
            entry.reason.escape_default()
        );
    }
}
