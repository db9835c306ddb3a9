//! Guards against result codes that are missing from `docs/result-codes.md` or differ from it.

use fes_protocol::ResultCode;

fn table_row(code: ResultCode) -> String {
    format!(
        "| F{} | `{}` | {} | {} |",
        code.number(),
        code.name(),
        code.summary(),
        code.help()
    )
}

#[test]
fn documentation_lists_exactly_the_result_codes() {
    let page = include_str!("../../../docs/result-codes.md");
    let rows: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with("| F"))
        .collect();

    let expected: Vec<String> = ResultCode::ALL.iter().copied().map(table_row).collect();

    assert_eq!(rows, expected);
}
