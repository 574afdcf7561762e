//! Events that arrive in pieces of any size are passed on completely.

use proptest::prelude::*;
use sedgeridge_fleet::event_stream::EventSplitter;

proptest! {
    /// Each event is passed on once and completely, however the bytes are split on the way.
    #[test]
    fn any_split_gives_the_same_events(count in 1..12_u64, cuts in prop::collection::vec(1..40_usize, 1..40)) {
        let whole: String = (1..=count).map(|id| format!("id: {id}\ndata: x{id}\n\n")).collect();
        let mut splitter = EventSplitter::default();
        let mut passed = Vec::new();
        let mut rest = whole.as_bytes();
        for cut in cuts.into_iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (piece, later) = rest.split_at(cut.min(rest.len()));
            let events = splitter.push(piece);
            prop_assert!(events.is_empty() || events.ends_with(b"\n\n"));
            passed.extend(events);
            rest = later;
        }
        prop_assert_eq!(passed, whole.into_bytes());
        prop_assert_eq!(splitter.last_id(), Some(count));
        prop_assert_eq!(splitter.events(), count);
    }
}

/// Guards against a partial event 2 from an endpoint that failed, before another endpoint sends the whole event.
#[test]
fn the_beginning_of_an_event_is_dropped_before_another_endpoint_goes_on() {
    let mut splitter = EventSplitter::default();
    assert_eq!(splitter.push(b"id: 1\n\nid: 2\nda"), b"id: 1\n\n");
    splitter.drop_partial();
    assert_eq!(splitter.push(b"id: 2\ndata: b\n\n"), b"id: 2\ndata: b\n\n");
    assert_eq!(splitter.last_id(), Some(2));
}

#[test]
fn an_event_without_an_end_is_noticed() {
    let mut splitter = EventSplitter::default();
    splitter.push(&vec![
        b'x';
        sedgeridge_fleet::event_stream::MAX_EVENT_BYTES + 1
    ]);
    assert!(splitter.is_too_long());
}

/// Guards against blank lines without end, which are no events and are passed on for as long as the caller waits.
#[test]
fn blank_lines_without_an_event_are_too_long() {
    let mut splitter = EventSplitter::default();
    let blank_lines = [b'\n'; 1024];
    let pieces = sedgeridge_fleet::event_stream::MAX_EVENT_BYTES / blank_lines.len();
    for _ in 0..pieces {
        splitter.push(&blank_lines);
        assert!(!splitter.is_too_long());
    }
    splitter.push(b"id: 1\ndata: a\n\n");
    assert!(!splitter.is_too_long());
    for _ in 0..=pieces {
        splitter.push(&blank_lines);
    }
    assert!(splitter.is_too_long());
}
