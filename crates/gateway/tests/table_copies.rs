//! Fetching copies of tables from hosts of this version and of earlier ones.

use std::net::SocketAddr;

use sedgeridge_fleet::store_version::StoreVersion;
use sedgeridge_gateway::store::Table;
use sedgeridge_gateway::table_copies::FetchResult;
use sedgeridge_gateway::table_copies::fetch_copy;
use serde::Serialize;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::task::spawn_local;

/// A copy as sent by hosts of the first version.
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

/// A copy as sent by hosts that report what may have lapsed, but not for how long they were without
/// the store.
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

/// A copy as sent by hosts of this version after the store came back from an older copy.
#[derive(Serialize)]
struct LaterCopy {
    version: u64,
    era: u64,
    is_whole: bool,
    rows: Vec<LaterRow>,
}

#[derive(Serialize)]
struct LaterRow {
    key: &'static str,
    version: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    era: Option<u64>,
    value: Option<serde_bytes::ByteBuf>,
}

fn encoded(copy: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(copy, &mut bytes).expect("writing to a vector cannot fail");
    bytes
}

/// Answers one request with `status` and `body`.
async fn serve_once(status: &'static str, body: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    spawn_local(async move {
        let (mut stream, _) = listener.accept().await.expect("a caller");
        let mut question = [0; 1_024];
        let read = stream.read(&mut question).await.expect("a question");
        let question = String::from_utf8_lossy(&question[..read]).into_owned();
        assert!(question.starts_with("GET /endpoints?7 "));
        assert!(question.contains("known-era: 3\r\n"));
        let head = format!(
            "HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes()).await.expect("a reader");
        stream.write_all(&body).await.expect("a reader");
    });
    address
}

fn fetched(status: &'static str, body: Vec<u8>) -> FetchResult {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async move {
        let from = serve_once(status, body).await;
        let known = StoreVersion { era: 3, number: 7 };
        fetch_copy(Table::Endpoints, known, from).await
    })
}

/// Hosts are upgraded one after the other, and meanwhile both versions copy from each other.
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
    let FetchResult::Copy(copy) = fetched("200 OK", encoded(&earliest)) else {
        panic!("a copy");
    };
    assert_eq!((copy.version, copy.rows.len()), (9.into(), 1));
    assert!(copy.lapsing.is_empty());
    assert!(copy.keys.is_none());
    assert_eq!(copy.rows[0].version, 9.into(), "of the earliest era");

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
    let FetchResult::Copy(copy) = fetched("200 OK", encoded(&earlier)) else {
        panic!("a copy");
    };
    assert!(copy.lapsing[0].outage_age.is_zero());
}

/// Guards against rows of an earlier era that count as written after the store came back.
#[test]
fn rows_keep_the_era_in_which_they_were_written() {
    let row = |key, version, era| LaterRow {
        key,
        version,
        era,
        value: None,
    };
    let later = LaterCopy {
        version: 9,
        era: 4,
        is_whole: false,
        rows: vec![row("a", 9, None), row("b", 70, Some(3))],
    };
    let FetchResult::Copy(copy) = fetched("200 OK", encoded(&later)) else {
        panic!("a copy");
    };
    assert_eq!(copy.version, StoreVersion { era: 4, number: 9 });
    assert_eq!(copy.rows[0].version, copy.version);
    assert_eq!(copy.rows[1].version, StoreVersion { era: 3, number: 70 });
}

#[test]
fn a_host_at_its_copy_limit_is_reported_as_busy() {
    let fetched = fetched("503 Service Unavailable", Vec::new());
    assert!(matches!(fetched, FetchResult::Busy));
}

#[test]
fn invalid_copies_are_rejected() {
    for (status, body) in [
        ("200 OK", b"no copy".to_vec()),
        ("200 OK", Vec::new()),
        ("404 Not Found", Vec::new()),
    ] {
        assert!(matches!(fetched(status, body), FetchResult::Failed));
    }
}
