//! Checks that the page of result codes matches the program.

use {dotterelshore_domain::codes::ResultCode, std::path::Path};

#[test]
fn the_page_has_a_row_for_each_code() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/RESULT-CODES.md");
    let text = std::fs::read_to_string(page).expect("a readable page");
    for code in ResultCode::ALL {
        let row = format!(
            "| {} | `{}` | {} | {} |",
            code.number(),
            code.slug(),
            code.status(),
            code.title()
        );
        assert!(text.contains(&row), "the page lacks: {row}");
    }
    let rows = text
        .lines()
        .filter(|line| line.starts_with(['|']) && line.contains('`'))
        .count();
    assert_eq!(rows, ResultCode::ALL.len());
}
