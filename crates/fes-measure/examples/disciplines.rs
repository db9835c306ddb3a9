//! Compares queue disciplines at demand peaks over several seeds.
//!
//! Usage: `disciplines PROFILE FIRST_SEED COUNT`.

use std::process::ExitCode;

use fes_measure::Profile;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let argument = |position: usize| arguments.get(position).map_or("", String::as_str);
    let (Some(profile), Ok(first), Ok(count)) = (
        Profile::from_name(argument(0)),
        argument(1).parse::<u64>(),
        argument(2).parse::<u64>(),
    ) else {
        eprintln!("usage: disciplines PROFILE FIRST_SEED COUNT");
        return ExitCode::from(2);
    };
    println!("| seed | discipline | goodput | longest refusal, ms | answered in time after |");
    println!("|---|---|---|---|---|");
    for seed in first..first + count {
        for result in fes_measure::compare_disciplines(&profile, seed) {
            println!(
                "| {seed} | {} | {:.3} | {:.0} | {:.3} |",
                result.name,
                result.goodput,
                result.max_time_to_refusal_ms,
                result.in_time_share_after_peak
            );
        }
    }
    ExitCode::SUCCESS
}
