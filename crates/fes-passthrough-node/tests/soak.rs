//! Short soak test of the daemons. Use `fescueshift-soak` for longer runs.

use std::path::PathBuf;

use fes_soak::FaultKinds;
use fes_soak::SoakOptions;
use fes_soak::run;
use rstest::rstest;

/// Guards against daemons that lose, duplicate or misroute requests, break flows, exit by
/// themselves or don't recover, while they are killed, paused, stopped and restarted and the store
/// fails. The case of replacements fails with entries that reset a draining target's flows while its
/// agent is restarted, or that take a new flow of a used port for the former one, that of returns with
/// entries that go back with the store.
#[rstest]
#[case::first(1, FaultKinds::All, 6_000)]
#[case::replacements(6, FaultKinds::Planned, 7_500)]
#[case::returns_from_copies(1, FaultKinds::Returns, 9_000)]
fn no_violation_occurs_under_faults(
    #[case] seed: u64,
    #[case] fault_kinds: FaultKinds,
    #[case] faults_ms: u64,
) {
    let folder = tempfile::tempdir().expect("folder");
    let options = SoakOptions {
        seed,
        fault_kinds,
        program: PathBuf::from(env!("CARGO_BIN_EXE_fescueshift-passthrough")),
        entries: 3,
        targets: 4,
        clients: 6,
        faults_ms,
        directory: folder.path().into(),
    };

    let soak = run(&options);
    let report = actix_rt::System::new()
        .block_on(soak)
        .expect("stand-ins start");

    println!("{report:?}");
    assert_eq!(report.violations, Vec::<String>::new());
}
