//! A router follows the state of endpoints in the platform's host list.

mod support;

use std::time::Duration;

use sedgeridge_protocol::operator::ENDPOINTS_PATH;
use sedgeridge_protocol::operator::EndpointState;
use sedgeridge_protocol::operator::EndpointsPage;
use sedgeridge_standins::configs::hosts::HostsConfig;
use sedgeridge_standins::hosts;
use sedgeridge_standins::server::Running;
use support::Router;
use support::fake_engine;
use support::wait_until;

fn set_host_state(list: &Running, state: &str) {
    let host = |name, state| {
        serde_json::json!({
            "name": name, "address": "127.0.0.1:9", "site": "local", "state": state
        })
    };
    let order = serde_json::json!({
        "hosts": [host("engine-1", state), host("router-1", "live"), host("other", "leaving")]
    });
    let sent = ureq::post(list.url("/control")).send(order.to_string());
    assert_eq!(sent.unwrap().status(), 200);
}

fn state_and_usable_slots(router: &Router) -> (EndpointState, u32) {
    let url = format!("http://{}{ENDPOINTS_PATH}", router.operators);
    let mut answer = ureq::get(url).call().unwrap();
    let text = answer.body_mut().read_to_string().unwrap();
    let page: EndpointsPage = serde_json::from_str(&text).unwrap();
    (page.endpoints[0].state, page.endpoints[0].usable_slots)
}

// The platform is about to remove an endpoint's host, and only its host list says so. Requests sent
// there would be cut off. The endpoint gets no new work while the list shows it as leaving, and
// gets work again afterwards. Hosts that the router does not know are ignored.
#[test]
fn an_endpoint_that_leaves_by_the_list_gets_no_new_work() {
    let (engine, _) = fake_engine::start(Duration::from_millis(5));
    let list = hosts::spawn(HostsConfig::default()).unwrap();
    set_host_state(&list, "live");
    let platform = format!("host_list_address = {}", list.address());
    let router = Router::start_on_platform("host_list", engine, "", &platform);
    wait_until("work", || {
        state_and_usable_slots(&router) == (EndpointState::Serving, 4)
    });
    set_host_state(&list, "leaving");
    wait_until("leaving", || {
        state_and_usable_slots(&router) == (EndpointState::Leaving, 0)
    });
    set_host_state(&list, "live");
    wait_until("work again", || {
        state_and_usable_slots(&router).0 == EndpointState::Serving
    });
}
