//! Memory of idle connections to endpoints.

mod support;

use std::net::SocketAddr;
use std::sync::Barrier;
use std::sync::mpsc::sync_channel;
use std::thread;

use bytes::Bytes;
use sedgeridge_coordination::entry_events::AttemptEnd;
use sedgeridge_state::settings::HealthSettings;
use sedgeridge_transport::answer::ANSWER_CHANNEL_LEN;
use sedgeridge_transport::call::AnswerForm;
use sedgeridge_transport::endpoint_call::EndpointClients;
use support::attempts::attempt_spec;
use support::attempts::read_answer;
use support::attempts::start_endpoint;
use support::resident::resident_bytes;
use tokio::sync::mpsc;

/// Most idle connections that are kept to one endpoint.
const CONNECTIONS: usize = 64;
/// Two buffers of 16 KiB, and the same again for the client, the threads of the endpoint and the heap.
const MAX_BYTES_PER_CONNECTION: u64 = 64 << 10;

/// Starts an endpoint that answers after all requests have arrived, so that each uses its own connection.
fn start_endpoint_with_barrier(header: &str) -> SocketAddr {
    let all = Barrier::new(CONNECTIONS);
    let answer = format!("HTTP/1.1 200 OK\r\n{header}content-length: 2\r\n\r\n{{}}");
    start_endpoint(answer, move || {
        all.wait();
    })
}

/// Runs [`CONNECTIONS`] attempts at the same time, each on its own connection.
fn run_concurrently(clients: &EndpointClients, address: SocketAddr) {
    let attempts: Vec<_> = (0..CONNECTIONS)
        .map(|_| {
            let clients = clients.clone();
            thread::spawn(move || {
                let (core, _inbox) = sync_channel(16);
                let (answer, mut caller) = mpsc::channel(ANSWER_CHANNEL_LEN);
                let body = Bytes::from_static(b"{}");
                let spec = attempt_spec(address, AnswerForm::Plain, body, answer);
                let end = clients.run(&spec, &core).end;
                assert!(matches!(end, AttemptEnd::Finished { .. }), "{end:?}");
                read_answer(&mut caller);
            })
        })
        .collect();
    for attempt in attempts {
        attempt.join().expect("no panic");
    }
}

// A router's process runs out of memory some time after a flood, with few requests in progress. Each connection to
// an endpoint has buffers, even if its requests are short, and is kept after its answer, so that memory use
// depends on the peak number of concurrent requests.
#[test]
fn kept_connections_to_endpoints_hold_little_memory() {
    let clients = EndpointClients::new(&HealthSettings::default());
    // The first run allocates the threads and their part of the heap, so that only connections are measured.
    run_concurrently(
        &clients,
        start_endpoint_with_barrier("connection: close\r\n"),
    );
    let before = resident_bytes();
    run_concurrently(&clients, start_endpoint_with_barrier(""));
    let grown = resident_bytes().saturating_sub(before);
    let each = grown / CONNECTIONS as u64;
    assert!(
        each <= MAX_BYTES_PER_CONNECTION,
        "{each} bytes for each connection"
    );
}
