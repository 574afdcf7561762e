//! Fetching copies of tables from hosts of this version and of earlier ones.

use std::net::SocketAddr;

use sedgeridge_gateway::store::Table;
use sedgeridge_gateway::table_copies::Fetched;
use sedgeridge_gateway::table_copies::fetch_copy;
use serde::Serialize;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::task::spawn_local;

/// A copy as hosts of the first version told it.
#[derive(Serialize)]
struct EarliestCopy {
    version: u64,
    is_whole: bool,
    rows: Vec<EarliestRow>,
}

#[derive(Serialize)]
struct EarliestRow {
    key: &'static str,
    version: u64,
    value: Option<serde_bytes::ByteBuf>,
}

/// A copy whose maker tells what may have lapsed, but not since when it was without the store.
#[derive(Serialize)]
struct EarlierCopy {
    version: u64,
    is_whole: bool,
    rows: Vec<EarliestRow>,
    lapsing: Vec<EarlierLapsingRow>,
}

#[derive(Serialize)]
struct EarlierLapsingRow {
    key: &'static str,
    version: u64,
    remaining_ms: u64,
}

fn encoded(copy: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(copy, &mut bytes).expect("a vector takes every byte");
    bytes
}

/// Answers one question, whatever it is.
async fn answering(status: &'static str, body: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    spawn_local(async move {
        let (mut stream, _) = listener.accept().await.expect("a caller");
        let mut question = [0; 1_024];
        let read = stream.read(&mut question).await.expect("a question");
        assert!(question[..read].starts_with(b"GET /endpoints?7 "));
        let head = format!(
            "HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes()).await.expect("a reader");
        stream.write_all(&body).await.expect("a reader");
    });
    address
}

fn fetched(status: &'static str, body: Vec<u8>) -> Fetched {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async move {
        let from = answering(status, body).await;
        fetch_copy(Table::Endpoints, 7, from).await
    })
}

/// Hosts are replaced in turn, and meanwhile both versions copy from each other.
#[test]
fn copies_of_earlier_versions_are_read() {
    let earliest = EarliestCopy {
        version: 9,
        is_whole: false,
        rows: vec![EarliestRow {
            key: "a",
            version: 9,
            value: None,
        }],
    };
    let Fetched::Copy(copy) = fetched("200 OK", encoded(&earliest)) else {
        panic!("a copy");
    };
    assert_eq!((copy.version, copy.rows.len()), (9, 1));
    assert!(copy.lapsing.is_empty());
    assert!(copy.keys.is_none());

    let earlier = EarlierCopy {
        version: 9,
        is_whole: false,
        rows: Vec::new(),
        lapsing: vec![EarlierLapsingRow {
            key: "a",
            version: 9,
            remaining_ms: 500,
        }],
    };
    let Fetched::Copy(copy) = fetched("200 OK", encoded(&earlier)) else {
        panic!("a copy");
    };
    assert!(copy.lapsing[0].outage_age.is_zero());
}

#[test]
fn a_host_that_gives_as_many_as_it_can_is_asked_again() {
    let fetched = fetched("503 Service Unavailable", Vec::new());
    assert!(matches!(fetched, Fetched::Busy));
}

#[test]
fn what_is_no_copy_is_not_taken() {
    for (status, body) in [
        ("200 OK", b"no copy".to_vec()),
        ("200 OK", Vec::new()),
        ("404 Not Found", Vec::new()),
    ] {
        assert!(matches!(fetched(status, body), Fetched::Failed));
    }
}
