//! Reasons of calls to the platform, a label of the counter of reads.

use std::fmt;

use prometheus_client::encoding::EncodeLabelSet;

/// Why a call is sent to the platform. A listing of several pages has the same reason for each.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PlatformReadReason {
    /// The process doesn't know the list: it has just started, and no peer has sent its view.
    FirstListing,
    /// The list is read again because the platform didn't respond for some time.
    ListingAfterOutage,
    /// The list is read again because changes may have been missed.
    ListingAfterLostHistory,
    /// Waits for changes.
    Watch,
    /// First watch after other entries had read for this one.
    WatchAfterPeers,
    /// A listing is tried again because the previous attempts failed or have no reply.
    Retry,
    /// All tickets are read.
    Tickets,
}

impl PlatformReadReason {
    /// All reasons.
    pub const ALL: [Self; 7] = [
        Self::FirstListing,
        Self::ListingAfterOutage,
        Self::ListingAfterLostHistory,
        Self::Watch,
        Self::WatchAfterPeers,
        Self::Retry,
        Self::Tickets,
    ];

    /// Returns the name used in metrics and logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::FirstListing => "first_listing",
            Self::ListingAfterOutage => "listing_after_outage",
            Self::ListingAfterLostHistory => "listing_after_lost_history",
            Self::Watch => "watch",
            Self::WatchAfterPeers => "watch_after_peers",
            Self::Retry => "retry",
            Self::Tickets => "tickets",
        }
    }
}

impl fmt::Display for PlatformReadReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Label whose value is the reason of a call to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReasonLabel {
    reason: &'static str,
}

impl From<PlatformReadReason> for ReasonLabel {
    fn from(reason: PlatformReadReason) -> Self {
        Self {
            reason: reason.name(),
        }
    }
}
