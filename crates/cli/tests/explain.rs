//! `explain` on recorded logs of two hosts, on a log with a clock change, and on unusable input.

use std::fs;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

use yare::parameterized;

const LOGS: [&str; 2] = [
    "tests/logs/edge-magazzino-2.log",
    "tests/logs/edge-officina-1.log",
];

fn explain(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sedgeridge"));
    command
        .arg("explain")
        .args(arguments)
        .output()
        .expect("the command runs")
}

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// Three kinds of failed request: refused as its account had used its share, failed as two
/// endpoints lost the connection, and refused while the host had lost the store.
#[parameterized(
    over_share = { "89c49f26f0d9748b", "as over_share" },
    lost_with_endpoints = { "400430e2df2c472a", "attempt at i-bd314b502a ended as connection_lost" },
    store_away = { "f231115b25369fd6", "gateway_store_lost" },
)]
fn a_failed_request_is_led_back_to_its_cause(request: &str, cause: &str) {
    let output = explain(&[request, LOGS[0], LOGS[1]]);
    assert!(output.status.success(), "{output:?}");
    let explanation = text(&output);
    let last = explanation.lines().last().expect("a cause");
    assert!(last.starts_with("cause: "), "{explanation}");
    assert!(last.contains(cause), "{explanation}");
}

#[test]
fn json_has_the_same_way_and_cause() {
    let output = explain(&["--json", "400430e2df2c472a", LOGS[0]]);
    let explanation: serde_json::Value = serde_json::from_str(&text(&output)).expect("JSON");
    assert_eq!(explanation["lines"].as_array().expect("lines").len(), 3);
    assert!(
        explanation["cause"]
            .as_str()
            .expect("a cause")
            .contains("failed on")
    );
}

/// The lines of a request stay in their true order although the host's wall clock was moved back by
/// an hour between them.
#[test]
fn a_clock_that_was_moved_does_not_change_the_order_and_is_marked() {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("moved.log");
    let lines = [
        r#"{"at_ms":1000000,"up_ms":0,"host":"a","event":"E3001","name":"gateway_started"}"#,
        r#"{"at_ms":1005000,"up_ms":5000,"host":"a","event":"E3303","name":"gateway_attempt_failed","request":"r1","endpoint":"e","failure":"connection_lost"}"#,
        r#"{"at_ms":-2594000,"up_ms":6000,"host":"a","event":"E3302","name":"gateway_request_failed","request":"r1"}"#,
    ];
    fs::write(&path, lines.join("\n")).expect("written");
    let output = explain(&["r1", path.to_str().expect("a path")]);
    let explanation = text(&output);
    let rows: Vec<&str> = explanation.lines().collect();
    assert!(rows[1].contains("E3303"), "{explanation}");
    assert!(rows[2].contains("E3302"), "{explanation}");
    assert!(
        rows[2].contains("clock moved by -3600000 ms"),
        "{explanation}"
    );
}

#[parameterized(
    no_file = { &["r1", "tests/logs/nowhere.log"], 2 },
    no_lines = { &["r1", "Cargo.toml"], 2 },
    unknown_request = { &["r1", LOGS[0]], 1 },
    no_id = { &[], 2 },
)]
fn what_cannot_be_explained_says_why(arguments: &[&str], code: i32) {
    let output = explain(arguments);
    assert_eq!(output.status.code(), Some(code), "{output:?}");
    assert!(!output.stderr.is_empty());
}
