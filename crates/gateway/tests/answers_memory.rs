//! Memory of responses whose callers read slowly.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use sedgeridge_fleet::config::Repeat;
use sedgeridge_gateway::resident_memory::resident_bytes;
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time::sleep;

use support::Step;
use support::request;
use support::response_with_body;
use support::run;

/// Just below the longest response that is buffered.
const ANSWER_BYTES: usize = 250_000;
const CALLERS: usize = 400;
/// Memory limit of the tests' router.
const MEMORY_BYTES: u64 = 64 << 20;

/// Connects with a small receive window, as over a slow link.
async fn connect(address: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(2_048).expect("a small window");
    // Short segments. Otherwise the operating system itself takes megabytes for each connection on
    // loopback.
    SockRef::from(&socket)
        .set_tcp_mss(536)
        .expect("short segments");
    socket.connect(address).await.expect("a connection")
}

/// Guards against memory that grows over the limit while responses wait for slow callers. If memory
/// is counted only until a response was read from its endpoint, nothing limits it from then on.
#[test]
fn responses_to_slow_callers_stay_within_the_memory_limit() {
    let body = "x".repeat(ANSWER_BYTES);
    // Closes after each response, so that the endpoint keeps no connections of its own in this
    // process.
    let script = vec![vec![
        Step::Read,
        Step::Send(response_with_body(&body)),
        Step::Close,
    ]];
    run(Repeat::Idempotent, 1, script, async |fleet| {
        let before = resident_bytes(std::process::id()).expect("own memory");
        let mut callers = Vec::new();
        let mut max_growth = 0;
        for id in 0..CALLERS {
            let mut caller = connect(fleet.callers).await;
            let sent = request(&format!("a{id}"));
            caller.write_all(sent.as_bytes()).await.expect("sent");
            callers.push(caller);
            sleep(Duration::from_millis(2)).await;
            let now = resident_bytes(std::process::id()).expect("own memory");
            max_growth = max_growth.max(now.saturating_sub(before));
        }
        let ran = fleet.records[0].borrow().requests.len();
        assert!(
            max_growth < MEMORY_BYTES,
            "{max_growth} bytes for {ran} answers"
        );
    });
}
