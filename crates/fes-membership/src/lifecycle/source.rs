//! Who says that a process is leaving.

use crate::LeaveSource;

/// A source that says that the process is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DrainSource {
    /// The ticket in force says that the upstream is leaving. A later ticket may take it back.
    Ticket,
    /// The VM list says that the VM is leaving. The list lags, so it may be wrong and is taken
    /// back once the list no longer says so.
    VmList,
    /// SIGTERM. The process stops when its work is done.
    Signal,
    /// An operator's order. The process stops when its work is done.
    Operator,
}

impl DrainSource {
    /// Returns whether the source ends the process and can't be taken back.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Signal | Self::Operator)
    }

    const fn bit(self) -> u8 {
        match self {
            Self::Ticket => 1,
            Self::VmList => 2,
            Self::Signal => 4,
            Self::Operator => 8,
        }
    }
}

/// The sources that currently say that the process is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DrainSources {
    bits: u8,
}

impl DrainSources {
    /// Adds a source; returns whether it is new.
    pub const fn insert(&mut self, source: DrainSource) -> bool {
        let is_new = !self.contains(source);
        self.bits |= source.bit();
        is_new
    }

    /// Takes back a source that isn't final; returns whether it was there.
    pub const fn withdraw(&mut self, source: DrainSource) -> bool {
        let was_there = !source.is_final() && self.contains(source);
        if was_there {
            self.bits &= !source.bit();
        }
        was_there
    }

    /// Returns whether the source says that the process is leaving.
    #[must_use]
    pub const fn contains(self, source: DrainSource) -> bool {
        self.bits & source.bit() != 0
    }

    /// Returns whether no source says that the process is leaving.
    #[must_use]
    pub const fn is_empty(self) -> bool {
        self.bits == 0
    }

    /// Returns whether a source ends the process.
    #[must_use]
    pub const fn is_final(self) -> bool {
        self.contains(DrainSource::Signal) || self.contains(DrainSource::Operator)
    }
}

impl From<LeaveSource> for DrainSource {
    fn from(source: LeaveSource) -> Self {
        match source {
            LeaveSource::Ticket => Self::Ticket,
            LeaveSource::VmList => Self::VmList,
            LeaveSource::Operator => Self::Operator,
            LeaveSource::Signal => Self::Signal,
        }
    }
}
