//! Decides whether the next call to the platform is a listing or a watch, and for which reason.

use fes_protocol::MonoTime;
use fes_telemetry::PlatformReadReason;

/// The next call to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextRead {
    /// The complete list is read.
    List(PlatformReadReason),
    /// Changes after a revision are awaited.
    Watch {
        /// Revision up to which all changes are known.
        revision: u64,
        /// Reason of the first watch.
        reason: PlatformReadReason,
    },
}

/// Chooses the next call from the results of the previous ones.
#[derive(Debug, Default)]
pub struct ListPlan {
    /// Reason for which the list must be read, although a revision is known.
    due_listing: Option<PlatformReadReason>,
    has_waited_for_peers: bool,
    /// Time of the latest call that failed.
    failed_at: MonoTime,
    is_retry: bool,
}

impl ListPlan {
    /// Returns the next call. `known_revision` is the revision up to which all changes are known,
    /// from this process or from its peers.
    #[must_use]
    pub fn next_read(&self, known_revision: Option<u64>) -> NextRead {
        let Some(revision) = known_revision else {
            let due = self.due_listing;
            return NextRead::List(due.unwrap_or(PlatformReadReason::FirstListing));
        };
        match (self.due_listing, self.has_waited_for_peers) {
            (Some(reason), _) => NextRead::List(reason),
            (None, true) => NextRead::Watch {
                revision,
                reason: PlatformReadReason::WatchAfterPeers,
            },
            (None, false) => NextRead::Watch {
                revision,
                reason: PlatformReadReason::Watch,
            },
        }
    }

    /// Returns the reason of the first call of a listing. If the platform may still not respond,
    /// that call only tries again; the further ones have the reason of the listing.
    #[must_use]
    pub const fn first_reason(&self, listing: PlatformReadReason) -> PlatformReadReason {
        match self.is_retry {
            true => PlatformReadReason::Retry,
            false => listing,
        }
    }

    /// Records that a watch starts, at a revision that was listed or is known from peers.
    pub const fn on_watch(&mut self) {
        self.due_listing = None;
        self.has_waited_for_peers = false;
        self.is_retry = false;
    }

    /// Records that other entries read for this one, and when the platform confirmed their view. A
    /// confirmation after the latest failure covers the outage, since a reader lists after an outage
    /// and its peers get the removals that it found.
    pub fn on_waited_for_peers(&mut self, confirmed_at: Option<MonoTime>) {
        self.has_waited_for_peers = true;
        let is_covered = confirmed_at.is_some_and(|at| at > self.failed_at);
        let is_coverable = matches!(
            self.due_listing,
            Some(PlatformReadReason::FirstListing | PlatformReadReason::ListingAfterOutage)
        );
        if is_covered && is_coverable {
            self.due_listing = None;
        }
    }

    /// Records that a call failed. Items may have expired during the outage, and the store may no
    /// longer keep the events of their removal.
    pub fn on_failure(&mut self, now: MonoTime, known_revision: Option<u64>) {
        self.failed_at = now;
        self.is_retry = true;
        let reason = match known_revision {
            Some(_) => PlatformReadReason::ListingAfterOutage,
            None => PlatformReadReason::FirstListing,
        };
        self.due_listing.get_or_insert(reason);
    }

    /// Records that the changes after the known revision are no longer available.
    pub const fn on_history_lost(&mut self) {
        self.due_listing = Some(PlatformReadReason::ListingAfterLostHistory);
    }
}
