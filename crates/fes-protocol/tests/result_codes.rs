//! Guards against a result code that is missing from, or differs from, the published table.

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
fn the_table_lists_exactly_the_codes_of_the_program() {
    let page = include_str!("../../../docs/result-codes.md");
    let rows: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with("| F"))
        .collect();

    let expected: Vec<String> = ResultCode::ALL.iter().copied().map(table_row).collect();

    assert_eq!(rows, expected);
}
