//! Differences between two states, for example before and after a ticket.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use fes_protocol::DataCentreName;
use fes_protocol::EntryId;
use fes_protocol::KeyEpoch;
use fes_protocol::ObjectKey;
use fes_protocol::ServiceId;
use fes_protocol::ServiceName;
use fes_protocol::ServiceSpec;
use fes_protocol::TargetId;
use fes_protocol::Ticket;
use fes_protocol::TicketNumber;
use fes_protocol::UpstreamName;
use fes_protocol::UpstreamSpec;
use fes_protocol::UpstreamState;
use fes_routing::MaglevTable;
use fes_routing::ServiceTable;

use crate::InForce;
use crate::Snapshot;
use crate::StoreReport;
use crate::TicketStore;

/// Kind of change of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum UpstreamChangeKind {
    /// The upstream is added.
    Added,
    /// The upstream is removed. Its remaining flows are reset.
    Removed,
    /// The upstream stops accepting new work.
    StartsLeaving,
    /// The upstream accepts new work again.
    StopsLeaving,
    /// The slots, address, VM, name or data centre of the upstream change.
    Changed,
    /// The upstream doesn't change.
    Unchanged,
}

/// Change of an upstream and of its share of new flows.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamChange {
    /// The target.
    pub target: TargetId,
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Kind of change.
    pub kind: UpstreamChangeKind,
    /// Slots before and after the change, 0 if the upstream doesn't exist.
    pub slots: (u32, u32),
    /// Share of the service's new flows before the change, 0 to 1.
    pub share_before: f64,
    /// Share of the service's new flows after the change, 0 to 1.
    pub share_after: f64,
}

/// Kind of change of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ServiceChangeKind {
    /// The service is created.
    Created,
    /// The service is retired.
    Retired,
    /// The description of the service changes.
    Changed,
}

/// Change of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceChange {
    /// The service.
    pub service: ServiceId,
    /// Name of the service after the change.
    pub name: ServiceName,
    /// Kind of change.
    pub kind: ServiceChangeKind,
    /// Numbers of the tickets in force before and after the change.
    pub tickets: (Option<TicketNumber>, TicketNumber),
    /// Added and removed addresses.
    pub addresses: SetChange<std::net::SocketAddr>,
    /// Added and removed data centres.
    pub data_centres: SetChange<DataCentreName>,
    /// Upstreams in ascending order of target, unchanged ones included.
    pub upstreams: Vec<UpstreamChange>,
    /// Share of new flows that go to another upstream than before, 0 to 1. Established flows don't
    /// move.
    pub moved_share: f64,
}

/// Added and removed members of a set, in ascending order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SetChange<T> {
    /// Added members.
    pub added: Vec<T>,
    /// Removed members.
    pub removed: Vec<T>,
}

/// Change of the entries of a data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetChange {
    /// The data centre.
    pub data_centre: DataCentreName,
    /// Added and removed entries.
    pub entries: SetChange<EntryId>,
}

/// All differences between two states.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct StateDiff {
    /// Changed services in ascending order of ID.
    pub services: Vec<ServiceChange>,
    /// Changed fleets in order of data centre.
    pub fleets: Vec<FleetChange>,
    /// Key epoch before and after the change, `None` if no ticket replaces it.
    pub key_epoch: Option<(Option<KeyEpoch>, KeyEpoch)>,
    /// Reports of the store, for example about objects that a stale ticket doesn't replace.
    pub reports: Vec<StoreReport>,
}

impl StateDiff {
    /// Returns whether nothing changes. Reports don't count as changes.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.services.is_empty() && self.fleets.is_empty() && self.key_epoch.is_none()
    }
}

/// Returns the changes that a ticket would make to the state of a store, without applying it.
#[must_use]
pub fn diff_ticket(store: &TicketStore, ticket: &Arc<Ticket>) -> StateDiff {
    let mut next = store.clone();
    let outcome = next.apply(Arc::clone(ticket));
    StateDiff {
        reports: outcome.reports,
        ..diff_states(store.state(), next.state())
    }
}

/// Returns the differences between two states.
#[must_use]
pub fn diff_states(old: &Snapshot, new: &Snapshot) -> StateDiff {
    let changed: BTreeSet<ObjectKey> = new
        .versions()
        .filter(|(key, version)| old.version_of(key) != Some(*version))
        .map(|(key, _)| key)
        .collect();
    let retired = new.services().filter(|service| {
        let id = service.value.id;
        new.is_retired(id) && !old.is_retired(id)
    });
    let retired = retired.map(|service| ObjectKey::Service(service.value.id));
    let mut diff = StateDiff::default();
    for key in changed.into_iter().chain(retired).collect::<BTreeSet<_>>() {
        match key {
            ObjectKey::Service(id) => {
                let after = new.service(id);
                diff.services
                    .extend(after.map(|after| diff_service(old.service(id), after)));
            }
            ObjectKey::Fleet(name) => diff.fleets.push(diff_fleet(old, new, name)),
            ObjectKey::KeyEpoch => {
                let before = old.key_epoch().map(|epoch| epoch.value.current);
                let after = new.key_epoch().map(|epoch| epoch.value.current);
                diff.key_epoch = after.map(|after| (before, after));
            }
        }
    }
    diff
}

fn diff_service(
    before: Option<&InForce<Arc<ServiceSpec>>>,
    after: &InForce<Arc<ServiceSpec>>,
) -> ServiceChange {
    use fes_protocol::ServiceState::Active;
    let old_table = before.map(placement_table);
    let new_table = placement_table(after);
    let was_active = before.is_some_and(|service| service.value.state == Active);
    let kind = match (before, after.value.state == Active) {
        (None, true) => ServiceChangeKind::Created,
        (_, false) if was_active || before.is_none() => ServiceChangeKind::Retired,
        _ => ServiceChangeKind::Changed,
    };
    let old = before.map(|service| &*service.value);
    let new = &*after.value;
    let empty = MaglevTable::build([]);
    let old_placement = old_table.as_ref().map_or(&empty, ServiceTable::placement);
    ServiceChange {
        service: new.id,
        name: new.name.clone(),
        kind,
        tickets: (before.map(|s| s.version.number), after.version.number),
        addresses: set_change(
            old.into_iter()
                .flat_map(|spec| spec.addresses.iter().copied()),
            new.addresses.iter().copied(),
        ),
        data_centres: set_change(
            old.into_iter()
                .flat_map(|spec| spec.data_centres.iter().cloned()),
            new.data_centres.iter().cloned(),
        ),
        upstreams: diff_upstreams(old, new, old_placement, new_table.placement()),
        moved_share: old_placement.moved_share(new_table.placement()),
    }
}

fn placement_table(service: &InForce<Arc<ServiceSpec>>) -> ServiceTable {
    ServiceTable::build(service.version.number, Arc::clone(&service.value))
}

fn diff_upstreams(
    old: Option<&ServiceSpec>,
    new: &ServiceSpec,
    old_placement: &MaglevTable,
    new_placement: &MaglevTable,
) -> Vec<UpstreamChange> {
    let find = |spec: Option<&ServiceSpec>, target: TargetId| -> Option<UpstreamSpec> {
        let upstreams = &spec?.upstreams;
        upstreams.iter().find(|u| u.target == target).cloned()
    };
    let old_targets = old.into_iter().flat_map(|spec| &spec.upstreams);
    let all = old_targets.chain(&new.upstreams);
    let targets: BTreeSet<TargetId> = all.map(|upstream| upstream.target).collect();
    let change = |target: TargetId| {
        let before = find(old, target);
        let after = find(Some(new), target);
        let name = after.as_ref().or(before.as_ref())?.name.clone();
        let slots = |upstream: &Option<UpstreamSpec>| upstream.as_ref().map_or(0, |u| u.slots);
        Some(UpstreamChange {
            target,
            name,
            kind: upstream_change_kind(before.as_ref(), after.as_ref()),
            slots: (slots(&before), slots(&after)),
            share_before: share(old_placement, target),
            share_after: share(new_placement, target),
        })
    };
    targets.into_iter().filter_map(change).collect()
}

fn upstream_change_kind(
    before: Option<&UpstreamSpec>,
    after: Option<&UpstreamSpec>,
) -> UpstreamChangeKind {
    let (before, after) = match (before, after) {
        (None, _) => return UpstreamChangeKind::Added,
        (_, None) => return UpstreamChangeKind::Removed,
        (Some(before), Some(after)) => (before, after),
    };
    match (before.state, after.state) {
        (UpstreamState::Active, UpstreamState::Leaving) => UpstreamChangeKind::StartsLeaving,
        (UpstreamState::Leaving, UpstreamState::Active) => UpstreamChangeKind::StopsLeaving,
        _ if before == after => UpstreamChangeKind::Unchanged,
        _ => UpstreamChangeKind::Changed,
    }
}

fn share(placement: &MaglevTable, target: TargetId) -> f64 {
    let shares = placement.shares();
    let found = shares.iter().find(|(owner, _)| *owner == target);
    found.map_or(0.0, |(_, share)| *share)
}

fn diff_fleet(old: &Snapshot, new: &Snapshot, data_centre: DataCentreName) -> FleetChange {
    let ids = |state: &Snapshot| -> Vec<EntryId> {
        let fleet = state.fleet(&data_centre);
        let entries = fleet.into_iter().flat_map(|fleet| &fleet.value.entries);
        entries.map(|entry| entry.id).collect()
    };
    let entries = set_change(ids(old).into_iter(), ids(new).into_iter());
    FleetChange {
        data_centre,
        entries,
    }
}

fn set_change<T: Ord + Clone>(
    old: impl Iterator<Item = T>,
    new: impl Iterator<Item = T>,
) -> SetChange<T> {
    let old: BTreeSet<T> = old.collect();
    let new: BTreeSet<T> = new.collect();
    SetChange {
        added: new.difference(&old).cloned().collect(),
        removed: old.difference(&new).cloned().collect(),
    }
}

impl fmt::Display for StateDiff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_empty() {
            writeln!(f, "nothing changes")?;
        }
        for service in &self.services {
            service.fmt(f)?;
        }
        for fleet in &self.fleets {
            let FleetChange {
                data_centre,
                entries,
            } = fleet;
            let (added, removed) = (&entries.added, &entries.removed);
            writeln!(
                f,
                "fleet {data_centre}: +{} -{} entries",
                added.len(),
                removed.len()
            )?;
        }
        if let Some((before, after)) = self.key_epoch {
            let before = before.map_or_else(|| "none".to_owned(), |epoch| epoch.to_string());
            writeln!(f, "key epoch: {before} -> {after}")?;
        }
        for report in &self.reports {
            writeln!(f, "F{} {report}", report.code().number())?;
        }
        Ok(())
    }
}

impl fmt::Display for ServiceChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let percent = |share: f64| share * 100.0;
        let (id, name, moved) = (self.service, &self.name, percent(self.moved_share));
        writeln!(
            f,
            "service {id} ({name}) {:?}: {moved:.1} % of new flows move",
            self.kind
        )?;
        for address in &self.addresses.added {
            writeln!(f, "  + address {address}")?;
        }
        for address in &self.addresses.removed {
            writeln!(f, "  - address {address}")?;
        }
        for upstream in &self.upstreams {
            let UpstreamChange {
                target, name, kind, ..
            } = upstream;
            let (before, after) = (
                percent(upstream.share_before),
                percent(upstream.share_after),
            );
            writeln!(
                f,
                "  {target} {name} {kind:?}: {before:.1} % -> {after:.1} %"
            )?;
        }
        Ok(())
    }
}
