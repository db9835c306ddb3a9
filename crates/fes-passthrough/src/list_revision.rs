//! Revisions of the platform's list, as this crate compares them.
//!
//! The platform may come back from an older copy of its data. Its revisions then go back and are
//! given out again, and an era of its history begins. A revision holds the era in its highest bits,
//! so that every revision of an era is higher than all those of former eras. Without eras it is
//! the platform's own number.

/// Era of the platform's history; 0 if the platform tells none.
pub type Era = u16;

/// Bits of a revision that hold the platform's number, of which the platform uses up far fewer.
const NUMBER_BITS: u32 = 48;
const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;

/// Returns the revision of a number that the platform gave out in an era.
#[must_use]
pub const fn revision_in_era(era: Era, number: u64) -> u64 {
    let number = if number > MAX_NUMBER {
        MAX_NUMBER
    } else {
        number
    };
    ((era as u64) << NUMBER_BITS) | number
}

/// Returns the era of a revision.
#[must_use]
pub const fn era_of(revision: u64) -> Era {
    (revision >> NUMBER_BITS) as Era
}

/// Returns the number that the platform gave out for a revision.
#[must_use]
pub const fn number_of(revision: u64) -> u64 {
    revision & MAX_NUMBER
}
