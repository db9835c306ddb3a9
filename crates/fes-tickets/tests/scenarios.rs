//! Scenario scripts over a simulated fleet. Each file says which failure it guards against.
//!
//! `UPDATE_GOLDENFILES=1` writes the output into the files, to be reviewed by hand.

mod support;

use rstest::rstest;

use support::ScenarioRunner;

#[rstest]
fn scenario(#[files("tests/scenarios/*.txt")] path: std::path::PathBuf) {
    goldenscript::run(&mut ScenarioRunner::new(), path).expect("the script runs");
}
