//! Ticket distribution of one process, which combines the store, gossip, startup and reads of the
//! platform.

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
use crate::read_scheduler::ReadScheduler;

/// Number of peers that a process asks at once when it starts or resumes after a pause.
const PEERS_TO_ASK: usize = 3;
/// Time without events after which the process is assumed to have been paused. Its timer normally
/// fires every second.
const PAUSE_THRESHOLD_MS: u64 = 3_000;

/// Settings of the ticket distribution of a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DistributionSettings {
    /// ID of this process.
    pub node: NodeId,
    /// Data centre of this process.
    pub data_centre: DataCentreName,
    /// Link addresses of seed peers that are asked at the start.
    pub seed_peers: Vec<SocketAddr>,
    /// Seed of all random choices.
    pub random_seed: u64,
}

/// Decides how a process receives and distributes tickets.
#[derive(Debug)]
pub struct Distribution<P: Precedence = HighestWins> {
    settings: DistributionSettings,
    random: ChaCha8Rng,
    store: TicketStore<P>,
    directory: Arc<PeerDirectory>,
    gossip: Gossip,
    join: Join,
    reads: ReadScheduler,
    freshness: PlatformFreshness,
    last_handled_at: MonoTime,
}

/// Origin of a received ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    Peer(Endpoint),
    Platform,
}

impl Distribution {
    /// Creates the distribution of a starting process that holds no tickets.
    #[must_use]
    pub fn new(now: MonoTime, settings: DistributionSettings) -> Self {
        Self::with_store(now, settings, TicketStore::default())
    }
}

impl<P: Precedence> Distribution<P> {
    /// Creates the distribution of a starting process that holds the tickets of a store and isn't
    /// ready yet.
    #[must_use]
    pub fn with_store(
        now: MonoTime,
        settings: DistributionSettings,
        store: TicketStore<P>,
    ) -> Self {
        let directory = Arc::new(PeerDirectory::new(store.state()));
        Self::build(now, settings, store, directory, Join::new(now))
    }

    /// Creates the distribution of a process that is ready with the tickets of a store. `directory`
    /// must match the state of the store; many processes of a simulation can share it.
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
        let data_centre = settings.data_centre.clone();
        let gossip = Gossip::new(settings.node, data_centre.clone(), now, &mut random);
        let mut reads = ReadScheduler::new(settings.node, data_centre, now, &mut random);
        reads.update_rank(store.state());
        Self {
            settings,
            random,
            store,
            directory,
            gossip,
            join,
            reads,
            freshness: PlatformFreshness::default(),
            last_handled_at: now,
        }
    }

    /// Returns the state in force.
    #[must_use]
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.store.snapshot()
    }

    /// Returns the directory of the processes in the state in force.
    #[must_use]
    pub const fn directory(&self) -> &Arc<PeerDirectory> {
        &self.directory
    }

    /// Returns whether the process is ready to serve.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        self.join.is_ready()
    }

    /// Returns whether the process is a reader, which continuously watches the platform.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        self.reads.is_reader()
    }

    /// Returns the counters of reads of the platform by this process.
    #[must_use]
    pub const fn read_counters(&self) -> ReadCounters {
        self.reads.counters()
    }

    /// Returns the age of the most recent known contact of any process with the platform, in
    /// milliseconds.
    #[must_use]
    pub fn platform_age_ms(&self, now: MonoTime) -> u32 {
        self.freshness.age_ms(now)
    }

    /// Returns the time at which the next `Tick` is due.
    #[must_use]
    pub fn next_deadline(&self) -> MonoTime {
        self.gossip
            .next_digest_at()
            .min(self.join.next_deadline())
            .min(self.reads.next_deadline())
    }

    /// Handles an event and returns the actions for the host.
    pub fn handle(&mut self, now: MonoTime, event: DistributionEvent) -> Vec<DistributionAction> {
        let mut actions = Vec::new();
        let paused = now.ms_since(self.last_handled_at) > PAUSE_THRESHOLD_MS;
        self.last_handled_at = now;
        if paused && event != DistributionEvent::ClockJumped {
            self.resync(now, &mut actions);
        }
        match event {
            DistributionEvent::Tick => {}
            DistributionEvent::Digest(digest) => self.on_digest(now, &digest, &mut actions),
            DistributionEvent::Message { from, message } => {
                self.on_message(from, message, &mut actions);
            }
            DistributionEvent::PlatformAnswered(answer) => {
                self.on_platform_answer(now, answer, &mut actions);
            }
            DistributionEvent::PlatformFailed => self.reads.record_failure(now, &mut self.random),
            DistributionEvent::ClockJumped => self.resync(now, &mut actions),
        }
        self.run_due_tasks(now, &mut actions);
        actions
    }

    fn run_due_tasks(&mut self, now: MonoTime, actions: &mut Vec<DistributionAction>) {
        let due = self
            .gossip
            .due_digest(now, &self.directory, &mut self.random);
        if let Some(to) = due {
            actions.push(self.digest_to(now, to));
        }
        if self.join.is_ask_due(now) {
            self.ask_peers(actions);
        }
        let needs_first_answer = !self.join.platform_answered() && !self.join.is_ready();
        let read = self
            .reads
            .due_read(now, needs_first_answer, &self.freshness, &mut self.random);
        actions.extend(read.map(DistributionAction::ReadPlatform));
        if self.join.update_ready(now, !self.store.state().is_empty()) {
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

    fn on_digest(
        &mut self,
        now: MonoTime,
        digest: &TicketDigest,
        actions: &mut Vec<DistributionAction>,
    ) {
        // A digest can report a contact of this process itself, which doesn't count as one of
        // another process.
        if digest.reader.map(NodeId::Entry) != Some(self.settings.node) {
            let contact = PlatformContact::reported(digest.reader, digest.platform_age_ms, now);
            self.freshness.record_other(contact, now);
        }
        match self.gossip.compare(now, digest, self.store.state()) {
            Comparison::NoAction => {}
            Comparison::Ask(message) => actions.push(DistributionAction::Send {
                to: Endpoint::Node(digest.node),
                message,
            }),
            Comparison::SendDigest => actions.push(self.digest_to(now, digest.node)),
        }
    }

    fn on_message(
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
                // The summary that answers this shows whether any ticket is still missing.
                actions.push(send(from, ask_for_everything()));
            }
            return;
        }
        let answers = self.gossip.answer(from, &message, self.store.state());
        if joining && holds_all_tickets_of_peer(&message, &answers) {
            self.join.record_peer_answer();
        }
        actions.extend(answers.into_iter().map(|(to, message)| send(to, message)));
    }

    fn on_platform_answer(
        &mut self,
        now: MonoTime,
        answer: PlatformAnswer,
        actions: &mut Vec<DistributionAction>,
    ) {
        self.freshness.record_own(self.reads.contact(now));
        self.join.record_platform_answer();
        if self
            .reads
            .record_answer(now, answer.index, &mut self.random)
        {
            let report = DistributionReport::PlatformIndexDecreased;
            actions.push(DistributionAction::Report(report));
        }
        for ticket in answer.tickets {
            self.apply(ticket, Source::Platform, actions);
        }
        let in_force = self.store.state().highest();
        if answer.highest >= in_force {
            self.reads.record_current_answer();
            return;
        }
        if self.reads.record_stale_answer(answer.highest) {
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
            .filter(|report| should_report(report, source));
        let report = |report: &StoreReport| DistributionReport::Ticket(report.clone());
        actions.extend(reports.map(report).map(DistributionAction::Report));
        if !outcome.has_changes() {
            return;
        }
        let snapshot = self.store.snapshot();
        if processes_changed(&before, &snapshot, &outcome.changed) {
            self.directory = Arc::new(PeerDirectory::new(&snapshot));
            self.reads.update_rank(&snapshot);
        }
        if self.join.is_ready() {
            self.push_to_peers(&ticket, source, &before, &outcome.changed, actions);
        }
        actions.push(DistributionAction::InForce {
            snapshot,
            changed: outcome.changed,
        });
    }

    /// Pushes a new ticket to random peers. A ticket from the platform in which an upstream starts
    /// to leave or is removed is first sent to the agents of the service.
    fn push_to_peers(
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

    /// Asks several peers for missed tickets, and schedules an immediate read if this process is a
    /// reader.
    fn resync(&mut self, now: MonoTime, actions: &mut Vec<DistributionAction>) {
        self.ask_peers(actions);
        if self.reads.is_reader() {
            self.reads.read_now(now);
        }
    }

    fn ask_peers(&mut self, actions: &mut Vec<DistributionAction>) {
        let mut asked: Vec<Endpoint> = Vec::with_capacity(PEERS_TO_ASK);
        for _ in 0..PEERS_TO_ASK {
            let peer = self.gossip.random_peer(&self.directory, &mut self.random);
            let endpoint = peer.map(Endpoint::Node);
            asked.extend(endpoint.filter(|endpoint| !asked.contains(endpoint)));
        }
        let seed_peers_to_ask = PEERS_TO_ASK - asked.len();
        let seed_peers = self.settings.seed_peers.iter().copied().map(Endpoint::Seed);
        asked.extend(seed_peers.take(seed_peers_to_ask));
        // The next attempt starts with other seed peers, in case these are down.
        let seed_peer_count = self.settings.seed_peers.len();
        if seed_peer_count > 0 {
            self.settings
                .seed_peers
                .rotate_left(seed_peers_to_ask.min(seed_peer_count));
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

/// Returns whether a message shows that this process holds all tickets of the peer. A peer without
/// tickets is itself starting and doesn't count.
fn holds_all_tickets_of_peer(
    message: &TicketMessage,
    answers: &[(Endpoint, TicketMessage)],
) -> bool {
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

/// Returns whether a report is passed to the operator. Stale tickets are normal, both in gossip and
/// in the history of the platform.
fn should_report(report: &StoreReport, source: Source) -> bool {
    match report {
        StoreReport::Stale { .. } => false,
        StoreReport::Conflict { .. } => true,
        StoreReport::RetiredService { .. } | StoreReport::AddressClaimedTwice { .. } => {
            source == Source::Platform
        }
    }
}
