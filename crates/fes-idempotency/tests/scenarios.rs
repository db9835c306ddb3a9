//! Runs the scenario files. Each file injects one failure and lists the events and answers that
//! follow; its first lines name the failure that it guards against.

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
