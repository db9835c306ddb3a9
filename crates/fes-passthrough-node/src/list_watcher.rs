//! Keeps track of the list of targets, routes and evacuations in the platform's store: reads it
//! once, then watches it for changes, and reads it again whenever changes may have been missed.

use std::net::SocketAddr;
use std::time::Duration;

use fes_adapter::RejectedItem;
use fes_adapter::decode_page;
use fes_adapter::decode_watch;
use fes_adapter::list_operator_items_path;
use fes_adapter::list_targets_path;
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

/// Timeout of a read. The platform replies within milliseconds, or within a second if it is slow.
const READ_TIMEOUT_MS: u64 = 1_500;
/// Longest wait of one watch. Shorter than the time within which a change must be in force, because
/// a connection may stop responding without an error.
const WATCH_WAIT_MS: u64 = 1_000;
const WATCH_TIMEOUT_MS: u64 = WATCH_WAIT_MS + 1_000;
/// Minimum interval between watches. All targets together write several times a second, so that
/// each watch returns almost at once, and watching without a pause would be a busy loop.
const WATCH_PERIOD_MS: u64 = 700;
/// Maximum number of concurrent attempts to read the list.
const MAX_CONCURRENT_READS: usize = 6;
const PASSIVE_CHECK_PERIOD_MS: u64 = 20;
/// Maximum number of pages per listing, in case the store returns pages without end.
const MAX_PAGES: usize = 200;

/// An update of the list.
#[derive(Debug)]
pub(crate) enum ListUpdate {
    /// The complete list at a revision.
    Listing {
        /// Contents of the list.
        changes: Vec<ListChange>,
        /// Revision at the start of the read.
        revision: u64,
    },
    /// Changes since the previous update.
    Changes {
        /// Changes in order.
        changes: Vec<ListChange>,
        /// Revision up to which all changes are known.
        revision: u64,
    },
    /// The platform doesn't respond.
    Outage,
}

/// Functions with which the process controls the watcher.
pub(crate) struct WatchControl<'a> {
    /// Whether other processes read the list for this one.
    pub(crate) is_passive: &'a dyn Fn() -> bool,
    /// Revision up to which all changes are known, from this process or from its peers.
    pub(crate) known_revision: &'a dyn Fn() -> Option<u64>,
    /// Time between two attempts while the platform doesn't respond, in milliseconds.
    pub(crate) retry_delay_ms: &'a dyn Fn() -> u64,
}

/// Why a watch ended.
enum WatchEnd {
    /// Other processes read the list for this one.
    Passive,
    /// The changes since the known revision are no longer available, or may be incomplete.
    HistoryLost,
    /// The platform could not be reached, or its reply was not valid.
    Failed(Error),
}

/// Watches the list and passes each update to `on_update`. Never returns.
pub(crate) async fn watch_list(
    context: &NodeContext,
    control: &WatchControl<'_>,
    mut on_update: impl FnMut(ListUpdate),
) {
    let address = SocketAddr::V4(context.settings.platform_address);
    let mut client = PlatformClient::anonymous(address);
    let mut is_connected = false;
    let mut needs_listing = true;
    loop {
        wait_while_passive(control).await;
        let known = (control.known_revision)();
        let revision = match known.filter(|_| !needs_listing) {
            Some(revision) => revision,
            None => match read_all_hedged(context, control).await {
                Ok(None) => continue,
                Ok(Some((changes, revision))) => {
                    log::info!(
                        target: log_target::PLATFORM,
                        "event=list_read revision={revision} entries={}",
                        changes.len()
                    );
                    on_update(ListUpdate::Listing { changes, revision });
                    revision
                }
                Err(error) => {
                    record_failure(context, &error, &mut is_connected);
                    on_update(ListUpdate::Outage);
                    continue;
                }
            },
        };
        needs_listing = false;
        match watch(
            context,
            &mut client,
            revision,
            control,
            &mut on_update,
            &mut is_connected,
        )
        .await
        {
            WatchEnd::Passive => {}
            WatchEnd::HistoryLost => {
                needs_listing = true;
                log::info!(target: log_target::PLATFORM, "event=history_lost revision={revision}");
            }
            WatchEnd::Failed(error) => {
                // Items may have expired during the outage, and the store may no longer keep the
                // events of their removal.
                needs_listing = true;
                record_failure(context, &error, &mut is_connected);
                on_update(ListUpdate::Outage);
                sleep(Duration::from_millis((control.retry_delay_ms)())).await;
            }
        }
    }
}

/// Waits while other processes read the list for this one.
async fn wait_while_passive(control: &WatchControl<'_>) {
    while (control.is_passive)() {
        sleep(Duration::from_millis(PASSIVE_CHECK_PERIOD_MS)).await;
    }
}

/// Reads the complete list. While the previous attempts have no reply, starts further ones on new
/// connections, because a connection may have stopped responding, and the platform may have just
/// recovered. Returns none if other processes read the list for this one meanwhile.
async fn read_all_hedged(
    context: &NodeContext,
    control: &WatchControl<'_>,
) -> Result<Option<(Vec<ListChange>, u64)>> {
    let address = SocketAddr::V4(context.settings.platform_address);
    let attempt = || async move {
        let mut client = PlatformClient::anonymous(address);
        read_all(context, &mut client).await
    };
    let mut attempts = FuturesUnordered::new();
    loop {
        if attempts.len() < MAX_CONCURRENT_READS {
            attempts.push(attempt());
        }
        let next_attempt_at = sleep(Duration::from_millis((control.retry_delay_ms)()));
        tokio::pin!(next_attempt_at);
        tokio::select! {
            Some(Ok(list)) = attempts.next() => return Ok(Some(list)),
            () = &mut next_attempt_at => {}
        }
        if (control.is_passive)() {
            return Ok(None);
        }
        if attempts.is_empty() {
            let detail = "all attempts to read the target list failed";
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
    // The pages are not a consistent snapshot. The watch starts at the revision of the first page
    // and reports the changes since then.
    let (mut changes, first_revision) = read_pages(context, client, list_targets_path).await?;
    let (operator_changes, _) = read_pages(context, client, list_operator_items_path).await?;
    changes.extend(operator_changes);
    Ok((changes, first_revision))
}

/// Reads all pages of a prefix. Returns their changes and the revision of the first page.
async fn read_pages(
    context: &NodeContext,
    client: &mut PlatformClient,
    path: impl Fn(Option<&str>) -> String,
) -> Result<(Vec<ListChange>, u64)> {
    let mut changes = Vec::new();
    let mut after = None;
    let mut first_revision = None;
    for _ in 0..MAX_PAGES {
        let body = read(context, client, &path(after.as_deref()), READ_TIMEOUT_MS).await?;
        let page = decode_page(&body)?;
        log_rejected_items(&page.rejected);
        first_revision.get_or_insert(page.revision);
        changes.extend(page.changes);
        after = page.next_after;
        if after.is_none() {
            break;
        }
    }
    Ok((changes, first_revision.unwrap_or(0)))
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
            format!("the platform replied with status {status}"),
        )),
    }
}

async fn watch(
    context: &NodeContext,
    client: &mut PlatformClient,
    from_revision: u64,
    control: &WatchControl<'_>,
    on_update: &mut impl FnMut(ListUpdate),
    is_connected: &mut bool,
) -> WatchEnd {
    let mut revision = from_revision;
    loop {
        if (control.is_passive)() {
            return WatchEnd::Passive;
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
        log_rejected_items(&reply.rejected);
        // A lower revision than before belongs to a different history of the store, so changes may
        // have been missed.
        if reply.revision < revision {
            return WatchEnd::HistoryLost;
        }
        revision = reply.revision;
        if !std::mem::replace(is_connected, true) {
            log::info!(target: log_target::PLATFORM, "event=platform_back revision={revision}");
        }
        on_update(ListUpdate::Changes {
            changes: reply.changes,
            revision,
        });
        sleep(context.now().until(next_at)).await;
    }
}

fn log_rejected_items(rejected: &[RejectedItem]) {
    for item in rejected {
        log::debug!(
            target: log_target::PLATFORM,
            "event=entry_refused key={} reason=\"{}\"",
            item.key.escape_default(),
            item.reason.escape_default()
        );
    }
}
