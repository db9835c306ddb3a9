//! Keeps track of the list of targets, routes and evacuations in the platform's store: reads it
//! once, then watches it for changes, and reads it again whenever changes may have been missed.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use fes_adapter::ERA_HEADER;
use fes_adapter::RejectedItem;
use fes_adapter::decode_era;
use fes_adapter::decode_page;
use fes_adapter::decode_watch;
use fes_adapter::list_operator_items_path;
use fes_adapter::list_targets_path;
use fes_adapter::watch_path;
use fes_passthrough::Era;
use fes_passthrough::ListChange;
use fes_passthrough::era_of;
use fes_passthrough::number_of;
use fes_platform::PlatformClient;
use fes_protocol::Error;
use fes_protocol::MonoTime;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use fes_telemetry::PlatformReadReason;
use fes_telemetry::log_target;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use tokio::time::sleep;

use crate::list_plan::ListPlan;
use crate::list_plan::NextRead;
use crate::node_context::NodeContext;
use crate::reply_era::ReplyEra;

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
const PEER_VIEW_CHECK_PERIOD_MS: u64 = 5;
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
    /// Era of the platform's history that the view follows.
    pub(crate) known_era: &'a dyn Fn() -> Era,
    /// Whether this process has just started and a peer may still send its view.
    pub(crate) awaits_peer_view: &'a dyn Fn() -> bool,
    /// Revision up to which all changes are known, from this process or from its peers.
    pub(crate) known_revision: &'a dyn Fn() -> Option<u64>,
    /// When the platform confirmed the list, to this process or to its peers.
    pub(crate) confirmed_at: &'a dyn Fn() -> Option<MonoTime>,
    /// Time between two attempts while the platform doesn't respond, in milliseconds.
    pub(crate) retry_delay_ms: &'a dyn Fn() -> u64,
    /// Relation of the latest reply to the known era, so that a change is logged once.
    pub(crate) last_era: Cell<Option<ReplyEra>>,
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
                            "event=list_read era={} revision={} entries={} reason={reason}",
                            era_of(revision),
                            number_of(revision),
                            changes.len()
                        );
                        wait_for_peer_view(control, revision).await;
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
                log::info!(
                    target: log_target::PLATFORM,
                    "event=history_lost revision={}",
                    number_of(revision)
                );
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

/// Waits for the view of a peer before the first listing is used, if the platform may come back from
/// older copies: then peers may know a newer configuration.
async fn wait_for_peer_view(control: &WatchControl<'_>, revision: u64) {
    while era_of(revision) > 0 && (control.awaits_peer_view)() {
        sleep(Duration::from_millis(PEER_VIEW_CHECK_PERIOD_MS)).await;
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
            let reasons = [first_reason, reason];
            attempts.push(read_all(context, control, reasons, &replied_at));
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
    control: &WatchControl<'_>,
    [first_reason, reason]: [PlatformReadReason; 2],
    replied_at: &Cell<Option<MonoTime>>,
) -> Result<(Vec<ListChange>, u64)> {
    let address = SocketAddr::V4(context.settings.platform_address);
    let mut listing = Listing {
        context,
        control,
        client: PlatformClient::anonymous(address),
        era: None,
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
    control: &'a WatchControl<'a>,
    client: PlatformClient,
    /// Era of the first page. All pages must be of the same one.
    era: Option<Era>,
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
            let (body, era) = self.read(&path(after.as_deref())).await?;
            let page = decode_page(&body, era)?;
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

    /// Reads a page. Returns its body and its era.
    async fn read(&mut self, path: &str) -> Result<(Bytes, Era)> {
        let reason = std::mem::replace(&mut self.next_reason, self.reason);
        count_read(self.context, reason);
        let response = self.client.get_response(path, READ_TIMEOUT_MS).await?;
        expect_ok(response.status())?;
        let era = match reply_era(self.control, &response) {
            ReplyEra::Current(era) | ReplyEra::Later(era) | ReplyEra::Unreadable(era) => era,
            ReplyEra::Former(era) => return Err(former_era(era)),
        };
        if *self.era.get_or_insert(era) != era {
            return Err(former_era(era));
        }
        self.replied_at.set(Some(self.context.now()));
        Ok((response.into_body(), era))
    }
}

fn count_read(context: &NodeContext, reason: PlatformReadReason) {
    let label = reason.into();
    context.metrics.platform_reads.get_or_create(&label).inc();
}

fn reply_era(control: &WatchControl<'_>, response: &Response<Bytes>) -> ReplyEra {
    let known = (control.known_era)();
    let header = response.headers().get(ERA_HEADER);
    let told = header.and_then(|value| decode_era(value.as_bytes()));
    let era = ReplyEra::of(known, told);
    let is_refused = matches!(era, ReplyEra::Unreadable(_) | ReplyEra::Former(_));
    if control.last_era.replace(Some(era)) != Some(era) && is_refused {
        let told = header.map_or(&[][..], HeaderValue::as_bytes).escape_ascii();
        log::warn!(
            target: log_target::PLATFORM,
            "event=era_refused known={known} told=\"{told}\""
        );
    }
    era
}

fn former_era(era: Era) -> Error {
    let detail = format!("the platform's reply is of another era of its history: {era}");
    Error::coded(ResultCode::PlatformUnreachable, detail)
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
        let path = watch_path(number_of(progress.revision), WATCH_WAIT_MS);
        let response = match client.get_response(&path, WATCH_TIMEOUT_MS).await {
            Ok(response) if response.status() == StatusCode::GONE => return WatchEnd::HistoryLost,
            Ok(response) => response,
            Err(error) => return WatchEnd::Failed(error),
        };
        if let Err(error) = expect_ok(response.status()) {
            return WatchEnd::Failed(error);
        }
        let era = match reply_era(control, &response) {
            ReplyEra::Former(era) => return WatchEnd::Failed(former_era(era)),
            // The revision from which changes were awaited may have been given out again.
            ReplyEra::Later(_) => return WatchEnd::HistoryLost,
            ReplyEra::Current(era) | ReplyEra::Unreadable(era) => era,
        };
        // Peers may have told of a later era than the one in which the watch began.
        if era != era_of(progress.revision) {
            return WatchEnd::HistoryLost;
        }
        let reply = match decode_watch(response.body(), era) {
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
            log::info!(
                target: log_target::PLATFORM,
                "event=platform_back revision={}",
                number_of(revision)
            );
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
