//! Reads a capacity report from a JSON file and prints it as the Markdown tables of
//! docs/CAPACITY.md.
//!
//! Usage: `capacity FILE`.

use std::error::Error;

use fes_measure::capacity::CapacityReport;

fn main() -> Result<(), Box<dyn Error>> {
    let path = std::env::args().nth(1).ok_or("usage: capacity FILE")?;
    let report: CapacityReport = serde_json::from_str(&std::fs::read_to_string(path)?)?;
    print!("{}", report.to_markdown());
    Ok(())
}
