//! Exchange of views between entries: one that the platform turns away learns from its peers, and
//! of many entries only a few read the platform.
//!
//! Entries tell a few peers which revision they hold and how old that knowledge is. One that holds
//! less asks for the difference. Revisions and versions decide, so repeated, late or reordered
//! messages do no harm.

use std::net::Ipv4Addr;

use fes_protocol::FastMap;
use fes_protocol::MonoTime;

use crate::FleetView;
use crate::ListChange;
use crate::Message;
use crate::Route;
use crate::RouteSet;
use crate::RoutesPart;
use crate::TargetsPart;
use crate::ViewDigest;

/// Time between two digests. With the readers' own period it stays well below the time in which a
/// change must be in force.
const DIGEST_PERIOD_MS: u64 = 400;
/// Peers that get each digest; others hear of it from them.
const DIGEST_FANOUT: usize = 6;
/// Entries named in a digest.
const ENTRIES_NAMED: usize = 16;
/// A peer that hasn't been heard for this long is not counted on.
const PEER_SILENCE_MS: u64 = 1_500;
/// A peer that hasn't been heard for this long is forgotten, unless it is a seed.
const FORGET_PEER_MS: u64 = 60_000;
/// Entries that read the platform while they hear each other.
const READERS: usize = 3;
/// An entry whose view is older than this reads the platform itself.
const READ_YOURSELF_MS: u64 = 1_300;
/// A reader whose view is older than this isn't counted on by others.
const GOOD_READER_AGE_MS: u64 = 2_000;
/// Routes and targets that fit into one message: each takes some 60 to 90 bytes.
const ROUTES_PER_PART: usize = 16;
const TARGETS_PER_PART: usize = 14;

#[derive(Debug, Clone, Copy)]
struct Peer {
    heard_at: Option<MonoTime>,
    is_seed: bool,
    /// When the peer's view had been confirmed, by our clock.
    confirmed_at: MonoTime,
}

/// Names one answer of a peer: parts of different answers don't fit together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct AnswerKey {
    of: u64,
    after: u64,
    count: u32,
}

/// Parts seen of the newest answer of one peer.
#[derive(Debug, Clone, Default)]
struct Assembly {
    answer: AnswerKey,
    parts_seen: Vec<bool>,
    routes: Vec<Route>,
}

impl Assembly {
    /// Begins anew if a part belongs to another answer than those before. Returns whether the part
    /// wasn't seen before.
    fn record(&mut self, answer: AnswerKey, index: u32) -> bool {
        if self.answer != answer {
            let count = usize::try_from(answer.count).unwrap_or(usize::MAX);
            *self = Self {
                answer,
                parts_seen: vec![false; count.min(MAX_PARTS)],
                routes: Vec::new(),
            };
        }
        let index = usize::try_from(index).unwrap_or(usize::MAX);
        let seen = self.parts_seen.get_mut(index);
        seen.is_some_and(|seen| !std::mem::replace(seen, true))
    }

    fn is_whole(&self) -> bool {
        self.parts_seen.iter().all(|seen| *seen)
    }
}

/// Parts of one answer; more would exceed any fleet designed for.
const MAX_PARTS: usize = 4_096;

/// An answer's effect on the receiver's view.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ViewUpdate {
    /// Changes to apply.
    pub changes: Vec<ListChange>,
    /// Revision that is then known in full, and when the platform confirmed it, by our clock.
    pub confirmed: Option<(u64, MonoTime)>,
}

/// The exchange of one entry.
#[derive(Debug)]
pub struct ViewGossip {
    own: Ipv4Addr,
    incarnation: u64,
    peers: FastMap<Ipv4Addr, Peer>,
    next_digest_at: MonoTime,
    turn: usize,
    targets: FastMap<Ipv4Addr, Assembly>,
    routes: FastMap<Ipv4Addr, Assembly>,
}

impl ViewGossip {
    /// Makes the exchange of the entry on VM `own`, which knows some other entries by `seeds`.
    #[must_use]
    pub fn new(own: Ipv4Addr, incarnation: u64, seeds: &[Ipv4Addr]) -> Self {
        let mut exchange = Self {
            own,
            incarnation,
            peers: FastMap::default(),
            next_digest_at: MonoTime::ZERO,
            turn: 0,
            targets: FastMap::default(),
            routes: FastMap::default(),
        };
        exchange.set_seeds(seeds);
        exchange
    }

    /// Replaces the seeds, as after a change of the settings.
    pub fn set_seeds(&mut self, seeds: &[Ipv4Addr]) {
        for peer in self.peers.values_mut() {
            peer.is_seed = false;
        }
        for seed in seeds {
            if let Some(peer) = self.learn_peer(*seed) {
                peer.is_seed = true;
            }
        }
    }

    /// Returns the peers that are heard.
    pub fn heard(&self, now: MonoTime) -> impl Iterator<Item = Ipv4Addr> {
        let heard = self.peers.iter().filter(move |(_, p)| is_heard(p, now));
        heard.map(|(vm, _)| *vm)
    }

    /// Returns whether this entry should read the platform itself: it is among the first few of
    /// those that are heard and know the present, or knows too little from them.
    #[must_use]
    pub fn is_reader(&self, now: MonoTime, view: &FleetView) -> bool {
        let is_fresh = view.has_routes()
            && view
                .age_ms(now)
                .is_some_and(|age_ms| age_ms < READ_YOURSELF_MS);
        let precedes = |(vm, peer): &(&Ipv4Addr, &Peer)| {
            let is_good = now.ms_since(peer.confirmed_at) < GOOD_READER_AGE_MS;
            **vm < self.own && is_heard(peer, now) && is_good
        };
        !is_fresh || self.peers.iter().filter(precedes).count() < READERS
    }

    /// Sends digests when they are due.
    pub fn on_tick(&mut self, now: MonoTime, view: &FleetView) -> Vec<(Ipv4Addr, Message)> {
        if now < self.next_digest_at {
            return Vec::new();
        }
        self.next_digest_at = now.plus_ms(DIGEST_PERIOD_MS);
        self.peers.retain(|_, peer| {
            let heard_at = peer.heard_at.unwrap_or(now);
            peer.is_seed || now.ms_since(heard_at) < FORGET_PEER_MS
        });
        let peers = &self.peers;
        self.targets.retain(|vm, _| peers.contains_key(vm));
        self.routes.retain(|vm, _| peers.contains_key(vm));
        let mut receivers: Vec<Ipv4Addr> = self.peers.keys().copied().collect();
        receivers.sort_unstable();
        if receivers.len() > DIGEST_FANOUT {
            self.turn = (self.turn + DIGEST_FANOUT) % receivers.len();
            receivers.rotate_left(self.turn);
            receivers.truncate(DIGEST_FANOUT);
        }
        let digest = self.digest(now, view, !view.has_routes());
        let message = Message::Digest(digest);
        let send = |vm| (vm, message.clone());
        receivers.into_iter().map(send).collect()
    }

    /// Takes a peer's digest: asks for what the peer has more of, and answers what it asks for.
    pub fn on_digest(
        &mut self,
        now: MonoTime,
        from: Ipv4Addr,
        digest: &ViewDigest,
        view: &mut FleetView,
    ) -> Vec<(Ipv4Addr, Message)> {
        let confirmed_at = before(now, digest.age_ms);
        if let Some(peer) = self.learn_peer(from) {
            peer.heard_at = Some(now);
            peer.confirmed_at = confirmed_at;
        }
        for entry in &digest.entries {
            self.learn_peer(*entry);
        }
        if digest.revision > 0 && digest.revision == view.revision() {
            view.confirm_by_peer(confirmed_at, digest.revision);
        }
        let mut messages = Vec::new();
        if digest.wants_newer {
            messages.extend(self.answer(now, from, digest, view));
        }
        let is_ahead =
            digest.revision > view.revision() || digest.routes_version > view.routes().version;
        if is_ahead && !digest.wants_newer {
            let question = self.digest(now, view, true);
            messages.push((from, Message::Digest(question)));
        }
        messages
    }

    /// Takes a part of a peer's answer about targets. The revision counts as known in full only
    /// once the configuration that goes with it is known too.
    pub fn on_targets(
        &mut self,
        now: MonoTime,
        from: Ipv4Addr,
        part: &TargetsPart,
        routes_version: u64,
    ) -> ViewUpdate {
        let listed = part.targets.iter().cloned().map(ListChange::Target);
        let removed = part
            .removed
            .iter()
            .map(|(id, revision)| ListChange::NoTarget {
                id: id.clone(),
                revision: *revision,
            });
        let answer = AnswerKey {
            of: part.revision,
            after: part.after_revision,
            count: part.count,
        };
        let assembly = self.targets.entry(from).or_default();
        assembly.record(answer, part.index);
        let is_whole = assembly.is_whole();
        let is_known = is_whole && routes_version >= part.routes_version;
        ViewUpdate {
            changes: listed.chain(removed).collect(),
            confirmed: is_known.then(|| (part.revision, before(now, part.age_ms))),
        }
    }

    /// Takes a part of a peer's answer about routes.
    pub fn on_routes(&mut self, from: Ipv4Addr, part: &RoutesPart) -> Option<ListChange> {
        let answer = AnswerKey {
            of: part.version,
            after: 0,
            count: part.count,
        };
        let assembly = self.routes.entry(from).or_default();
        if assembly.record(answer, part.index) {
            assembly.routes.extend(part.routes.iter().cloned());
        }
        if !assembly.is_whole() {
            return None;
        }
        let routes = std::mem::take(assembly).routes;
        let by_destination = routes.into_iter().map(|route| (route.destination, route));
        Some(ListChange::Routes(RouteSet {
            version: part.version,
            idle_timeout_ms: part.idle_timeout_ms,
            routes: by_destination.collect(),
        }))
    }

    fn learn_peer(&mut self, vm: Ipv4Addr) -> Option<&mut Peer> {
        if vm == self.own {
            return None;
        }
        Some(self.peers.entry(vm).or_insert(Peer {
            heard_at: None,
            is_seed: false,
            confirmed_at: MonoTime::ZERO,
        }))
    }

    fn digest(&self, now: MonoTime, view: &FleetView, wants_newer: bool) -> ViewDigest {
        ViewDigest {
            incarnation: self.incarnation,
            revision: view.revision(),
            routes_version: view.routes().version,
            age_ms: view.age_ms(now).unwrap_or(u64::MAX),
            wants_newer,
            entries: self.heard(now).take(ENTRIES_NAMED).collect(),
        }
    }

    fn answer(
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
            let parts = targets_parts(view, digest.revision, age_ms);
            messages.extend(parts.into_iter().map(Message::Targets));
        }
        messages.into_iter().map(|message| (to, message)).collect()
    }
}

fn is_heard(peer: &Peer, now: MonoTime) -> bool {
    let heard_at = peer.heard_at;
    heard_at.is_some_and(|at| now.ms_since(at) < PEER_SILENCE_MS)
}

/// Returns the point `age_ms` before `now`, or the start of the process if it is further back.
const fn before(now: MonoTime, age_ms: u64) -> MonoTime {
    MonoTime::from_us(now.as_us().saturating_sub(age_ms.saturating_mul(1_000)))
}

fn routes_parts(set: &RouteSet) -> impl Iterator<Item = RoutesPart> {
    let mut routes: Vec<Route> = set.routes.values().cloned().collect();
    routes.sort_unstable_by_key(|route| route.destination);
    let chunks: Vec<Vec<Route>> = match routes.is_empty() {
        true => vec![Vec::new()],
        false => routes
            .chunks(ROUTES_PER_PART)
            .map(<[Route]>::to_vec)
            .collect(),
    };
    let count = u32::try_from(chunks.len()).unwrap_or(u32::MAX);
    chunks
        .into_iter()
        .zip(0..)
        .map(move |(routes, index)| RoutesPart {
            version: set.version,
            idle_timeout_ms: set.idle_timeout_ms,
            index,
            count,
            routes,
        })
}

/// Splits what changed after a revision into parts. There is at least one, which confirms the rest.
fn targets_parts(view: &FleetView, after: u64, age_ms: u64) -> Vec<TargetsPart> {
    let mut changed: Vec<_> = view.changed_after(after).cloned().collect();
    changed.sort_unstable_by(|a, b| a.id.cmp(&b.id));
    let mut removed: Vec<_> = view.removed_after(after).collect();
    removed.sort_unstable();
    let count = (changed.len().div_ceil(TARGETS_PER_PART))
        .max(removed.len().div_ceil(TARGETS_PER_PART))
        .max(1);
    let slice = |index: usize, len: usize| {
        let start = (index * TARGETS_PER_PART).min(len);
        start..(start + TARGETS_PER_PART).min(len)
    };
    let number = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
    let part = |index: usize| TargetsPart {
        revision: view.revision(),
        after_revision: after,
        routes_version: view.routes().version,
        age_ms,
        index: number(index),
        count: number(count),
        targets: changed[slice(index, changed.len())].to_vec(),
        removed: removed[slice(index, removed.len())].to_vec(),
    };
    (0..count).map(part).collect()
}
