//! A process's view of routes and targets, which follows the platform's list.
//!
//! A record or configuration replaces only an older one, regardless of its source (read, watch or
//! peer), so the view of a process never goes back to an older state. See `target_order.rs` for
//! records; configurations are ordered by their version.
//!
//! If the platform comes back from an older copy, an era begins. What the copy lacks counts until the
//! time has passed in which it must have been written again.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use fes_protocol::DataCentreName;
use fes_protocol::FastMap;
use fes_protocol::FastSet;
use fes_protocol::MonoTime;
use fes_protocol::UpstreamName;

use super::target_order::Removal;
use super::target_order::Statement;
use super::target_order::compare;
use crate::Era;
use crate::Evacuation;
use crate::Evacuations;
use crate::Route;
use crate::RouteSet;
use crate::ServiceTag;
use crate::TargetRecord;
use crate::TargetState;
use crate::era_of;

/// Time for which a target stays in use after its record left the list, because records may expire
/// and be written again. Shorter than the time within which new flows to a target that left must
/// stop.
const UNLISTED_GRACE_MS: u64 = 800;
/// Time from the end of an outage of the platform, or from the beginning of an era, until its list is
/// complete again. A target that is missing from the list before then is kept until then.
const OUTAGE_RECOVERY_MS: u64 = 2_200;
/// Age of a view from which the platform must have been unreachable for all entries. Otherwise a
/// peer would have confirmed the view.
const MIN_OUTAGE_MS: u64 = 1_500;
/// Time from the listing of a target until all entries know it: two periods of the gossip between
/// them. An entry that doesn't know the target of an open flow would reset the flow.
const ANNOUNCEMENT_MS: u64 = 800;
/// Time for which removals are remembered, so that an older copy doesn't restore a removed record.
const REMOVAL_EXPIRY_MS: u64 = 60_000;

/// A change of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListChange {
    /// A target was written.
    Target(TargetRecord),
    /// A record was removed or can't be decoded, so the list contains no such target.
    NoTarget {
        /// Identity in the list.
        id: UpstreamName,
        /// Revision of the change.
        revision: u64,
    },
    /// A configuration was written.
    Routes(RouteSet),
    /// The evacuation of a data centre was requested, or its request was removed.
    Evacuation(Evacuation),
}

impl ListChange {
    /// Returns the era in which the platform made the change; 0 for configurations, which have
    /// versions of their own.
    const fn era(&self) -> Era {
        match self {
            Self::Target(record) => era_of(record.revision),
            Self::NoTarget { revision, .. } => era_of(*revision),
            Self::Evacuation(evacuation) => era_of(evacuation.revision),
            Self::Routes(_) => 0,
        }
    }
}

/// Effect of a change on the view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ViewEvent {
    /// A target is new, or its state, service, VM or start time changed.
    TargetChanged(TargetRecord),
    /// A target is no longer listed; it is removed if it isn't listed again in time.
    TargetUnlisted(UpstreamName),
    /// A target was removed.
    TargetRemoved(UpstreamName),
    /// A new configuration is in force.
    RoutesChanged {
        /// Version in force before.
        from: u64,
        /// Version in force now.
        to: u64,
    },
    /// The evacuation of a data centre began or ended.
    EvacuationChanged(Evacuation),
}

#[derive(Debug, Clone)]
enum Listing {
    Listed,
    /// No longer listed; removed at the deadline.
    Unlisted {
        remove_at: MonoTime,
    },
}

#[derive(Debug, Clone)]
struct ListedTarget {
    record: TargetRecord,
    listing: Listing,
    listed_at: MonoTime,
    /// When all entries know the target.
    announced_at: MonoTime,
    warm_up_ends_at: MonoTime,
    /// Revision of the last change that must be sent to peers.
    changed_revision: u64,
}

impl ListedTarget {
    /// Records that the platform lists the target in a new era, by a record that is no newer than
    /// this one. A target that was unlisted before the era began stays so until it writes again.
    fn relist(&mut self, record: &TargetRecord) {
        if matches!(self.listing, Listing::Listed) {
            self.record.revision = record.revision;
            self.record.created_revision = record.created_revision;
        }
    }
}

/// A view of routes and targets.
#[derive(Debug, Default)]
pub struct FleetView {
    targets: FastMap<UpstreamName, ListedTarget>,
    by_vm: FastMap<Ipv4Addr, UpstreamName>,
    by_service: FastMap<ServiceTag, FastSet<UpstreamName>>,
    removals: FastMap<UpstreamName, Removal>,
    evacuations: Evacuations,
    routes: RouteSet,
    has_routes: bool,
    /// Services that the configuration in force names.
    named_services: FastSet<ServiceTag>,
    revision: u64,
    /// Era of the newest statement of the platform, which `revision` may not have reached yet.
    era: Era,
    /// Revision after which every removal is known.
    removals_known_after: u64,
    confirmed_at: Option<MonoTime>,
    outage_ended_at: Option<MonoTime>,
    is_in_outage: bool,
}

impl FleetView {
    /// Creates an empty view.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a change if it is newer than the current state.
    pub fn apply(&mut self, now: MonoTime, change: ListChange) -> Option<ViewEvent> {
        self.observe_era(now, change.era());
        match change {
            ListChange::Target(record) => self.apply_target(now, record),
            ListChange::NoTarget { id, revision } => self.remove(now, &id, revision),
            ListChange::Routes(routes) => self.apply_routes(routes),
            ListChange::Evacuation(evacuation) => self.apply_evacuation(now, evacuation),
        }
    }

    /// Applies a full listing that was read at `revision`. Targets that it doesn't contain are
    /// removed, and evacuations that it doesn't contain have ended.
    pub fn apply_listing(
        &mut self,
        now: MonoTime,
        changes: Vec<ListChange>,
        revision: u64,
    ) -> Vec<ViewEvent> {
        if era_of(revision) < self.era {
            return Vec::new();
        }
        self.observe_era(now, era_of(revision));
        self.end_outage(now);
        let mut listed = Vec::with_capacity(changes.len());
        let mut evacuated: FastSet<DataCentreName> = FastSet::default();
        let mut events = Vec::new();
        for change in changes {
            match &change {
                ListChange::Target(record) => listed.push(record.id.clone()),
                ListChange::Evacuation(evacuation) => {
                    evacuated.insert(evacuation.data_centre.clone());
                }
                ListChange::NoTarget { .. } | ListChange::Routes(_) => {}
            }
            events.extend(self.apply(now, change));
        }
        for ended in self.evacuations.ended_by_list(&evacuated, revision) {
            events.extend(self.apply_evacuation(now, ended));
        }
        let missing: Vec<UpstreamName> = self
            .targets
            .iter()
            .filter(|(id, target)| target.record.revision <= revision && !listed.contains(id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in missing {
            events.extend(self.remove(now, &id, revision));
        }
        // Other targets may have been listed and removed since the last update.
        self.removals_known_after = self.removals_known_after.max(revision);
        events
    }

    /// Records that the platform confirmed the view up to `revision`.
    pub fn confirm(&mut self, now: MonoTime, revision: u64) {
        self.observe_era(now, era_of(revision));
        self.end_outage(now);
        self.advance_revision(self.revision.max(revision));
        self.confirmed_at = Some(now);
    }

    /// Records that a peer confirmed `revision` as the newest one at `confirmed_at`, or before this
    /// process started if that is none. Ignored if this view has a newer revision.
    pub fn confirm_by_peer(&mut self, confirmed_at: Option<MonoTime>, revision: u64) {
        if revision < self.revision {
            return;
        }
        self.observe_peer_read(confirmed_at);
        self.advance_revision(revision);
        self.confirmed_at = self.confirmed_at.max(confirmed_at);
    }

    /// Records that a peer read the platform at `confirmed_at`. If this view is so old that no entry
    /// could read the platform in the meantime, that read ends the outage.
    pub fn observe_peer_read(&mut self, confirmed_at: Option<MonoTime>) {
        let Some(read_at) = confirmed_at else {
            return;
        };
        let previous = self.confirmed_at.unwrap_or(MonoTime::ZERO);
        if read_at >= previous.plus_ms(MIN_OUTAGE_MS) {
            self.end_outage(read_at);
        }
    }

    const fn end_outage(&mut self, now: MonoTime) {
        if self.is_in_outage {
            self.is_in_outage = false;
            self.outage_ended_at = Some(now);
        }
    }

    /// Begins an era of the platform's history if a statement of a newer one than before arrives. In
    /// the first one that this process hears of, nothing is lost.
    fn observe_era(&mut self, now: MonoTime, era: Era) {
        if era <= self.era {
            return;
        }
        self.era = era;
        if self.revision == 0 {
            return;
        }
        self.outage_ended_at = Some(now);
        let written_again_by = now.plus_ms(OUTAGE_RECOVERY_MS);
        self.evacuations.begin_era(written_again_by);
        for target in self.targets.values_mut() {
            if let Listing::Unlisted { remove_at } = &mut target.listing {
                *remove_at = written_again_by.max(*remove_at);
            }
        }
    }

    /// Returns the era of the platform's history that the view follows; 0 if it tells none.
    #[must_use]
    pub const fn era(&self) -> Era {
        self.era
    }

    /// Returns the number of targets that are in use although the platform doesn't list them.
    #[must_use]
    pub fn unlisted_count(&self) -> usize {
        let targets = self.targets.values();
        let unlisted = targets.filter(|target| matches!(target.listing, Listing::Unlisted { .. }));
        unlisted.count()
    }

    fn advance_revision(&mut self, revision: u64) {
        let is_first = self.revision == 0;
        if is_first {
            self.removals_known_after = revision;
        }
        self.revision = revision;
    }

    /// Records that the platform is unreachable.
    pub const fn record_outage(&mut self) {
        self.is_in_outage = true;
    }

    /// Removes targets that were not listed again in time, and believes what the platform says of
    /// evacuations in an era once it must be complete.
    pub fn expire(&mut self, now: MonoTime) -> Vec<ViewEvent> {
        let expired: Vec<UpstreamName> = self
            .targets
            .iter()
            .filter(|(_, target)| {
                matches!(target.listing, Listing::Unlisted { remove_at } if now >= remove_at)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in &expired {
            self.drop_target(id);
        }
        self.expire_removals(now);
        let removed = expired.into_iter().map(ViewEvent::TargetRemoved);
        let due = self.evacuations.take_due(now);
        let mut events: Vec<ViewEvent> = removed.collect();
        for evacuation in due {
            events.extend(self.apply_evacuation(now, evacuation));
        }
        events
    }

    fn expire_removals(&mut self, now: MonoTime) {
        let removals = self.removals.values();
        let forgotten = removals.filter(|removal| now >= removal.expires_at);
        let newest_forgotten = forgotten.map(|removal| removal.revision).max();
        self.removals_known_after = self.removals_known_after.max(newest_forgotten.unwrap_or(0));
        self.removals.retain(|_, removal| now < removal.expires_at);
    }

    /// Returns whether all removals after a revision are known, so that the changes since then can
    /// be sent to a peer instead of the whole list.
    #[must_use]
    pub const fn knows_removals_after(&self, revision: u64) -> bool {
        revision >= self.removals_known_after
    }

    /// Returns the route to an address.
    #[must_use]
    pub fn route(&self, destination: SocketAddrV4) -> Option<&Route> {
        self.routes.routes.get(&destination)
    }

    /// Returns the configuration in force.
    #[must_use]
    pub const fn routes(&self) -> &RouteSet {
        &self.routes
    }

    /// Returns whether a configuration is known.
    #[must_use]
    pub const fn has_routes(&self) -> bool {
        self.has_routes
    }

    /// Returns the evacuations of data centres.
    #[must_use]
    pub const fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Returns whether the target's data centre is being evacuated.
    #[must_use]
    pub fn is_evacuated(&self, target: &TargetRecord) -> bool {
        self.evacuations.is_evacuated(&target.data_centre)
    }

    /// Returns whether the target may get new flows: it is neither draining nor evacuated.
    #[must_use]
    pub fn accepts_flows(&self, target: &TargetRecord) -> bool {
        target.state == TargetState::Ready && !self.is_evacuated(target)
    }

    /// Returns the newest revision of which the view has all changes.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the time since the view was last confirmed, in milliseconds.
    #[must_use]
    pub fn age_ms(&self, now: MonoTime) -> Option<u64> {
        self.confirmed_at.map(|at| now.ms_since(at))
    }

    /// Returns when the view was last confirmed.
    #[must_use]
    pub const fn confirmed_at(&self) -> Option<MonoTime> {
        self.confirmed_at
    }

    /// Returns the target on a VM.
    #[must_use]
    pub fn target_on(&self, vm: Ipv4Addr) -> Option<&TargetRecord> {
        let id = self.by_vm.get(&vm)?;
        self.targets.get(id).map(|target| &target.record)
    }

    /// Returns whether the target is still warming up.
    #[must_use]
    pub fn is_warming_up(&self, now: MonoTime, id: &UpstreamName) -> bool {
        self.targets
            .get(id)
            .is_some_and(|target| now < target.warm_up_ends_at)
    }

    /// Returns the remaining warm-up time of a target, in milliseconds; 0 if it is warm or unknown.
    #[must_use]
    pub fn warm_up_remaining_ms(&self, now: MonoTime, id: &UpstreamName) -> u32 {
        let target = self.targets.get(id);
        let remaining_ms = target.map_or(0, |target| target.warm_up_ends_at.ms_since(now));
        u32::try_from(remaining_ms).unwrap_or(u32::MAX)
    }

    /// Returns the listed targets that were listed or changed after a revision. Updates of fields
    /// other than state, service, VM and start time don't count as changes.
    pub fn changed_after(&self, revision: u64) -> impl Iterator<Item = &TargetRecord> {
        let is_listed = |target: &&ListedTarget| matches!(target.listing, Listing::Listed);
        let changed = self.targets.values().filter(is_listed);
        let changed = changed.filter(move |target| target.changed_revision > revision);
        changed.map(|target| &target.record)
    }

    /// Returns the targets removed after a revision, with the revision of their removal.
    pub fn removed_after(&self, revision: u64) -> impl Iterator<Item = (UpstreamName, u64)> {
        let removed = self.removals.iter();
        let removed = removed.filter(move |(_, removal)| removal.revision > revision);
        removed.map(|(id, removal)| (id.clone(), removal.revision))
    }

    /// Returns the newest target of each VM; older ones that are still listed have ended.
    pub fn newest_targets(&self) -> impl Iterator<Item = &TargetRecord> {
        self.by_vm.keys().filter_map(|vm| self.target_on(*vm))
    }

    /// Returns the time since a target was first listed, in milliseconds, or 0 if it is unknown.
    #[must_use]
    pub fn listed_for_ms(&self, now: MonoTime, id: &UpstreamName) -> u64 {
        let target = self.targets.get(id);
        target.map_or(0, |target| now.ms_since(target.listed_at))
    }

    /// Returns whether other entries may not know the target yet. Those of the first list that this
    /// process receives count as known.
    #[must_use]
    pub fn is_new(&self, now: MonoTime, id: &UpstreamName) -> bool {
        let target = self.targets.get(id);
        target.is_some_and(|target| now < target.announced_at)
    }

    /// Returns all targets that are listed or not yet removed.
    pub fn targets(&self) -> impl Iterator<Item = &TargetRecord> {
        self.targets.values().map(|target| &target.record)
    }

    /// Returns the targets of a service.
    pub fn targets_of(&self, service: ServiceTag) -> impl Iterator<Item = &TargetRecord> {
        let ids = self.by_service.get(&service).into_iter().flatten();
        let listed = ids.filter_map(|id| self.targets.get(id));
        listed.map(|target| &target.record)
    }

    fn apply_target(&mut self, now: MonoTime, record: TargetRecord) -> Option<ViewEvent> {
        let removal = self.removals.get(&record.id);
        if removal.is_some_and(|removal| removal.covers(&record)) {
            return None;
        }
        if let Some(current) = self.targets.get_mut(&record.id) {
            match compare(&record, &current.record) {
                Statement::Outdated => return None,
                Statement::Relisted => {
                    current.relist(&record);
                    return None;
                }
                Statement::New => {}
            }
        }
        let previous = self.targets.get(&record.id);
        let is_change = previous.is_none_or(|current| {
            current.record.state != record.state
                || current.record.service != record.service
                || current.record.started_at_ms != record.started_at_ms
                || current.record.vm != record.vm
        });
        if let Some(current) = previous.filter(|current| current.record.service != record.service) {
            remove_from_service(&mut self.by_service, &current.record);
        }
        let listed_at = previous.map_or(now, |current| current.listed_at);
        let announced_at = match (previous, self.confirmed_at) {
            (Some(current), _) => current.announced_at,
            (None, Some(_)) => now.plus_ms(ANNOUNCEMENT_MS),
            (None, None) => now,
        };
        // Peers may have seen a removal that this process missed.
        let is_relisted = previous.is_none_or(|current| {
            current.record.created_revision != record.created_revision
                || matches!(current.listing, Listing::Unlisted { .. })
        });
        let changed_revision = match previous {
            Some(current) if !is_change && !is_relisted => current.changed_revision,
            _ => record.revision,
        };
        let warm_up_ends_at = now.plus_ms(u64::from(record.warm_up_ms));
        // A record that arrives again, from another peer, must not extend the warm-up.
        let repeated = previous.filter(|current| current.record.revision == record.revision);
        let warm_up_ends_at = repeated.map_or(warm_up_ends_at, |current| {
            current.warm_up_ends_at.min(warm_up_ends_at)
        });
        self.index(&record);
        let listed = ListedTarget {
            record: record.clone(),
            listing: Listing::Listed,
            listed_at,
            announced_at,
            warm_up_ends_at,
            changed_revision,
        };
        self.removals.remove(&record.id);
        self.targets.insert(record.id.clone(), listed);
        is_change.then_some(ViewEvent::TargetChanged(record))
    }

    /// Indexes a target by service and VM.
    fn index(&mut self, record: &TargetRecord) {
        let of_service = self.by_service.entry(record.service).or_default();
        of_service.insert(record.id.clone());
        let current = self
            .by_vm
            .get(&record.vm)
            .and_then(|id| self.targets.get(id));
        let is_preferred = current
            .is_none_or(|current| self.rank_on_vm(record) >= self.rank_on_vm(&current.record));
        if is_preferred {
            self.by_vm.insert(record.vm, record.id.clone());
        }
    }

    /// Returns the rank of a target among those listed for one VM, of which the highest counts as the
    /// VM's target: the one that started last, or was written last. One of a service that the
    /// configuration doesn't name may come from another writer, and comes after all others.
    fn rank_on_vm(&self, record: &TargetRecord) -> (bool, u64, u64) {
        let is_named = self.named_services.contains(&record.service);
        (is_named, record.started_at_ms, record.revision)
    }

    /// Indexes all targets by VM.
    fn index_vms(&mut self) {
        let mut preferred: FastMap<Ipv4Addr, &TargetRecord> = FastMap::default();
        for target in self.targets.values() {
            let record = &target.record;
            let current = preferred.entry(record.vm).or_insert(record);
            if self.rank_on_vm(record) > self.rank_on_vm(current) {
                *current = record;
            }
        }
        let ids = preferred
            .into_iter()
            .map(|(vm, record)| (vm, record.id.clone()));
        self.by_vm = ids.collect();
    }

    fn index_vm(&mut self, vm: Ipv4Addr) {
        let records = self.targets.values().map(|target| &target.record);
        let on_vm = records.filter(|record| record.vm == vm);
        let preferred = on_vm.max_by_key(|record| self.rank_on_vm(record));
        match preferred.map(|record| record.id.clone()) {
            Some(id) => drop(self.by_vm.insert(vm, id)),
            None => drop(self.by_vm.remove(&vm)),
        }
    }

    fn remove(&mut self, now: MonoTime, id: &UpstreamName, revision: u64) -> Option<ViewEvent> {
        let current = self.targets.get_mut(id)?;
        if current.record.revision > revision || matches!(current.listing, Listing::Unlisted { .. })
        {
            return None;
        }
        let after_outage = self
            .outage_ended_at
            .map_or(MonoTime::ZERO, |at| at.plus_ms(OUTAGE_RECOVERY_MS));
        let grace_ms = match current.record.state {
            TargetState::Ready => UNLISTED_GRACE_MS,
            // The target has announced that it leaves, so that its record hasn't expired.
            TargetState::Draining => 0,
        };
        let remove_at = now.plus_ms(grace_ms).max(after_outage);
        current.listing = Listing::Unlisted { remove_at };
        let removal = Removal {
            revision,
            statement: current.record.statement(),
            expires_at: now.plus_ms(REMOVAL_EXPIRY_MS),
        };
        self.removals.insert(id.clone(), removal);
        Some(ViewEvent::TargetUnlisted(id.clone()))
    }

    fn drop_target(&mut self, id: &UpstreamName) {
        let Some(removed) = self.targets.remove(id) else {
            return;
        };
        remove_from_service(&mut self.by_service, &removed.record);
        let vm = removed.record.vm;
        if self.by_vm.get(&vm) != Some(id) {
            return;
        }
        self.index_vm(vm);
    }

    fn apply_evacuation(&mut self, now: MonoTime, evacuation: Evacuation) -> Option<ViewEvent> {
        let is_change = self.evacuations.apply(now, evacuation.clone());
        is_change.then_some(ViewEvent::EvacuationChanged(evacuation))
    }

    fn apply_routes(&mut self, routes: RouteSet) -> Option<ViewEvent> {
        if self.has_routes && routes.version <= self.routes.version {
            if routes.version == self.routes.version {
                self.routes.complete_from(routes);
            }
            return None;
        }
        let from = self.routes.version;
        let to = routes.version;
        let named_services = routes.named_services();
        self.routes = routes;
        self.has_routes = true;
        if self.named_services != named_services {
            self.named_services = named_services;
            self.index_vms();
        }
        Some(ViewEvent::RoutesChanged { from, to })
    }
}

fn remove_from_service(
    by_service: &mut FastMap<ServiceTag, FastSet<UpstreamName>>,
    record: &TargetRecord,
) {
    if let Some(ids) = by_service.get_mut(&record.service) {
        ids.remove(&record.id);
        if ids.is_empty() {
            by_service.remove(&record.service);
        }
    }
}
