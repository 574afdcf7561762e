//! Requests that arrive at a host before its first configuration.

mod support;

use std::time::Duration;

use support::Step;
use support::request;
use support::response_with_body;
use support::run_with_late_config;
use support::send_request;

fn answer() -> Vec<Vec<Step>> {
    vec![vec![Step::Read, Step::Send(response_with_body("kit list"))]]
}

/// Guards against refusals by hosts that have just started and get their configuration a moment later.
#[test]
fn a_request_waits_for_the_first_configuration_of_a_host() {
    run_with_late_config(Duration::from_millis(150), answer(), async |fleet| {
        let response = send_request(fleet.callers, &request("a1"), false).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    });
}

/// Guards against requests that are held for as long as a host has lost the store.
#[test]
fn a_request_is_refused_soon_if_no_configuration_comes() {
    run_with_late_config(Duration::from_secs(60), answer(), async |fleet| {
        let refused = async { send_request(fleet.callers, &request("a1"), false).await };
        let refused = tokio::time::timeout(Duration::from_millis(600), refused).await;
        let refused = refused.expect("an answer in time");
        assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
        assert!(refused.contains("retry-after"), "{refused}");
        assert_eq!(fleet.records[0].borrow().requests.len(), 0);
    });
}
