//! Delays, cuts, blocks and silence of a relayed link.

mod common;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use sedgeridge_standins::configs::relay::RelayConfig;
use sedgeridge_standins::relay;
use sedgeridge_standins::relay::Relay;

use common::agent;
use common::order;
use common::post;

const SHORT_TIMEOUT: Duration = Duration::from_millis(200);
const LONG_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a server that echoes each byte until the test process ends.
fn spawn_echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            thread::spawn(move || {
                let mut byte = [0];
                while stream.read_exact(&mut byte).is_ok() && stream.write_all(&byte).is_ok() {}
            });
        }
    });
    address
}

fn relay(delay_ms: f64) -> Relay {
    let config = RelayConfig {
        to: Some(spawn_echo_server()),
        delay_ms,
        ..RelayConfig::default()
    };
    relay::spawn(&config).unwrap()
}

fn connect(relay: &Relay) -> TcpStream {
    TcpStream::connect(relay.address()).unwrap()
}

/// Sends a byte and returns whether it came back within the timeout.
fn echoes(stream: &mut TcpStream, timeout: Duration) -> bool {
    stream.set_read_timeout(Some(timeout)).unwrap();
    let mut byte = [0];
    stream.write_all(b"x").is_ok() && stream.read_exact(&mut byte).is_ok()
}

#[test]
fn bytes_pass_both_ways_with_the_delay() {
    let relay = relay(30.0);
    let mut stream = connect(&relay);
    let start = Instant::now();
    assert!(echoes(&mut stream, LONG_TIMEOUT));
    // A lower bound only: the link must not be faster than the ordered delay.
    assert!(start.elapsed() >= Duration::from_millis(60));
    order(relay.control(), r#"{"link":"delay","delay_ms":0}"#);
    assert!(echoes(&mut stream, LONG_TIMEOUT));
}

#[test]
fn a_cut_link_closes_connections_until_it_is_healed() {
    let relay = relay(0.0);
    let mut open = connect(&relay);
    assert!(echoes(&mut open, LONG_TIMEOUT));
    order(relay.control(), r#"{"link":"cut"}"#);
    assert!(!echoes(&mut open, LONG_TIMEOUT));
    assert!(!echoes(&mut connect(&relay), LONG_TIMEOUT));
    order(relay.control(), r#"{"link":"heal"}"#);
    assert!(echoes(&mut connect(&relay), LONG_TIMEOUT));
}

#[test]
fn a_blocked_link_holds_bytes_back_until_it_is_healed() {
    let relay = relay(0.0);
    let mut open = connect(&relay);
    assert!(echoes(&mut open, LONG_TIMEOUT));
    order(relay.control(), r#"{"link":"block"}"#);
    assert!(!echoes(&mut open, SHORT_TIMEOUT));
    assert!(!echoes(&mut connect(&relay), SHORT_TIMEOUT));
    order(relay.control(), r#"{"link":"heal"}"#);
    open.set_read_timeout(Some(LONG_TIMEOUT)).unwrap();
    open.read_exact(&mut [0]).unwrap();
    assert!(echoes(&mut open, LONG_TIMEOUT));
}

#[test]
fn silence_holds_the_open_connections_only() {
    // An open connection discards all bytes and never closes, as when a device between the two ends
    // has lost its state, so only a timeout reveals the fault. A new connection works at once; the
    // old one stays silent after the link is healed.
    let relay = relay(0.0);
    let mut open = connect(&relay);
    assert!(echoes(&mut open, LONG_TIMEOUT));
    order(relay.control(), r#"{"link":"silence"}"#);
    assert!(!echoes(&mut open, SHORT_TIMEOUT));
    assert!(echoes(&mut connect(&relay), LONG_TIMEOUT));
    order(relay.control(), r#"{"link":"heal"}"#);
    assert!(!echoes(&mut open, SHORT_TIMEOUT));
}

#[test]
fn a_close_passes_through() {
    let relay = relay(0.0);
    let mut open = connect(&relay);
    assert!(echoes(&mut open, LONG_TIMEOUT));
    open.shutdown(std::net::Shutdown::Write).unwrap();
    open.set_read_timeout(Some(LONG_TIMEOUT)).unwrap();
    assert_eq!(open.read(&mut [0]).unwrap(), 0);
}

#[test]
fn bad_orders_are_refused() {
    let relay = relay(0.0);
    for body in ["x", r#"{"link":"melt"}"#, r#"{"link":"delay"}"#] {
        let refused = post(&agent(), &relay.control().url("/control"), body).unwrap();
        assert_eq!(refused.status(), 400, "{body}");
    }
}

fn relay_to(to: SocketAddr) -> Relay {
    let config = RelayConfig {
        to: Some(to),
        delay_ms: 20.0,
        ..RelayConfig::default()
    };
    relay::spawn(&config).unwrap()
}

#[test]
fn datagrams_arrive_whole_and_after_the_delay() {
    let receiver = UdpSocket::bind("127.0.0.1:0").unwrap();
    receiver.set_read_timeout(Some(LONG_TIMEOUT)).unwrap();
    let relay = relay_to(receiver.local_addr().unwrap());
    let sent = Instant::now();
    let sender = UdpSocket::bind("127.0.0.1:0").unwrap();
    sender.send_to(b"probe", relay.address()).unwrap();
    let mut buffer = [0; 16];
    let (size, _) = receiver.recv_from(&mut buffer).unwrap();
    assert_eq!(&buffer[..size], b"probe");
    assert!(sent.elapsed() >= Duration::from_millis(20));
}

/// If a cut let datagrams through, two sites would consider each other's members alive although no
/// connection between them works.
#[test]
fn a_cut_loses_datagrams_until_healed() {
    let receiver = UdpSocket::bind("127.0.0.1:0").unwrap();
    let relay = relay_to(receiver.local_addr().unwrap());
    let sender = UdpSocket::bind("127.0.0.1:0").unwrap();
    order(relay.control(), r#"{"link":"cut"}"#);
    sender.send_to(b"lost", relay.address()).unwrap();
    receiver.set_read_timeout(Some(SHORT_TIMEOUT)).unwrap();
    let mut buffer = [0; 16];
    assert!(receiver.recv_from(&mut buffer).is_err());
    order(relay.control(), r#"{"link":"heal"}"#);
    sender.send_to(b"passed", relay.address()).unwrap();
    receiver.set_read_timeout(Some(LONG_TIMEOUT)).unwrap();
    let (size, _) = receiver.recv_from(&mut buffer).unwrap();
    assert_eq!(&buffer[..size], b"passed");
}
