//! Keeps track of the list of targets, routes and evacuations in the platform's store: reads it
//! once, then watches it for changes, and reads it again whenever changes may have been missed.

use std::cell::Cell;
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
use fes_protocol::MonoTime;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use fes_telemetry::PlatformReadReason;
use fes_telemetry::log_target;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http::StatusCode;
use tokio::time::sleep;

use crate::list_plan::ListPlan;
use crate::list_plan::NextRead;
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
    /// When the platform confirmed the list, to this process or to its peers.
    pub(crate) confirmed_at: &'a dyn Fn() -> Option<MonoTime>,
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
    let mut plan = ListPlan::default();
    loop {
        wait_while_passive(control, &mut plan).await;
        let (revision, reason) = match plan.next_read((control.known_revision)()) {
            NextRead::Watch { revision, reason } => (revision, reason),
            NextRead::List(reason) => {
                match read_all_hedged(context, control, &plan, reason).await {
                    Ok(None) => continue,
                    Ok(Some((changes, revision))) => {
                        log::info!(
                            target: log_target::PLATFORM,
                            "event=list_read revision={revision} entries={} reason={reason}",
                            changes.len()
                        );
                        on_update(ListUpdate::Listing { changes, revision });
                        (revision, PlatformReadReason::Watch)
                    }
                    Err(error) => {
                        record_failure(context, &error, &mut is_connected);
                        plan.on_failure(context.now(), (control.known_revision)());
                        on_update(ListUpdate::Outage);
                        continue;
                    }
                }
            }
        };
        plan.on_watch();
        let mut progress = WatchProgress {
            revision,
            reason,
            is_connected: &mut is_connected,
        };
        let end = watch(context, &mut client, &mut progress, control, &mut on_update).await;
        match end {
            WatchEnd::Passive => {}
            WatchEnd::HistoryLost => {
                plan.on_history_lost();
                log::info!(target: log_target::PLATFORM, "event=history_lost revision={revision}");
            }
            WatchEnd::Failed(error) => {
                plan.on_failure(context.now(), (control.known_revision)());
                record_failure(context, &error, &mut is_connected);
                on_update(ListUpdate::Outage);
                sleep(Duration::from_millis((control.retry_delay_ms)())).await;
            }
        }
    }
}

/// Waits while other processes read the list for this one.
async fn wait_while_passive(control: &WatchControl<'_>, plan: &mut ListPlan) {
    while (control.is_passive)() {
        sleep(Duration::from_millis(PASSIVE_CHECK_PERIOD_MS)).await;
        plan.on_waited_for_peers((control.confirmed_at)());
    }
}

/// Reads the complete list. While the previous attempts get no reply, starts further ones on new
/// connections, because a connection may have stopped responding, and the platform may have just
/// recovered. Returns none if other processes read the list for this one meanwhile.
async fn read_all_hedged(
    context: &NodeContext,
    control: &WatchControl<'_>,
    plan: &ListPlan,
    reason: PlatformReadReason,
) -> Result<Option<(Vec<ListChange>, u64)>> {
    let replied_at = Cell::new(None);
    let mut attempts = FuturesUnordered::new();
    let mut first_reason = plan.first_reason(reason);
    loop {
        let delay_ms = (control.retry_delay_ms)();
        // The pages of a slow platform arrive one after the other; another attempt would read the
        // same ones again.
        let is_answered = |at: MonoTime| context.now() < at.plus_ms(delay_ms);
        if attempts.len() < MAX_CONCURRENT_READS && !replied_at.get().is_some_and(is_answered) {
            attempts.push(read_all(context, [first_reason, reason], &replied_at));
            first_reason = PlatformReadReason::Retry;
        }
        let next_attempt_at = sleep(Duration::from_millis(delay_ms));
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

/// Reads the list on a new connection. The reason of the first call may differ from that of the
/// others. Sets `replied_at` with each reply.
async fn read_all(
    context: &NodeContext,
    [first_reason, reason]: [PlatformReadReason; 2],
    replied_at: &Cell<Option<MonoTime>>,
) -> Result<(Vec<ListChange>, u64)> {
    let address = SocketAddr::V4(context.settings.platform_address);
    let mut listing = Listing {
        context,
        client: PlatformClient::anonymous(address),
        next_reason: first_reason,
        reason,
        replied_at,
    };
    // The pages are not a consistent snapshot. The watch starts at the revision of the first page
    // and reports the changes since then.
    let (mut changes, first_revision) = listing.read_pages(list_targets_path).await?;
    let (operator_changes, _) = listing.read_pages(list_operator_items_path).await?;
    changes.extend(operator_changes);
    Ok((changes, first_revision))
}

/// One attempt to read the list.
struct Listing<'a> {
    context: &'a NodeContext,
    client: PlatformClient,
    next_reason: PlatformReadReason,
    reason: PlatformReadReason,
    replied_at: &'a Cell<Option<MonoTime>>,
}

impl Listing<'_> {
    /// Reads all pages of a prefix. Returns their changes and the revision of the first page.
    async fn read_pages(
        &mut self,
        path: impl Fn(Option<&str>) -> String,
    ) -> Result<(Vec<ListChange>, u64)> {
        let mut changes = Vec::new();
        let mut after = None;
        let mut first_revision = None;
        for _ in 0..MAX_PAGES {
            let body = self.read(&path(after.as_deref())).await?;
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

    async fn read(&mut self, path: &str) -> Result<Vec<u8>> {
        let reason = std::mem::replace(&mut self.next_reason, self.reason);
        count_read(self.context, reason);
        let (status, body) = self.client.get(path, READ_TIMEOUT_MS).await?;
        expect_ok(status)?;
        self.replied_at.set(Some(self.context.now()));
        Ok(body.to_vec())
    }
}

fn count_read(context: &NodeContext, reason: PlatformReadReason) {
    let label = reason.into();
    context.metrics.platform_reads.get_or_create(&label).inc();
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

/// How far a watch has got.
struct WatchProgress<'a> {
    /// Revision up to which all changes are known.
    revision: u64,
    /// Reason of the next call.
    reason: PlatformReadReason,
    is_connected: &'a mut bool,
}

async fn watch(
    context: &NodeContext,
    client: &mut PlatformClient,
    progress: &mut WatchProgress<'_>,
    control: &WatchControl<'_>,
    on_update: &mut impl FnMut(ListUpdate),
) -> WatchEnd {
    loop {
        if (control.is_passive)() {
            return WatchEnd::Passive;
        }
        let next_at = context.now().plus_ms(WATCH_PERIOD_MS);
        let reason = std::mem::replace(&mut progress.reason, PlatformReadReason::Watch);
        count_read(context, reason);
        let path = watch_path(progress.revision, WATCH_WAIT_MS);
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
        if reply.revision < progress.revision {
            return WatchEnd::HistoryLost;
        }
        let revision = reply.revision;
        progress.revision = revision;
        if !std::mem::replace(progress.is_connected, true) {
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
