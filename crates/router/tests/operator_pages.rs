//! The operator pages of a router process, parsed as the command line parses them.

mod support;

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use sedgeridge_protocol::coordinator::DRAIN_PATH;
use sedgeridge_protocol::operator::ACCOUNTS_PATH;
use sedgeridge_protocol::operator::AccountsPage;
use sedgeridge_protocol::operator::ENDPOINTS_PATH;
use sedgeridge_protocol::operator::EndpointState;
use sedgeridge_protocol::operator::EndpointsPage;
use sedgeridge_protocol::operator::RouterStatus;
use sedgeridge_protocol::operator::STATUS_PATH;
use serde::de::DeserializeOwned;
use support::Router;
use support::fake_engine;
use support::read_until;
use support::wait_until;

const EVENT_INTERVAL: Duration = Duration::from_millis(5);

fn page<T: DeserializeOwned>(router: SocketAddr, path: &str) -> T {
    let mut answer = ureq::get(format!("http://{router}{path}")).call().unwrap();
    serde_json::from_str(&answer.body_mut().read_to_string().unwrap()).unwrap()
}

fn drain(router: SocketAddr, endpoint: &str) -> u16 {
    let agent = ureq::Agent::config_builder().http_status_as_error(false);
    let sent = agent
        .build()
        .new_agent()
        .post(format!("http://{router}{DRAIN_PATH}"));
    let body = format!(r#"{{"endpoint":"{endpoint}"}}"#);
    sent.send(&body).unwrap().status().as_u16()
}

#[test]
fn the_pages_show_the_router_its_endpoints_and_its_accounts() {
    let (engine, streams) = fake_engine::start(EVENT_INTERVAL);
    let router = Router::start("pages", engine, "");
    let operators = router.operators;
    wait_until("the list of members", || {
        let status: RouterStatus = page(operators, STATUS_PATH);
        status.member_list.len() == 1
    });
    let status: RouterStatus = page(operators, STATUS_PATH);
    assert_eq!(
        (status.host.as_str(), status.site.as_str()),
        ("router-1", "local")
    );
    assert!(status.ready && !status.stopping);
    assert_eq!(status.homes, 1);

    let mut stream = router.ask(1_000);
    read_until(&mut stream, "lens ");
    wait_until("the running request", || {
        let accounts: AccountsPage = page(operators, ACCOUNTS_PATH);
        accounts.accounts.iter().any(|row| row.running == 1)
    });
    let accounts: AccountsPage = page(operators, ACCOUNTS_PATH);
    let row = &accounts.accounts[0];
    assert_eq!(
        (row.account.as_str(), row.pool.as_str()),
        ("crew-07", "engines")
    );
    assert_eq!((row.weight, row.waiting), (1, 0));
    wait_until("the occupied slot and the load report", || {
        let page: EndpointsPage = page(operators, ENDPOINTS_PATH);
        let row = &page.endpoints[0];
        row.occupied_slots == 1 && row.report_age_ms.is_some()
    });
    let endpoints: EndpointsPage = page(operators, ENDPOINTS_PATH);
    let row = &endpoints.endpoints[0];
    assert_eq!(
        (row.endpoint.as_str(), row.home.as_str()),
        ("engine-1", "router-1")
    );
    assert_eq!((row.state, row.usable_slots), (EndpointState::Serving, 4));

    streams.may_end.store(true, Ordering::SeqCst);
    read_until(&mut stream, "0\r\n\r\n");
    wait_until("the service given", || {
        let accounts: AccountsPage = page(operators, ACCOUNTS_PATH);
        let row = &accounts.accounts[0];
        row.running == 0 && row.service_tokens > 0
    });
}

// An operator drains the only endpoint. It gets no new work: the next request waits, while the
// stream in progress continues. The drain of a misspelt endpoint is an error.
#[test]
fn a_drained_endpoint_gets_no_new_work() {
    let (engine, streams) = fake_engine::start(EVENT_INTERVAL);
    let router = Router::start("drain", engine, "");
    let operators = router.operators;
    let mut stream = router.ask(1_000);
    read_until(&mut stream, "lens ");
    assert_eq!(drain(operators, "engine-7"), 404);
    assert_eq!(drain(operators, "engine-1"), 202);
    wait_until("leaving", || {
        let page: EndpointsPage = page(operators, ENDPOINTS_PATH);
        let row = &page.endpoints[0];
        row.state == EndpointState::Leaving && row.usable_slots == 0
    });
    let _waiting = router.ask(1);
    wait_until("the waiting request", || {
        let accounts: AccountsPage = page(operators, ACCOUNTS_PATH);
        accounts.accounts.iter().any(|row| row.waiting == 1)
    });
    assert_eq!(streams.running.load(Ordering::SeqCst), 1);
    streams.may_end.store(true, Ordering::SeqCst);
    let rest = read_until(&mut stream, "0\r\n\r\n");
    assert!(rest.contains("data: [DONE]"), "{rest}");
}
