//! The catalogue of log events lists what the code logs.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use sedgeridge_transport::event_log::LogEvent;

const PAGE: &str = "../../docs/EVENTS.md";
const MARK: &str = "<!-- events:";
/// Lines between the mark and the first row: the mark itself, the header and its rule.
const HEADING_LINES: usize = 3;
/// Cells that are facts; the one after them is advice in words.
const FACT_CELLS: usize = 3;
const CELLS: usize = 4;

/// An operator looks a number up that an alarm names, and finds another event or none.
#[test]
fn the_catalogue_lists_every_event_as_declared() {
    let rows = rows_of_page();
    let told: Vec<&[String]> = rows.iter().map(|row| &row[..FACT_CELLS]).collect();
    let expected: Vec<[String; FACT_CELLS]> = LogEvent::ALL.iter().map(facts).collect();
    assert_eq!(told, expected, "left: docs/EVENTS.md, right: LogEvent::ALL");
    let advised = |row: &Vec<String>| row.len() == CELLS && !row[FACT_CELLS].is_empty();
    assert!(rows.iter().all(advised), "an event without advice");
}

/// Two events with one number are one event to whoever counts them.
#[test]
fn numbers_and_names_of_events_are_distinct() {
    let numbers: BTreeSet<u16> = LogEvent::ALL.iter().map(|event| event.code()).collect();
    let names: BTreeSet<&str> = LogEvent::ALL.iter().map(|event| event.label()).collect();
    assert_eq!(numbers.len(), LogEvent::ALL.len());
    assert_eq!(names.len(), LogEvent::ALL.len());
}

fn facts(event: &LogEvent) -> [String; FACT_CELLS] {
    [
        format!("E{}", event.code()),
        format!("`{}`", event.label()),
        event.doc().to_owned(),
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
