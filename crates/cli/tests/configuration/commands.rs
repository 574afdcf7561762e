//! Commands that change or read the accepted configuration, and commands that query a router.

use std::fmt::Write;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use pico_args::Arguments;
use sedgeridge_cli::config_store::read_accepted;
use sedgeridge_cli::dispatch::dispatch;
use sedgeridge_cli::error::CommandError;
use sedgeridge_state::config_document::ConfigDocument;
use yare::parameterized;

use crate::fake::FakeContext;
use crate::fake::Fault;

const BASE: &str = "\
[fleet]
name = demo
[platform]
table_address = 127.0.0.2:7000
[site.north]
[host.a]
site = north
caller_address = 127.0.0.1:7001
peer_address = 127.0.0.1:7002
operator_address = 127.0.0.1:7003
[host.b]
site = north
caller_address = 127.0.0.1:7011
peer_address = 127.0.0.1:7012
operator_address = 127.0.0.1:7013
[account.crew-07]
weight = 3
key_sha256 = 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef
";
const KEY_HASH: &str = "1123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";
const TABLE_OPTION: &str = "--table 127.0.0.2:7000";

static DIRECTORIES: AtomicU32 = AtomicU32::new(0);

/// Settings files of one test, and the context of its commands.
struct Fixture {
    directory: PathBuf,
    context: FakeContext,
}

impl Fixture {
    fn new() -> Self {
        let number = DIRECTORIES.fetch_add(1, Ordering::Relaxed);
        let root = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let directory = root.join(format!("online-{number}"));
        let _ = fs::remove_dir_all(&directory);
        fs::create_dir_all(&directory).unwrap();
        let fixture = Self {
            directory,
            context: FakeContext::default(),
        };
        fixture.write("base.ini", BASE);
        fixture.write("site-north.ini", "[front]\nmax_queue = 700\n");
        fixture
    }

    /// Creates a fixture whose files are accepted as generation 1.
    fn with_applied_files() -> Self {
        let fixture = Self::new();
        fixture.run("config apply base.ini").unwrap();
        fixture
    }

    fn write(&self, name: &str, text: &str) {
        fs::write(self.directory.join(name), text).unwrap();
    }

    /// Runs a command line; the directory is prepended to words that name files.
    fn run(&self, line: &str) -> Result<String, CommandError> {
        let words = line.split_whitespace().map(|word| {
            if word.ends_with(".ini") || word.ends_with(".csv") {
                self.directory.join(word).into_os_string()
            } else {
                word.into()
            }
        });
        dispatch(Arguments::from_vec(words.collect()), &self.context)
    }

    fn document(&self) -> ConfigDocument {
        let table = "127.0.0.2:7000".parse().unwrap();
        read_accepted(&self.context, table).unwrap().document
    }

    fn commit_count(&self) -> usize {
        self.context.committed.borrow().len()
    }
}

fn status_page(generation: u64) -> String {
    format!(
        r#"{{"host":"a","incarnation":7,"ready":true,"stopping":false,"waiting":2,"running":1,
        "config_generation":{generation},
        "members":2,"member_list":[{{"host":"b","incarnation":9,"state":"suspected"}}]}}"#
    )
}

fn page_key(address: &str, path: &str) -> (SocketAddr, String) {
    (address.parse().unwrap(), path.to_owned())
}

#[test]
fn apply_accepts_the_files_and_then_finds_no_change() {
    let fixture = Fixture::new();
    let text = fixture.run("config apply base.ini").unwrap();
    assert_eq!(
        text,
        "accepted as generation 1, change change-1: 7 sections set, 0 removed\n"
    );

    let settings = fixture.document().settings("north").unwrap();
    assert_eq!(settings.front.max_queue, 700);
    assert_eq!(settings.accounts[0].weight, 3);
    let again = fixture.run("config apply base.ini").unwrap();
    assert_eq!(again, "no change: generation 1 holds it already\n");
    assert_eq!(fixture.commit_count(), 1);
    let head = fixture.run(&format!("config head {TABLE_OPTION}")).unwrap();
    assert_eq!(
        head,
        "generation 1, change change-1 by tester: 7 sections set, 0 removed\n"
    );
}

/// An account is added by command, so no file has it. An operator applies the files again. Without
/// the refusal the account would be removed and its callers would lose access.
#[test]
fn apply_removes_what_the_files_lack_only_when_told() {
    let fixture = Fixture::with_applied_files();
    let add = format!("accounts add crew-08 --key-sha256 {KEY_HASH} --weight 2 {TABLE_OPTION}");
    fixture.run(&add).unwrap();

    let refused = fixture.run("config apply base.ini").unwrap_err();
    assert!(
        refused
            .to_string()
            .contains("the files lack [account.crew-08]")
    );
    assert_eq!(refused.exit_code(), ExitCode::from(2));
    let settings = fixture.document().settings("north").unwrap();
    assert_eq!(settings.accounts[1].weight, 2);
    fixture.run("config apply base.ini --remove").unwrap();
    assert_eq!(
        fixture.document().settings("north").unwrap().accounts.len(),
        1
    );
}

#[test]
fn apply_refuses_what_check_refuses_and_writes_nothing() {
    let fixture = Fixture::new();
    fixture.write("site-north.ini", "[front]\nmax_queue = 0\n");
    let error = fixture.run("config apply base.ini").unwrap_err();

    assert!(
        error
            .to_string()
            .contains("site-north.ini:2: error: [front] max_queue")
    );
    assert_eq!(error.exit_code(), ExitCode::from(2));
    assert_eq!(fixture.commit_count(), 0);
}

#[test]
fn apply_refuses_the_overlay_of_an_unknown_site() {
    let fixture = Fixture::new();
    fixture.write("site-nroth.ini", "");
    let error = fixture.run("config apply base.ini").unwrap_err();

    assert!(
        error
            .to_string()
            .starts_with("site-nroth.ini: error: overlay of a site")
    );
    assert_eq!(fixture.commit_count(), 0);
}

#[test]
fn a_change_that_cannot_be_settled_fails_with_its_change_id() {
    let fixture = Fixture::with_applied_files();
    *fixture.context.transact_faults.borrow_mut() = vec![Fault::CallLost; 6].into();
    fixture.write("site-north.ini", "");
    let error = fixture.run("config apply base.ini").unwrap_err();

    assert!(
        error
            .to_string()
            .contains("unknown whether change change-2 was accepted")
    );
    assert_eq!(error.exit_code(), ExitCode::from(1));
}

#[test]
fn a_thousand_accounts_are_one_change() {
    let fixture = Fixture::with_applied_files();
    let mut csv = "name,weight,key_sha256\n".to_owned();
    for number in 0..1_000 {
        writeln!(csv, "new-{number:04},2,{number:064x}").unwrap();
    }
    fixture.write("new.csv", &csv);
    let text = fixture
        .run(&format!("accounts import new.csv {TABLE_OPTION}"))
        .unwrap();

    assert_eq!(
        text,
        "accepted as generation 2, change change-2: 1000 accounts added\n"
    );
    assert_eq!(fixture.commit_count(), 2);
    assert_eq!(
        fixture.document().settings("north").unwrap().accounts.len(),
        1_001
    );
}

#[test]
fn an_import_with_bad_lines_names_each_and_adds_nothing() {
    let fixture = Fixture::with_applied_files();
    let taken = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";
    let lines = [
        format!("new-1,2,{KEY_HASH}"),
        "new-2,2".to_owned(),
        format!("new 3,2,{:064x}", 3),
        format!("new-4,0,{:064x}", 4),
        "new-5,2,secret".to_owned(),
        format!("new-1,2,{:064x}", 6),
        format!("crew-07,2,{:064x}", 7),
        format!("new-8,2,{KEY_HASH}"),
        format!("new-9,2,{taken}"),
    ];
    fixture.write("new.csv", &lines.join("\n"));
    let error = fixture
        .run(&format!("accounts import new.csv {TABLE_OPTION}"))
        .unwrap_err();

    let text = error.to_string();
    let expected = [
        "new.csv:2: error: expected three columns, name,weight,key_sha256, found `2 columns`",
        "new.csv:3: error: [account.new 3] name: expected a name",
        "new.csv:4: error: [account.new-4] weight: expected a whole number from 1",
        "new.csv:5: error: [account.new-5] key_sha256: expected 64 lower-case",
        "new.csv:6: error: [account.new-1] name: expected a unique account",
        "new.csv:7: error: [account.crew-07] name: expected a unique account",
        "new.csv:8: error: [account.new-8] key_sha256: expected a unique key hash, found that of \
         [account.new-1]",
        "new.csv:9: error: [account.new-9] key_sha256: expected a unique key hash, found that of \
         [account.crew-07]",
        "\n8 errors",
    ];
    for finding in expected {
        assert!(text.contains(finding), "{finding}\nis not in\n{text}");
    }
    assert!(!text.contains("secret"));
    assert_eq!(error.exit_code(), ExitCode::from(2));
    assert_eq!(fixture.commit_count(), 1);
}

#[parameterized(
    no_table = { "accounts import new.csv", "--table", 2 },
    no_hash = { "accounts add crew-08 --table 127.0.0.2:7000", "--key-sha256", 2 },
    nothing_accepted = { "accounts import new.csv --table 127.0.0.2:7000",
        "begin with config apply", 1 },
    router_down = { "status --router 127.0.0.1:9", "connection refused", 1 },
    no_router = { "endpoints list", "--router", 2 },
    bad_router = { "status --router engine:9", "invalid socket address", 2 },
)]
fn commands_that_cannot_run_say_why(line: &str, expected: &str, exit_code: u8) {
    let fixture = Fixture::new();
    fixture.write("new.csv", "");
    let error = fixture.run(line).unwrap_err();

    assert!(error.to_string().contains(expected), "{error}");
    assert_eq!(error.exit_code(), ExitCode::from(exit_code));
}

#[test]
fn wait_ends_when_every_host_has_the_generation() {
    let fixture = Fixture::with_applied_files();
    let pages = [
        (
            page_key("127.0.0.1:7003", "/operator/status"),
            status_page(1),
        ),
        (
            page_key("127.0.0.1:7013", "/operator/status"),
            status_page(0),
        ),
    ];
    *fixture.context.pages.borrow_mut() = pages.into();
    let later = [(
        page_key("127.0.0.1:7013", "/operator/status"),
        status_page(1),
    )];
    *fixture.context.later_pages.borrow_mut() = later.into();
    let text = fixture.run("config wait base.ini").unwrap();

    let expected = "\
host  generation  in force  problem
a     1           yes
b     1           yes
";
    assert_eq!(text, expected);
}

#[test]
fn wait_names_the_hosts_that_are_late() {
    let fixture = Fixture::with_applied_files();
    let pages = [(
        page_key("127.0.0.1:7003", "/operator/status"),
        status_page(1),
    )];
    *fixture.context.pages.borrow_mut() = pages.into();
    let line = "config wait base.ini --generation 1 --timeout-ms 1000";
    let error = fixture.run(line).unwrap_err();

    assert_eq!(error.exit_code(), ExitCode::from(1));
    assert!(
        error
            .stdout()
            .contains("b     -           no        http://127.0.0.1:7013")
    );
    assert_eq!(
        error.to_string(),
        "error: generation 1 is not in force on 1 hosts"
    );
}

#[test]
fn pages_of_a_router_are_shown_as_columns_or_json() {
    let fixture = Fixture::new();
    let endpoints = r#"{"endpoints":[{"endpoint":"desk-1","pool":"desk","site":"north",
        "address":"127.0.0.1:8001","state":"ejected","slots":8,"running":3}]}"#;
    let accounts = r#"{"accounts":[{"account":"crew-07","weight":3,"waiting":5,"running":2,
        "service_tokens":123456}]}"#;
    let pages = [
        (
            page_key("127.0.0.1:7003", "/operator/status"),
            status_page(4),
        ),
        (
            page_key("127.0.0.1:7003", "/operator/endpoints"),
            endpoints.to_owned(),
        ),
        (
            page_key("127.0.0.1:7003", "/operator/accounts"),
            accounts.to_owned(),
        ),
    ];
    *fixture.context.pages.borrow_mut() = pages.into();

    let status = fixture.run("status --router 127.0.0.1:7003").unwrap();
    assert!(status.contains("\ngeneration   4\n"));
    assert!(status.contains("\nb       9            suspected\n"));
    let endpoints = fixture
        .run("endpoints list --router 127.0.0.1:7003")
        .unwrap();
    assert!(endpoints.contains("desk-1    desk  north  127.0.0.1:8001  ejected  8      3"));
    let accounts = fixture
        .run("accounts list --json --router 127.0.0.1:7003")
        .unwrap();
    assert!(accounts.contains("\"service_tokens\": 123456"));
}

/// The router serialises a different type than the command line parses; the two must agree.
#[test]
fn the_status_that_a_router_publishes_is_understood() {
    let published = sedgeridge_transport::status::RouterStatus {
        host: "a".to_owned(),
        members: 3,
        ..Default::default()
    };
    let page = serde_json::to_string(&published).unwrap();
    let fixture = Fixture::new();
    let pages = [(page_key("127.0.0.1:7003", "/operator/status"), page)];
    *fixture.context.pages.borrow_mut() = pages.into();

    let status = fixture.run("status --router 127.0.0.1:7003").unwrap();
    assert!(status.contains("\nmembers      3\n"), "{status}");
}

#[test]
fn a_drain_is_sent_to_the_router() {
    let fixture = Fixture::new();
    let result = fixture.run("endpoints drain desk-1 --router 127.0.0.1:7003");
    assert!(result.unwrap().starts_with("desk-1 takes no new work"));
    let posted = fixture.context.posted.borrow();
    let [(router, path, body)] = &posted[..] else {
        panic!("expected one call, found {posted:?}");
    };
    assert_eq!(router.to_string(), "127.0.0.1:7003");
    assert_eq!(path, "/operator/endpoints/drain");
    assert_eq!(body, r#"{"endpoint":"desk-1"}"#);
}

#[test]
fn a_drain_without_an_endpoint_is_refused() {
    let fixture = Fixture::new();
    assert!(
        fixture
            .run("endpoints drain --router 127.0.0.1:7003")
            .is_err()
    );
    assert!(fixture.context.posted.borrow().is_empty());
}
