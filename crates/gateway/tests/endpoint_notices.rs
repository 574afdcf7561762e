//! What endpoints say of themselves in their answers: that they leave, or want no requests for a while.

mod support;

use std::time::Duration;

use sedgeridge_fleet::config::Repeat;
use tokio::task::spawn_local;
use tokio::time::sleep;

use support::Act;
use support::Fleet;
use support::ask;
use support::request;
use support::run;
use support::whole;

/// Time that the scripted endpoints ask for without requests.
const PAUSE: Duration = Duration::from_millis(600);
const WORK_TIME: Duration = Duration::from_millis(50);

fn answer(head: &str, headers: &str) -> Vec<Act> {
    let answer =
        format!("HTTP/1.1 {head}\r\nid: {{id}}\r\n{headers}\r\nContent-Length: 2\r\n\r\nok");
    vec![Act::Read, Act::Send(answer)]
}

fn pause() -> Vec<Act> {
    let headers = format!("not-run: 1\r\npause-ms: {}", PAUSE.as_millis());
    answer("503 Busy", &headers)
}

fn good() -> Vec<Act> {
    vec![Act::Read, Act::Send(whole("kit list"))]
}

fn requests_at(fleet: &Fleet, endpoint: usize) -> usize {
    fleet.seen[endpoint].borrow().requests.len()
}

/// Returns the endpoint that got the first request.
fn first_asked(fleet: &Fleet) -> usize {
    let asked = (0..fleet.seen.len()).find(|at| requests_at(fleet, *at) > 0);
    asked.expect("an endpoint was asked")
}

/// Guards against requests to an endpoint that has announced its end in an answer, while the store cannot tell of it.
#[test]
fn an_endpoint_that_says_it_leaves_gets_no_more_requests() {
    for last_words in [
        answer("200 OK", "proof: p\r\nleaving: 1"),
        answer("404 Not Found", "proof: p\r\nleaving: 1"),
        answer("500 Error", "proof: p\r\nleaving: 1"),
        answer("503 Busy", "not-run: 1\r\nleaving: 1"),
    ] {
        let script = vec![last_words, good()];
        run(Repeat::AtMostOnce, 2, script, async |fleet| {
            ask(fleet.callers, &request("first"), false).await;
            let leaving = first_asked(&fleet);
            for number in 0..20 {
                let answer = ask(fleet.callers, &request(&number.to_string()), false).await;
                assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
            }
            assert_eq!(requests_at(&fleet, leaving), 1);
        });
    }
}

/// Guards against requests to an endpoint in the time for which it wants none.
#[test]
fn an_endpoint_gets_no_requests_in_the_time_for_which_it_wants_none() {
    let slow = vec![
        Act::Read,
        Act::Wait(WORK_TIME),
        Act::Send(whole("kit list")),
    ];
    let script = vec![pause(), slow];
    run(Repeat::AtMostOnce, 2, script, async |fleet| {
        let answer = ask(fleet.callers, &request("first"), false).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        let before = [requests_at(&fleet, 0), requests_at(&fleet, 1)];
        assert_eq!(before, [1, 1], "one rests, the other one has answered");
        let callers = (0..12).map(|number| {
            let callers = fleet.callers;
            spawn_local(async move { ask(callers, &request(&number.to_string()), false).await })
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
