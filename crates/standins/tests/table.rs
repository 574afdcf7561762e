//! Transactions, reads and rate limits of the table service.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use sedgeridge_protocol::table::ReadRequest;
use sedgeridge_protocol::table::Row;
use sedgeridge_protocol::table::RowWrite;
use sedgeridge_protocol::table::TransactAnswer;
use sedgeridge_protocol::table::TransactRequest;
use sedgeridge_protocol::table::VersionCheck;
use sedgeridge_standins::answer::mix;
use sedgeridge_standins::configs::platform::TableConfig;
use sedgeridge_standins::rate_limit::RateLimit;
use sedgeridge_standins::table;
use sedgeridge_standins::table_store::TableStore;

use common::agent;
use common::post;

const NOW: Duration = Duration::from_secs(1);

fn transact(checks: &[(&str, u64)], writes: &[(&str, Option<&str>)]) -> TransactRequest {
    TransactRequest {
        checks: checks
            .iter()
            .map(|(key, version)| VersionCheck {
                key: (*key).into(),
                version: *version,
            })
            .collect(),
        writes: writes
            .iter()
            .map(|(key, value)| RowWrite {
                key: (*key).into(),
                value: value.map(Into::into),
            })
            .collect(),
    }
}

fn prefix(prefix: &str, after_version: u64) -> ReadRequest {
    ReadRequest {
        prefix: Some(prefix.into()),
        after_version,
        ..ReadRequest::default()
    }
}

fn keys(rows: &[Row]) -> Vec<&str> {
    rows.iter().map(|row| row.key.as_str()).collect()
}

#[test]
fn one_failed_condition_stops_every_write() {
    let mut store = TableStore::default();
    store.transact(NOW, transact(&[], &[("a", Some("1"))]));
    let answer = store.transact(
        NOW,
        transact(&[("a", 1), ("b", 7)], &[("a", Some("2")), ("c", Some("3"))]),
    );
    let absent = Row {
        key: "b".into(),
        version: 0,
        value: None,
    };
    assert_eq!(answer, TransactAnswer::Conflict { rows: vec![absent] });
    let rows = store.read(&prefix("", 0)).rows;
    assert_eq!(keys(&rows), ["a"]);
    assert_eq!(rows[0].value.as_deref(), Some("1"));
}

#[test]
fn versions_are_store_wide_and_a_key_that_returns_has_a_new_one() {
    let mut store = TableStore::default();
    store.transact(NOW, transact(&[("a", 0)], &[("a", Some("1"))]));
    store.transact(NOW, transact(&[], &[("b", Some("1"))]));
    store.transact(NOW, transact(&[("a", 1)], &[("a", None)]));
    let answer = store.transact(NOW, transact(&[("a", 0)], &[("a", Some("2"))]));
    assert_eq!(answer, TransactAnswer::Committed { version: 4 });
    assert_eq!(store.read(&prefix("a", 0)).rows[0].version, 4);
    assert_eq!(keys(&store.read(&prefix("", 2)).rows), ["a"]);
}

#[test]
fn reads_give_keys_and_ranges_once_and_in_order() {
    let mut store = TableStore::default();
    let writes = ["x/2", "x/1", "y", "z"].map(|key| (key, Some("v")));
    store.transact(NOW, transact(&[], &writes));
    let read = ReadRequest {
        keys: vec!["z".into(), "x/1".into(), "none".into()],
        ..prefix("x/", 0)
    };
    assert_eq!(keys(&store.read(&read).rows), ["x/1", "x/2", "z"]);
}

#[test]
fn a_stale_read_sees_exactly_the_earlier_rows() {
    let mut store = TableStore::default();
    let second = Duration::from_secs(1);
    store.transact(second, transact(&[], &[("a", Some("1")), ("b", Some("1"))]));
    store.transact(second * 2, transact(&[], &[("a", Some("2")), ("b", None)]));
    store.transact(second * 3, transact(&[], &[("c", Some("3"))]));
    for (at, expected) in [(0, ""), (1, "a=1 b=1 "), (2, "a=2 "), (3, "a=2 c=3 ")] {
        let rows = store.read_as_of(second * at, &prefix("", 0)).rows;
        let seen: String = rows
            .iter()
            .map(|row| format!("{}={} ", row.key, row.value.as_deref().unwrap_or("")))
            .collect();
        assert_eq!(seen, expected, "at {at}");
    }
}

#[test]
fn random_transactions_agree_with_a_plain_map() {
    let mut store = TableStore::default();
    let mut expected_rows: BTreeMap<String, (u64, String)> = BTreeMap::new();
    let mut version = 0;
    for round in 0..5000_u64 {
        let draw = mix(round);
        let key = format!("k{}", draw % 8);
        let current = expected_rows.get(&key).map_or(0, |(version, _)| *version);
        let expected = if draw & 0x100 == 0 {
            current
        } else {
            draw >> 60
        };
        let value = (draw & 0x600 != 0).then(|| round.to_string());
        let answer = store.transact(
            NOW,
            transact(&[(&key, expected)], &[(&key, value.as_deref())]),
        );
        let check_passes = expected == current;
        assert_eq!(
            matches!(answer, TransactAnswer::Committed { .. }),
            check_passes
        );
        if check_passes {
            version += 1;
            assert_eq!(answer, TransactAnswer::Committed { version });
            match value {
                Some(value) => expected_rows.insert(key, (version, value)),
                None => expected_rows.remove(&key),
            };
        }
    }
    let rows = store.read(&prefix("", 0)).rows;
    let seen: BTreeMap<String, (u64, String)> = rows
        .into_iter()
        .map(|row| (row.key, (row.version, row.value.unwrap())))
        .collect();
    assert_eq!(seen, expected_rows);
}

#[test]
fn the_rate_limit_lets_through_its_rate_and_a_small_burst() {
    let mut limit = RateLimit::new(100.0);
    let passed = (0..10_000_u64)
        .filter(|tick| limit.try_take(Duration::from_millis(*tick)))
        .count();
    assert!((1000..=1011).contains(&passed), "{passed}");
}

#[test]
fn the_service_answers_over_http_and_refuses_beyond_its_limit() {
    let config = TableConfig {
        writes_per_s: 0.001,
        ..TableConfig::default()
    };
    let table = table::spawn(config).unwrap();
    let agent = agent();
    let body = r#"{"checks":[{"key":"a","version":0}],"writes":[{"key":"a","value":"1"}]}"#;
    let mut answer = post(&agent, &table.url("/v1/transact"), body).unwrap();
    let committed = answer.body_mut().read_to_string().unwrap();
    assert_eq!(committed, r#"{"result":"committed","version":1}"#);
    let refused = post(&agent, &table.url("/v1/transact"), body).unwrap();
    assert_eq!(refused.status(), 429);
    assert_eq!(refused.headers()["retry-after"], "1000");
    let read = post(&agent, &table.url("/v1/read"), r#"{"keys":["a"]}"#).unwrap();
    assert_eq!(read.status(), 200);
    let malformed = post(&agent, &table.url("/v1/read"), "[").unwrap();
    assert_eq!(malformed.status(), 400);
}
