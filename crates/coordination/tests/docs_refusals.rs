//! Checks that the table of refusals for operators agrees with the code.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use sedgeridge_coordination::refusal::RefusalReason;

const PAGE: &str = "../../docs/OPERATIONS.md";
const TABLE_MARKER: &str = "<!-- refusals:";
/// Lines before the first row: the marker, the table header and its separator.
const HEADING_LINES: usize = 3;
/// Number of cells that are checked against the code; the two after them are advice.
const CHECKED_CELLS: usize = 4;
const CELLS: usize = 6;

/// Guards against a page with another outcome than the code: if it says "not-run" in place of
/// "unknown", the owner of the caller sends a request again and charges a deposit twice.
#[test]
fn the_page_describes_every_reason_as_the_code_does() {
    let rows = rows_of_page();
    let documented: Vec<&[String]> = rows.iter().map(|row| &row[..CHECKED_CELLS]).collect();
    let expected: Vec<[String; CHECKED_CELLS]> = RefusalReason::ALL.map(expected_cells).into();
    assert_eq!(
        documented, expected,
        "left: docs/OPERATIONS.md, right: RefusalReason::ALL"
    );
}

/// Guards against a row without advice, or with the same advice for the caller and the operator.
#[test]
fn every_reason_has_advice_for_caller_and_operator() {
    for row in rows_of_page() {
        assert_eq!(row.len(), CELLS, "{row:?}");
        let advice: BTreeSet<&str> = row[CHECKED_CELLS..].iter().map(String::as_str).collect();
        assert!(!advice.contains(""), "{row:?}");
        assert_eq!(advice.len(), CELLS - CHECKED_CELLS, "{row:?}");
    }
}

fn expected_cells(reason: RefusalReason) -> [String; CHECKED_CELLS] {
    let retry_after = match reason.offers_retry_after() {
        true => "yes",
        false => "no",
    };
    [
        format!("`{}`", reason.as_str()),
        reason.status().to_string(),
        reason.outcome().as_str().to_owned(),
        retry_after.to_owned(),
    ]
}

fn rows_of_page() -> Vec<Vec<String>> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(PAGE);
    let page = fs::read_to_string(path).expect("the page is part of the repository");
    let table = page
        .lines()
        .skip_while(|line| !line.starts_with(TABLE_MARKER));
    let rows = table.skip(HEADING_LINES);
    rows.take_while(|line| line.starts_with('|'))
        .map(cells)
        .collect()
}

fn cells(row: &str) -> Vec<String> {
    let inner = row.trim().trim_start_matches('|').trim_end_matches('|');
    inner
        .split('|')
        .map(|cell| cell.trim().to_owned())
        .collect()
}
