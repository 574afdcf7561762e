//! docs/EVENTS.md lists the log events as they are declared in the code.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use sedgeridge_transport::event_log::LogEvent;

const PAGE: &str = "../../docs/EVENTS.md";
const TABLE_MARK: &str = "<!-- events:";
/// Lines before the first row: the mark, the table's header and the line below it.
const HEADING_LINES: usize = 3;
/// Cells that are generated from the code; the cell after them is advice to operators.
const DECLARED_CELLS: usize = 3;
const CELLS: usize = 4;

/// Guards against a page on which an operator finds another event, or none, for the number in an alarm.
#[test]
fn the_catalogue_lists_every_event_as_declared() {
    let rows = rows_of_page();
    let listed: Vec<&[String]> = rows.iter().map(|row| &row[..DECLARED_CELLS]).collect();
    let expected: Vec<[String; DECLARED_CELLS]> =
        LogEvent::ALL.iter().map(declared_cells).collect();
    assert_eq!(
        listed, expected,
        "left: docs/EVENTS.md, right: LogEvent::ALL"
    );
    let has_advice = |row: &Vec<String>| row.len() == CELLS && !row[DECLARED_CELLS].is_empty();
    assert!(rows.iter().all(has_advice), "an event without advice");
}

/// Events with the same number or name cannot be told apart in logs.
#[test]
fn numbers_and_names_of_events_are_distinct() {
    let numbers: BTreeSet<u16> = LogEvent::ALL.iter().map(|event| event.code()).collect();
    let names: BTreeSet<&str> = LogEvent::ALL.iter().map(|event| event.label()).collect();
    assert_eq!(numbers.len(), LogEvent::ALL.len());
    assert_eq!(names.len(), LogEvent::ALL.len());
}

fn declared_cells(event: &LogEvent) -> [String; DECLARED_CELLS] {
    [
        format!("E{}", event.code()),
        format!("`{}`", event.label()),
        event.doc().to_owned(),
    ]
}

fn rows_of_page() -> Vec<Vec<String>> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(PAGE);
    let page = fs::read_to_string(path).expect("the page is part of the repository");
    let table = page
        .lines()
        .skip_while(|line| !line.starts_with(TABLE_MARK));
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
