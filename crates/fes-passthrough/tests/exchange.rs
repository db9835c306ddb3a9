//! Gossip of views between entries, which exchange digests and differences.

mod support;

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use fes_passthrough::FleetView;
use fes_passthrough::ListChange;
use fes_passthrough::MAX_NAME_BYTES;
use fes_passthrough::Message;
use fes_passthrough::Route;
use fes_passthrough::RouteSet;
use fes_passthrough::ServiceTag;
use fes_passthrough::TargetRecord;
use fes_passthrough::TargetState;
use fes_passthrough::ViewDigest;
use fes_passthrough::ViewGossip;
use fes_passthrough::WeightedService;
use fes_passthrough::decode_message;
use fes_passthrough::encode_message;
use fes_protocol::DataCentreName;
use fes_protocol::FastMap;
use fes_protocol::MonoTime;
use fes_protocol::UpstreamName;

use support::fixtures::SERVICE;
use support::fixtures::entry_vm;
use support::fixtures::routes;
use support::fixtures::stream_address;
use support::fixtures::target;

const TARGETS: usize = 40;

struct Node {
    vm: Ipv4Addr,
    view: FleetView,
    gossip: ViewGossip,
}

fn node(index: usize) -> Node {
    let seeds = [entry_vm(0), entry_vm(1)];
    Node {
        vm: entry_vm(index),
        view: FleetView::new(),
        gossip: ViewGossip::new(entry_vm(index), 1, &seeds),
    }
}

fn full_listing() -> Vec<ListChange> {
    let targets = (0..TARGETS).map(|i| ListChange::Target(target(i, 10)));
    targets
        .chain([ListChange::Routes(routes(3, SERVICE))])
        .collect()
}

fn reader() -> Node {
    let mut node = node(0);
    node.view.apply_listing(MonoTime::ZERO, full_listing(), 20);
    node.view.confirm(MonoTime::ZERO, 20);
    node
}

fn handle(
    node: &mut Node,
    now: MonoTime,
    from: Ipv4Addr,
    message: &Message,
) -> Vec<(Ipv4Addr, Message)> {
    match message {
        Message::Digest(digest) => node.gossip.on_digest(now, from, digest, &mut node.view),
        Message::Routes(part) => {
            if let Some(change) = node.gossip.on_routes(from, part) {
                node.view.apply(now, change);
            }
            Vec::new()
        }
        Message::Targets(part) => {
            let update = node.gossip.on_targets(now, from, part, &node.view);
            for change in update.changes {
                node.view.apply(now, change);
            }
            if let Some((revision, confirmed_at)) = update.confirmed {
                node.view.confirm_by_peer(confirmed_at, revision);
            }
            Vec::new()
        }
        _ => Vec::new(),
    }
}

/// Runs both nodes from `from_ms` until `until_ms`; every `lose_every`-th message is lost.
fn run(nodes: &mut [Node; 2], from_ms: u64, until_ms: u64, lose_every: usize) {
    let mut sent = 0;
    for now_ms in (from_ms..until_ms).step_by(100) {
        let now = MonoTime::from_ms(now_ms);
        let mut pending = Vec::new();
        for node in nodes.iter_mut() {
            let messages = node.gossip.on_tick(now, &node.view);
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
            let answers = handle(node, now, from, &message);
            pending.extend(answers.into_iter().map(|(next, m)| (to, next, m)));
        }
    }
}

/// Guards against an entry without routes and targets because the platform refuses its reads.
#[test]
fn an_entry_that_cannot_read_the_platform_gets_the_view_from_a_peer() {
    let mut nodes = [reader(), node(1)];

    run(&mut nodes, 100, 1_000, usize::MAX);

    assert_eq!(nodes[1].view.targets().count(), TARGETS);
    assert_eq!(nodes[1].view.routes().version, 3);
    assert_eq!(nodes[1].view.revision(), 20);
}

/// Guards against a revision that is confirmed although a part of the response was lost.
#[test]
fn lost_parts_are_requested_again() {
    let mut nodes = [reader(), node(1)];

    run(&mut nodes, 100, 20_000, 4);

    assert_eq!(nodes[1].view.targets().count(), TARGETS);
    assert_eq!(nodes[1].view.revision(), 20);
}

/// Guards against changes and removals that reach only the reader.
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

/// Guards against a fleet in which all entries read the platform, or none does.
#[test]
fn an_entry_reads_the_platform_only_without_current_peers() {
    let mut nodes = [reader(), node(1)];
    run(&mut nodes, 100, 1_000, usize::MAX);
    let fresh = MonoTime::from_ms(1_000);
    let later = MonoTime::from_ms(5_000);

    let is_reader_when_outdated = nodes[1].gossip.is_reader(later, &nodes[1].view);

    assert!(nodes[0].gossip.is_reader(fresh, &nodes[0].view));
    assert!(is_reader_when_outdated);
}

/// Returns enough routes for several parts, inserted in ascending or descending order of the ports.
fn many_routes(is_reversed: bool) -> RouteSet {
    let mut ports: Vec<u16> = (1..=100).collect();
    if is_reversed {
        ports.reverse();
    }
    let mut set = routes(9, SERVICE);
    let template = set.routes[&stream_address()].clone();
    set.routes = FastMap::default();
    if is_reversed {
        set.routes.reserve(1_000);
    }
    for port in ports {
        let destination = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), port);
        let route = Route {
            destination,
            ..template.clone()
        };
        set.routes.insert(destination, route);
    }
    set
}

/// Returns a digest that requests the changes since a revision.
fn request_after(revision: u64, routes_version: u64) -> ViewDigest {
    ViewDigest {
        incarnation: 1,
        revision,
        supports_eras: true,
        routes_version,
        age_ms: u64::MAX,
        wants_newer: true,
        entries: Vec::new(),
    }
}

fn responses_of(index: usize, changes: Vec<ListChange>) -> Vec<Message> {
    let mut node = node(index);
    node.view.apply_listing(MonoTime::ZERO, changes, 20);
    node.view.confirm(MonoTime::ZERO, 20);
    let request = request_after(0, 0);
    let now = MonoTime::from_ms(100);
    let answers = node
        .gossip
        .on_digest(now, entry_vm(5), &request, &mut node.view);
    answers.into_iter().map(|(_, message)| message).collect()
}

/// Guards against missing routes, and resets of their open flows, because parts of the responses of
/// two peers were combined. Incident: stave-market-grown, trouble-1.
#[test]
fn parts_of_two_answers_make_no_incomplete_whole() {
    let first = responses_of(0, vec![ListChange::Routes(many_routes(false))]);
    let second = responses_of(1, vec![ListChange::Routes(many_routes(true))]);
    let mut receiver = node(5);
    let now = MonoTime::from_ms(200);

    for (index, (a, b)) in first.iter().zip(&second).enumerate() {
        let (from, message) = match index % 2 {
            0 => (entry_vm(0), a),
            _ => (entry_vm(1), b),
        };
        handle(&mut receiver, now, from, message);
    }

    let route_count = receiver.view.routes().routes.len();
    assert!(
        route_count == 0 || route_count == 100,
        "{route_count} of 100 routes"
    );
}

/// Guards against a revision that is confirmed although parts of two responses were combined.
#[test]
fn target_parts_of_two_responses_are_not_combined() {
    let forward = full_listing();
    let backward: Vec<ListChange> = forward.iter().rev().cloned().collect();
    let first = responses_of(0, forward);
    let second = responses_of(1, backward);
    let mut receiver = node(5);
    let now = MonoTime::from_ms(200);

    for (index, (a, b)) in first.iter().zip(&second).enumerate() {
        let (from, message) = match index % 2 {
            0 => (entry_vm(0), a),
            _ => (entry_vm(1), b),
        };
        handle(&mut receiver, now, from, message);
    }

    let is_confirmed = receiver.view.revision() == 20;
    assert!(!is_confirmed || receiver.view.targets().count() == TARGETS);
}

/// Guards against a target that stays removed although it is listed again. One peer saw its record
/// expire; another saw it only after it was listed again, and so had no change to send. Incident:
/// stave-market-grown, trouble-3.
#[test]
fn an_entry_that_lapsed_and_returned_is_learnt_from_any_peer() {
    let now = MonoTime::from_ms(500);
    let mut saw_removal = reader();
    let id = UpstreamName::from("t-1");
    let removal = ListChange::NoTarget { id, revision: 25 };
    saw_removal.view.apply(now, removal);
    saw_removal.view.confirm(now, 26);
    let mut saw_relisting = reader();
    let returned = TargetRecord {
        revision: 27,
        created_revision: 27,
        ..target(1, 27)
    };
    saw_relisting.view.apply(now, ListChange::Target(returned));
    saw_relisting.view.confirm(now, 30);
    let mut receiver = reader();

    for peer in [&mut saw_removal, &mut saw_relisting] {
        let request = ViewDigest {
            incarnation: 1,
            revision: receiver.view.revision(),
            supports_eras: true,
            routes_version: receiver.view.routes().version,
            age_ms: 0,
            wants_newer: true,
            entries: Vec::new(),
        };
        let from = peer.vm;
        let answers = peer
            .gossip
            .on_digest(now, entry_vm(5), &request, &mut peer.view);
        for (_, message) in answers {
            handle(&mut receiver, now, from, &message);
        }
    }
    receiver.view.expire(MonoTime::from_ms(60_000));

    assert_eq!(receiver.view.revision(), 30);
    assert_eq!(receiver.view.targets().count(), TARGETS);
}

/// Guards against a target that has left and is used again after a restart: a peer that was paused
/// answers the restarted entry later than a peer whose list no longer has the target.
#[test]
fn a_late_response_of_a_stale_peer_brings_no_removed_target_back() {
    let stale = responses_of(0, full_listing());
    let mut fresh = node(1);
    let remaining = full_listing().into_iter().skip(1).collect();
    fresh.view.apply_listing(MonoTime::ZERO, remaining, 30);
    fresh.view.confirm(MonoTime::ZERO, 30);
    let request = request_after(0, 0);
    let now = MonoTime::from_ms(100);
    let answers = fresh
        .gossip
        .on_digest(now, entry_vm(5), &request, &mut fresh.view);
    let mut restarted = node(5);

    for (_, message) in &answers {
        handle(&mut restarted, now, entry_vm(1), message);
    }
    for message in &stale {
        handle(&mut restarted, now, entry_vm(0), message);
    }

    assert_eq!(restarted.view.revision(), 30);
    assert_eq!(restarted.view.targets().count(), TARGETS - 1);
}

/// Guards against a target that has left and stays in use at a restarted entry: it learns the
/// target from a peer that was paused, and then the changes since from a peer that started after
/// the target was removed and knows nothing of it.
#[test]
fn a_peer_that_missed_a_removal_sends_its_whole_list() {
    let mut fresh = node(1);
    let remaining = full_listing().into_iter().skip(1).collect();
    fresh.view.apply_listing(MonoTime::ZERO, remaining, 30);
    fresh.view.confirm(MonoTime::ZERO, 30);
    let mut restarted = reader();
    let view = &restarted.view;
    let request = request_after(view.revision(), view.routes().version);
    let now = MonoTime::from_ms(100);

    let answers = fresh
        .gossip
        .on_digest(now, entry_vm(5), &request, &mut fresh.view);
    for (_, message) in &answers {
        handle(&mut restarted, now, entry_vm(1), message);
    }
    restarted.view.expire(MonoTime::from_ms(10_000));

    assert_eq!(restarted.view.revision(), 30);
    assert_eq!(restarted.view.targets().count(), TARGETS - 1);
}

/// Returns a name that begins with a number and is as long as names in messages may be.
fn long_name(index: usize) -> String {
    let number = index.to_string();
    number.clone() + &"n".repeat(MAX_NAME_BYTES - number.len())
}

fn target_with_long_names(index: usize) -> TargetRecord {
    TargetRecord {
        id: UpstreamName::from(long_name(index)),
        data_centre: DataCentreName::from(long_name(index)),
        service: ServiceTag(u64::MAX),
        started_at_ms: u64::MAX,
        warm_up_ms: u32::MAX,
        slots: u32::MAX,
        ..target(index, 10)
    }
}

/// Guards against a message that no peer decodes because of long names: peers that don't read the
/// platform themselves would stop following the list.
#[test]
fn targets_with_long_names_and_their_removals_reach_peers() {
    let mut nodes = [node(0), node(1)];
    let listed = (0..TARGETS).map(|index| ListChange::Target(target_with_long_names(index)));
    let listing: Vec<ListChange> = listed
        .chain([ListChange::Routes(routes(3, SERVICE))])
        .collect();
    nodes[0].view.apply_listing(MonoTime::ZERO, listing, 20);
    nodes[0].view.confirm(MonoTime::ZERO, 20);
    run(&mut nodes, 0, 1_000, usize::MAX);
    let listed = nodes[1].view.targets().count();
    let now = MonoTime::from_ms(1_000);
    for index in 1..TARGETS {
        let id = UpstreamName::from(long_name(index));
        let removal = ListChange::NoTarget { id, revision: 30 };
        nodes[0].view.apply(now, removal);
    }
    nodes[0].view.confirm(now, 30);

    run(&mut nodes, 1_000, 2_000, usize::MAX);

    nodes[1].view.expire(MonoTime::from_ms(3_000));
    assert_eq!(listed, TARGETS);
    assert_eq!(nodes[1].view.revision(), 30);
    assert_eq!(nodes[1].view.targets().count(), 1);
}

/// Guards against a message that no peer decodes because its routes have many services.
#[test]
fn routes_with_many_services_reach_peers() {
    let mut nodes = [node(0), node(1)];
    let services: Vec<WeightedService> = (0..60)
        .map(|index| WeightedService {
            service: ServiceTag(u64::MAX - index),
            weight: u32::MAX,
        })
        .collect();
    let mut set = routes(3, SERVICE);
    for port in 1..=40 {
        let destination = SocketAddrV4::new(*stream_address().ip(), port);
        let route = Route {
            destination,
            services: services.clone(),
            ..set.routes[&stream_address()].clone()
        };
        set.routes.insert(destination, route);
    }
    let listing = vec![ListChange::Routes(set.clone())];
    nodes[0].view.apply_listing(MonoTime::ZERO, listing, 20);
    nodes[0].view.confirm(MonoTime::ZERO, 20);

    run(&mut nodes, 0, 1_000, usize::MAX);

    assert_eq!(nodes[1].view.routes(), &set);
}
