//! Notices of endpoints about themselves in their responses: that they leave, or want no requests
//! for a while.

mod support;

use std::time::Duration;

use sedgeridge_fleet::config::Repeat;
use tokio::task::spawn_local;
use tokio::time::sleep;

use support::Fleet;
use support::Step;
use support::request;
use support::response_with_body;
use support::run;
use support::send_request;

/// Time for which the scripted endpoints want no requests.
const PAUSE: Duration = Duration::from_millis(600);
const WORK_TIME: Duration = Duration::from_millis(50);

fn response(head: &str, headers: &str) -> Vec<Step> {
    let response =
        format!("HTTP/1.1 {head}\r\nid: {{id}}\r\n{headers}\r\nContent-Length: 2\r\n\r\nok");
    vec![Step::Read, Step::Send(response)]
}

fn pause_response() -> Vec<Step> {
    let headers = format!("not-run: 1\r\npause-ms: {}", PAUSE.as_millis());
    response("503 Busy", &headers)
}

fn ok_response() -> Vec<Step> {
    vec![Step::Read, Step::Send(response_with_body("kit list"))]
}

fn requests_at(fleet: &Fleet, endpoint: usize) -> usize {
    fleet.records[endpoint].borrow().requests.len()
}

/// Returns the endpoint that got the first request.
fn first_endpoint_asked(fleet: &Fleet) -> usize {
    let asked = (0..fleet.records.len()).find(|at| requests_at(fleet, *at) > 0);
    asked.expect("an endpoint was asked")
}

/// Guards against requests to an endpoint that has announced its end in a response, while the store
/// cannot tell of it.
#[test]
fn an_endpoint_that_says_it_leaves_gets_no_more_requests() {
    for last_response in [
        response("200 OK", "proof: p\r\nleaving: 1"),
        response("404 Not Found", "proof: p\r\nleaving: 1"),
        response("500 Error", "proof: p\r\nleaving: 1"),
        response("503 Busy", "not-run: 1\r\nleaving: 1"),
    ] {
        let script = vec![last_response, ok_response()];
        run(Repeat::AtMostOnce, 2, script, async |fleet| {
            send_request(fleet.callers, &request("first"), false).await;
            let leaving = first_endpoint_asked(&fleet);
            for number in 0..20 {
                let response =
                    send_request(fleet.callers, &request(&number.to_string()), false).await;
                assert!(response.starts_with("HTTP/1.1 200"), "{response}");
            }
            assert_eq!(requests_at(&fleet, leaving), 1);
        });
    }
}

/// Guards against requests to an endpoint in the time for which it wants none.
#[test]
fn an_endpoint_gets_no_requests_in_the_time_for_which_it_wants_none() {
    let slow = vec![
        Step::Read,
        Step::Wait(WORK_TIME),
        Step::Send(response_with_body("kit list")),
    ];
    let script = vec![pause_response(), slow];
    run(Repeat::AtMostOnce, 2, script, async |fleet| {
        let response = send_request(fleet.callers, &request("first"), false).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        let before = [requests_at(&fleet, 0), requests_at(&fleet, 1)];
        assert_eq!(before, [1, 1], "one rests, the other one has answered");
        let callers = (0..12).map(|number| {
            let callers = fleet.callers;
            spawn_local(
                async move { send_request(callers, &request(&number.to_string()), false).await },
            )
        });
        let callers: Vec<_> = callers.collect();
        sleep(PAUSE - 2 * WORK_TIME).await;
        let after = [requests_at(&fleet, 0), requests_at(&fleet, 1)];
        assert!(after.contains(&1), "one of them rests: {after:?}");
        for caller in callers {
            caller.await.expect("an answer");
        }
    });
}
