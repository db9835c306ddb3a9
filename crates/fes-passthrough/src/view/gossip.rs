//! Gossip of views between entries. Only a few entries read the platform; the others, and those
//! that the platform refuses, receive changes from their peers.
//!
//! Each entry periodically sends a digest of its revision and the age of its view to a few peers. A
//! peer that is behind requests the difference. Changes are ordered by revision and version, so
//! duplicated, delayed or reordered messages are harmless. Revisions hold the era of the platform's
//! history; peers of earlier versions get them without it, and what such peers send counts as older
//! than any era.

use std::net::Ipv4Addr;

use fes_protocol::DataCentreName;
use fes_protocol::FastMap;
use fes_protocol::FastSet;
use fes_protocol::MonoTime;
use fes_protocol::UpstreamName;

use super::parts::Reassembly;
use super::parts::ResponseKey;
use super::parts::routes_parts;
use super::parts::targets_parts;
use crate::FleetView;
use crate::KnownReader;
use crate::ListChange;
use crate::Message;
use crate::ReaderTable;
use crate::RouteSet;
use crate::RoutesPart;
use crate::TargetRecord;
use crate::TargetsPart;
use crate::ViewDigest;
use crate::number_of;
use crate::random_rank;
use crate::retry_delay_ms;

/// Time between two digests. Together with the readers' polling period it stays well below the time
/// within which a change must be in force.
const DIGEST_PERIOD_MS: u64 = 400;
/// Minimum time between two digests. An entry whose view was confirmed by a later read than its
/// latest digest says passes that on before the next period, so that news take a few trips to
/// reach all entries and not a few periods.
const MIN_DIGEST_INTERVAL_MS: u64 = 150;
/// Difference between two confirmations that is passed on early.
const NEWS_MS: u64 = 250;
/// Time for which an entry that starts asks the seeds for their view before it reads the platform.
/// Seeds don't wait.
const FIRST_VIEW_WAIT_MS: u64 = 40;
/// Further time for which an entry that starts waits for the view of a peer before it uses the list of
/// a platform that may have come back from an older copy.
const PEER_VIEW_WAIT_MS: u64 = 60;
/// Time between two requests for a first view, each to another seed.
const FIRST_VIEW_REQUEST_PERIOD_MS: u64 = 20;
/// Number of peers to which each digest is sent. Changes reach the other entries through them.
const DIGEST_FANOUT: usize = 6;
/// Number of entries listed in a digest.
const MAX_ENTRIES_PER_DIGEST: usize = 16;
/// Time without a digest after which a peer counts as unreachable.
const PEER_TIMEOUT_MS: u64 = 1_500;
/// Time since a peer's last digest after which the peer is removed, unless it is a seed.
const PEER_EXPIRY_MS: u64 = 60_000;
/// Age of its view beyond which an entry reads the platform itself.
const MAX_PEER_VIEW_AGE_MS: u64 = 1_300;

#[derive(Debug, Clone, Copy)]
struct Peer {
    last_digest_at: Option<MonoTime>,
    is_seed: bool,
}

/// Changes to the receiver's view that result from a response.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ViewUpdate {
    /// Changes to apply.
    pub changes: Vec<ListChange>,
    /// Revision of which all changes are then known, and when the platform confirmed it, by the
    /// local clock. The time is none if that was before this process started.
    pub confirmed: Option<(u64, Option<MonoTime>)>,
}

/// Gossip state of one entry.
#[derive(Debug)]
pub struct ViewGossip {
    own_vm: Ipv4Addr,
    incarnation: u64,
    peers: FastMap<Ipv4Addr, Peer>,
    readers: ReaderTable,
    is_seed: bool,
    /// When the entry reads the platform if no seed has sent a view; set with the first tick.
    first_read_at: Option<MonoTime>,
    next_digest_at: MonoTime,
    /// Time before which no digest is sent, even with news.
    no_digest_before: MonoTime,
    /// When the view was confirmed, according to the latest digest.
    sent_confirmed_at: MonoTime,
    /// Number of digests sent, which selects their receivers.
    digest_count: u64,
    /// Parts of responses with targets, by peer.
    target_parts: FastMap<Ipv4Addr, Reassembly>,
    /// Parts of responses with routes, by peer.
    route_parts: FastMap<Ipv4Addr, Reassembly>,
}

impl ViewGossip {
    /// Creates the gossip state of the entry on VM `own_vm`. `seeds` are the VMs of some other
    /// entries.
    #[must_use]
    pub fn new(own_vm: Ipv4Addr, incarnation: u64, seeds: &[Ipv4Addr]) -> Self {
        let mut gossip = Self {
            own_vm,
            incarnation,
            peers: FastMap::default(),
            readers: ReaderTable::default(),
            is_seed: false,
            first_read_at: None,
            next_digest_at: MonoTime::ZERO,
            no_digest_before: MonoTime::ZERO,
            sent_confirmed_at: MonoTime::ZERO,
            digest_count: 0,
            target_parts: FastMap::default(),
            route_parts: FastMap::default(),
        };
        gossip.set_seeds(seeds);
        gossip
    }

    /// Replaces the seeds after a change of the settings.
    pub fn set_seeds(&mut self, seeds: &[Ipv4Addr]) {
        self.is_seed = seeds.contains(&self.own_vm);
        for peer in self.peers.values_mut() {
            peer.is_seed = false;
        }
        for seed in seeds {
            if let Some(peer) = self.get_or_insert_peer(*seed) {
                peer.is_seed = true;
            }
        }
    }

    /// Returns the reachable peers.
    pub fn reachable(&self, now: MonoTime) -> impl Iterator<Item = Ipv4Addr> {
        let reachable = self.peers.iter().filter(move |(_, p)| is_reachable(p, now));
        reachable.map(|(vm, _)| *vm)
    }

    /// Records that this entry read the platform itself.
    pub fn record_read(&mut self, now: MonoTime) {
        self.readers.record(self.own_vm, now);
    }

    /// Handles a peer's message about the entries that read the platform.
    pub fn on_readers(&mut self, now: MonoTime, readers: &[KnownReader]) {
        for reader in readers.iter().filter(|reader| reader.vm != self.own_vm) {
            self.readers
                .record(reader.vm, before(now, reader.read_age_ms));
        }
    }

    /// Returns the time between two attempts to read a platform that doesn't respond, in
    /// milliseconds.
    #[must_use]
    pub fn read_retry_delay_ms(&self) -> u64 {
        retry_delay_ms(self.peers.len())
    }

    /// Returns whether this entry should read the platform itself, because its VM's address is
    /// among the lowest of the entries that do, or because its own view is outdated.
    #[must_use]
    pub fn is_reader(&self, now: MonoTime, view: &FleetView) -> bool {
        if self.awaits_first_view(now, view) {
            return false;
        }
        let is_current = view.has_routes()
            && view
                .age_ms(now)
                .is_some_and(|age_ms| age_ms < MAX_PEER_VIEW_AGE_MS);
        !is_current || !self.readers.has_enough_before(now, self.own_vm)
    }

    /// Returns whether this entry has just started and asks the seeds for their view.
    fn awaits_first_view(&self, now: MonoTime, view: &FleetView) -> bool {
        let may_ask = !self.is_seed && !self.peers.is_empty();
        let is_waiting = self.first_read_at.is_none_or(|at| now < at);
        may_ask && is_waiting && !view.has_routes()
    }

    /// Returns whether this entry has just started and a peer may still send its view. The platform's
    /// list may lack what peers know, if the platform has come back from an older copy.
    #[must_use]
    pub fn awaits_peer_view(&self, now: MonoTime, view: &FleetView) -> bool {
        let is_over = |at: MonoTime| now >= at.plus_ms(PEER_VIEW_WAIT_MS);
        !view.has_routes() && !self.peers.is_empty() && !self.first_read_at.is_some_and(is_over)
    }

    /// Returns a request for the whole view to one peer.
    fn request_first_view(&mut self, now: MonoTime, view: &FleetView) -> Vec<(Ipv4Addr, Message)> {
        self.next_digest_at = now.plus_ms(FIRST_VIEW_REQUEST_PERIOD_MS);
        self.digest_count = self.digest_count.wrapping_add(1);
        let peer = self.random_peers(self.peers.keys().copied(), 1);
        let request = Message::Digest(self.digest(now, view, true));
        peer.into_iter().map(|vm| (vm, request.clone())).collect()
    }

    /// Returns the digests to send, if they are due.
    pub fn on_tick(&mut self, now: MonoTime, view: &FleetView) -> Vec<(Ipv4Addr, Message)> {
        self.first_read_at
            .get_or_insert(now.plus_ms(FIRST_VIEW_WAIT_MS));
        if self.awaits_first_view(now, view) {
            return match now >= self.next_digest_at {
                true => self.request_first_view(now, view),
                false => Vec::new(),
            };
        }
        let age_ms = view.age_ms(now).unwrap_or(u64::MAX);
        let confirmed_at = before(now, age_ms);
        let is_news = confirmed_at >= self.sent_confirmed_at.plus_ms(NEWS_MS);
        let is_due = now >= self.next_digest_at || (is_news && now >= self.no_digest_before);
        if !is_due {
            return Vec::new();
        }
        self.next_digest_at = now.plus_ms(DIGEST_PERIOD_MS);
        self.no_digest_before = now.plus_ms(MIN_DIGEST_INTERVAL_MS);
        self.sent_confirmed_at = confirmed_at;
        self.peers.retain(|_, peer| {
            let last_digest_at = peer.last_digest_at.unwrap_or(now);
            peer.is_seed || now.ms_since(last_digest_at) < PEER_EXPIRY_MS
        });
        let peers = &self.peers;
        self.target_parts.retain(|vm, _| peers.contains_key(vm));
        self.route_parts.retain(|vm, _| peers.contains_key(vm));
        self.digest_count = self.digest_count.wrapping_add(1);
        let receivers = self.random_peers(self.peers.keys().copied(), DIGEST_FANOUT);
        self.readers.expire(now);
        let digest = Message::Digest(self.digest(now, view, !view.has_routes()));
        let readers = self.readers_message(now);
        let messages: Vec<Message> = std::iter::once(digest).chain(readers).collect();
        let send = |vm| messages.iter().map(move |message| (vm, message.clone()));
        receivers.into_iter().flat_map(send).collect()
    }

    fn readers_message(&self, now: MonoTime) -> Option<Message> {
        let preferred = self.readers.preferred(now);
        (!preferred.is_empty()).then_some(Message::Readers(preferred))
    }

    /// Selects peers at random, others for each digest, so that entries that start at the same time
    /// don't all select the same ones.
    fn random_peers(&self, peers: impl Iterator<Item = Ipv4Addr>, count: usize) -> Vec<Ipv4Addr> {
        let own = u64::from(u32::from(self.own_vm));
        let order = self.incarnation ^ own.rotate_left(32) ^ self.digest_count;
        let mut peers: Vec<Ipv4Addr> = peers.collect();
        peers.sort_unstable_by_key(|vm| (random_rank(*vm, order), *vm));
        peers.truncate(count);
        peers
    }

    /// Handles a peer's digest: requests changes that the peer has and this entry lacks, and
    /// responds to the peer's request.
    pub fn on_digest(
        &mut self,
        now: MonoTime,
        from: Ipv4Addr,
        digest: &ViewDigest,
        view: &mut FleetView,
    ) -> Vec<(Ipv4Addr, Message)> {
        let confirmed_at = since_start(now, digest.age_ms);
        if let Some(peer) = self.get_or_insert_peer(from) {
            peer.last_digest_at = Some(now);
        }
        for entry in &digest.entries {
            self.get_or_insert_peer(*entry);
        }
        if digest.revision > 0 && digest.revision == view.revision() {
            view.confirm_by_peer(confirmed_at, digest.revision);
        }
        let mut messages = Vec::new();
        if digest.wants_newer {
            let is_first_view = digest.routes_version == 0;
            let readers = self.readers_message(now).filter(|_| is_first_view);
            messages.extend(readers.map(|readers| (from, readers)));
            messages.extend(self.response(now, from, digest, view));
        }
        let is_ahead =
            digest.revision > view.revision() || digest.routes_version > view.routes().version;
        if is_ahead && !digest.wants_newer {
            let request = self.digest(now, view, true);
            messages.push((from, Message::Digest(request)));
        }
        messages
    }

    /// Handles a part of a peer's response with targets. The revision is confirmed only once the
    /// configuration and the evacuations of that revision are known too.
    ///
    /// A response that is older than the view is ignored, since the view has all changes up to its
    /// own revision, and what it doesn't contain was removed. Targets that a complete list doesn't
    /// contain are removed.
    pub fn on_targets(
        &mut self,
        now: MonoTime,
        from: Ipv4Addr,
        part: &TargetsPart,
        view: &FleetView,
    ) -> ViewUpdate {
        if part.revision < view.revision() {
            return ViewUpdate::default();
        }
        let listed = part.targets.iter().cloned().map(ListChange::Target);
        let removed = part
            .removed
            .iter()
            .map(|(id, revision)| ListChange::NoTarget {
                id: id.clone(),
                revision: *revision,
            });
        let response = ResponseKey {
            revision: part.revision,
            after_revision: part.after_revision,
            count: part.count,
        };
        let reassembly = self.target_parts.entry(from).or_default();
        reassembly.record(response, part.index);
        reassembly.is_without_evacuations |= part.evacuations.is_none();
        let ids = part.targets.iter().map(|target| target.id.clone());
        reassembly.listed.extend(ids);
        let is_complete = reassembly.is_complete();
        let is_whole_list = is_complete && part.after_revision == 0;
        let unlisted = match is_whole_list {
            true => unlisted_targets(view, &reassembly.listed, part.revision),
            false => Vec::new(),
        };
        let is_confirmed = is_complete
            && !reassembly.is_without_evacuations
            && view.routes().version >= part.routes_version;
        let evacuations = evacuation_changes(view, part);
        ViewUpdate {
            changes: evacuations
                .chain(listed)
                .chain(removed)
                .chain(unlisted)
                .collect(),
            confirmed: is_confirmed.then(|| (part.revision, since_start(now, part.age_ms))),
        }
    }

    /// Handles a part of a peer's response with routes. Returns the configuration once it is
    /// complete.
    pub fn on_routes(&mut self, from: Ipv4Addr, part: &RoutesPart) -> Option<ListChange> {
        let response = ResponseKey {
            revision: part.version,
            after_revision: 0,
            count: part.count,
        };
        let reassembly = self.route_parts.entry(from).or_default();
        if reassembly.record(response, part.index) {
            reassembly.routes.extend(part.routes.iter().cloned());
            reassembly.services.extend(&part.services);
        }
        if !reassembly.is_complete() {
            return None;
        }
        let Reassembly {
            routes, services, ..
        } = std::mem::take(reassembly);
        let by_destination = routes.into_iter().map(|route| (route.destination, route));
        let by_service = services
            .into_iter()
            .map(|service| (service.service, service));
        Some(ListChange::Routes(RouteSet {
            version: part.version,
            idle_timeout_ms: part.idle_timeout_ms,
            routes: by_destination.collect(),
            warm_ups: by_service.collect(),
        }))
    }

    fn get_or_insert_peer(&mut self, vm: Ipv4Addr) -> Option<&mut Peer> {
        if vm == self.own_vm {
            return None;
        }
        Some(self.peers.entry(vm).or_insert(Peer {
            last_digest_at: None,
            is_seed: false,
        }))
    }

    fn digest(&self, now: MonoTime, view: &FleetView, wants_newer: bool) -> ViewDigest {
        ViewDigest {
            incarnation: self.incarnation,
            revision: view.revision(),
            supports_eras: true,
            routes_version: view.routes().version,
            age_ms: view.age_ms(now).unwrap_or(u64::MAX),
            wants_newer,
            entries: self.random_peers(self.reachable(now), MAX_ENTRIES_PER_DIGEST),
        }
    }

    fn response(
        &self,
        now: MonoTime,
        to: Ipv4Addr,
        digest: &ViewDigest,
        view: &FleetView,
    ) -> Vec<(Ipv4Addr, Message)> {
        let mut messages = Vec::new();
        if view.routes().version > digest.routes_version {
            messages.extend(routes_parts(view.routes()).map(Message::Routes));
        }
        if view.revision() > digest.revision {
            let age_ms = view.age_ms(now).unwrap_or(u64::MAX);
            let since_revision = match view.knows_removals_after(digest.revision) {
                true => digest.revision,
                false => 0,
            };
            let mut parts = targets_parts(view, since_revision, age_ms);
            let targets = parts.iter_mut().flat_map(|part| &mut part.targets);
            // The record holds the time that was left when it was written.
            targets.for_each(|t| t.warm_up_ms = view.warm_up_remaining_ms(now, &t.id));
            if !digest.supports_eras {
                parts.iter_mut().for_each(remove_eras);
            }
            messages.extend(parts.into_iter().map(Message::Targets));
        }
        messages.into_iter().map(|message| (to, message)).collect()
    }
}

/// Replaces the revisions of a part by the platform's numbers, for a peer of an earlier version. It
/// would take a revision that holds an era for a number of the platform, and watch for later ones.
fn remove_eras(part: &mut TargetsPart) {
    let records = part.targets.iter_mut();
    let of_records = records.flat_map(|r| [&mut r.revision, &mut r.created_revision]);
    let of_removals = part.removed.iter_mut().map(|(_, revision)| revision);
    let evacuations = part.evacuations.iter_mut().flatten();
    let of_evacuations = evacuations.map(|evacuation| &mut evacuation.revision);
    let of_part = [&mut part.revision, &mut part.after_revision];
    let all = of_records
        .chain(of_removals)
        .chain(of_evacuations)
        .chain(of_part);
    all.for_each(|revision| *revision = number_of(*revision));
}

/// Returns the evacuations of a part, and the ends of those that the sender no longer knows. A part
/// of a sender that doesn't support evacuations changes none.
fn evacuation_changes(view: &FleetView, part: &TargetsPart) -> impl Iterator<Item = ListChange> {
    let known = part.evacuations.as_deref().unwrap_or_default();
    let names = known.iter().map(|evacuation| &evacuation.data_centre);
    let names: FastSet<DataCentreName> = names.cloned().collect();
    let ended = match part.evacuations {
        Some(_) => view.evacuations().ended_by_list(&names, part.revision),
        None => Vec::new(),
    };
    let changes = known.iter().cloned().chain(ended);
    changes.map(ListChange::Evacuation)
}

/// Returns the removals of the targets that a complete list of a revision doesn't contain.
fn unlisted_targets(
    view: &FleetView,
    listed: &FastSet<UpstreamName>,
    revision: u64,
) -> Vec<ListChange> {
    let is_unlisted =
        |target: &&TargetRecord| target.revision <= revision && !listed.contains(&target.id);
    let removal = |target: &TargetRecord| ListChange::NoTarget {
        id: target.id.clone(),
        revision,
    };
    view.targets().filter(is_unlisted).map(removal).collect()
}

fn is_reachable(peer: &Peer, now: MonoTime) -> bool {
    let last_digest_at = peer.last_digest_at;
    last_digest_at.is_some_and(|at| now.ms_since(at) < PEER_TIMEOUT_MS)
}

/// Returns the point `age_ms` before `now`, or the start of the process if it is further back.
const fn before(now: MonoTime, age_ms: u64) -> MonoTime {
    MonoTime::from_us(now.as_us().saturating_sub(age_ms.saturating_mul(1_000)))
}

/// Returns the point `age_ms` before `now`, or none if it precedes the start of the process.
pub(crate) fn since_start(now: MonoTime, age_ms: u64) -> Option<MonoTime> {
    (age_ms <= now.as_ms()).then(|| before(now, age_ms))
}
