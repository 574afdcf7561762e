//! Object store, host list and weight store.

mod common;

use sedgeridge_standins::configs::hosts::HostsConfig;
use sedgeridge_standins::configs::platform::TableConfig;
use sedgeridge_standins::configs::weights::WeightsConfig;
use sedgeridge_standins::hosts;
use sedgeridge_standins::objects;
use sedgeridge_standins::weights;

use common::agent;
use common::order;
use common::post;

const ONE_HOST: &str =
    r#"{"hosts":[{"name":"m-1","address":"127.0.0.1:7001","site":"officina","state":"leaving"}]}"#;

fn get(url: &str) -> (u16, String) {
    let mut answer = agent().get(url).call().unwrap();
    let text = answer.body_mut().read_to_string().unwrap();
    (answer.status().as_u16(), text)
}

#[test]
fn objects_can_be_stored_listed_and_deleted() {
    let store = objects::spawn(TableConfig::default()).unwrap();
    let agent = agent();
    for key in ["config/2", "config/1", "other"] {
        let url = store.url(&format!("/v1/objects/{key}"));
        assert_eq!(agent.put(url).send(key).unwrap().status(), 200);
    }
    let url = store.url("/v1/objects/config/1");
    assert_eq!(get(&url), (200, "config/1".into()));
    let listed = get(&store.url("/v1/objects?prefix=config/"));
    assert_eq!(listed, (200, r#"{"keys":["config/1","config/2"]}"#.into()));
    assert_eq!(agent.delete(&url).call().unwrap().status(), 200);
    assert_eq!(get(&url).0, 404);
}

#[test]
fn the_host_list_is_set_by_order() {
    let list = hosts::spawn(HostsConfig::default()).unwrap();
    assert_eq!(get(&list.url("/v1/hosts")).1, r#"{"hosts":[],"age_ms":0}"#);
    order(&list, ONE_HOST);
    assert!(
        get(&list.url("/v1/hosts"))
            .1
            .contains(r#""state":"leaving""#)
    );
    order(&list, r#"{"fault":"outage"}"#);
    assert_eq!(get(&list.url("/v1/hosts")).0, 503);
}

#[test]
fn the_host_list_lags() {
    let config = HostsConfig {
        lag_ms: 60_000,
        ..HostsConfig::default()
    };
    let list = hosts::spawn(config).unwrap();
    order(&list, ONE_HOST);
    assert_eq!(
        get(&list.url("/v1/hosts")).1,
        r#"{"hosts":[],"age_ms":60000}"#
    );
    let unknown_state = ONE_HOST.replace("leaving", "gone");
    let refused = post(&agent(), &list.url("/control"), &unknown_state).unwrap();
    assert_eq!(refused.status(), 400);
}

#[test]
fn weights_come_whole_and_take_their_time() {
    let config = WeightsConfig {
        size_bytes: 200_000,
        bytes_per_s: 1e6,
        ..WeightsConfig::default()
    };
    let store = weights::spawn(config).unwrap();
    let start = std::time::Instant::now();
    let mut answer = agent().get(store.url("/v1/weights/desk")).call().unwrap();
    let bytes = answer.body_mut().read_to_vec().unwrap();
    assert_eq!(bytes.len(), 200_000);
    // A lower bound only, which holds on a busy machine too.
    assert!(start.elapsed().as_millis() >= 195);
    assert_eq!(get(&store.url("/v1/weights/")).0, 404);
}
