//! Answers of endpoints and of the platform that are longer than any true one.

mod support;

use std::sync::mpsc::sync_channel;
use std::time::Duration;

use sedgeridge_coordination::membership::ListedHost;
use sedgeridge_coordination::slot_budget::EndpointLoad;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_transport::host_list_reads::start_host_list_reads;
use sedgeridge_transport::load_reads::LoadReads;
use support::attempts::answer_of;
use support::attempts::endpoint;
use support::front_bench::PATIENCE;

const MIB: usize = 1 << 20;
const LOAD: &str = r#"{"running":1,"waiting":0,"slots":4,"age_ms":0,"leaving":false}"#;
const HOSTS: &str = r#"{"hosts":[],"age_ms":0}"#;

fn load_of(text: &str) -> Option<EndpointLoad> {
    let (inputs, ends) = sync_channel::<(EndpointId, Option<EndpointLoad>)>(1);
    let mut reads = LoadReads::start(&inputs, |endpoint, load| (endpoint, load)).expect("threads");
    reads.ask(&"desk-1".into(), endpoint(answer_of(text), || {}));
    ends.recv_timeout(PATIENCE).expect("an end").1
}

// Endpoints of a broken release tell their load in megabytes of text. Their home holds as many of
// them as it reads at a time, beside everything else. A report that long is no report.
#[test]
fn a_load_report_of_megabytes_is_not_held() {
    assert!(load_of(LOAD).is_some());
    assert!(load_of(&format!("{LOAD}{}", " ".repeat(MIB))).is_none());
}

// The platform's list of hosts has grown out of all proportion. It is not taken, and what it said last
// stays believed.
#[test]
fn a_list_of_hosts_of_megabytes_is_not_held() {
    let read = |text: &str| {
        let (inputs, lists) = sync_channel::<Vec<ListedHost>>(1);
        let address = endpoint(answer_of(text), || {});
        let call_timeout = Duration::from_secs(1);
        start_host_list_reads(address, call_timeout, &inputs, |list| list).expect("a thread");
        lists.recv_timeout(Duration::from_secs(3)).is_ok()
    };
    assert!(read(HOSTS));
    assert!(!read(&format!("{HOSTS}{}", " ".repeat(6 * MIB))));
}
