//! Runs scenario scripts against a simulated fleet. The head of each script states which failure it
//! guards against.
//!
//! `UPDATE_GOLDENFILES=1` writes the actual output into the scripts for review.

mod support;

use rstest::rstest;

use support::ScenarioRunner;

#[rstest]
fn scenario(#[files("tests/scenarios/*.txt")] path: std::path::PathBuf) {
    goldenscript::run(&mut ScenarioRunner::new(), path).expect("the script runs");
}
