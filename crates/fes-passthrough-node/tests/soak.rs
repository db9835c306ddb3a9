//! Short soak test of the daemons. Use `fescueshift-soak` for longer runs.

use std::path::PathBuf;

use fes_soak::SoakOptions;
use fes_soak::run;
use rstest::rstest;

/// Guards against daemons that lose, duplicate or misroute requests, break flows, exit by
/// themselves or don't recover, while they are killed, paused, stopped and restarted and the store
/// fails.
#[rstest]
#[case::first(1)]
fn no_violation_occurs_under_faults(#[case] seed: u64) {
    let folder = tempfile::tempdir().expect("folder");
    let options = SoakOptions {
        seed,
        program: PathBuf::from(env!("CARGO_BIN_EXE_fescueshift-passthrough")),
        entries: 3,
        targets: 4,
        clients: 6,
        faults_ms: 6_000,
        directory: folder.path().into(),
    };

    let soak = run(&options);
    let report = actix_rt::System::new()
        .block_on(soak)
        .expect("stand-ins start");

    println!("{report:?}");
    assert_eq!(report.violations, Vec::<String>::new());
}
