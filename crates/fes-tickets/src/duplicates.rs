//! Checks that values are unique within a ticket.

use std::fmt::Display;
use std::hash::Hash;

use fes_protocol::FastMap;
use fes_protocol::ResultCode;

use crate::document::Faults;

/// Records the location of the first occurrence of each value and reports later occurrences.
#[derive(Debug)]
pub(crate) struct UniquenessCheck<'a, T> {
    value_kind: &'static str,
    first_locations: FastMap<T, String>,
    faults: &'a Faults,
}

impl<'a, T: Hash + Eq + Display + Clone> UniquenessCheck<'a, T> {
    pub(crate) fn new(value_kind: &'static str, faults: &'a Faults) -> Self {
        Self {
            value_kind,
            first_locations: FastMap::default(),
            faults,
        }
    }

    /// Records a value, or reports a fault if it occurred before.
    pub(crate) fn check(&mut self, value: &T, location: impl Into<String>) {
        let location = location.into();
        if let Some(first) = self.first_locations.get(value) {
            let allowed = format!("a {} other than the one at {first}", self.value_kind);
            self.faults.add(
                ResultCode::TicketDuplicate,
                location,
                value.to_string(),
                allowed,
            );
            return;
        }
        self.first_locations.insert(value.clone(), location);
    }
}
