//! Finds values that must be unique within a ticket.

use std::fmt::Display;
use std::hash::Hash;

use fes_protocol::FastMap;
use fes_protocol::ResultCode;

use crate::document::Faults;

/// Remembers where each value was seen first and reports later ones.
#[derive(Debug)]
pub(crate) struct Unique<'a, T> {
    what: &'static str,
    first_locations: FastMap<T, String>,
    faults: &'a Faults,
}

impl<'a, T: Hash + Eq + Display + Clone> Unique<'a, T> {
    pub(crate) fn new(what: &'static str, faults: &'a Faults) -> Self {
        Self {
            what,
            first_locations: FastMap::default(),
            faults,
        }
    }

    /// Records a value; reports it if it was seen before.
    pub(crate) fn check(&mut self, value: &T, location: impl Into<String>) {
        let location = location.into();
        if let Some(first) = self.first_locations.get(value) {
            let allowed = format!("a {} other than the one at {first}", self.what);
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
