//! The distribution of tickets at one process: store, gossip, start and platform readers.

use std::net::SocketAddr;
use std::sync::Arc;

use fes_kernel::Decider;
use fes_protocol::DataCentreName;
use fes_protocol::MonoTime;
use fes_protocol::NodeId;
use fes_protocol::ObjectKey;
use fes_protocol::Ticket;
use fes_protocol::TicketDigest;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::DistributionAction;
use crate::DistributionEvent;
use crate::DistributionReport;
use crate::Endpoint;
use crate::HighestWins;
use crate::PeerDirectory;
use crate::PlatformAnswer;
use crate::PlatformContact;
use crate::PlatformFreshness;
use crate::Precedence;
use crate::ReadCounters;
use crate::Snapshot;
use crate::StoreReport;
use crate::TicketMessage;
use crate::TicketStore;
use crate::gossip::Comparison;
use crate::gossip::Gossip;
use crate::gossip::ask_for_everything;
use crate::join::Join;
use crate::leaving::urgent_receivers;
use crate::processes_changed;
use crate::readers::Readers;

/// Peers that a starting or woken process asks at the same time.
const PEERS_ASKED: usize = 3;
/// A process that handled nothing for this long was paused: it has a timer every second.
const PAUSE_MS: u64 = 3_000;

/// Who this process is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DistributionSettings {
    /// This process.
    pub node: NodeId,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Link addresses of processes to ask at the start.
    pub seeds: Vec<SocketAddr>,
    /// Seed of all random choices.
    pub random_seed: u64,
}

/// Decides what this process does to get and pass on tickets.
#[derive(Debug)]
pub struct Distribution<P: Precedence = HighestWins> {
    settings: DistributionSettings,
    random: ChaCha8Rng,
    store: TicketStore<P>,
    directory: Arc<PeerDirectory>,
    gossip: Gossip,
    join: Join,
    readers: Readers,
    freshness: PlatformFreshness,
    last_handled_at: MonoTime,
}

/// Where a ticket came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    Peer(Endpoint),
    Platform,
}

impl Distribution {
    /// Makes a process that holds no tickets.
    #[must_use]
    pub fn new(now: MonoTime, settings: DistributionSettings) -> Self {
        Self::with_store(now, settings, TicketStore::default())
    }
}

impl<P: Precedence> Distribution<P> {
    /// Makes a process that starts with the tickets of a store and is not ready yet.
    #[must_use]
    pub fn with_store(
        now: MonoTime,
        settings: DistributionSettings,
        store: TicketStore<P>,
    ) -> Self {
        let directory = Arc::new(PeerDirectory::new(store.state()));
        Self::build(now, settings, store, directory, Join::new(now))
    }

    /// Makes a process that is ready with the tickets of a store. Many processes of a simulation
    /// share the directory of the store's state.
    #[must_use]
    pub fn serving(
        now: MonoTime,
        settings: DistributionSettings,
        store: TicketStore<P>,
        directory: Arc<PeerDirectory>,
    ) -> Self {
        Self::build(now, settings, store, directory, Join::completed(now))
    }

    fn build(
        now: MonoTime,
        settings: DistributionSettings,
        store: TicketStore<P>,
        directory: Arc<PeerDirectory>,
        join: Join,
    ) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(settings.random_seed);
        let home = settings.data_centre.clone();
        let gossip = Gossip::new(settings.node, home.clone(), now, &mut random);
        let mut readers = Readers::new(settings.node, home, now, &mut random);
        readers.fleet_changed(store.state());
        Self {
            settings,
            random,
            store,
            directory,
            gossip,
            join,
            readers,
            freshness: PlatformFreshness::default(),
            last_handled_at: now,
        }
    }

    /// Returns the state in force.
    #[must_use]
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.store.snapshot()
    }

    /// Returns the processes that the state in force names.
    #[must_use]
    pub const fn directory(&self) -> &Arc<PeerDirectory> {
        &self.directory
    }

    /// Returns whether the process may serve.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        self.join.is_ready()
    }

    /// Returns whether the process watches the platform.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        self.readers.is_reader()
    }

    /// Returns how often this process read the platform.
    #[must_use]
    pub const fn read_counters(&self) -> ReadCounters {
        self.readers.counters()
    }

    /// Returns the age of the freshest platform contact known, in milliseconds.
    #[must_use]
    pub fn platform_age_ms(&self, now: MonoTime) -> u32 {
        self.freshness.age_ms(now)
    }

    /// Returns when the next `Tick` is due.
    #[must_use]
    pub fn next_deadline(&self) -> MonoTime {
        self.gossip
            .next_digest_at()
            .min(self.join.next_deadline())
            .min(self.readers.next_deadline())
    }

    /// Reacts to an event.
    pub fn handle(&mut self, now: MonoTime, event: DistributionEvent) -> Vec<DistributionAction> {
        let mut actions = Vec::new();
        let paused = now.ms_since(self.last_handled_at) > PAUSE_MS;
        self.last_handled_at = now;
        if paused && event != DistributionEvent::ClockJumped {
            self.renew(now, &mut actions);
        }
        match event {
            DistributionEvent::Tick => {}
            DistributionEvent::Digest(digest) => self.compare(now, &digest, &mut actions),
            DistributionEvent::Message { from, message } => {
                self.take_message(from, message, &mut actions);
            }
            DistributionEvent::PlatformAnswered(answer) => {
                self.take_answer(now, answer, &mut actions);
            }
            DistributionEvent::PlatformFailed => self.readers.note_failure(now, &mut self.random),
            DistributionEvent::ClockJumped => self.renew(now, &mut actions),
        }
        self.do_what_is_due(now, &mut actions);
        actions
    }

    fn do_what_is_due(&mut self, now: MonoTime, actions: &mut Vec<DistributionAction>) {
        let due = self
            .gossip
            .due_digest(now, &self.directory, &mut self.random);
        if let Some(to) = due {
            actions.push(self.digest_to(now, to));
        }
        if self.join.ask_is_due(now) {
            self.ask_peers(actions);
        }
        let joining = !self.join.platform_answered() && !self.join.is_ready();
        let read = self
            .readers
            .due_read(now, joining, &self.freshness, &mut self.random);
        actions.extend(read.map(DistributionAction::ReadPlatform));
        if self.join.becomes_ready(now, !self.store.state().is_empty()) {
            actions.push(DistributionAction::Ready);
        }
    }

    fn digest_to(&self, now: MonoTime, to: NodeId) -> DistributionAction {
        let state = self.store.state();
        let digest = TicketDigest {
            node: self.settings.node,
            reader: self.freshness.reader(now),
            highest: state.highest(),
            state_hash: state.state_hash(),
            platform_age_ms: self.freshness.age_ms(now),
        };
        DistributionAction::SendDigest { to, digest }
    }

    fn compare(
        &mut self,
        now: MonoTime,
        digest: &TicketDigest,
        actions: &mut Vec<DistributionAction>,
    ) {
        if digest.reader.map(NodeId::Entry) != Some(self.settings.node) {
            let contact = PlatformContact::reported(digest.reader, digest.platform_age_ms, now);
            self.freshness.record_other(contact, now);
        }
        match self.gossip.compare(now, digest, self.store.state()) {
            Comparison::Equal => {}
            Comparison::Ask(message) => actions.push(DistributionAction::Send {
                to: Endpoint::Node(digest.node),
                message,
            }),
            Comparison::SendDigest => actions.push(self.digest_to(now, digest.node)),
        }
    }

    fn take_message(
        &mut self,
        from: Endpoint,
        message: TicketMessage,
        actions: &mut Vec<DistributionAction>,
    ) {
        let joining = !self.join.is_ready();
        if let TicketMessage::Push(tickets) = message {
            for ticket in tickets {
                self.apply(ticket, Source::Peer(from), actions);
            }
            if joining {
                // The next summary shows whether anything is still missing.
                actions.push(send(from, ask_for_everything()));
            }
            return;
        }
        let answers = self.gossip.answer(from, &message, self.store.state());
        if joining && is_peer_answer(&message, &answers) {
            self.join.note_peer_answer();
        }
        actions.extend(answers.into_iter().map(|(to, message)| send(to, message)));
    }

    fn take_answer(
        &mut self,
        now: MonoTime,
        answer: PlatformAnswer,
        actions: &mut Vec<DistributionAction>,
    ) {
        self.freshness.record_own(self.readers.contact(now));
        self.join.note_platform_answer();
        if self
            .readers
            .note_answer(now, answer.index, &mut self.random)
        {
            let report = DistributionReport::PlatformIndexDecreased;
            actions.push(DistributionAction::Report(report));
        }
        for ticket in answer.tickets {
            self.apply(ticket, Source::Platform, actions);
        }
        let in_force = self.store.state().highest();
        if answer.highest >= in_force {
            self.readers.note_current();
            return;
        }
        if self.readers.note_behind(answer.highest) {
            let platform = answer.highest;
            let report = DistributionReport::PlatformBehind { platform, in_force };
            actions.push(DistributionAction::Report(report));
        }
    }

    fn apply(
        &mut self,
        ticket: Arc<Ticket>,
        source: Source,
        actions: &mut Vec<DistributionAction>,
    ) {
        let before = self.store.snapshot();
        let outcome = self.store.apply(Arc::clone(&ticket));
        let reports = outcome
            .reports
            .iter()
            .filter(|report| is_news(report, source));
        let report = |report: &StoreReport| DistributionReport::Ticket(report.clone());
        actions.extend(reports.map(report).map(DistributionAction::Report));
        if !outcome.is_new() {
            return;
        }
        let snapshot = self.store.snapshot();
        if processes_changed(&before, &snapshot, &outcome.changed) {
            self.directory = Arc::new(PeerDirectory::new(&snapshot));
            self.readers.fleet_changed(&snapshot);
        }
        if self.join.is_ready() {
            self.pass_on(&ticket, source, &before, &outcome.changed, actions);
        }
        actions.push(DistributionAction::InForce {
            snapshot,
            changed: outcome.changed,
        });
    }

    /// Sends a new ticket to chosen peers, and before them to the processes that must know of a
    /// leaving upstream.
    fn pass_on(
        &mut self,
        ticket: &Arc<Ticket>,
        source: Source,
        before: &Snapshot,
        changed: &[ObjectKey],
        actions: &mut Vec<DistributionAction>,
    ) {
        if source == Source::Platform {
            let own = self.settings.node;
            let urgent = urgent_receivers(before, self.store.state(), changed);
            for node in urgent.into_iter().filter(|node| *node != own) {
                let message = TicketMessage::Push(vec![Arc::clone(ticket)]);
                actions.push(send(Endpoint::Node(node), message));
            }
        }
        let source_node = match source {
            Source::Peer(Endpoint::Node(node)) => Some(node),
            Source::Peer(Endpoint::Seed(_)) | Source::Platform => None,
        };
        let pushes = self
            .gossip
            .push(ticket, source_node, &self.directory, &mut self.random);
        actions.extend(pushes.into_iter().map(|(to, message)| send(to, message)));
    }

    /// Asks several peers for what was missed, and lets the platform be read at once.
    fn renew(&mut self, now: MonoTime, actions: &mut Vec<DistributionAction>) {
        self.ask_peers(actions);
        if self.readers.is_reader() {
            self.readers.read_now(now);
        }
    }

    fn ask_peers(&mut self, actions: &mut Vec<DistributionAction>) {
        let mut asked: Vec<Endpoint> = Vec::with_capacity(PEERS_ASKED);
        for _ in 0..PEERS_ASKED {
            let peer = self.gossip.random_peer(&self.directory, &mut self.random);
            let endpoint = peer.map(Endpoint::Node);
            asked.extend(endpoint.filter(|endpoint| !asked.contains(endpoint)));
        }
        let room = PEERS_ASKED - asked.len();
        let seeds = self.settings.seeds.iter().copied().map(Endpoint::Seed);
        asked.extend(seeds.take(room));
        // A seed that is down must not be the only one that is asked.
        let seed_count = self.settings.seeds.len();
        if seed_count > 0 {
            self.settings.seeds.rotate_left(room.min(seed_count));
        }
        let ask = |to| send(to, ask_for_everything());
        actions.extend(asked.into_iter().map(ask));
    }
}

impl<P: Precedence> Decider for Distribution<P> {
    type Event = DistributionEvent;
    type Action = DistributionAction;

    fn tick() -> DistributionEvent {
        DistributionEvent::Tick
    }

    fn decide(&mut self, now: MonoTime, event: DistributionEvent) -> Vec<DistributionAction> {
        self.handle(now, event)
    }

    fn next_deadline(&self, _now: MonoTime) -> MonoTime {
        Self::next_deadline(self)
    }
}

fn send(to: Endpoint, message: TicketMessage) -> DistributionAction {
    DistributionAction::Send { to, message }
}

/// Returns whether a message shows that nothing that the peer holds is missing here. A peer
/// without tickets is itself starting and proves nothing.
fn is_peer_answer(message: &TicketMessage, answers: &[(Endpoint, TicketMessage)]) -> bool {
    let TicketMessage::Summary {
        versions, complete, ..
    } = message
    else {
        return false;
    };
    let pulls = answers
        .iter()
        .any(|(_, answer)| matches!(answer, TicketMessage::Pull(_)));
    *complete && !versions.is_empty() && !pulls
}

/// Returns whether a report concerns the operator. Old tickets on their way between peers or in
/// the platform's history are routine.
fn is_news(report: &StoreReport, source: Source) -> bool {
    match report {
        StoreReport::Stale { .. } => false,
        StoreReport::Conflict { .. } => true,
        StoreReport::RetiredService { .. } | StoreReport::AddressClaimedTwice { .. } => {
            source == Source::Platform
        }
    }
}
