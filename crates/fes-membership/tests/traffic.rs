//! Guards against control traffic above 3 KB/s per node in the steady state. Sent and received
//! bytes are added, and sizes are those of the actual encodings with all headers.
//!
//! `FES_TRAFFIC_FULL=1` adds the full design size.

use fes_membership::simulation::measure_traffic;
use fes_tickets::simulation::FleetShape;
use fes_tickets::simulation::RegionPaths;

const SEED: u64 = 20_260_731;
const MAX_BYTES_PER_SECOND: u64 = 3_000;

#[test]
fn a_node_takes_at_most_three_kilobytes_per_second() {
    let mut sizes = vec![(8, 12, 80), (79, 120, 800)];
    if std::env::var_os("FES_TRAFFIC_FULL").is_some() {
        sizes.push((790, 1_200, 8_000));
    }
    for (entry_count, service_count, target_count) in sizes {
        let shape = FleetShape::scaled(entry_count, service_count, target_count);
        let paths = RegionPaths::with_loss(0.01, 0.001);

        let report = measure_traffic(&shape, paths, 10_000, SEED);

        println!("seed {SEED}, {entry_count} entries, {target_count} targets: {report:?}");
        let agent = report.agent_sent_max + report.agent_received_max;
        let entry = report.entry_sent_max + report.entry_received_max;
        assert!(agent <= MAX_BYTES_PER_SECOND, "{report:?}");
        assert!(entry <= MAX_BYTES_PER_SECOND, "{report:?}");
    }
}
