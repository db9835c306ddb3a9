//! Gossip of tickets between processes: a new ticket is pushed to random peers, and periodic
//! digests reveal missing tickets, which are then pulled.

use std::sync::Arc;

use fes_protocol::DataCentreName;
use fes_protocol::MonoTime;
use fes_protocol::NodeId;
use fes_protocol::Ticket;
use fes_protocol::TicketDigest;
use fes_protocol::TicketNumber;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::Distance;
use crate::Endpoint;
use crate::MAX_TICKET_BYTES;
use crate::PeerDirectory;
use crate::Snapshot;
use crate::TicketMessage;
use crate::TicketVersion;
use crate::encode_ticket;

/// Distances of the peers to which a new ticket is pushed, one per peer.
const PUSH_DISTANCES: [Distance; 4] = [
    Distance::SameDataCentre,
    Distance::SameDataCentre,
    Distance::SameRegion,
    Distance::OtherRegion,
];
/// Largest ticket that is pushed to random peers. Larger ones are offered, because most pushes
/// reach a process that already holds the ticket.
const MAX_PUSHED_TICKET_BYTES: usize = 4_096;
/// Largest answer to an `Ask` that carries the tickets themselves instead of their versions, which
/// saves a round trip.
const MAX_DIRECT_ANSWER_BYTES: usize = 65_536;
const MAX_VERSIONS_PER_MESSAGE: usize = 4_096;
const DIGEST_INTERVAL_MS: u64 = 1_000;
const DIGEST_JITTER_MS: u64 = 100;
/// Relative frequencies of the distances to the receiver of a digest. Of 10 digests, 7 stay in the
/// data centre, 2 in the region and 1 goes to another region: distant links are expensive and
/// lossy, but a digest over such a link covers the changes of the whole region behind it.
const DIGEST_DISTANCE_WEIGHTS: [(Distance, u32); 3] = [
    (Distance::SameDataCentre, 7),
    (Distance::SameRegion, 2),
    (Distance::OtherRegion, 1),
];
/// Shortest time between two comparisons of all held tickets.
const FULL_COMPARISON_INTERVAL_MS: u64 = 1_000;

/// Version below that of any ticket.
const LOWEST_VERSION: TicketVersion = TicketVersion {
    number: TicketNumber(0),
    digest: 0,
};

/// A message and its receiver.
pub(crate) type Outgoing = (Endpoint, TicketMessage);

/// Selects gossip peers and answers their messages. The tickets are kept in the store.
#[derive(Debug)]
pub(crate) struct Gossip {
    node: NodeId,
    data_centre: DataCentreName,
    next_digest_at: MonoTime,
    next_full_comparison_at: MonoTime,
}

impl Gossip {
    pub(crate) fn new(
        node: NodeId,
        data_centre: DataCentreName,
        now: MonoTime,
        random: &mut ChaCha8Rng,
    ) -> Self {
        Self {
            node,
            data_centre,
            next_digest_at: now.plus_ms(random.random_range(0..DIGEST_INTERVAL_MS)),
            next_full_comparison_at: MonoTime::ZERO,
        }
    }

    pub(crate) const fn next_digest_at(&self) -> MonoTime {
        self.next_digest_at
    }

    /// Returns the receiver of a digest if one is due, and schedules the next digest.
    pub(crate) fn due_digest(
        &mut self,
        now: MonoTime,
        directory: &PeerDirectory,
        random: &mut ChaCha8Rng,
    ) -> Option<NodeId> {
        if now < self.next_digest_at {
            return None;
        }
        let jitter_ms = random.random_range(0..=DIGEST_JITTER_MS);
        let interval_ms = DIGEST_INTERVAL_MS - DIGEST_JITTER_MS / 2 + jitter_ms;
        self.next_digest_at = now.plus_ms(interval_ms);
        self.random_peer(directory, random)
    }

    /// Returns a random peer, usually from the same data centre.
    pub(crate) fn random_peer(
        &self,
        directory: &PeerDirectory,
        random: &mut ChaCha8Rng,
    ) -> Option<NodeId> {
        let total: u32 = DIGEST_DISTANCE_WEIGHTS.iter().map(|(_, w)| w).sum();
        let mut nth = random.random_range(0..total);
        for (distance, weight) in DIGEST_DISTANCE_WEIGHTS {
            if nth < weight {
                return directory.choose(self.node, &self.data_centre, distance, random);
            }
            nth -= weight;
        }
        None
    }

    /// Returns the messages that push or offer a new ticket to random peers other than its source.
    pub(crate) fn push(
        &self,
        ticket: &Arc<Ticket>,
        source: Option<NodeId>,
        directory: &PeerDirectory,
        random: &mut ChaCha8Rng,
    ) -> Vec<Outgoing> {
        let message = push_or_offer(ticket);
        let mut receivers: Vec<NodeId> = Vec::with_capacity(PUSH_DISTANCES.len());
        for distance in PUSH_DISTANCES {
            let peer = directory.choose(self.node, &self.data_centre, distance, random);
            let peer = peer.filter(|p| Some(*p) != source && !receivers.contains(p));
            receivers.extend(peer);
        }
        let outgoing = |peer| (Endpoint::Node(peer), message.clone());
        receivers.into_iter().map(outgoing).collect()
    }

    /// Compares a peer's digest with the local state.
    pub(crate) fn compare(
        &mut self,
        now: MonoTime,
        peer_digest: &TicketDigest,
        state: &Snapshot,
    ) -> Comparison {
        if peer_digest.state_hash == state.state_hash() {
            return Comparison::NoAction;
        }
        if peer_digest.highest > state.highest() {
            let after = TicketVersion {
                number: state.highest(),
                digest: u64::MAX,
            };
            return Comparison::Ask(TicketMessage::Ask { after });
        }
        if peer_digest.highest < state.highest() {
            return Comparison::SendDigest;
        }
        if now < self.next_full_comparison_at {
            return Comparison::NoAction;
        }
        self.next_full_comparison_at = now.plus_ms(FULL_COMPARISON_INTERVAL_MS);
        Comparison::Ask(ask_for_everything())
    }

    /// Returns the answers to a message other than a push, which the caller applies to the store.
    pub(crate) fn answer(
        &self,
        from: Endpoint,
        message: &TicketMessage,
        state: &Snapshot,
    ) -> Vec<Outgoing> {
        match message {
            TicketMessage::Push(_) => Vec::new(),
            TicketMessage::Offer(versions) => pull_missing(from, versions, state),
            TicketMessage::Ask { after } => vec![(from, answer_ask(*after, state))],
            TicketMessage::Pull(versions) => push_all(from, versions, state),
            TicketMessage::Summary {
                after,
                versions,
                complete,
            } => answer_summary(from, *after, versions, *complete, state),
        }
    }
}

/// Reaction to a peer's digest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Comparison {
    /// Nothing to do: the states are equal, or the last full comparison is too recent.
    NoAction,
    /// Ask the peer for its tickets.
    Ask(TicketMessage),
    /// Send the local digest to the peer, so that the peer asks for the tickets it lacks.
    SendDigest,
}

pub(crate) const fn ask_for_everything() -> TicketMessage {
    TicketMessage::Ask {
        after: LOWEST_VERSION,
    }
}

fn push_or_offer(ticket: &Arc<Ticket>) -> TicketMessage {
    let size_bytes = encode_ticket(ticket).map_or(usize::MAX, |bytes| bytes.len());
    if size_bytes > MAX_PUSHED_TICKET_BYTES {
        return TicketMessage::Offer(vec![TicketVersion::of(ticket)]);
    }
    TicketMessage::Push(vec![Arc::clone(ticket)])
}

/// Returns the tickets after a version if they are at most [`MAX_DIRECT_ANSWER_BYTES`] large, and
/// their versions otherwise. A request for all tickets is always answered with the versions, from
/// which a starting process detects that it holds all tickets of the peer.
fn answer_ask(after: TicketVersion, state: &Snapshot) -> TicketMessage {
    let newer = state.tickets_after(after);
    let versions: Vec<TicketVersion> = newer
        .clone()
        .map(|(version, _)| version)
        .take(MAX_VERSIONS_PER_MESSAGE + 1)
        .collect();
    if after != LOWEST_VERSION && !versions.is_empty() {
        let mut size_bytes = 0;
        // A ticket that can't be encoded counts as too large; half of the maximum avoids an
        // overflow.
        let fits = newer.clone().all(|(_, ticket)| {
            size_bytes += encode_ticket(ticket).map_or(usize::MAX / 2, |bytes| bytes.len());
            size_bytes <= MAX_DIRECT_ANSWER_BYTES
        });
        if fits {
            return TicketMessage::Push(newer.map(|(_, t)| Arc::clone(t)).collect());
        }
    }
    let complete = versions.len() <= MAX_VERSIONS_PER_MESSAGE;
    let mut versions = versions;
    versions.truncate(MAX_VERSIONS_PER_MESSAGE);
    TicketMessage::Summary {
        after,
        versions,
        complete,
    }
}

fn pull_missing(from: Endpoint, versions: &[TicketVersion], state: &Snapshot) -> Vec<Outgoing> {
    let missing: Vec<TicketVersion> = versions
        .iter()
        .copied()
        .filter(|version| state.ticket(*version).is_none())
        .take(MAX_VERSIONS_PER_MESSAGE)
        .collect();
    if missing.is_empty() {
        return Vec::new();
    }
    vec![(from, TicketMessage::Pull(missing))]
}

/// Returns the requested tickets that are held, in messages that each carry one ticket or several
/// of at most [`MAX_TICKET_BYTES`] in total.
fn push_all(from: Endpoint, versions: &[TicketVersion], state: &Snapshot) -> Vec<Outgoing> {
    let mut messages = Vec::new();
    let mut batch = Vec::new();
    let mut batch_bytes = 0;
    let held = versions.iter().filter_map(|version| state.ticket(*version));
    for ticket in held.take(MAX_VERSIONS_PER_MESSAGE) {
        let size_bytes = encode_ticket(ticket).map_or(0, |bytes| bytes.len());
        if !batch.is_empty() && batch_bytes + size_bytes > MAX_TICKET_BYTES {
            let full = std::mem::take(&mut batch);
            messages.push((from, TicketMessage::Push(full)));
            batch_bytes = 0;
        }
        batch_bytes += size_bytes;
        batch.push(Arc::clone(ticket));
    }
    if !batch.is_empty() {
        messages.push((from, TicketMessage::Push(batch)));
    }
    messages
}

/// Pulls the listed tickets that are missing here, and offers the held tickets that are missing
/// from the range of versions that the list covers.
fn answer_summary(
    from: Endpoint,
    after: TicketVersion,
    versions: &[TicketVersion],
    complete: bool,
    state: &Snapshot,
) -> Vec<Outgoing> {
    let mut answers = pull_missing(from, versions, state);
    let last = versions.last().copied();
    let covered = |version: &TicketVersion| complete || last.is_some_and(|last| *version <= last);
    let missing_at_peer: Vec<TicketVersion> = state
        .tickets_after(after)
        .map(|(version, _)| version)
        .filter(|version| covered(version) && versions.binary_search(version).is_err())
        .take(MAX_VERSIONS_PER_MESSAGE)
        .collect();
    if !missing_at_peer.is_empty() {
        answers.push((from, TicketMessage::Offer(missing_at_peer)));
    }
    if let Some(last) = last.filter(|_| !complete) {
        answers.push((from, TicketMessage::Ask { after: last }));
    }
    answers
}
