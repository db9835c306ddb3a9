//! Arguments that several commands share.

use std::ops::RangeInclusive;

use clap::Arg;
use clap::ArgAction;
use clap::builder::RangedU64ValueParser;

/// Makes a flag that takes a number.
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

/// Makes the flag for one JSON object on standard output.
pub(crate) fn json_flag() -> Arg {
    Arg::new("json")
        .long("json")
        .help("Print one JSON object")
        .action(ArgAction::SetTrue)
}
