//! Connections whose callers leave before they are accepted.

use std::future::Future;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use sedgeridge_gateway::caller_stream::CallerStream;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

fn run<F: Future<Output = ()>>(test: impl FnOnce(TcpListener, SocketAddr) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        test(listener, address).await;
    });
}

fn caller(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.write_all(bytes).expect("sent");
    stream
}

async fn accept(listener: &TcpListener) -> CallerStream {
    // What the caller sent and its close have arrived by then.
    tokio::time::sleep(Duration::from_millis(20)).await;
    let (stream, _) = listener.accept().await.expect("a connection");
    CallerStream::new(stream)
}

/// A host is behind with its connections. A caller gave up and closed its one, with or without a
/// request in it: the connection need not be served, which would take the time of others.
#[test]
fn a_caller_that_left_is_seen_behind_its_request() {
    run(async |listener, address| {
        for bytes in [&b""[..], b"GET / HTTP/1.1\r\n\r\n"] {
            drop(caller(address, bytes));
            assert!(accept(&listener).await.left_before_accepted());
        }
    });
}

#[test]
fn a_request_that_was_looked_at_is_still_read_whole() {
    run(async |listener, address| {
        let mut caller = caller(address, b"first ");
        let mut stream = accept(&listener).await;
        assert!(!stream.left_before_accepted());
        assert!(!stream.has_left());
        caller.write_all(b"second").expect("sent");
        drop(caller);
        let mut text = String::new();
        stream.read_to_string(&mut text).await.expect("the rest");
        assert_eq!(text, "first second");
        assert!(stream.has_left());
    });
}

#[test]
fn a_caller_that_has_not_sent_yet_has_not_left() {
    run(async |listener, address| {
        let _caller = caller(address, b"");
        assert!(!accept(&listener).await.left_before_accepted());
    });
}
