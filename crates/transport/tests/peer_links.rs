//! Memory of messages that wait for a router which does not take them.

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
use support::front_bench::PATIENCE;
use support::resident::resident_bytes;

const MIB: usize = 1 << 20;
const MESSAGES: usize = 100;
/// Long enough for the messages to reach the link, and less than a link is given to connect.
const TIME_TO_TAKE: Duration = Duration::from_millis(300);

// A router stops in the middle: its connections stay open and nobody reads them. The others send it
// whole reports, which wait for the link, bounded by number only: each such router costs each of the
// others hundreds of megabytes before the link is given up. What finds no room is dropped, and the
// core hears of it, so that it sends its whole state again.
#[test]
fn messages_to_a_silent_router_are_bounded_in_bytes() {
    let silent = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let (core, inputs) = sync_channel(MESSAGES);
    let member = Member {
        host: "router-1".into(),
        incarnation: Incarnation(1),
    };
    let sockets = PeerSockets::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
    let (ring, outbox) = peer_channel();
    let peers = Peers { member, core };
    thread::spawn(move || peers.run(sockets, outbox));
    let address = silent.local_addr().expect("a bound listener");
    let before = resident_bytes();
    for _ in 0..MESSAGES {
        let out = OutgoingMessage {
            to: "router-2".into(),
            address,
            payload: PeerPayload::Stream(vec![b'x'; MIB]),
        };
        ring.blocking_send(out).expect("the peers thread runs");
    }
    thread::sleep(TIME_TO_TAKE);
    let grown = resident_bytes().saturating_sub(before);
    assert!(grown < 24 * MIB as u64, "{grown} bytes more are resident");
    let heard = inputs.recv_timeout(PATIENCE).expect("the loss is told");
    assert!(matches!(heard, CoreInput::PeerReset { .. }), "{heard:?}");
}
