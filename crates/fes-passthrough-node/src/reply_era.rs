//! Relation of a reply of the platform to the era of its history that the view follows.

use fes_passthrough::Era;

/// Largest rise of the era that is believed. It rises by one each time the platform comes back from
/// an older copy; a wrong value far ahead would hide all true ones.
const MAX_RISE: Era = 1_000;

/// Relation of a reply to the era of the view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyEra {
    /// The reply continues what is known.
    Current(Era),
    /// The platform has come back from an older copy since, so that the whole list must be read.
    Later(Era),
    /// The reply was sent before the platform came back from an older copy, or the platform's era
    /// went back. It must not be used.
    Former(Era),
    /// The era is missing or can't be read although the platform told one before. The reply counts as
    /// one of the known era.
    Unreadable(Era),
}

impl ReplyEra {
    /// Classifies a reply by the era that it tells, if there is a readable one.
    #[must_use]
    pub fn of(known: Era, told: Option<Era>) -> Self {
        match told {
            None if known == 0 => Self::Current(0),
            None => Self::Unreadable(known),
            Some(era) if known != 0 && era > known.saturating_add(MAX_RISE) => {
                Self::Unreadable(known)
            }
            Some(era) if era > known => Self::Later(era),
            Some(era) if era < known => Self::Former(era),
            Some(era) => Self::Current(era),
        }
    }
}
