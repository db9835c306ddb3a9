//! Entries that exchange their views, of which some read the platform.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::Ipv4Addr;

use fes_passthrough::FleetView;
use fes_passthrough::ListChange;
use fes_passthrough::Message;
use fes_passthrough::ViewGossip;
use fes_protocol::MonoTime;

use super::fixtures::SERVICE;
use super::fixtures::entry_vm;
use super::fixtures::routes;
use super::fixtures::target;

const TICK_MS: u64 = 20;
/// Period at which a reader gets a reply of the platform.
const READ_PERIOD_MS: u64 = 700;

pub struct Node {
    pub vm: Ipv4Addr,
    pub gossip: ViewGossip,
    pub view: FleetView,
    pub next_read_at: MonoTime,
    pub reads: usize,
}

/// Entries of which the platform refuses those with the lowest addresses.
pub struct EntryFleet {
    pub nodes: Vec<Node>,
    pub now: MonoTime,
    /// List of the platform, and its revision.
    pub listing: Vec<ListChange>,
    pub revision: u64,
    /// What becomes of a message on its way.
    pub transport: fn(Message) -> Message,
    refused: usize,
    by_vm: HashMap<Ipv4Addr, usize>,
}

impl EntryFleet {
    /// Creates a fleet. `seed` selects the peers to which entries send their digests.
    pub fn new(entries: usize, refused: usize, seed: u64) -> Self {
        let seeds = [entry_vm(0), entry_vm(1), entry_vm(2)];
        let node = |index: usize| Node {
            vm: entry_vm(index),
            gossip: ViewGossip::new(entry_vm(index), seed, &seeds),
            view: FleetView::new(),
            // Processes don't start at the same time.
            next_read_at: MonoTime::from_ms(1 + 37 * index as u64 % 300),
            reads: 0,
        };
        Self {
            nodes: (0..entries).map(node).collect(),
            now: MonoTime::from_ms(1),
            listing: vec![
                ListChange::Target(target(0, 10)),
                ListChange::Routes(routes(3, SERVICE)),
            ],
            revision: 20,
            transport: |message| message,
            refused,
            by_vm: (0..entries).map(|index| (entry_vm(index), index)).collect(),
        }
    }

    pub fn restart(&mut self, index: usize) {
        let seeds = [entry_vm(0), entry_vm(1), entry_vm(2)];
        let node = &mut self.nodes[index];
        node.gossip = ViewGossip::new(node.vm, 2, &seeds);
        node.view = FleetView::new();
        node.next_read_at = self.now;
        node.reads = 0;
    }

    pub fn run(&mut self, for_ms: u64) {
        let end = self.now.plus_ms(for_ms);
        while self.now < end {
            self.now = self.now.plus_ms(TICK_MS);
            self.read();
            self.gossip();
        }
    }

    fn read(&mut self) {
        let now = self.now;
        for (index, node) in self.nodes.iter_mut().enumerate() {
            if now < node.next_read_at || !node.gossip.is_reader(now, &node.view) {
                continue;
            }
            node.reads += 1;
            if index < self.refused {
                node.next_read_at = now.plus_ms(node.gossip.read_retry_delay_ms());
                continue;
            }
            node.next_read_at = now.plus_ms(READ_PERIOD_MS);
            node.view
                .apply_listing(now, self.listing.clone(), self.revision);
            node.view.confirm(now, self.revision);
            node.gossip.record_read(now);
        }
    }

    fn gossip(&mut self) {
        let now = self.now;
        let mut in_flight: VecDeque<(Ipv4Addr, Ipv4Addr, Message)> = VecDeque::new();
        for node in &mut self.nodes {
            let sent = node.gossip.on_tick(now, &node.view);
            in_flight.extend(sent.into_iter().map(|(to, message)| (node.vm, to, message)));
        }
        while let Some((from, to, message)) = in_flight.pop_front() {
            let Some(index) = self.by_vm.get(&to) else {
                continue;
            };
            let node = &mut self.nodes[*index];
            let answers = node.handle(now, from, &(self.transport)(message));
            in_flight.extend(answers.into_iter().map(|(next, answer)| (to, next, answer)));
        }
    }

    /// Returns the number of reads of all entries during a time.
    pub fn reads_during(&mut self, for_ms: u64) -> usize {
        let total = |fleet: &Self| fleet.nodes.iter().map(|node| node.reads).sum::<usize>();
        let before = total(self);
        self.run(for_ms);
        total(self) - before
    }

    pub fn oldest_view_ms(&self) -> u64 {
        let ages = self.nodes.iter().map(|node| node.view.age_ms(self.now));
        ages.map(|age_ms| age_ms.unwrap_or(u64::MAX))
            .max()
            .unwrap_or(0)
    }
}

impl Node {
    fn handle(
        &mut self,
        now: MonoTime,
        from: Ipv4Addr,
        message: &Message,
    ) -> Vec<(Ipv4Addr, Message)> {
        match message {
            Message::Digest(digest) => self.gossip.on_digest(now, from, digest, &mut self.view),
            Message::Readers(readers) => {
                self.gossip.on_readers(now, readers);
                Vec::new()
            }
            Message::Routes(part) => {
                let change = self.gossip.on_routes(from, part);
                change.map(|change| self.view.apply(now, change));
                Vec::new()
            }
            Message::Targets(part) => {
                let update = self.gossip.on_targets(now, from, part, &self.view);
                for change in update.changes {
                    self.view.apply(now, change);
                }
                if let Some((revision, confirmed_at)) = update.confirmed {
                    self.view.confirm_by_peer(confirmed_at, revision);
                }
                Vec::new()
            }
            _ => Vec::new(),
        }
    }
}
