//! The HTTP client of the table service: which failures leave the outcome of a write unknown.
//!
//! The command line reports "nothing was written" only if the call can't have been run. A call
//! whose connection broke may have been run; treating it as refused would hide an accepted change.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;

use sedgeridge_cli::context::Context;
use sedgeridge_cli::context::OperatorPages;
use sedgeridge_cli::context::TableClient;
use sedgeridge_cli::context::TableError;
use sedgeridge_cli::system::SystemContext;
use sedgeridge_protocol::table::TransactAnswer;
use sedgeridge_protocol::table::TransactRequest;
use yare::parameterized;

/// Serves one call with a fixed answer, which may be cut off or empty.
fn serve_once(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        read_request(&stream);
        stream.write_all(answer.as_bytes()).unwrap();
    });
    address
}

fn read_request(stream: &TcpStream) {
    let mut reader = BufReader::new(stream);
    let mut body_bytes = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).unwrap();
        if let Some(length) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            body_bytes = length.trim().parse().unwrap();
        }
        if line.trim().is_empty() {
            break;
        }
    }
    reader.read_exact(&mut vec![0; body_bytes]).unwrap();
}

fn transact(table: SocketAddr) -> Result<TransactAnswer, TableError> {
    SystemContext::default().transact(table, &TransactRequest::default())
}

#[test]
fn an_answer_is_parsed() {
    let table = serve_once(
        "HTTP/1.1 200 OK\r\ncontent-length: 35\r\n\r\n{\"result\":\"committed\",\"version\":12}",
    );

    assert_eq!(
        transact(table),
        Ok(TransactAnswer::Committed { version: 12 })
    );
}

#[parameterized(
    busy = { "HTTP/1.1 429 Too Many Requests\r\ncontent-length: 0\r\n\r\n", true },
    down = { "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n", true },
    failed_within = { "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n", false },
    closed = { "", false },
    cut_off = { "HTTP/1.1 200 OK\r\ncontent-length: 34\r\n\r\n{\"result\":", false },
    other_form = { "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}", false },
)]
fn only_calls_that_were_not_run_are_refused(answer: &'static str, refused: bool) {
    let error = transact(serve_once(answer)).unwrap_err();

    assert_eq!(matches!(error, TableError::Refused(_)), refused, "{error}");
}

#[test]
fn a_call_that_never_connected_is_refused() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);

    assert!(matches!(transact(address), Err(TableError::Refused(_))));
}

#[test]
fn a_page_needs_status_200() {
    let missing = serve_once("HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n");
    let error = SystemContext::default()
        .fetch(missing, "/operator/status")
        .unwrap_err();
    assert!(
        error
            .to_string()
            .ends_with("/operator/status: HTTP status 404")
    );

    let found = serve_once("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}");
    let page = SystemContext::default().fetch(found, "/operator/status");
    assert_eq!(page.as_deref(), Ok("{}"));
}

#[test]
fn change_ids_differ() {
    let context = SystemContext::default();
    let first = context.new_change_id();

    assert_eq!(first.len(), 32);
    assert_ne!(first, context.new_change_id());
}
