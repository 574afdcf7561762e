//! Tests that the catalogue of log events lists what the router logs.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use sedgeridge_gateway::event_log::LogEvent;

const PAGE: &str = "../../docs/EVENTS.md";
const MARK: &str = "<!-- gateway events:";

/// Guards against an operator who looks up the number in an alarm and finds another event or none.
#[test]
fn the_catalogue_lists_every_event_as_declared() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(PAGE);
    let page = fs::read_to_string(path).expect("the page is part of the repository");
    let table = page.lines().skip_while(|line| !line.starts_with(MARK));
    let rows: Vec<_> = table
        .skip(3)
        .take_while(|line| line.starts_with('|'))
        .collect();
    let expected: Vec<_> = LogEvent::ALL
        .iter()
        .map(|event| {
            format!(
                "| E{} | `{}` | {} | ",
                event.code(),
                event.label(),
                event.doc()
            )
        })
        .collect();
    assert_eq!(rows.len(), expected.len());
    for (row, expected) in rows.iter().zip(&expected) {
        assert!(
            row.starts_with(expected.as_str()),
            "{row}\nis not\n{expected}"
        );
        assert!(row.len() > expected.len() + 2, "no advice: {row}");
    }
}

/// Guards against two events with the same number, which cannot be told apart where they are
/// counted.
#[test]
fn numbers_and_names_of_events_are_distinct() {
    let numbers: BTreeSet<u16> = LogEvent::ALL.iter().map(|event| event.code()).collect();
    let names: BTreeSet<&str> = LogEvent::ALL.iter().map(|event| event.label()).collect();
    assert_eq!(numbers.len(), LogEvent::ALL.len());
    assert_eq!(names.len(), LogEvent::ALL.len());
}
