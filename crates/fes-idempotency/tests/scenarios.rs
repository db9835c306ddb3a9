//! Runs the scenario files. Each one causes one failure and states every hop and answer that
//! follows; its first lines say which failure it guards against.

mod support;

use std::path::PathBuf;

use rstest::rstest;
use support::script::Script;

#[rstest]
fn scenario(#[files("tests/scenarios/*.txt")] path: PathBuf) {
    let mut script = Script::new();

    let outcome = goldenscript::run(&mut script, &path);

    outcome.expect("the scenario runs to its end");
}
