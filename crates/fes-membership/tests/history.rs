//! Random histories of one-way partitions, pauses, kills and restarts. Guards against targets that
//! stay excluded from placement or lost after all faults have ended, and against a loss that only a
//! minority of observers confirms.
//!
//! `FES_HISTORY_RUNS` sets the number of runs, `FES_HISTORY_SEED` the first seed;
//! `FES_LOSS_FULL=1` uses the full design size for the loss of a data centre.

use fes_membership::simulation::SimulatedCluster;
use fes_protocol::NodeId;
use fes_protocol::ServiceId;
use fes_protocol::TargetId;
use fes_tickets::simulation::FleetShape;
use fes_tickets::simulation::Participant;
use fes_tickets::simulation::RegionPaths;
use rand::Rng;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

const DEFAULT_RUNS: u64 = 60;
const STEPS: usize = 30;
/// Longer than the maximum suppression of a flapping link.
const SETTLE_MS: u64 = 45_000;

fn number_from_env(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

fn seeds() -> std::ops::Range<u64> {
    let first = number_from_env("FES_HISTORY_SEED", 1);
    let seeds = first..first + number_from_env("FES_HISTORY_RUNS", DEFAULT_RUNS);
    println!("seeds {seeds:?}");
    seeds
}

fn cluster(random: &mut ChaCha8Rng, targets: u32, seed: u64) -> SimulatedCluster {
    let shape = FleetShape::scaled(random.random_range(2..8), 1, targets);
    let paths = RegionPaths::with_loss(random.random_range(0.0..0.05), 0.05);
    SimulatedCluster::new(&shape, paths, seed)
}

fn targets_of(cluster: &SimulatedCluster) -> Vec<TargetId> {
    let targets = cluster.node_ids().iter().filter_map(|node| match node {
        NodeId::Agent(target) => Some(*target),
        NodeId::Entry(_) => None,
    });
    let mut targets: Vec<TargetId> = targets.collect();
    targets.sort_unstable();
    targets
}

/// Returns a description of the first target that an entry excludes from placement or considers
/// lost.
fn unusable_target(cluster: &SimulatedCluster) -> Option<String> {
    let targets = targets_of(cluster);
    for node in cluster.node_ids() {
        let Some(liveness) = cluster.node(*node).and_then(|node| node.liveness()) else {
            continue;
        };
        for target in &targets {
            if !liveness.placeable(*target) || liveness.confirmed_lost(*target) {
                let verdicts: Vec<_> = liveness.verdicts().about(*target).collect();
                return Some(format!("{node} excludes {target}: {verdicts:?}"));
            }
        }
    }
    None
}

fn inject_fault(cluster: &mut SimulatedCluster, random: &mut ChaCha8Rng) {
    let nodes = cluster.node_ids().to_vec();
    let node = nodes[random.random_range(0..nodes.len())];
    let other = nodes[random.random_range(0..nodes.len())];
    match random.random_range(0..8) {
        0..=2 => cluster.block(Participant::Node(node), Participant::Node(other)),
        3 => cluster.heal(),
        4 => cluster.pause(node, random.random_range(100..20_000)),
        5 => cluster.kill(node),
        _ => cluster.restart(node),
    }
}

#[test]
fn all_targets_are_used_again_after_all_faults_have_ended() {
    for seed in seeds() {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let targets = random.random_range(2..9);
        let mut cluster = cluster(&mut random, targets, seed);

        for _ in 0..STEPS {
            inject_fault(&mut cluster, &mut random);
            cluster.run_ms(random.random_range(0..3_000));
        }
        cluster.heal();
        cluster.set_paths(RegionPaths::with_loss(0.01, 0.01));
        for target in targets_of(&cluster) {
            cluster.restart(NodeId::Agent(target));
        }
        for node in cluster.node_ids().to_vec() {
            if matches!(node, NodeId::Entry(_)) && random.random_bool(0.5) {
                cluster.restart(node);
            } else {
                cluster.start_if_stopped(node);
            }
        }
        cluster.run_ms(SETTLE_MS);

        assert_eq!(unusable_target(&cluster), None, "seed {seed}");
    }
}

#[test]
fn a_minority_of_observers_never_confirms_a_loss() {
    for seed in seeds() {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut cluster = cluster(&mut random, 7, seed);
        let mut peers = targets_of(&cluster);
        peers.shuffle(&mut random);
        let victim = peers.pop().expect("cluster has targets");
        cluster.run_ms(5_000);

        // Three of six observers hear neither the victim nor any other agent.
        let partitioned = &peers[..3];
        for observer in partitioned {
            for heard in peers.iter().chain([&victim]) {
                let from = Participant::Node(NodeId::Agent(*heard));
                cluster.block(from, Participant::Node(NodeId::Agent(*observer)));
            }
        }

        for _ in 0..20 {
            cluster.run_ms(500);
            for node in cluster.node_ids() {
                let liveness = cluster.node(*node).and_then(|node| node.liveness());
                let lost = liveness.is_some_and(|liveness| liveness.confirmed_lost(victim));
                assert!(!lost, "seed {seed}: {node} confirms the loss of {victim}");
            }
        }
    }
}

#[test]
fn entries_leave_out_a_lost_data_centre() {
    // The loss causes a burst of verdicts, which must pass the byte budget of the gossip among
    // entries.
    let shape = match std::env::var_os("FES_LOSS_FULL") {
        Some(_) => FleetShape::design_size(),
        None => FleetShape::scaled(50, 60, 400),
    };
    let mut cluster = SimulatedCluster::new(&shape, RegionPaths::with_loss(0.01, 0.001), 7);
    cluster.run_ms(5_000);
    let dead: Vec<NodeId> = cluster
        .node_ids()
        .iter()
        .copied()
        .filter(|node| {
            cluster
                .data_centre(*node)
                .is_some_and(|data_centre| data_centre.as_str() == "south.b")
        })
        .collect();
    for node in &dead {
        cluster.kill(*node);
    }

    let mut seconds = 0;
    let mut stale_pairs = usize::MAX;
    while stale_pairs > 0 && seconds < 60 {
        cluster.run_ms(1_000);
        seconds += 1;
        stale_pairs = count_stale_pairs(&cluster, &dead);
        println!("{seconds} s: {stale_pairs} pairs of an entry and a dead target remain");
    }

    println!(
        "{} processes killed, {stale_pairs} pairs remain after {seconds} s",
        dead.len()
    );
    assert_eq!(stale_pairs, 0);
}

/// Counts the pairs of a live entry and a dead target that the entry would still place flows on.
fn count_stale_pairs(cluster: &SimulatedCluster, dead: &[NodeId]) -> usize {
    let live = cluster
        .node_ids()
        .iter()
        .filter(|node| !dead.contains(node));
    let liveness_of_live =
        live.filter_map(|node| cluster.node(*node).and_then(|node| node.liveness()));
    let uses = |liveness: &fes_membership::TargetLiveness, node: &NodeId| match node {
        NodeId::Agent(target) => liveness.placeable(*target),
        NodeId::Entry(_) => false,
    };
    liveness_of_live
        .map(|liveness| dead.iter().filter(|node| uses(liveness, node)).count())
        .sum()
}

#[test]
fn a_service_without_tickets_has_no_placeable_target() {
    let liveness = fes_membership::TargetLiveness::new(fes_protocol::MonoTime::ZERO, 1.into(), 1);

    assert!(!liveness.placeable(TargetId(1)));
    assert!(liveness.confirmed_lost(TargetId(1)));
    assert!(!liveness.is_in_panic_mode(ServiceId(1)));
}
