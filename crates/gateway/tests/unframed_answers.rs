//! Answers with neither a length nor chunks, which end with their connection.

mod support;

use sedgeridge_fleet::config::Repeat;

use support::Fleet;
use support::Step;
use support::header;
use support::request;
use support::run;
use support::send_request;

const RESUMABLE_STREAM: Repeat = Repeat::Stream { resumable: true };
const FIRST_EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const LAST_EVENT: &str = "id: 3\ndata: c\n\n";

/// Reads a request, sends a head that names no length, and `body`, and closes the connection.
fn unframed(content_type: &str, body: &str) -> Vec<Step> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nid: {{id}}\r\nproof: p\r\nContent-Type: {content_type}\r\n\r\n"
    );
    vec![Step::Read, Step::Send(head + body), Step::Close]
}

fn events(body: &str) -> Vec<Step> {
    unframed("text/event-stream", body)
}

fn requests(fleet: &Fleet) -> Vec<String> {
    let records = fleet.records.iter();
    records
        .flat_map(|it| it.borrow().requests.clone())
        .collect()
}

/// Guards against a stream that ends inside an event and is passed on as complete, or with a piece of that event.
#[test]
fn a_stream_that_ends_inside_an_event_goes_on_at_another_endpoint() {
    let broken = format!("{FIRST_EVENTS}id: 3\nda");
    let script = vec![events(&broken), events(LAST_EVENT)];
    run(RESUMABLE_STREAM, 2, script, async |fleet| {
        let response = send_request(fleet.callers, &request("a1"), true).await;
        let data: Vec<_> = response
            .lines()
            .filter(|it| it.starts_with("data:"))
            .collect();
        assert_eq!(data, ["data: a", "data: b", "data: c"], "{response}");
        assert!(response.ends_with("0\r\n\r\n"), "{response}");
        let resumed = requests(&fleet).into_iter();
        let last_ids: Vec<_> = resumed
            .filter_map(|it| header(&it, "last-event-id"))
            .collect();
        assert_eq!(last_ids, ["2"]);
    });
}

/// Guards against a stream that breaks off before its first event and looks complete.
#[test]
fn a_stream_that_ends_without_an_event_begins_at_another_endpoint() {
    let whole = format!("{FIRST_EVENTS}{LAST_EVENT}");
    let script = vec![events(""), events(&whole)];
    run(RESUMABLE_STREAM, 2, script, async |fleet| {
        let response = send_request(fleet.callers, &request("a1"), true).await;
        assert_eq!(response.matches("data:").count(), 3, "{response}");
        assert_eq!(requests(&fleet).len(), 2);
    });
}

/// Guards against a whole stream that is taken for broken since nothing but its connection ends it.
#[test]
fn a_stream_that_ends_after_an_event_is_complete() {
    let whole = format!("{FIRST_EVENTS}{LAST_EVENT}");
    run(RESUMABLE_STREAM, 2, vec![events(&whole)], async |fleet| {
        let response = send_request(fleet.callers, &request("a1"), true).await;
        assert_eq!(response.matches("data:").count(), 3, "{response}");
        assert!(response.ends_with("0\r\n\r\n"), "{response}");
        assert_eq!(requests(&fleet).len(), 1);
    });
}

/// Guards against a whole answer that is lost or cut since it names no length.
#[test]
fn a_whole_answer_without_a_length_is_passed_on() {
    let script = vec![unframed("text/plain", "kit list")];
    run(Repeat::AtMostOnce, 1, script, async |fleet| {
        let response = send_request(fleet.callers, &request("a1"), false).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        assert!(response.ends_with("kit list"), "{response}");
    });
}
