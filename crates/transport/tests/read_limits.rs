//! Answers of endpoints and of the platform that are longer than any valid one.

mod support;

use std::sync::mpsc::sync_channel;
use std::time::Duration;

use sedgeridge_coordination::membership::ListedHost;
use sedgeridge_coordination::slot_budget::EndpointLoad;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_transport::host_list_reads::start_host_list_reads;
use sedgeridge_transport::load_reads::LoadReads;
use support::attempts::http_response;
use support::attempts::start_endpoint;
use support::test_front::TEST_TIMEOUT;

const MIB: usize = 1 << 20;
const LOAD: &str = r#"{"running":1,"waiting":0,"slots":4,"age_ms":0,"leaving":false}"#;
const HOSTS: &str = r#"{"hosts":[],"age_ms":0}"#;

fn read_load(text: &str) -> Option<EndpointLoad> {
    let (inputs, results) = sync_channel::<(EndpointId, Option<EndpointLoad>)>(1);
    let mut reads = LoadReads::start(&inputs, |endpoint, load| (endpoint, load)).expect("threads");
    reads.start_read(&"desk-1".into(), start_endpoint(http_response(text), || {}));
    results.recv_timeout(TEST_TIMEOUT).expect("a result").1
}

// Endpoints of a faulty release send load reports of megabytes. Their home would hold as many of them in memory as
// it reads at a time. A report of this length must count as a failed read.
#[test]
fn a_load_report_of_megabytes_is_not_read() {
    assert!(read_load(LOAD).is_some());
    assert!(read_load(&format!("{LOAD}{}", " ".repeat(MIB))).is_none());
}

// The platform's list of hosts is far too long. It must be ignored, so that the last valid list stays in use.
#[test]
fn a_list_of_hosts_of_megabytes_is_not_read() {
    let read = |text: &str| {
        let (inputs, lists) = sync_channel::<Vec<ListedHost>>(1);
        let address = start_endpoint(http_response(text), || {});
        let call_timeout = Duration::from_secs(1);
        start_host_list_reads(address, call_timeout, &inputs, |list| list).expect("a thread");
        lists.recv_timeout(Duration::from_secs(3)).is_ok()
    };
    assert!(read(HOSTS));
    assert!(!read(&format!("{HOSTS}{}", " ".repeat(6 * MIB))));
}
