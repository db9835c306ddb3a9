//! The exchange of views between entries.

mod support;

use std::net::Ipv4Addr;

use fes_passthrough::FleetView;
use fes_passthrough::ListChange;
use fes_passthrough::Message;
use fes_passthrough::TargetState;
use fes_passthrough::ViewExchange;
use fes_passthrough::decode_message;
use fes_passthrough::encode_message;
use fes_protocol::MonoTime;
use fes_protocol::UpstreamName;

use support::fixtures::SERVICE;
use support::fixtures::entry_vm;
use support::fixtures::routes;
use support::fixtures::target;

const TARGETS: usize = 40;

struct Node {
    vm: Ipv4Addr,
    view: FleetView,
    exchange: ViewExchange,
}

fn node(index: usize) -> Node {
    let seeds = [entry_vm(0), entry_vm(1)];
    Node {
        vm: entry_vm(index),
        view: FleetView::new(),
        exchange: ViewExchange::new(entry_vm(index), 1, &seeds),
    }
}

fn full_changes() -> Vec<ListChange> {
    let targets = (0..TARGETS).map(|i| ListChange::Target(target(i, 10)));
    targets
        .chain([ListChange::Routes(routes(3, SERVICE))])
        .collect()
}

fn reader() -> Node {
    let mut node = node(0);
    node.view.apply_listing(MonoTime::ZERO, full_changes(), 20);
    node.view.confirm(MonoTime::ZERO, 20);
    node
}

fn take(
    node: &mut Node,
    now: MonoTime,
    from: Ipv4Addr,
    message: &Message,
) -> Vec<(Ipv4Addr, Message)> {
    match message {
        Message::Digest(digest) => node.exchange.on_digest(now, from, digest, &mut node.view),
        Message::Routes(part) => {
            if let Some(change) = node.exchange.on_routes(part) {
                node.view.apply(now, change);
            }
            Vec::new()
        }
        Message::Targets(part) => {
            let version = node.view.routes().version;
            let learnt = node.exchange.on_targets(now, part, version);
            for change in learnt.changes {
                node.view.apply(now, change);
            }
            if let Some((revision, confirmed_at)) = learnt.confirmed {
                node.view.confirm_by_peer(confirmed_at, revision);
            }
            Vec::new()
        }
        _ => Vec::new(),
    }
}

/// Runs both nodes until `until_ms`; every `lose_every`-th message is lost.
fn run(nodes: &mut [Node; 2], from_ms: u64, until_ms: u64, lose_every: usize) {
    let mut sent = 0;
    for now_ms in (from_ms..until_ms).step_by(100) {
        let now = MonoTime::from_ms(now_ms);
        let mut pending = Vec::new();
        for node in nodes.iter_mut() {
            let messages = node.exchange.on_tick(now, &node.view);
            pending.extend(messages.into_iter().map(|(to, m)| (node.vm, to, m)));
        }
        while let Some((from, to, message)) = pending.pop() {
            sent += 1;
            let mut bytes = Vec::new();
            encode_message(&message, &mut bytes).expect("fits");
            let (message, _) = decode_message(&bytes).expect("decodes");
            let Some(node) = nodes.iter_mut().find(|node| node.vm == to) else {
                continue;
            };
            if sent % lose_every == 0 {
                continue;
            }
            let answers = take(node, now, from, &message);
            pending.extend(answers.into_iter().map(|(next, m)| (to, next, m)));
        }
    }
}

/// Guards against an entry that the platform turns away and that therefore knows nothing.
#[test]
fn an_entry_that_cannot_read_learns_all_from_a_peer() {
    let mut nodes = [reader(), node(1)];

    run(&mut nodes, 100, 1_000, usize::MAX);

    assert_eq!(nodes[1].view.targets().count(), TARGETS);
    assert_eq!(nodes[1].view.routes().version, 3);
    assert_eq!(nodes[1].view.revision(), 20);
}

/// Guards against a revision that counts as known although a part of it was lost.
#[test]
fn lost_parts_are_asked_for_again() {
    let mut nodes = [reader(), node(1)];

    run(&mut nodes, 100, 20_000, 4);

    assert_eq!(nodes[1].view.targets().count(), TARGETS);
    assert_eq!(nodes[1].view.revision(), 20);
}

/// Guards against changes and removals that only the reader ever learns.
#[test]
fn changes_and_removals_reach_the_peer() {
    let mut nodes = [reader(), node(1)];
    run(&mut nodes, 100, 1_000, usize::MAX);
    let mut leaving = target(0, 25);
    leaving.state = TargetState::Draining;
    let now = MonoTime::from_ms(1_000);
    nodes[0].view.apply(now, ListChange::Target(leaving));
    let id = UpstreamName::from("t-1");
    nodes[0]
        .view
        .apply(now, ListChange::NoTarget { id, revision: 26 });
    nodes[0].view.confirm(now, 26);

    run(&mut nodes, 1_000, 2_000, usize::MAX);
    nodes[1].view.expire(MonoTime::from_ms(4_000));

    let states = nodes[1].view.targets().map(|target| target.state);
    assert_eq!(
        states
            .filter(|state| *state == TargetState::Draining)
            .count(),
        1
    );
    assert_eq!(nodes[1].view.targets().count(), TARGETS - 1);
}

/// Guards against a fleet in which every entry reads the platform, or none does.
#[test]
fn an_entry_with_fresh_peers_rests_and_reads_again_without_them() {
    let mut nodes = [reader(), node(1)];
    run(&mut nodes, 100, 1_000, usize::MAX);
    let fresh = MonoTime::from_ms(1_000);
    let later = MonoTime::from_ms(5_000);

    let reads_itself_later = nodes[1].exchange.is_reader(later, &nodes[1].view);

    assert!(nodes[0].exchange.is_reader(fresh, &nodes[0].view));
    assert!(reads_itself_later);
}
