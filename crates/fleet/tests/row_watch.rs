//! Following a table through outages of the store.

use std::sync::Arc;
use std::time::Duration;

use sedgeridge_fleet::row_watch::Row;
use sedgeridge_fleet::row_watch::RowWatch;
use sedgeridge_fleet::row_watch::StoreAnswer;
use sedgeridge_fleet::row_watch::StoreCall;
use sedgeridge_fleet::row_watch::WatchStep;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn row(key: &str, version: u64) -> Row {
    Row {
        key: Arc::from(key),
        version,
        value: Some(Arc::from(key.as_bytes())),
    }
}

fn removed(key: &str, version: u64) -> Row {
    Row {
        value: None,
        ..row(key, version)
    }
}

fn rows(rows: Vec<Row>, version: u64) -> StoreAnswer {
    StoreAnswer::Rows {
        rows,
        version,
        has_more: false,
    }
}

fn keys(watch: &RowWatch) -> Vec<String> {
    watch.rows().map(|row| row.key.to_string()).collect()
}

fn watch_of_two() -> RowWatch {
    let mut watch = RowWatch::new(1);
    watch.on_answer(at(0), rows(vec![row("a", 1), row("b", 2)], 2));
    watch
}

#[test]
fn a_list_is_read_page_by_page_and_put_in_force_as_a_whole() {
    let mut watch = RowWatch::new(1);
    let page = StoreAnswer::Rows {
        rows: vec![row("a", 1)],
        version: 5,
        has_more: true,
    };
    assert!(watch.on_answer(at(0), page).is_empty());
    let WatchStep::Call(StoreCall::List { from }) = watch.step(at(0)) else {
        panic!("the list goes on");
    };
    assert_eq!(from.as_deref(), Some("a\0"));
    let changed = watch.on_answer(at(1), rows(vec![row("b", 2)], 6));
    assert_eq!(changed.len(), 2);
    let feed = StoreCall::Feed {
        after: 6,
        is_held: true,
    };
    assert_eq!(watch.step(at(1)), WatchStep::Call(feed));
}

#[test]
fn a_removed_row_goes_at_once_while_the_store_is_well() {
    let mut watch = watch_of_two();
    let changed = watch.on_answer(at(10), rows(vec![removed("a", 3)], 3));
    assert_eq!(changed, vec![removed("a", 3)]);
    assert_eq!(keys(&watch), ["b"]);
}

/// The caller gets "no endpoint" although all endpoints live. The store is away for longer than
/// entries last; when it is back, its first answer lacks every entry, and the endpoints write them
/// again within two seconds. Until then the entries that were known must stay in use.
#[test]
fn entries_that_lapsed_while_the_store_was_away_stay_until_they_could_be_written_again() {
    let mut watch = watch_of_two();
    watch.on_answer(at(100), StoreAnswer::Failed);
    watch.on_answer(at(5_000), rows(vec![removed("a", 3), removed("b", 4)], 4));
    assert_eq!(keys(&watch), ["a", "b"]);
    watch.on_answer(at(6_000), rows(vec![row("a", 5)], 5));
    assert!(watch.expired(at(6_900)).is_empty());
    let gone = watch.expired(at(7_400));
    assert_eq!(gone, vec![removed("b", 4)]);
    assert_eq!(keys(&watch), ["a"]);
}

/// The caller is served by an endpoint that left seconds ago. A host is cut off from the store and
/// is back; an endpoint leaves a second later, and its removal is held back as if it had lapsed in
/// the outage. Only what the first answers after the outage lack can have lapsed in it.
#[test]
fn an_entry_that_is_removed_after_the_outage_goes_at_once() {
    let mut watch = watch_of_two();
    watch.on_answer(at(100), StoreAnswer::Failed);
    // A call that waits for a change would not tell when the store is back.
    let catch_up = StoreCall::Feed {
        after: 2,
        is_held: false,
    };
    assert_eq!(watch.step(at(4_999)), WatchStep::Call(catch_up));
    watch.on_answer(at(5_000), rows(Vec::new(), 3));
    let changed = watch.on_answer(at(6_000), rows(vec![removed("a", 4)], 4));
    assert_eq!(changed, vec![removed("a", 4)]);
}

#[test]
fn a_forgotten_history_is_made_up_for_by_a_list() {
    let mut watch = watch_of_two();
    watch.on_answer(at(10), StoreAnswer::HistoryGone);
    assert_eq!(
        watch.step(at(10)),
        WatchStep::Call(StoreCall::List { from: None })
    );
    let changed = watch.on_answer(at(20), rows(vec![row("b", 9)], 9));
    assert_eq!(changed, vec![row("b", 9), removed("a", 9)]);
}

#[test]
fn pauses_after_failed_calls_stay_below_a_second() {
    let mut watch = watch_of_two();
    let mut now = at(0);
    for _ in 0..20 {
        watch.on_answer(now, StoreAnswer::Failed);
        let WatchStep::WaitUntil(next) = watch.step(now) else {
            panic!("a failed call is followed by a pause");
        };
        assert!(next - now <= at(800));
        now = next;
    }
}

/// A host that the store turns away learns of changes from another host's copy, and an older copy
/// changes nothing: a configuration must never go back.
#[test]
fn a_copy_of_another_host_counts_only_if_it_is_newer() {
    let mut watch = watch_of_two();
    assert!(watch.on_copy(at(10), vec![row("a", 1)], 1).is_empty());
    assert_eq!(keys(&watch), ["a", "b"]);
    let changed = watch.on_copy(at(20), vec![row("a", 7)], 7);
    assert_eq!(changed, vec![row("a", 7), removed("b", 7)]);
    assert!(watch.on_copy(at(30), vec![row("a", 6)], 7).is_empty());
}
