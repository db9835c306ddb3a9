//! Arguments that several commands have in common.

use std::ops::RangeInclusive;

use clap::Arg;
use clap::ArgAction;
use clap::builder::RangedU64ValueParser;

/// Creates an option with a numeric value in `range`.
pub(crate) fn number(
    name: &'static str,
    help: &'static str,
    default: &'static str,
    range: RangeInclusive<u64>,
) -> Arg {
    Arg::new(name)
        .long(name)
        .help(help)
        .value_name("N")
        .value_parser(RangedU64ValueParser::<u64>::new().range(range))
        .default_value(default)
}

/// Creates the `--json` flag, which prints one JSON object instead of text.
pub(crate) fn json_flag() -> Arg {
    Arg::new("json")
        .long("json")
        .help("Print one JSON object")
        .action(ArgAction::SetTrue)
}
