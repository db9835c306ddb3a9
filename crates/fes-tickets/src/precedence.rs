//! Precedence between tickets that carry the same object.

use std::fmt::Debug;

use crate::TicketVersion;

/// Decides whether an offered object replaces the one in force. All processes must use the same
/// rule. The rule is a type parameter of the store, so that the tests can show that the history
/// check detects a store with a wrong rule.
pub trait Precedence: Debug + Clone + Copy + Default + Send + Sync + 'static {
    /// Returns whether `offered` replaces `in_force`.
    fn replaces(offered: TicketVersion, in_force: TicketVersion) -> bool;
}

/// The higher number takes precedence, and of equal numbers the larger content digest.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HighestWins;

impl Precedence for HighestWins {
    fn replaces(offered: TicketVersion, in_force: TicketVersion) -> bool {
        offered > in_force
    }
}
