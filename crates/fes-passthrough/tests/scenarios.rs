//! Runs the scenario files, which simulate flows under faults. The comment at the head of each file
//! describes the failure that it guards against.

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
