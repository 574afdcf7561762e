//! The operators' table of refusals says what the code does.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use sedgeridge_coordination::refusal::RefusalReason;

const PAGE: &str = "../../docs/OPERATIONS.md";
const MARK: &str = "<!-- refusals:";
/// Lines between the mark and the first row: the mark itself, the header and its rule.
const HEADING_LINES: usize = 3;
/// Cells that are facts; the two after them are advice in words.
const FACT_CELLS: usize = 4;
const CELLS: usize = 6;

/// An operator looks a reason up and finds an outcome that the fleet does not give: told "not-run"
/// for "unknown", the caller's owner has a deposit charged a second time.
#[test]
fn the_page_tells_every_reason_as_the_code_does() {
    let rows = rows_of_page();
    let told: Vec<&[String]> = rows.iter().map(|row| &row[..FACT_CELLS]).collect();
    let expected: Vec<[String; FACT_CELLS]> = RefusalReason::ALL.map(facts).into();
    assert_eq!(
        told, expected,
        "left: docs/OPERATIONS.md, right: RefusalReason::ALL"
    );
}

/// The advice is what operators come for; a row without it, or with the words of another row
/// copied for both readers, is no help.
#[test]
fn every_reason_has_advice_for_caller_and_operator() {
    for row in rows_of_page() {
        assert_eq!(row.len(), CELLS, "{row:?}");
        let advice: BTreeSet<&str> = row[FACT_CELLS..].iter().map(String::as_str).collect();
        assert!(!advice.contains(""), "{row:?}");
        assert_eq!(advice.len(), CELLS - FACT_CELLS, "{row:?}");
    }
}

fn facts(reason: RefusalReason) -> [String; FACT_CELLS] {
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
    let table = page.lines().skip_while(|line| !line.starts_with(MARK));
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
