//! Tests for following a table through outages of the store.

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
use sedgeridge_fleet::store_version::StoreVersion;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn row(key: &str, version: u64) -> Row {
    Row {
        key: Arc::from(key),
        version: version.into(),
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
        version: version.into(),
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
fn a_list_is_read_page_by_page_and_takes_effect_as_a_whole() {
    let mut watch = RowWatch::new(1);
    let page = StoreAnswer::Rows {
        rows: vec![row("a", 1)],
        version: 5.into(),
        has_more: true,
    };
    assert!(watch.on_answer(at(0), page).is_empty());
    let WatchStep::Call(StoreCall::List { from }) = watch.step(at(0)) else {
        panic!("expected a further page of the list");
    };
    assert_eq!(from.as_deref(), Some("a\0"));
    let changed = watch.on_answer(at(1), rows(vec![row("b", 2)], 6));
    assert_eq!(changed.len(), 2);
    let feed = StoreCall::Feed {
        after: 5.into(),
        is_long_poll: true,
    };
    assert_eq!(watch.step(at(1)), WatchStep::Call(feed));
}

/// Guards against changes of rows on an earlier page that are made before the last page is read, and never seen.
#[test]
fn a_change_between_two_pages_of_a_list_is_not_missed() {
    let mut watch = RowWatch::new(1);
    let page = StoreAnswer::Rows {
        rows: vec![row("a", 1), row("b", 2)],
        version: 5.into(),
        has_more: true,
    };
    watch.on_answer(at(0), page);
    let changed = watch.on_answer(at(1), rows(vec![row("c", 3), row("d", 7)], 8));
    assert_eq!(changed, vec![row("a", 1), row("b", 2), row("c", 3)]);
    let WatchStep::Call(StoreCall::Feed { after, .. }) = watch.step(at(1)) else {
        panic!("expected a call for changes");
    };
    assert_eq!(after, 5.into());
    let between = vec![removed("a", 6), row("d", 7)];
    watch.on_answer(at(2), rows(between, 8));
    assert_eq!(keys(&watch), ["b", "c", "d"]);
}

#[test]
fn a_removed_row_is_dropped_at_once_while_the_store_answers() {
    let mut watch = watch_of_two();
    let changed = watch.on_answer(at(10), rows(vec![removed("a", 3)], 3));
    assert_eq!(changed, vec![removed("a", 3)]);
    assert_eq!(keys(&watch), ["b"]);
}

/// Guards against dropping live endpoints after a long outage. The store is unavailable for longer
/// than entries last. Its first answer lacks every entry, and the endpoints write them again within
/// two seconds; until then the known entries must stay in use.
#[test]
fn entries_that_lapsed_in_an_outage_stay_until_the_rewrite_window_is_over() {
    let mut watch = watch_of_two();
    watch.on_answer(at(100), StoreAnswer::Failed);
    watch.on_answer(at(5_000), rows(vec![removed("a", 3), removed("b", 4)], 4));
    assert_eq!(keys(&watch), ["a", "b"]);
    watch.on_answer(at(6_000), rows(vec![row("a", 5)], 5));
    assert!(watch.take_expired(at(6_900)).is_empty());
    let expired = watch.take_expired(at(7_400));
    assert_eq!(expired, vec![removed("b", 4)]);
    assert_eq!(keys(&watch), ["a"]);
}

/// Guards against requests to an endpoint that left a second after the store came back. Only
/// entries that are missing from the first answers after an outage can have lapsed in it.
#[test]
fn an_entry_that_is_removed_after_the_outage_is_dropped_at_once() {
    let mut watch = watch_of_two();
    watch.on_answer(at(100), StoreAnswer::Failed);
    // A held call would not show when the store is back.
    let catch_up = StoreCall::Feed {
        after: 2.into(),
        is_long_poll: false,
    };
    assert_eq!(watch.step(at(4_999)), WatchStep::Call(catch_up));
    watch.on_answer(at(5_000), rows(Vec::new(), 3));
    let changed = watch.on_answer(at(6_000), rows(vec![removed("a", 4)], 4));
    assert_eq!(changed, vec![removed("a", 4)]);
}

#[test]
fn the_table_is_listed_again_when_the_store_has_dropped_its_history() {
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
            panic!("expected a pause after a failed call");
        };
        assert!(next - now <= at(800));
        now = next;
    }
}

fn whole(rows: Vec<Row>, version: u64) -> TableCopy {
    TableCopy {
        version: version.into(),
        is_whole: true,
        has_more: false,
        rows,
        lapsing: Vec::new(),
        keys: None,
    }
}

/// A host that the store refuses learns of changes from another host's copy. An older copy must
/// change nothing: a configuration must never go back.
#[test]
fn a_copy_of_another_host_is_applied_only_if_it_is_newer() {
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
fn a_copy_holds_only_changes_for_a_host_that_knows_the_rest() {
    let mut followed = watch_of_two();
    followed.on_answer(at(10), rows(vec![removed("a", 3), row("c", 4)], 4));
    let mut behind = watch_of_two();
    let copy = followed.copy_after(at(20), behind.changed_version());
    assert_eq!(copy.rows, vec![row("c", 4), removed("a", 3)]);
    behind.on_copy(at(20), copy);
    assert_eq!(keys(&behind), ["b", "c"]);
    assert_eq!(behind.changed_version(), 4.into());
}

/// Guards against requests to an endpoint that left long ago. The store refuses one host for eight
/// seconds while an entry is removed. The host copies the removal from another one within a tenth
/// of a second and must not wait for the store.
#[test]
fn a_removal_in_a_copy_takes_effect_while_the_store_refuses_the_host() {
    let mut refused = watch_of_two();
    refused.on_answer(at(100), StoreAnswer::Failed);
    let mut served = watch_of_two();
    served.on_answer(at(2_000), rows(vec![removed("a", 3)], 3));
    let copy = served.copy_after(at(2_050), refused.changed_version());
    let changed = refused.on_copy(at(2_050), copy);
    assert_eq!(changed, vec![removed("a", 3)]);
    assert_eq!(keys(&refused), ["b"]);
}

/// Guards against requests to an endpoint that left during an outage. The followers keep its entry
/// for the rewrite window. A host that copies from them takes their version as known, so the copy
/// must list the entries that are about to be dropped.
#[test]
fn a_copy_lists_entries_that_may_have_lapsed() {
    let mut following = watch_of_two();
    let mut copying = watch_of_two();
    following.on_answer(at(100), StoreAnswer::Failed);
    following.on_answer(at(5_000), rows(vec![removed("a", 3), removed("b", 4)], 4));
    let copy = following.copy_after(at(5_300), copying.changed_version());
    let lapsing = LapsingRow {
        key: Arc::from("a"),
        version: 3.into(),
        remaining: at(1_800),
        outage_age: at(5_200),
        is_restored: false,
    };
    assert_eq!(copy.lapsing.first(), Some(&lapsing));
    assert!(copying.on_copy(at(5_300), copy).is_empty());

    following.on_answer(at(6_000), rows(vec![row("b", 5)], 5));
    copying.on_copy(at(6_050), following.copy_after(at(6_050), 4.into()));
    assert!(copying.take_expired(at(7_000)).is_empty());
    assert_eq!(copying.take_expired(at(7_100)), vec![removed("a", 3)]);
    assert_eq!(following.take_expired(at(7_100)), vec![removed("a", 3)]);
    assert_eq!(keys(&copying), ["b"]);
}

/// Guards against requests to an endpoint whose removal the sender of a copy never knew. A host
/// that has just started reads the whole table without the removed entry, and the others copy from
/// it. A copy with changes only would leave the endpoint in use on them.
#[test]
fn a_host_that_has_just_started_sends_all_keys() {
    let mut started = RowWatch::new(2);
    started.on_answer(at(0), rows(vec![row("b", 2), row("c", 5)], 5));
    let mut copying = watch_of_two();
    let copy = started.copy_after(at(10), copying.changed_version());
    assert_eq!(
        copy.rows,
        vec![row("c", 5)],
        "known rows are not sent again"
    );
    let changed = copying.on_copy(at(10), copy);
    assert_eq!(changed, vec![removed("a", 5), row("c", 5)]);

    started.on_answer(at(20), rows(vec![row("d", 6)], 6));
    let next = started.copy_after(at(20), copying.changed_version());
    assert!(
        next.keys.is_none(),
        "the copying host has lacked nothing since"
    );

    // The copy that the copying host passes on has the same gap.
    let mut behind = watch_of_two();
    behind.on_answer(at(0), rows(vec![row("e", 3)], 3));
    let copy = copying.copy_after(at(30), behind.changed_version());
    behind.on_copy(at(30), copy);
    assert_eq!(keys(&behind), ["b", "c"]);
}

/// Guards against dropping live endpoints. A host begins to follow the store less than a second
/// before the end of an outage, after the hosts before it got no answer. Missing entries may have
/// lapsed in the whole outage, not only in the part in which this host called.
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

/// A host that the store refuses right after an outage learns from others' copies that the store is
/// back. Lapsed entries must be dropped when their time is over, even if the store still refuses
/// this host.
#[test]
fn a_lapsed_entry_is_dropped_in_time_on_a_host_that_is_refused_again() {
    let mut watch = watch_of_two();
    watch.on_answer(at(100), StoreAnswer::Failed);
    watch.on_answer(at(5_000), rows(vec![removed("a", 3)], 3));
    watch.on_answer(at(5_500), StoreAnswer::Failed);
    assert!(
        watch.take_expired(at(7_400)).is_empty(),
        "the store may be unavailable to all hosts"
    );
    let newer = TableCopy {
        version: 4.into(),
        is_whole: false,
        has_more: false,
        rows: vec![row("c", 4)],
        lapsing: Vec::new(),
        keys: None,
    };
    watch.on_copy(at(7_500), newer);
    assert_eq!(watch.take_expired(at(7_600)), vec![removed("a", 3)]);
}

/// A host that copies from others calls the store only until it knows the table. When it has to
/// follow the store itself, it continues from the last copy.
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
        after: 9.into(),
        is_long_poll: true,
    };
    assert_eq!(watch.step(at(30)), WatchStep::Call(feed));
}

/// A host that only copies must end with the same rows, however often rows are written and removed.
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

/// Calls are paid for. If several endpoints change within a second, a host without a pause makes a
/// call for each change; one that pauses after a change gets the rest with one call.
#[test]
fn changes_within_a_pause_take_one_call() {
    let mut watch = watch_of_two();
    watch.set_feed_pause(at(700));
    watch.on_answer(at(1_000), rows(vec![row("c", 3)], 3));
    assert_eq!(watch.step(at(1_000)), WatchStep::WaitUntil(at(1_700)));
    let feed = StoreCall::Feed {
        after: 3.into(),
        is_long_poll: true,
    };
    assert_eq!(watch.step(at(1_700)), WatchStep::Call(feed));
}

/// Guards against dropping live endpoints when the first answer after an outage comes in parts. A
/// host that paused between them would take lapsed entries for removed on purpose.
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

const LONG_TABLE_ROWS: u64 = 9_000;

/// A watch that has listed a table of many rows, three of which each transaction wrote.
fn watch_of_a_long_table() -> RowWatch {
    let mut watch = RowWatch::new(1);
    let listed = (0..LONG_TABLE_ROWS).map(|number| row(&format!("{number:05}"), number / 3 + 1));
    watch.on_answer(at(0), rows(listed.collect(), LONG_TABLE_ROWS / 3));
    watch
}

/// Guards against a table that does not fit into one copy, or takes seconds to send: a host that lacks all of it gets it
/// in parts, and none is lost between two.
#[test]
fn a_long_table_is_copied_in_parts() {
    let mut sender = watch_of_a_long_table();
    let mut receiver = RowWatch::new(2);
    let mut copies = 0;
    loop {
        let copy = sender.copy_after(at(10), receiver.changed_version());
        assert!(copy.rows.len() <= 2_100, "{} rows", copy.rows.len());
        let has_more = copy.has_more;
        receiver.on_copy(at(10), copy);
        copies += 1;
        let offers_copies = receiver.offered_version() > StoreVersion::default();
        assert_eq!(offers_copies, !has_more, "a part of a table is offered");
        if copies == 2 {
            // An endpoint leaves between two parts.
            let gone = LONG_TABLE_ROWS / 3 + 1;
            sender.on_answer(at(10), rows(vec![removed("00001", gone)], gone));
        }
        if !has_more {
            break;
        }
    }
    assert!(copies > 2);
    assert_eq!(receiver.changed_version(), sender.changed_version());
    assert!(receiver.rows().eq(sender.rows()), "{copies} copies");
}

/// Guards against a call for each page of a long table by each of many hosts that start: a host that relies on copies
/// waits for one after the first page, and reads on if none comes.
#[test]
fn a_host_that_relies_on_copies_reads_one_page_of_a_long_table() {
    let first_page = || StoreAnswer::Rows {
        rows: vec![row("a", 1)],
        version: 5.into(),
        has_more: true,
    };
    let mut watch = RowWatch::new(1);
    watch.set_following(false, None);
    assert!(matches!(watch.step(at(0)), WatchStep::Call(_)));
    watch.on_answer(at(0), first_page());
    assert!(matches!(watch.step(at(10)), WatchStep::WaitUntil(_)));
    let from = Some(Arc::from("a\0"));
    let second_page = WatchStep::Call(StoreCall::List { from });
    assert_eq!(watch.step(at(1_600)), second_page);

    let mut follower = RowWatch::new(1);
    follower.on_answer(at(0), first_page());
    assert_eq!(
        follower.step(at(10)),
        second_page,
        "a follower waits for nobody"
    );
}

/// Guards against a stale answer that changes nothing and leaves no trace.
#[test]
fn rows_that_are_older_than_the_known_ones_are_counted() {
    let mut watch = watch_of_two();
    watch.on_answer(at(10), rows(vec![row("b", 2)], 3));
    assert_eq!(watch.outdated_rows(), 0);
    watch.on_answer(at(20), rows(vec![row("b", 1)], 4));
    assert_eq!(watch.outdated_rows(), 1);
}
