//! Runs the scenario files: flows under faults, in the scenario language of the project. The first
//! lines of a file say which failure it guards against.

mod support;

use std::path::PathBuf;

use rstest::rstest;
use support::script::Script;

#[rstest]
fn scenario(#[files("tests/scenarios/*.txt")] path: PathBuf) {
    let mut script = Script::default();

    let outcome = goldenscript::run(&mut script, &path);

    outcome.expect("the scenario runs to its end");
}
