//! Tests whether a caller that has left is detected by asking the operating system, not the event
//! loop.

use std::io::Write;
use std::net::TcpStream;

use sedgeridge_gateway::caller_stream::CallerStream;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\n\r\n";

/// A caller sends a request and closes its connection a moment later. The server has read the
/// request, but the event loop has not been told of the close, since nothing ran meanwhile.
#[test]
fn a_caller_that_closed_has_left_and_one_that_waits_has_not() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let mut caller = TcpStream::connect(address).expect("a connection");
        caller.write_all(REQUEST).expect("sent");
        let (stream, _) = listener.accept().await.expect("a connection");
        let mut stream = CallerStream::new(stream);
        let mut request = [0; REQUEST.len()];
        stream.read_exact(&mut request).await.expect("the request");
        assert!(!stream.has_closed());
        drop(caller);
        assert!(stream.has_closed());
    });
}
