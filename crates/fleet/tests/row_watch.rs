//! Following a table through outages of the store.

use std::sync::Arc;
use std::time::Duration;

use sedgeridge_coordination::random::SeededRandom;
use sedgeridge_fleet::row_watch::LapsingRow;
use sedgeridge_fleet::row_watch::Row;
use sedgeridge_fleet::row_watch::RowWatch;
use sedgeridge_fleet::row_watch::StoreAnswer;
use sedgeridge_fleet::row_watch::StoreCall;
use sedgeridge_fleet::row_watch::TableCopy;
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
        is_long_poll: true,
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
    assert!(watch.take_expired(at(6_900)).is_empty());
    let gone = watch.take_expired(at(7_400));
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
        is_long_poll: false,
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

fn whole(rows: Vec<Row>, version: u64) -> TableCopy {
    TableCopy {
        version,
        is_whole: true,
        rows,
        lapsing: Vec::new(),
        keys: None,
    }
}

/// A host that the store turns away learns of changes from another host's copy, and an older copy
/// changes nothing: a configuration must never go back.
#[test]
fn a_copy_of_another_host_counts_only_if_it_is_newer() {
    let mut watch = watch_of_two();
    assert!(
        watch
            .on_copy(at(10), whole(vec![row("a", 1)], 1))
            .is_empty()
    );
    assert_eq!(keys(&watch), ["a", "b"]);
    let changed = watch.on_copy(at(20), whole(vec![row("a", 7)], 7));
    assert_eq!(changed, vec![row("a", 7), removed("b", 7)]);
    assert!(
        watch
            .on_copy(at(30), whole(vec![row("a", 6)], 7))
            .is_empty()
    );
}

#[test]
fn a_copy_tells_only_what_changed_to_a_host_that_knows_the_rest() {
    let mut followed = watch_of_two();
    followed.on_answer(at(10), rows(vec![removed("a", 3), row("c", 4)], 4));
    let mut behind = watch_of_two();
    let copy = followed.copy_after(at(20), behind.changed_version());
    assert_eq!(copy.rows, vec![row("c", 4), removed("a", 3)]);
    behind.on_copy(at(20), copy);
    assert_eq!(keys(&behind), ["b", "c"]);
    assert_eq!(behind.changed_version(), 4);
}

/// The caller is served by an endpoint that left long ago. The store turns one host away for eight seconds
/// and serves the others; an endpoint's entry is removed meanwhile. The host copies the removal from another
/// one within a tenth of a second, and must not keep the endpoint until the store answers it again.
#[test]
fn a_removal_in_a_copy_counts_while_the_store_turns_the_host_away() {
    let mut turned_away = watch_of_two();
    turned_away.on_answer(at(100), StoreAnswer::Failed);
    let mut served = watch_of_two();
    served.on_answer(at(2_000), rows(vec![removed("a", 3)], 3));
    let copy = served.copy_after(at(2_050), turned_away.changed_version());
    let changed = turned_away.on_copy(at(2_050), copy);
    assert_eq!(changed, vec![removed("a", 3)]);
    assert_eq!(keys(&turned_away), ["b"]);
}

/// The caller is served by an endpoint that left. It leaves while the store is away; the followers keep its
/// entry for the time in which it could be written again. A host that copies from them takes their version
/// for known, so that a copy must tell it which entries are about to go.
#[test]
fn a_copy_tells_of_entries_that_may_have_lapsed() {
    let mut following = watch_of_two();
    let mut copying = watch_of_two();
    following.on_answer(at(100), StoreAnswer::Failed);
    following.on_answer(at(5_000), rows(vec![removed("a", 3), removed("b", 4)], 4));
    let copy = following.copy_after(at(5_300), copying.changed_version());
    let lapsing = LapsingRow {
        key: Arc::from("a"),
        version: 3,
        remaining: at(1_800),
        outage_age: at(5_200),
    };
    assert_eq!(copy.lapsing.first(), Some(&lapsing));
    assert!(copying.on_copy(at(5_300), copy).is_empty());

    following.on_answer(at(6_000), rows(vec![row("b", 5)], 5));
    copying.on_copy(at(6_050), following.copy_after(at(6_050), 4));
    assert!(copying.take_expired(at(7_000)).is_empty());
    assert_eq!(copying.take_expired(at(7_100)), vec![removed("a", 3)]);
    assert_eq!(following.take_expired(at(7_100)), vec![removed("a", 3)]);
    assert_eq!(keys(&copying), ["b"]);
}

/// The caller is served by an endpoint that left. A host has just started and read the whole table, an
/// endpoint's removal in it; the others hear of its newer version and copy from it. It never knew of the
/// endpoint, so that a copy of only what changed would leave it in use at them.
#[test]
fn a_host_that_has_just_started_tells_all_keys() {
    let mut started = RowWatch::new(2);
    started.on_answer(at(0), rows(vec![row("b", 2), row("c", 5)], 5));
    let mut copying = watch_of_two();
    let copy = started.copy_after(at(10), copying.changed_version());
    assert_eq!(
        copy.rows,
        vec![row("c", 5)],
        "what is known is not sent again"
    );
    let changed = copying.on_copy(at(10), copy);
    assert_eq!(changed, vec![removed("a", 5), row("c", 5)]);

    started.on_answer(at(20), rows(vec![row("d", 6)], 6));
    let next = started.copy_after(at(20), copying.changed_version());
    assert!(next.keys.is_none(), "the copying host lacks nothing since");

    // What the copying host passes on has the same gap.
    let mut behind = watch_of_two();
    behind.on_answer(at(0), rows(vec![row("e", 3)], 3));
    let copy = copying.copy_after(at(30), behind.changed_version());
    behind.on_copy(at(30), copy);
    assert_eq!(keys(&behind), ["b", "c"]);
}

/// All endpoints vanish though all live. A host begins to follow the store in the middle of an outage, less
/// than a second before its end, since those before it got no answer. What it lacks then may have lapsed in
/// the whole outage, not only in the part in which it asked.
#[test]
fn a_host_that_begins_to_follow_in_an_outage_waits_for_lapsed_entries() {
    let mut watch = watch_of_two();
    watch.set_following(false, None);
    watch.set_following(true, Some(at(1_000)));
    watch.on_answer(at(4_500), StoreAnswer::Failed);
    let changed = watch.on_answer(at(5_000), rows(vec![removed("a", 3)], 3));
    assert!(changed.is_empty());
    assert_eq!(watch.take_expired(at(7_300)), vec![removed("a", 3)]);
}

/// A host that the store turns away right after an outage learns from others' copies that the store is back.
/// What may have lapsed goes when its time is over, also if the store still turns this host away.
#[test]
fn an_entry_that_lapsed_goes_in_time_on_a_host_that_is_turned_away_again() {
    let mut watch = watch_of_two();
    watch.on_answer(at(100), StoreAnswer::Failed);
    watch.on_answer(at(5_000), rows(vec![removed("a", 3)], 3));
    watch.on_answer(at(5_500), StoreAnswer::Failed);
    assert!(
        watch.take_expired(at(7_400)).is_empty(),
        "the store may be away for all"
    );
    let newer = TableCopy {
        version: 4,
        is_whole: false,
        rows: vec![row("c", 4)],
        lapsing: Vec::new(),
        keys: None,
    };
    watch.on_copy(at(7_500), newer);
    assert_eq!(watch.take_expired(at(7_600)), vec![removed("a", 3)]);
}

/// A host that copies from others calls the store only until it knows the table, and goes on from
/// the last copy when it has to follow the store itself.
#[test]
fn a_host_that_does_not_follow_makes_no_calls() {
    let mut watch = RowWatch::new(1);
    watch.set_following(false, None);
    assert!(matches!(watch.step(at(0)), WatchStep::Call(_)));
    watch.on_answer(at(0), rows(vec![row("a", 1)], 1));
    assert!(matches!(watch.step(at(10)), WatchStep::WaitUntil(_)));
    watch.on_copy(at(20), whole(vec![row("a", 1), row("b", 9)], 9));
    watch.set_following(true, None);
    let feed = StoreCall::Feed {
        after: 9,
        is_long_poll: true,
    };
    assert_eq!(watch.step(at(30)), WatchStep::Call(feed));
}

/// However often rows are written and removed, a host that only copies ends with the same rows.
#[test]
fn copies_keep_two_hosts_equal_through_many_changes() {
    let mut followed = RowWatch::new(1);
    let mut copying = RowWatch::new(2);
    let mut random = SeededRandom::new(7);
    for version in 1..3_000 {
        let key = format!("k{}", random.below(40));
        let change = match random.below(3) {
            0 => removed(&key, version),
            _ => row(&key, version),
        };
        if version == 1 {
            followed.on_answer(at(0), rows(vec![row("k0", 1)], 1));
        } else {
            followed.on_answer(at(version), rows(vec![change], version));
        }
        if random.below(60) == 0 {
            let copy = followed.copy_after(at(version), copying.changed_version());
            copying.on_copy(at(version), copy);
            assert_eq!(keys(&followed), keys(&copying));
        }
    }
}

/// The platform charges for calls. Several endpoints change within a second, and every host that waits for
/// changes calls once for each; one that pauses after a change gets the rest with one call.
#[test]
fn changes_within_a_pause_take_one_call() {
    let mut watch = watch_of_two();
    watch.set_feed_pause(at(700));
    watch.on_answer(at(1_000), rows(vec![row("c", 3)], 3));
    assert_eq!(watch.step(at(1_000)), WatchStep::WaitUntil(at(1_700)));
    let feed = StoreCall::Feed {
        after: 3,
        is_long_poll: true,
    };
    assert_eq!(watch.step(at(1_700)), WatchStep::Call(feed));
}

/// Callers get "no endpoint" although all endpoints live. After an outage the first answer comes in parts;
/// a host that paused between them would take entries that lapsed in the outage for removed on purpose.
#[test]
fn there_is_no_pause_right_after_an_outage() {
    let mut watch = watch_of_two();
    watch.set_feed_pause(at(700));
    watch.on_answer(at(100), StoreAnswer::Failed);
    watch.on_answer(at(5_000), rows(vec![removed("a", 3)], 3));
    assert!(matches!(watch.step(at(5_000)), WatchStep::Call(_)));
    watch.on_answer(at(5_010), rows(vec![removed("b", 4)], 4));
    assert_eq!(keys(&watch), ["a", "b"]);
}
