//! Tests for following a table whose store comes back from an older copy.

use std::sync::Arc;
use std::time::Duration;

use sedgeridge_fleet::row_watch::Row;
use sedgeridge_fleet::row_watch::RowWatch;
use sedgeridge_fleet::row_watch::StoreAnswer;
use sedgeridge_fleet::row_watch::StoreCall;
use sedgeridge_fleet::row_watch::WatchStep;
use sedgeridge_fleet::store_version::StoreVersion;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn version(era: u64, number: u64) -> StoreVersion {
    StoreVersion { era, number }
}

fn row(key: &str, value: &str, version: StoreVersion) -> Row {
    Row {
        key: Arc::from(key),
        version,
        value: Some(Arc::from(value.as_bytes())),
    }
}

fn removed(key: &str, version: StoreVersion) -> Row {
    Row {
        key: Arc::from(key),
        version,
        value: None,
    }
}

fn rows(rows: Vec<Row>, version: StoreVersion) -> StoreAnswer {
    StoreAnswer::Rows {
        rows,
        version,
        has_more: false,
    }
}

fn value(watch: &RowWatch, key: &str) -> Option<String> {
    let row = watch.rows().find(|row| &*row.key == key)?;
    let value = row.value.as_ref()?;
    Some(String::from_utf8_lossy(value).into_owned())
}

fn keys(watch: &RowWatch) -> Vec<String> {
    watch.rows().map(|row| row.key.to_string()).collect()
}

/// Returns a watch of two rows in era 1, at version 90.
fn watch_of_two() -> RowWatch {
    let mut watch = RowWatch::new(1);
    let listed = vec![row("a", "a", version(1, 10)), row("b", "b", version(1, 90))];
    watch.on_answer(at(0), rows(listed, version(1, 90)));
    watch
}

/// Returns a watch that knows of the removal of row `b` in era 1.
fn watch_without_b() -> RowWatch {
    let mut watch = watch_of_two();
    let removal = rows(vec![removed("b", version(1, 91))], version(1, 91));
    watch.on_answer(at(5), removal);
    watch
}

/// Lets a watch list the rows of era 2.
fn restore(watch: &mut RowWatch, now: Duration, listed: Vec<Row>, number: u64) -> Vec<Row> {
    watch.on_answer(now, StoreAnswer::HistoryGone);
    watch.on_answer(now, rows(listed, version(2, number)))
}

/// Guards against changes that are dropped because their numbers were given out before.
#[test]
fn a_change_after_the_return_is_applied_although_its_number_was_given_out_before() {
    let mut watch = watch_of_two();
    let listed = vec![row("a", "a", version(2, 10)), row("b", "b", version(2, 21))];
    restore(&mut watch, at(10), listed, 21);
    let changed = watch.on_answer(
        at(20),
        rows(vec![row("b", "new", version(2, 22))], version(2, 22)),
    );
    assert_eq!(changed.len(), 1);
    assert_eq!(value(&watch, "b").as_deref(), Some("new"));
    let changed = watch.on_answer(
        at(30),
        rows(vec![removed("a", version(2, 23))], version(2, 23)),
    );
    assert_eq!(changed, vec![removed("a", version(2, 23))]);
}

/// Guards against a flood of changes on each host that are none.
#[test]
fn rows_that_the_older_copy_holds_unchanged_are_no_changes() {
    let mut watch = watch_of_two();
    let listed = vec![row("a", "a", version(2, 10)), row("b", "b", version(2, 30))];
    assert!(restore(&mut watch, at(10), listed, 30).is_empty());
    assert_eq!(watch.changed_version(), version(2, 30));
}

/// Guards against a feed that goes on at the known number after the store has passed it again.
#[test]
fn a_feed_answer_of_a_later_era_leads_to_a_new_list() {
    let mut watch = watch_of_two();
    let WatchStep::Call(call) = watch.step(at(5)) else {
        panic!("expected a call");
    };
    let later = vec![row("c", "c", version(2, 95))];
    let answer = call.answered_with(later, version(2, 95), false);
    assert!(watch.on_answer(at(10), answer).is_empty());
    let list = StoreCall::List { from: None };
    assert_eq!(watch.step(at(10)), WatchStep::Call(list));
}

/// Guards against a list of two halves, one from before the return and one from after it.
#[test]
fn a_list_begins_anew_when_the_store_comes_back_between_two_pages() {
    let mut watch = RowWatch::new(1);
    let first_page = StoreAnswer::Rows {
        rows: vec![row("a", "a", version(1, 10))],
        version: version(1, 90),
        has_more: true,
    };
    watch.on_answer(at(0), first_page);
    let second_page = rows(vec![row("b", "b", version(2, 20))], version(2, 20));
    assert!(watch.on_answer(at(10), second_page).is_empty());
    let list = StoreCall::List { from: None };
    assert_eq!(watch.step(at(10)), WatchStep::Call(list));
}

/// Guards against a host that takes the older state back from a host that does not know of the return yet.
#[test]
fn a_copy_of_an_earlier_era_changes_nothing() {
    let mut behind = watch_of_two();
    let late = rows(vec![row("a", "old", version(1, 99))], version(1, 99));
    behind.on_answer(at(5), late);
    let mut watch = watch_of_two();
    restore(
        &mut watch,
        at(10),
        vec![row("a", "a", version(2, 10)), row("b", "b", version(2, 30))],
        30,
    );
    let copy = behind.copy_after(at(20), watch.changed_version());
    assert!(watch.on_copy(at(20), copy).is_empty());
    assert_eq!(value(&watch, "a").as_deref(), Some("a"));
    assert_eq!(watch.changed_version(), version(2, 30));
}

/// Guards against an answer that was on its way when the store went away.
#[test]
fn an_answer_of_an_earlier_era_changes_nothing() {
    let mut ahead = watch_of_two();
    restore(
        &mut ahead,
        at(10),
        vec![
            row("a", "new", version(2, 31)),
            row("b", "b", version(2, 30)),
        ],
        31,
    );
    let mut watch = watch_of_two();
    let copy = ahead.copy_after(at(20), watch.changed_version());
    watch.on_copy(at(20), copy);
    let late = rows(vec![row("a", "old", version(1, 99))], version(1, 99));
    assert!(watch.on_answer(at(30), late).is_empty());
    assert_eq!(value(&watch, "a").as_deref(), Some("new"));
    let feed = StoreCall::Feed {
        after: version(2, 31),
        is_long_poll: true,
    };
    let WatchStep::WaitUntil(next) = watch.step(at(30)) else {
        panic!("expected a pause, since the next answer may be the same");
    };
    assert_eq!(watch.step(next), WatchStep::Call(feed));
}

/// Guards against a host that the store refuses and that keeps the state from before the return, because the numbers of
/// the host that knows better are lower.
#[test]
fn a_host_that_knows_only_the_earlier_era_copies_the_later_one() {
    let mut refused = watch_of_two();
    let mut served = watch_of_two();
    let listed = vec![
        row("a", "new", version(2, 12)),
        row("b", "b", version(2, 30)),
    ];
    restore(&mut served, at(10), listed, 30);
    let removal = rows(vec![removed("b", version(2, 31))], version(2, 31));
    served.on_answer(at(20), removal);
    let copy = served.copy_after(at(30), refused.changed_version());
    refused.on_copy(at(30), copy);
    assert_eq!(keys(&refused), ["a"]);
    assert_eq!(value(&refused, "a").as_deref(), Some("new"));
    assert_eq!(refused.changed_version(), served.changed_version());
}

/// Guards against endpoints that are dropped in use because the older copy lacks their entries, which they write again
/// within two seconds.
#[test]
fn an_entry_that_the_older_copy_lacks_stays_until_its_writer_has_had_time() {
    let mut watch = watch_of_two();
    let listed = vec![row("a", "a", version(2, 10))];
    assert!(restore(&mut watch, at(10), listed, 30).is_empty());
    assert_eq!(keys(&watch), ["a", "b"]);
    assert!(watch.take_expired(at(2_000)).is_empty());
    let mut rewritten = restored_copy_of(&watch);
    let again = rows(vec![row("b", "b", version(2, 31))], version(2, 31));
    rewritten.on_answer(at(1_000), again);
    assert!(rewritten.take_expired(at(3_000)).is_empty());
    assert_eq!(keys(&rewritten), ["a", "b"]);
    let expired = watch.take_expired(at(3_000));
    assert_eq!(expired, vec![removed("b", version(2, 30))]);
}

/// Returns a host that has just started and has a whole copy from another one.
fn restored_copy_of(watch: &RowWatch) -> RowWatch {
    let mut started = RowWatch::new(2);
    let copy = watch.copy_after(at(20), StoreVersion::default());
    started.on_copy(at(20), copy);
    started
}

/// Guards against an entry that is dropped because it leaves right after the return.
#[test]
fn an_entry_that_is_removed_after_the_return_is_dropped_at_once() {
    let mut watch = watch_of_two();
    restore(&mut watch, at(10), vec![row("a", "a", version(2, 10))], 30);
    let removal = rows(vec![removed("b", version(2, 32))], version(2, 32));
    assert_eq!(
        watch.on_answer(at(500), removal),
        vec![removed("b", version(2, 32))]
    );
}

/// Guards against requests to an endpoint that left: the older copy holds its entry again, and the endpoint removes it
/// once more, or the platform does after three heartbeats of 1.2 s.
#[test]
fn a_removed_entry_that_the_older_copy_holds_stays_out_of_use_for_a_while() {
    let mut watch = watch_without_b();
    let listed = vec![
        row("a", "a", version(2, 10)),
        row("b", "b", version(2, 20)),
        row("c", "c", version(2, 21)),
    ];
    let changed = restore(&mut watch, at(10), listed, 30);
    assert_eq!(changed, vec![row("c", "c", version(2, 21))]);
    let mut removed_again = restored_copy_of(&watch);
    assert_eq!(
        keys(&removed_again),
        ["a", "b", "c"],
        "a host that started knows of no removal"
    );
    let removal = rows(vec![removed("b", version(2, 33))], version(2, 33));
    removed_again.on_answer(at(100), removal);
    assert_eq!(keys(&removed_again), ["a", "c"]);

    assert!(watch.take_expired(at(3_700)).is_empty(), "three heartbeats");
    let returned = watch.take_expired(at(4_500));
    assert_eq!(returned, vec![row("b", "b", version(2, 20))]);
    assert_eq!(keys(&watch), ["a", "b", "c"]);
}

/// Guards against an endpoint that is kept out of use although it has written its entry again.
#[test]
fn a_removed_entry_that_is_written_again_after_the_return_is_in_use_at_once() {
    let mut watch = watch_without_b();
    let listed = vec![row("a", "a", version(2, 10)), row("b", "b", version(2, 20))];
    restore(&mut watch, at(10), listed, 30);
    let again = row("b", "again", version(2, 31));
    let changed = watch.on_answer(at(100), rows(vec![again.clone()], version(2, 31)));
    assert_eq!(changed, vec![again]);
    assert!(watch.take_expired(at(3_000)).is_empty());
}

/// Guards against a removal that a host in between does not pass on because it holds the entry back itself.
#[test]
fn the_removal_of_a_held_entry_reaches_hosts_that_copy() {
    let mut watch = watch_without_b();
    let listed = vec![row("a", "a", version(2, 10)), row("b", "b", version(2, 20))];
    restore(&mut watch, at(10), listed, 30);
    let mut copying = restored_copy_of(&watch);
    let again = rows(vec![removed("b", version(2, 33))], version(2, 33));
    assert!(watch.on_answer(at(100), again).is_empty());
    let copy = watch.copy_after(at(110), copying.changed_version());
    copying.on_copy(at(110), copy);
    assert_eq!(keys(&copying), ["a"]);
}

/// Guards against a host that learns of the return from another host and drops entries at once that only it knew.
#[test]
fn an_entry_that_a_copy_of_a_later_era_lacks_stays_until_its_writer_has_had_time() {
    let mut behind = watch_of_two();
    let mut started = RowWatch::new(2);
    let listed = vec![row("a", "a", version(2, 10))];
    started.on_answer(at(10), rows(listed, version(2, 30)));
    behind.on_copy(at(20), started.copy_after(at(20), behind.changed_version()));
    assert_eq!(keys(&behind), ["a", "b"]);
    let later = rows(vec![row("c", "c", version(2, 31))], version(2, 31));
    started.on_answer(at(30), later);
    behind.on_copy(at(40), started.copy_after(at(40), behind.changed_version()));
    assert_eq!(keys(&behind), ["a", "b", "c"]);
    assert_eq!(
        behind.take_expired(at(3_000)),
        vec![removed("b", version(2, 30))]
    );
}

/// Guards against entries that are dropped between two parts of a long copy.
#[test]
fn entries_stay_in_use_while_a_long_copy_of_a_later_era_is_taken_in_parts() {
    let names: Vec<String> = (0..5_000).map(|name| format!("{name:04}")).collect();
    let listed = |era| {
        let names = names.iter().zip(1..);
        let rows = names.map(move |(name, number)| row(name, "same", version(era, number)));
        rows.collect::<Vec<_>>()
    };
    let mut behind = RowWatch::new(1);
    let mut known = listed(1);
    known.push(row("only-here", "x", version(1, 6_000)));
    behind.on_answer(at(0), rows(known, version(1, 6_000)));
    let mut ahead = RowWatch::new(2);
    ahead.on_answer(at(10), rows(listed(2), version(2, 5_500)));
    let mut parts = 0;
    loop {
        let copy = ahead.copy_after(at(20), behind.changed_version());
        let has_more = copy.has_more;
        assert!(behind.on_copy(at(20), copy).is_empty());
        assert_eq!(behind.rows().count(), names.len() + 1);
        parts += 1;
        if !has_more {
            break;
        }
    }
    assert!(parts > 1, "the copy has parts");
    assert_eq!(
        behind.take_expired(at(3_000)).len(),
        1,
        "the entry that nobody wrote again"
    );
}

/// Guards against an entry that a host drops because the store answered other hosts, which says nothing about a row that
/// an older copy lacks.
#[test]
fn a_copy_says_that_a_missing_entry_is_missing_from_an_older_copy() {
    let mut watch = watch_of_two();
    restore(&mut watch, at(10), vec![row("a", "a", version(2, 10))], 30);
    let mut other = RowWatch::new(3);
    let early = vec![row("a", "a", version(2, 10)), row("b", "b", version(2, 12))];
    other.on_answer(at(15), rows(early, version(2, 29)));
    let copy = watch.copy_after(at(20), other.changed_version());
    assert!(copy.lapsing[0].is_restored);
    other.on_copy(at(20), copy);
    assert_eq!(keys(&other), ["a", "b"]);
}

/// Guards against a second loss that ends the time of the first one early, or undoes what was learnt since.
#[test]
fn a_second_return_gives_writers_their_time_again() {
    let mut watch = watch_of_two();
    restore(&mut watch, at(10), vec![row("a", "a", version(2, 10))], 30);
    watch.on_answer(at(1_500), StoreAnswer::HistoryGone);
    let listed = vec![row("a", "a", version(3, 10))];
    assert!(
        watch
            .on_answer(at(1_500), rows(listed, version(3, 20)))
            .is_empty()
    );
    assert!(watch.take_expired(at(3_000)).is_empty());
    assert_eq!(
        watch.take_expired(at(4_000)),
        vec![removed("b", version(3, 20))]
    );
}

/// Guards against a row that comes into use although the store lost it a second time while it was held back.
#[test]
fn a_held_entry_that_a_second_older_copy_lacks_stays_out_of_use() {
    let mut watch = watch_without_b();
    let listed = vec![row("a", "a", version(2, 10)), row("b", "b", version(2, 20))];
    restore(&mut watch, at(10), listed, 30);
    watch.on_answer(at(500), StoreAnswer::HistoryGone);
    let listed = vec![row("a", "a", version(3, 10))];
    watch.on_answer(at(500), rows(listed, version(3, 15)));
    assert!(watch.take_expired(at(9_000)).is_empty());
    assert_eq!(keys(&watch), ["a"]);
}

/// Guards against changes that are never seen because a call was made before another host told of the return, and answered
/// after it.
#[test]
fn an_answer_to_a_call_of_an_earlier_era_is_no_continuation_of_a_later_one() {
    let mut ahead = watch_of_two();
    let listed = vec![row("a", "a", version(2, 10)), row("b", "b", version(2, 20))];
    restore(&mut ahead, at(10), listed, 50);
    let mut watch = watch_of_two();
    let WatchStep::Call(call) = watch.step(at(15)) else {
        panic!("expected a call");
    };
    let copy = ahead.copy_after(at(20), watch.changed_version());
    watch.on_copy(at(20), copy);
    let later = vec![row("c", "c", version(2, 95))];
    let answer = call.answered_with(later, version(2, 95), false);
    assert!(watch.on_answer(at(30), answer).is_empty());
    let list = StoreCall::List { from: None };
    assert_eq!(watch.step(at(30)), WatchStep::Call(list));
}

/// Guards against changes that are never seen because a page of a list counts as changes: another host's copy came while
/// the page was on its way.
#[test]
fn a_page_of_a_list_that_a_copy_has_replaced_changes_nothing() {
    let mut ahead = watch_of_two();
    let listed = vec![row("a", "a", version(2, 10)), row("b", "b", version(2, 20))];
    restore(&mut ahead, at(10), listed, 50);
    let mut watch = watch_of_two();
    watch.on_answer(at(15), StoreAnswer::HistoryGone);
    let WatchStep::Call(call) = watch.step(at(15)) else {
        panic!("expected a call");
    };
    let copy = ahead.copy_after(at(20), watch.changed_version());
    watch.on_copy(at(20), copy);
    let page = vec![row("a", "a", version(2, 10))];
    let answer = call.answered_with(page, version(2, 95), true);
    assert!(watch.on_answer_to(at(30), &call, answer).is_empty());
    let feed = StoreCall::Feed {
        after: version(2, 50),
        is_long_poll: true,
    };
    assert_eq!(watch.step(at(30)), WatchStep::Call(feed));
}
