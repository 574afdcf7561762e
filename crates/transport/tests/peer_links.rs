//! Memory of messages that wait for a router which does not read them.

mod support;

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;

use sedgeridge_state::ids::Incarnation;
use sedgeridge_state::ids::Member;
use sedgeridge_transport::core::CoreInput;
use sedgeridge_transport::peers::OutgoingMessage;
use sedgeridge_transport::peers::PeerPayload;
use sedgeridge_transport::peers::PeerSockets;
use sedgeridge_transport::peers::Peers;
use sedgeridge_transport::peers::peer_channel;
use support::resident::resident_bytes;
use support::test_front::TEST_TIMEOUT;

const MIB: usize = 1 << 20;
const MESSAGES: usize = 100;
/// Long enough for the messages to reach the link, and shorter than a link's timeout to connect.
const DELIVERY_TIME: Duration = Duration::from_millis(300);

// A router hangs: its connections stay open but are not read. Other routers send it full reports, which wait for
// the link. If they were bounded by number only, each hanging router would cost each of the others hundreds of
// megabytes until the link is closed. Messages beyond the limit must be dropped and reported to the core, so
// that it sends its full state again.
#[test]
fn messages_to_a_silent_router_are_bounded_in_bytes() {
    let silent = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let (core, inputs) = sync_channel(MESSAGES);
    let member = Member {
        host: "router-1".into(),
        incarnation: Incarnation(1),
    };
    let sockets = PeerSockets::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
    let (sender, outbox) = peer_channel();
    let peers = Peers { member, core };
    thread::spawn(move || peers.run(sockets, outbox));
    let address = silent.local_addr().expect("a bound listener");
    let before = resident_bytes();
    for _ in 0..MESSAGES {
        let message = OutgoingMessage {
            to: "router-2".into(),
            address,
            payload: PeerPayload::Stream(vec![b'x'; MIB]),
        };
        sender
            .blocking_send(message)
            .expect("the peers thread runs");
    }
    thread::sleep(DELIVERY_TIME);
    let grown = resident_bytes().saturating_sub(before);
    assert!(grown < 24 * MIB as u64, "{grown} bytes more are resident");
    let input = inputs
        .recv_timeout(TEST_TIMEOUT)
        .expect("the loss is reported");
    assert!(matches!(input, CoreInput::PeerReset { .. }), "{input:?}");
}
