//! Sources of requests to drain a process.

use crate::LeaveSource;

/// Source of a request to drain the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DrainSource {
    /// The ticket in force lists the upstream as leaving. A later ticket may withdraw it.
    Ticket,
    /// The VM list contains the VM as leaving. The list lags and may be wrong; the request is
    /// withdrawn once the VM is no longer listed as leaving.
    VmList,
    /// SIGTERM. The process stops when its work is done.
    Signal,
    /// A request by an operator. The process stops when its work is done.
    Operator,
}

impl DrainSource {
    /// Returns whether the source ends the process and can't be withdrawn.
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

/// Set of the sources that currently request a drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DrainSources {
    bits: u8,
}

impl DrainSources {
    /// Adds a source and returns whether it is new.
    pub const fn insert(&mut self, source: DrainSource) -> bool {
        let is_new = !self.contains(source);
        self.bits |= source.bit();
        is_new
    }

    /// Removes a source that isn't final and returns whether it was present.
    pub const fn withdraw(&mut self, source: DrainSource) -> bool {
        let was_present = !source.is_final() && self.contains(source);
        if was_present {
            self.bits &= !source.bit();
        }
        was_present
    }

    /// Returns whether the source requests a drain.
    #[must_use]
    pub const fn contains(self, source: DrainSource) -> bool {
        self.bits & source.bit() != 0
    }

    /// Returns whether no source requests a drain.
    #[must_use]
    pub const fn is_empty(self) -> bool {
        self.bits == 0
    }

    /// Returns whether a final source is in the set.
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
