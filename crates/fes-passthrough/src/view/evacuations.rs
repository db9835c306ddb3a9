//! Evacuations by data centre, as far as a process knows them.
//!
//! Changes are ordered by revision, so an older copy never replaces a newer one. Ended evacuations
//! are kept, so that an older copy doesn't restore them.

use std::cmp::Reverse;

use fes_protocol::DataCentreName;
use fes_protocol::FastMap;
use fes_protocol::FastSet;
use fes_protocol::MonoTime;

use crate::Evacuation;
use crate::era_of;

/// Maximum number of names, so that a store full of keys can't exhaust the memory.
const MAX_NAMES: usize = 64;
/// Bytes that an evacuation takes in a message besides its name.
const ENCODED_BYTES_BESIDES_NAME: usize = 11;
/// Maximum size of all evacuations in a message. They must fit into one extension, of which at most
/// [`crate::MAX_MESSAGE_BYTES`] are decoded.
const MAX_ENCODED_BYTES: usize = 1_800;

#[derive(Debug, Clone)]
struct KnownEvacuation {
    evacuation: Evacuation,
    /// When the evacuation began or ended, as far as this process knows.
    changed_at: MonoTime,
}

/// Evacuations by data centre.
#[derive(Debug, Default)]
pub struct Evacuations {
    known: FastMap<DataCentreName, KnownEvacuation>,
    /// Until then, the operator may not have written again what the platform lost with the beginning
    /// of the latest era.
    incomplete_until: MonoTime,
    /// Changes of the latest era that contradict what was acknowledged in a former one.
    deferred: FastMap<DataCentreName, Evacuation>,
}

impl Evacuations {
    /// Applies a change if it is newer than the known state. Returns whether an evacuation began or
    /// ended with it.
    pub fn apply(&mut self, now: MonoTime, evacuation: Evacuation) -> bool {
        if !evacuation.has_valid_name() {
            return false;
        }
        let current = self.known.get(&evacuation.data_centre);
        if current.is_some_and(|current| order(&evacuation) <= order(&current.evacuation)) {
            return false;
        }
        if current.is_some_and(|current| self.is_deferred(now, &evacuation, &current.evacuation)) {
            self.defer(evacuation);
            return false;
        }
        self.deferred.remove(&evacuation.data_centre);
        let unchanged = current
            .filter(|current| current.evacuation.is_in_force == evacuation.is_in_force)
            .map(|current| current.changed_at);
        let is_change = match current {
            Some(_) => unchanged.is_none(),
            None => evacuation.is_in_force,
        };
        let name = evacuation.data_centre.clone();
        let known = KnownEvacuation {
            evacuation,
            changed_at: unchanged.unwrap_or(now),
        };
        self.known.insert(name.clone(), known);
        self.remove_excess();
        is_change && self.known.contains_key(&name)
    }

    /// Begins an era of the platform's history. What is known is obeyed until `incomplete_until`,
    /// unless the operator writes it again or changes it in the new era.
    pub(super) fn begin_era(&mut self, incomplete_until: MonoTime) {
        self.incomplete_until = incomplete_until;
        self.deferred.clear();
    }

    /// Returns the changes to apply now that the operator has written again what was lost.
    pub(super) fn take_due(&mut self, now: MonoTime) -> Vec<Evacuation> {
        match now < self.incomplete_until {
            true => Vec::new(),
            false => self.deferred.drain().map(|(_, change)| change).collect(),
        }
    }

    /// Returns whether a change may come from the copy with which its era began, and contradicts
    /// what was acknowledged before.
    fn is_deferred(&self, now: MonoTime, change: &Evacuation, current: &Evacuation) -> bool {
        let is_new_era = era_of(change.revision) > era_of(current.revision);
        let is_contradiction = change.is_in_force != current.is_in_force;
        is_new_era && is_contradiction && now < self.incomplete_until
    }

    fn defer(&mut self, change: Evacuation) {
        let deferred = self.deferred.get(&change.data_centre);
        if deferred.is_none_or(|deferred| order(&change) > order(deferred)) {
            self.deferred.insert(change.data_centre.clone(), change);
        }
    }

    /// Returns the ends of those evacuations that a complete list of a revision doesn't contain.
    #[must_use]
    pub fn ended_by_list(
        &self,
        listed: &FastSet<DataCentreName>,
        revision: u64,
    ) -> Vec<Evacuation> {
        let is_missing = |evacuation: &&Evacuation| {
            evacuation.revision <= revision && !listed.contains(&evacuation.data_centre)
        };
        let end = |evacuation: &Evacuation| Evacuation {
            data_centre: evacuation.data_centre.clone(),
            revision,
            is_in_force: false,
        };
        self.in_force().filter(is_missing).map(end).collect()
    }

    /// Returns whether the evacuation of a data centre is in force.
    #[must_use]
    pub fn is_evacuated(&self, data_centre: &DataCentreName) -> bool {
        let known = self.known.get(data_centre);
        known.is_some_and(|known| known.evacuation.is_in_force)
    }

    /// Returns the revision in which the evacuation of a data centre last changed; 0 if there was
    /// none.
    #[must_use]
    pub fn revision_of(&self, data_centre: &DataCentreName) -> u64 {
        let known = self.known.get(data_centre);
        known.map_or(0, |known| known.evacuation.revision)
    }

    /// Returns the evacuations in force.
    pub fn in_force(&self) -> impl Iterator<Item = &Evacuation> {
        let all = self.known.values().map(|known| &known.evacuation);
        all.filter(|evacuation| evacuation.is_in_force)
    }

    /// Returns the time since the evacuation of a data centre began or ended, in milliseconds.
    #[must_use]
    pub fn age_ms(&self, now: MonoTime, data_centre: &DataCentreName) -> u64 {
        let known = self.known.get(data_centre);
        known.map_or(0, |known| now.ms_since(known.changed_at))
    }

    /// Returns all evacuations, including the ended ones, ordered by name.
    #[must_use]
    pub fn to_vec(&self) -> Vec<Evacuation> {
        let all = self.known.values().map(|known| known.evacuation.clone());
        let mut all: Vec<Evacuation> = all.collect();
        all.sort_unstable_by(|a, b| a.data_centre.cmp(&b.data_centre));
        all
    }

    /// Removes evacuations until the rest is within the bounds: first ended ones, then those with
    /// the lowest revision.
    fn remove_excess(&mut self) {
        while self.known.len() > MAX_NAMES || self.encoded_bytes() > MAX_ENCODED_BYTES {
            let all = self.known.values().map(|known| &known.evacuation);
            let least = all.min_by_key(|evacuation| {
                let is_ended = !evacuation.is_in_force;
                (
                    Reverse(is_ended),
                    evacuation.revision,
                    &evacuation.data_centre,
                )
            });
            let Some(name) = least.map(|evacuation| evacuation.data_centre.clone()) else {
                return;
            };
            self.known.remove(&name);
        }
    }

    fn encoded_bytes(&self) -> usize {
        let names = self.known.keys().map(|name| name.as_str().len());
        names.map(|len| len + ENCODED_BYTES_BESIDES_NAME).sum()
    }
}

/// Order of the changes of one data centre. A list of a revision may lack a request of that
/// revision, as its pages are read one after the other; then the end is the newer change.
const fn order(evacuation: &Evacuation) -> (u64, bool) {
    (evacuation.revision, !evacuation.is_in_force)
}
