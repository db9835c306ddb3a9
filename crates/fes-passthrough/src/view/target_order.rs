//! Order of what is known about a target.
//!
//! Within an era of the platform's history, its revisions order all records and removals. An era
//! begins with an older copy, so that the first record of a target in a new era may be older than
//! what is known from a former one. Then the target's own start time and number of writes decide.

use std::cmp::Ordering;

use fes_protocol::MonoTime;

use crate::TargetRecord;
use crate::era_of;

/// What a record adds to what is known about its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Statement {
    /// It replaces what is known.
    New,
    /// The platform lists, in a new era, a record that is no newer than the known one.
    Relisted,
    /// It is older than what is known.
    Outdated,
}

/// Compares a record with the known one.
pub(super) fn compare(record: &TargetRecord, known: &TargetRecord) -> Statement {
    let is_older = record.statement() < known.statement();
    match era_of(record.revision).cmp(&era_of(known.revision)) {
        Ordering::Less => Statement::Outdated,
        Ordering::Equal if record.revision < known.revision => Statement::Outdated,
        // One entry may hold the record of the platform's copy, and another the newer one of before.
        Ordering::Equal if record.revision == known.revision && is_older => Statement::Outdated,
        Ordering::Equal => Statement::New,
        Ordering::Greater if record.statement() > known.statement() => Statement::New,
        Ordering::Greater => Statement::Relisted,
    }
}

/// Removal of a target from the list.
#[derive(Debug, Clone, Copy)]
pub(super) struct Removal {
    /// Revision of the removal.
    pub(super) revision: u64,
    /// What the target said last before it was removed; see [`TargetRecord::statement`].
    pub(super) statement: (u64, u64),
    /// When the removal is forgotten.
    pub(super) expires_at: MonoTime,
}

impl Removal {
    /// Returns whether the target wrote the record before it was removed.
    pub(super) fn covers(&self, record: &TargetRecord) -> bool {
        match era_of(record.revision).cmp(&era_of(self.revision)) {
            Ordering::Less => true,
            Ordering::Equal => record.revision <= self.revision,
            Ordering::Greater => record.statement() <= self.statement,
        }
    }
}
