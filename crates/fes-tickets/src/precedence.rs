//! The rule by which one ticket replaces another.

use std::fmt::Debug;

use crate::TicketVersion;

/// Decides whether an offered object replaces the one in force. All processes must use the same
/// rule. It is a parameter of the store, so that the history check can be run against a store
/// with a wrong rule and prove that it notices.
pub trait Precedence: Debug + Clone + Copy + Default + Send + Sync + 'static {
    /// Returns whether `offered` replaces `in_force`.
    fn replaces(offered: TicketVersion, in_force: TicketVersion) -> bool;
}

/// The highest number wins; of two equal numbers the larger digest.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HighestWins;

impl Precedence for HighestWins {
    fn replaces(offered: TicketVersion, in_force: TicketVersion) -> bool {
        offered > in_force
    }
}
