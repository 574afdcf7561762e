//! Output and exit codes of the commands that only read settings files, run as processes.

use std::fs;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use yare::parameterized;

const BASE: &str = "\
[fleet]
name = demo
[site.north]
[host.a]
site = north
caller_address = 127.0.0.1:7001
peer_address = 127.0.0.1:7002
operator_address = 127.0.0.1:7003
[account.crew-07]
weight = 3
key_sha256 = 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef
";

/// Number of directories created, so that concurrent cases of one test get different ones.
static DIRECTORIES: AtomicU32 = AtomicU32::new(0);

struct Directory(PathBuf);

impl Directory {
    fn new(test: &str) -> Self {
        let number = DIRECTORIES.fetch_add(1, Ordering::Relaxed);
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{test}-{number}"));
        fs::create_dir_all(&path).unwrap();
        let directory = Self(path);
        directory.write("base.ini", BASE);
        directory.write("site-north.ini", "[front]\nmax_queue = 700\n");
        directory
    }

    fn write(&self, name: &str, text: &str) {
        fs::write(self.0.join(name), text).unwrap();
    }

    fn run(&self, arguments: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_sedgeridge"))
            .current_dir(&self.0)
            .args(arguments)
            .output()
            .unwrap()
    }
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

#[test]
fn check_accepts_a_base_file_with_its_overlay() {
    let directory = Directory::new("check_accepts");
    let output = directory.run(&["config", "check", "base.ini", "--site", "north"]);

    assert_eq!(output.status.code(), Some(0));
    assert!(stdout(&output).starts_with("base.ini with site-north.ini: ok (1 sites, 1 hosts"));
}

#[test]
fn check_prints_every_finding_and_their_count() {
    let directory = Directory::new("check_prints");
    directory.write(
        "base.ini",
        &BASE.replace("weight = 3", "wieght = 3\nmax_in_progress = x"),
    );
    let output = directory.run(&["config", "check", "base.ini"]);

    assert_eq!(output.status.code(), Some(2));
    let expected = "\
base.ini:10: error: [account.crew-07] wieght: expected a key of this section, found `wieght`
  hint: did you mean `weight`?
base.ini:11: error: [account.crew-07] max_in_progress: expected a whole number from 0 to 1000000, \
found `x`

2 errors
";
    assert_eq!(stderr(&output), expected);
    assert_eq!(stdout(&output), "");
}

#[test]
fn check_gives_findings_as_json() {
    let directory = Directory::new("check_json");
    let set = ["--set", "front.idle_timeout_ms=5s"];
    let output = directory.run(&["config", "check", "--json", set[0], set[1], "base.ini"]);

    assert_eq!(output.status.code(), Some(2));
    let report: serde_json::Value = serde_json::from_str(&stdout(&output)).unwrap();
    assert_eq!(report["ok"], false);
    assert_eq!(report["errors"][0]["file"], "--set");
    assert_eq!(report["errors"][0]["line"], 1);
    assert_eq!(report["errors"][0]["key"], "idle_timeout_ms");
    assert_eq!(report["errors"][0]["hint"], "write 5000");
}

#[test]
fn show_names_the_origin_of_every_value_and_loads_again() {
    let directory = Directory::new("show_origin");
    let arguments = [
        "config",
        "show",
        "--effective",
        "base.ini",
        "--site",
        "north",
    ];
    let output = directory.run(&arguments);

    assert_eq!(output.status.code(), Some(0));
    let text = stdout(&output);
    assert!(text.contains("# site-north.ini:2\nmax_queue = 700\n"));
    assert!(text.contains("# default\nmax_queue_per_account = 256\n"));
    assert!(text.contains("# base.ini:10\nweight = 3\n"));
    directory.write("shown.ini", &text);
    assert_eq!(
        directory
            .run(&["config", "check", "shown.ini"])
            .status
            .code(),
        Some(0)
    );
}

#[test]
fn lists_are_columns_or_json() {
    let directory = Directory::new("lists");

    let accounts = stdout(&directory.run(&["accounts", "list", "base.ini"]));
    assert!(accounts.starts_with("account  weight  max_in_progress"));
    assert!(accounts.contains("\ncrew-07  3       -"));
    let sites = stdout(&directory.run(&["sites", "--json", "base.ini"]));
    let sites: serde_json::Value = serde_json::from_str(&sites).unwrap();
    assert_eq!(sites[0]["site"], "north");
    assert_eq!(sites[0]["hosts"], 1);
}

#[test]
fn help_and_version_succeed() {
    let directory = Directory::new("help");

    assert!(stdout(&directory.run(&["--help"])).contains("EXIT CODES"));
    assert!(stdout(&directory.run(&["config", "--help"])).contains("config check FILE"));
    assert!(stdout(&directory.run(&["--version"])).starts_with("sedgeridge "));
}

#[parameterized(
    no_command = { &[], "expected a command" },
    unknown_command = { &["fleet"], "unknown command `fleet`" },
    unknown_subcommand = { &["config", "chek"], "unknown command `config chek`" },
    no_file = { &["config", "check"], "expected a FILE" },
    stray_argument = { &["sites", "base.ini", "more"], "unexpected argument `more`" },
    stray_option = { &["sites", "base.ini", "--loud"], "unexpected argument `--loud`" },
    both_overlays = { &["config", "check", "base.ini", "--site", "a", "--overlay", "b"],
        "not both" },
    bad_override = { &["config", "check", "base.ini", "--set", "max_queue=1"],
        "expected `section.key=value`, found `max_queue=1`" },
    unreadable_file = { &["config", "check", "absent.ini"], "absent.ini: error: " },
    unreadable_overlay = { &["config", "check", "base.ini", "--site", "south"],
        "site-south.ini: error: " },
    unknown_site = { &["sites", "base.ini", "--site", "copy"], "found `copy`\n  hint: known: north" },
    show_what = { &["config", "show", "base.ini"], "takes --effective" },
)]
fn bad_arguments_are_refused(arguments: &[&str], expected: &str) {
    let directory = Directory::new("bad_arguments");
    directory.write("site-copy.ini", "");
    let output = directory.run(arguments);

    assert_eq!(output.status.code(), Some(2));
    assert!(stderr(&output).contains(expected), "{}", stderr(&output));
}
