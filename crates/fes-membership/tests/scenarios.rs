//! Scenario scripts on a simulated cluster. Each file states the failure that it guards against.
//!
//! `UPDATE_GOLDENFILES=1` rewrites the expected output in the files; review the changes.

mod support;

use rstest::rstest;

use support::ScenarioRunner;

#[rstest]
fn scenario(#[files("tests/scenarios/*.txt")] path: std::path::PathBuf) {
    goldenscript::run(&mut ScenarioRunner::new(), path).expect("the script runs");
}
