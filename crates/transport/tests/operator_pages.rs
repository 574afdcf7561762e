//! Operator pages over loopback: readiness and drain requests.

use std::net::SocketAddr;
use std::sync::OnceLock;
use std::sync::mpsc::sync_channel;

use metrics_exporter_prometheus::PrometheusHandle;
use sedgeridge_protocol::coordinator::CoordinatorStatus;
use sedgeridge_protocol::coordinator::DRAIN_PATH;
use sedgeridge_transport::core::CoreInput;
use sedgeridge_transport::operator::DrainSender;
use sedgeridge_transport::operator::serve_operator_pages;
use sedgeridge_transport::operator::start_metrics;
use sedgeridge_transport::status::SharedStatus;
use ureq::Agent;

const DRAIN_DESK: &str = r#"{"endpoint":"desk-1"}"#;

fn metrics() -> PrometheusHandle {
    static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
    HANDLE.get_or_init(|| start_metrics().unwrap()).clone()
}

fn serve(status: &SharedStatus<CoordinatorStatus>, drain: Option<DrainSender>) -> SocketAddr {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    serve_operator_pages(address, metrics(), status.clone(), drain).unwrap()
}

fn agent() -> Agent {
    let config = Agent::config_builder().http_status_as_error(false);
    config.build().new_agent()
}

fn post(address: SocketAddr, path: &str, body: &str) -> u16 {
    let sent = agent().post(format!("http://{address}{path}")).send(body);
    sent.unwrap().status().as_u16()
}

fn get(address: SocketAddr, path: &str) -> u16 {
    let got = agent().get(format!("http://{address}{path}")).call();
    got.unwrap().status().as_u16()
}

#[test]
fn readiness_follows_the_status() {
    let status = SharedStatus::default();
    let address = serve(&status, None);
    assert_eq!(get(address, "/healthz"), 200);
    assert_eq!(get(address, "/readyz"), 503);
    status.publish(CoordinatorStatus {
        ready: true,
        ..CoordinatorStatus::default()
    });
    assert_eq!(get(address, "/readyz"), 200);
    assert_eq!(get(address, "/operator/status"), 200);
}

#[test]
fn a_drain_reaches_the_core() {
    let (drain, inputs) = sync_channel(1);
    let address = serve(&SharedStatus::default(), Some(drain));
    assert_eq!(post(address, DRAIN_PATH, DRAIN_DESK), 202);
    let CoreInput::DrainEndpoint { endpoint } = inputs.recv().unwrap() else {
        panic!("expected a drain");
    };
    assert_eq!(endpoint.as_str(), "desk-1");
}

// The channel to the router's core is full. The coordinator must be told that the drain was not accepted, so
// that it tries another router. Otherwise it would rely on a drain that no router executes.
#[test]
fn a_drain_that_finds_the_channel_full_is_not_accepted() {
    let (drain, _inputs) = sync_channel(1);
    let address = serve(&SharedStatus::default(), Some(drain));
    assert_eq!(post(address, DRAIN_PATH, DRAIN_DESK), 202);
    assert_eq!(post(address, DRAIN_PATH, DRAIN_DESK), 503);
}

#[test]
fn invalid_drain_requests_are_refused() {
    let (drain, _inputs) = sync_channel(1);
    let address = serve(&SharedStatus::default(), Some(drain));
    assert_eq!(post(address, DRAIN_PATH, "desk-1"), 400);
    assert_eq!(post(address, "/operator/status", DRAIN_DESK), 404);
    let without = serve(&SharedStatus::default(), None);
    assert_eq!(post(without, DRAIN_PATH, DRAIN_DESK), 404);
}
