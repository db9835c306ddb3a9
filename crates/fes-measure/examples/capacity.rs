//! Prints the capacity report as Markdown, or as JSON with the argument `json`.

fn main() {
    let report = fes_measure::capacity::run_capacity(1);
    if std::env::args().any(|argument| argument == "json") {
        println!(
            "{}",
            serde_json::to_string_pretty(&report).expect("the report is plain data")
        );
    } else {
        println!("{}", report.to_markdown());
    }
}
