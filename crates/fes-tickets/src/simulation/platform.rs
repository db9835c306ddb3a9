//! Simulated platform with reads and watches.

use std::collections::BTreeMap;
use std::sync::Arc;

use fes_protocol::MonoTime;
use fes_protocol::NodeId;
use fes_protocol::Ticket;
use fes_protocol::TicketNumber;

use crate::PlatformAnswer;
use crate::PlatformRead;

/// State of the platform, which determines its answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformState {
    /// The platform answers with its current content.
    Up,
    /// The platform doesn't answer.
    Down,
    /// The platform answers with its content at this index.
    StaleAt(u64),
}

/// Answer of the platform and the process that receives it.
pub type AddressedAnswer = (NodeId, PlatformAnswer);

/// Platform that stores the published tickets in order.
#[derive(Debug)]
pub struct SimulatedPlatform {
    /// Current state.
    pub state: PlatformState,
    published: Vec<Arc<Ticket>>,
    /// Index and end of the wait of each waiting watch.
    waiting: BTreeMap<NodeId, (u64, MonoTime)>,
    reads_per_second: BTreeMap<u64, u64>,
}

impl SimulatedPlatform {
    /// Creates a platform on which the given tickets are published.
    #[must_use]
    pub fn new(published: Vec<Arc<Ticket>>) -> Self {
        Self {
            state: PlatformState::Up,
            published,
            waiting: BTreeMap::new(),
            reads_per_second: BTreeMap::new(),
        }
    }

    /// Publishes a ticket and returns the answers to waiting watches.
    pub fn publish(&mut self, ticket: Arc<Ticket>) -> Vec<AddressedAnswer> {
        self.published.push(ticket);
        self.answer_waiting(|_, _| true)
    }

    /// Removes the last `count` published tickets, like a restore from a backup.
    pub fn roll_back(&mut self, count: usize) {
        let kept = self.published.len().saturating_sub(count);
        self.published.truncate(kept);
    }

    /// Returns the index of the content that readers see.
    #[must_use]
    pub fn index(&self) -> u64 {
        let newest = self.published.len() as u64;
        match self.state {
            PlatformState::StaleAt(index) => index.min(newest),
            PlatformState::Up | PlatformState::Down => newest,
        }
    }

    /// Returns the maximum number of reads in one second. A read counts in the second in which it
    /// starts. A watch also counts in every further second of its maximum wait.
    #[must_use]
    pub fn peak_reads_per_second(&self) -> u64 {
        self.reads_per_second.values().copied().max().unwrap_or(0)
    }

    /// Handles a read. Returns the answer, or nothing if the platform is down or the watch has to
    /// wait.
    pub fn read(
        &mut self,
        now: MonoTime,
        from: NodeId,
        read: PlatformRead,
    ) -> Vec<AddressedAnswer> {
        self.count_read(now, read);
        if self.state == PlatformState::Down {
            return Vec::new();
        }
        match read {
            PlatformRead::Full => vec![(from, self.content_after(0))],
            PlatformRead::Watch {
                after_index,
                wait_ms,
            } => {
                if self.index() != after_index {
                    return vec![(from, self.content_after(after_index))];
                }
                let ends_at = now.plus_ms(u64::from(wait_ms));
                self.waiting.insert(from, (after_index, ends_at));
                Vec::new()
            }
        }
    }

    /// Returns the answers to the watches whose wait has ended.
    pub fn expire_watches(&mut self, now: MonoTime) -> Vec<AddressedAnswer> {
        self.answer_waiting(|_, ends_at| ends_at <= now)
    }

    /// Returns the time at which the next wait ends.
    #[must_use]
    pub fn next_watch_expiry(&self) -> Option<MonoTime> {
        self.waiting.values().map(|(_, ends_at)| *ends_at).min()
    }

    fn count_read(&mut self, now: MonoTime, read: PlatformRead) {
        let wait_ms = match read {
            PlatformRead::Full => 0,
            PlatformRead::Watch { wait_ms, .. } => u64::from(wait_ms),
        };
        let first = now.as_ms() / 1_000;
        let last = now.plus_ms(wait_ms).as_ms() / 1_000;
        for second in first..=last {
            *self.reads_per_second.entry(second).or_default() += 1;
        }
    }

    /// Removes the waiting watches that `due` selects and returns their answers.
    fn answer_waiting(&mut self, due: impl Fn(NodeId, MonoTime) -> bool) -> Vec<AddressedAnswer> {
        let answered: Vec<(NodeId, u64)> = self
            .waiting
            .iter()
            .filter(|(node, (_, ends_at))| due(**node, *ends_at))
            .map(|(node, (after_index, _))| (*node, *after_index))
            .collect();
        for (node, _) in &answered {
            self.waiting.remove(node);
        }
        if self.state == PlatformState::Down {
            return Vec::new();
        }
        let answer = |(node, after_index)| (node, self.content_after(after_index));
        answered.into_iter().map(answer).collect()
    }

    fn content_after(&self, after_index: u64) -> PlatformAnswer {
        let index = self.index();
        let visible = &self.published[..usize::try_from(index).unwrap_or(usize::MAX)];
        let skipped = usize::try_from(after_index).unwrap_or(usize::MAX);
        let highest = visible.iter().map(|ticket| ticket.number).max();
        PlatformAnswer {
            index,
            highest: highest.unwrap_or(TicketNumber(0)),
            tickets: visible.get(skipped..).unwrap_or_default().to_vec(),
        }
    }
}
