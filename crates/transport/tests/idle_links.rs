//! Memory of links between routers that carry nothing.

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
use support::front_bench::count_of;
use support::front_bench::metrics;
use support::resident::resident_bytes;
use tokio::runtime::Builder;
use tokio::sync::mpsc;

const LINKS: u64 = 160;
const WARM_UP: u64 = 10;
const MESSAGE_BYTES: usize = 4 << 20;
/// Both ends are in the process of the test. The heap gives up to 16 MB back or not, 100 KB a link.
const MOST_BYTES_PER_LINK: u64 = 256 << 10;

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
    let (ring, outbox) = peer_channel();
    let peers = Peers {
        member: member("router-1", 1),
        core,
    };
    thread::spawn(move || {
        let _open = (ring, inputs);
        thread::park();
    });
    thread::spawn(move || peers.run(sockets, outbox));
    address
}

/// Opens a link and sends one long message that means nothing; returns when it was read.
async fn used_link(address: SocketAddr, incarnation: u64) -> mpsc::Sender<Bytes> {
    let before = refused();
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
    while refused() == before {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    outbox
}

fn refused() -> u64 {
    count_of("sedgeridge_peer_drops_total{reason=\"malformed\"}")
}

// A change of the whole configuration, or a new home, brings long messages over the links of all
// routers. Each link keeps the room that its longest message took, at both ends, so that hundreds of
// idle links add up to more than the process may have.
#[test]
fn idle_links_do_not_keep_room_for_the_longest_message() {
    metrics();
    let address = start_peers();
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime starts").block_on(async {
        // What the process keeps of the messages themselves is there before.
        for incarnation in 0..WARM_UP {
            used_link(address, incarnation).await;
        }
        let before = resident_bytes();
        let mut links = Vec::new();
        for incarnation in WARM_UP..WARM_UP + LINKS {
            links.push(used_link(address, incarnation).await);
        }
        let grown = resident_bytes().saturating_sub(before);
        let each = grown / LINKS;
        assert!(
            each <= MOST_BYTES_PER_LINK,
            "{each} bytes for each idle link, both ends"
        );
    });
}
