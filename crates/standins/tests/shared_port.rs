//! Binding one port for both connections and datagrams.

use std::net::SocketAddr;
use std::net::UdpSocket;

use sedgeridge_standins::shared_port;

/// Guards against a relay that fails to start with "address in use" although ports are free,
/// because another process uses the port picked for connections for datagrams. The test takes 2,000
/// ports for datagrams; some 30 of 400 binds meet one of them.
#[test]
fn a_port_that_is_taken_for_datagrams_is_not_drawn() {
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    let taken = (0..2_000).map(|_| UdpSocket::bind(any).expect("a port"));
    let taken: Vec<UdpSocket> = taken.collect();
    for _ in 0..400 {
        let (listener, socket) = shared_port::bind(any).expect("a port for both");
        assert_eq!(listener.local_addr().ok(), socket.local_addr().ok());
    }
    drop(taken);
}

#[test]
fn a_named_port_that_is_taken_is_an_error() {
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    let (_listener, socket) = shared_port::bind(any).expect("a port");
    let named = socket.local_addr().expect("an address");
    assert!(shared_port::bind(named).is_err());
}
