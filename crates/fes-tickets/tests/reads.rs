//! Guards against readers that exceed their share of the platform's limit of 2,000 reads per second
//! during and after a long outage of the platform, in which all entries become standby readers.
//!
//! `FES_READS_FULL=1` simulates all 790 entries.

use fes_tickets::HighestWins;
use fes_tickets::simulation::FleetShape;
use fes_tickets::simulation::PlatformState;
use fes_tickets::simulation::RegionPaths;
use fes_tickets::simulation::SimulatedFleet;

const ALL_ENTRIES: u64 = 790;
const MAX_READS_PER_SECOND: u64 = 2_000;
const SEED: u64 = 3;

#[test]
fn a_long_outage_of_the_platform_stays_within_the_read_budget() {
    let entry_count: u32 = match std::env::var_os("FES_READS_FULL") {
        Some(_) => 790,
        None => 60,
    };
    let shape = FleetShape::scaled(entry_count, 1, 5);
    let paths = RegionPaths::with_loss(0.01, 0.001);
    let mut fleet: SimulatedFleet<HighestWins> = SimulatedFleet::new(&shape, paths, SEED);
    fleet.run_ms(10_000);

    fleet.platform.state = PlatformState::Down;
    // With 790 entries, the last of 158 ranks takes over after 480 s.
    fleet.run_ms(600_000);
    let readers = fleet.nodes().iter().filter(|node| {
        let process = fleet.distribution(**node);
        process.is_some_and(fes_tickets::Distribution::is_reader)
    });
    let reader_count = readers.count();
    fleet.platform.state = PlatformState::Up;
    fleet.run_ms(60_000);

    let peak = fleet.platform.peak_reads_per_second();
    println!("seed {SEED}: {reader_count} readers during the outage, at most {peak} reads/s");
    assert_eq!(reader_count as u64, u64::from(entry_count));
    assert!(peak <= MAX_READS_PER_SECOND * u64::from(entry_count) / ALL_ENTRIES);
}
