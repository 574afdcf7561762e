//! Memory of idle links between routers.

mod support;

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use sedgeridge_state::ids::Incarnation;
use sedgeridge_state::ids::Member;
use sedgeridge_transport::peer_link::PeerLink;
use sedgeridge_transport::peers::PeerSockets;
use sedgeridge_transport::peers::Peers;
use sedgeridge_transport::peers::peer_channel;
use support::resident::resident_bytes;
use support::test_front::counter_value;
use support::test_front::metrics;
use tokio::runtime::Builder;
use tokio::sync::mpsc;

const LINKS: u64 = 160;
const WARM_UP_LINKS: u64 = 10;
const MESSAGE_BYTES: usize = 4 << 20;
/// Covers both ends, as both are in the test process. The heap may or may not return up to 16 MB to the system,
/// which is 100 KB for each link.
const MAX_BYTES_PER_LINK: u64 = 256 << 10;

fn member(host: &str, incarnation: u64) -> Member {
    Member {
        host: host.into(),
        incarnation: Incarnation(incarnation),
    }
}

fn start_peers() -> SocketAddr {
    let free = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = free.local_addr().expect("a bound listener");
    drop(free);
    let sockets = PeerSockets::bind(address).expect("the port is still free");
    let (core, inputs) = sync_channel(16);
    let (sender, outbox) = peer_channel();
    let peers = Peers {
        member: member("router-1", 1),
        core,
    };
    thread::spawn(move || {
        let _open = (sender, inputs);
        thread::park();
    });
    thread::spawn(move || peers.run(sockets, outbox));
    address
}

/// Opens a link and sends one long malformed message; returns after it was received.
async fn open_used_link(address: SocketAddr, incarnation: u64) -> mpsc::Sender<Bytes> {
    let before = refused_messages();
    let (core, _inputs) = sync_channel(16);
    let (outbox, messages) = mpsc::channel(16);
    let link = PeerLink {
        member: member("router-2", incarnation),
        host: "router-1".into(),
        address,
        core,
    };
    tokio::spawn(link.run(messages));
    let long = Bytes::from(vec![0xff; MESSAGE_BYTES]);
    outbox.send(long).await.expect("the link runs");
    while refused_messages() == before {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    outbox
}

fn refused_messages() -> u64 {
    counter_value("sedgeridge_peer_drops_total{reason=\"malformed\"}")
}

// A new configuration or a change of homes sends long messages on the links of all routers. If each link kept
// buffers for its longest message at both ends, hundreds of idle links would use up the process's memory.
#[test]
fn idle_links_do_not_keep_buffers_for_the_longest_message() {
    metrics();
    let address = start_peers();
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime starts").block_on(async {
        // The first links allocate the memory that the process keeps for the messages themselves.
        for incarnation in 0..WARM_UP_LINKS {
            open_used_link(address, incarnation).await;
        }
        let before = resident_bytes();
        let mut links = Vec::new();
        for incarnation in WARM_UP_LINKS..WARM_UP_LINKS + LINKS {
            links.push(open_used_link(address, incarnation).await);
        }
        let grown = resident_bytes().saturating_sub(before);
        let each = grown / LINKS;
        assert!(
            each <= MAX_BYTES_PER_LINK,
            "{each} bytes for each idle link, both ends"
        );
    });
}
