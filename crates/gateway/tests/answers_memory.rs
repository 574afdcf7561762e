//! Memory of answers whose callers read slowly.

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

use support::Act;
use support::request;
use support::run;
use support::whole;

/// The longest whole answer that is passed on, nearly.
const ANSWER_BYTES: usize = 250_000;
const CALLERS: usize = 400;
/// What the router of the tests may have.
const MEMORY_BYTES: u64 = 64 << 20;

/// Connects with a small window, as over a thin link.
async fn connect(address: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(2_048).expect("a small window");
    // Short segments, or the system itself takes megabytes for each connection on loopback.
    SockRef::from(&socket)
        .set_tcp_mss(536)
        .expect("short segments");
    socket.connect(address).await.expect("a connection")
}

/// Callers ask for long answers and read them late. Each answer waits in the router until its caller has
/// taken it. The memory is counted only until the answer was read from the endpoint; from then on nothing
/// bounds it, and the process grows over its limit with requests in progress.
#[test]
fn answers_that_wait_for_their_callers_stay_within_the_memory() {
    let body = "x".repeat(ANSWER_BYTES);
    // Closes after each answer, so that the endpoint keeps none of its own in this process.
    let script = vec![vec![Act::Read, Act::Send(whole(&body)), Act::Close]];
    run(Repeat::Idempotent, 1, script, async |fleet| {
        let before = resident_bytes(std::process::id()).expect("own memory");
        let mut callers = Vec::new();
        let mut most = 0;
        for id in 0..CALLERS {
            let mut caller = connect(fleet.callers).await;
            let sent = request(&format!("a{id}"));
            caller.write_all(sent.as_bytes()).await.expect("sent");
            callers.push(caller);
            sleep(Duration::from_millis(2)).await;
            let now = resident_bytes(std::process::id()).expect("own memory");
            most = most.max(now.saturating_sub(before));
        }
        let ran = fleet.seen[0].borrow().requests.len();
        assert!(most < MEMORY_BYTES, "{most} bytes for {ran} answers");
    });
}
