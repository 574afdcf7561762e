//! Memory of connections to endpoints that are kept for the next request.

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
use support::attempts::endpoint;
use support::attempts::order;
use support::attempts::read_answer;
use support::resident::resident_bytes;
use tokio::sync::mpsc;

/// As many as are kept to one endpoint.
const CONNECTIONS: usize = 64;
/// Two buffers of 16 KiB, and as much again for the client, the threads of the endpoint and the heap.
const MOST_BYTES_PER_CONNECTION: u64 = 64 << 10;

/// An endpoint that answers when all requests are there, so that no two share a connection.
fn endpoint_for_all(header: &str) -> SocketAddr {
    let all = Barrier::new(CONNECTIONS);
    let answer = format!("HTTP/1.1 200 OK\r\n{header}content-length: 2\r\n\r\n{{}}");
    endpoint(answer, move || {
        all.wait();
    })
}

/// Runs as many attempts at a time as connections are kept, so that each has its own.
fn run_side_by_side(clients: &EndpointClients, address: SocketAddr) {
    let attempts: Vec<_> = (0..CONNECTIONS)
        .map(|_| {
            let clients = clients.clone();
            thread::spawn(move || {
                let (core, _inbox) = sync_channel(16);
                let (answer, mut caller) = mpsc::channel(ANSWER_CHANNEL_LEN);
                let body = Bytes::from_static(b"{}");
                let order = order(address, AnswerForm::Plain, body, answer);
                let end = clients.run(&order, &core).end;
                assert!(matches!(end, AttemptEnd::Finished { .. }), "{end:?}");
                read_answer(&mut caller);
            })
        })
        .collect();
    for attempt in attempts {
        attempt.join().expect("no panic");
    }
}

// A router's process is ended for want of memory a while after a flood, with few requests in
// progress. Each connection to an endpoint has buffers, however short its requests are, and is kept
// after its answer: memory follows the most requests that ever ran at once.
#[test]
fn kept_connections_to_endpoints_hold_little_memory() {
    let clients = EndpointClients::new(&HealthSettings::default());
    // Threads and their part of the heap are there before, so that connections alone are measured.
    run_side_by_side(&clients, endpoint_for_all("connection: close\r\n"));
    let before = resident_bytes();
    run_side_by_side(&clients, endpoint_for_all(""));
    let grown = resident_bytes().saturating_sub(before);
    let each = grown / CONNECTIONS as u64;
    assert!(
        each <= MOST_BYTES_PER_CONNECTION,
        "{each} bytes for each connection"
    );
}
