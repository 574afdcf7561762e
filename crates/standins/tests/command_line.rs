//! Command line of the binary: errors, help and signals.

use std::io::BufRead;
use std::io::BufReader;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;

use signal_hook::consts::SIGTERM;

use sedgeridge_standins::faults::Fault;

const SUBCOMMANDS: [&str; 7] = [
    "engine", "plain", "table", "objects", "hosts", "weights", "relay",
];

fn binary() -> Command {
    Command::new(env!("CARGO_BIN_EXE_sedgeridge-standins"))
}

fn run(arguments: &str) -> Output {
    binary()
        .args(arguments.split_whitespace())
        .stdin(Stdio::null())
        .output()
        .unwrap()
}

#[yare::parameterized(
    nothing = { "", "SUBCOMMAND" },
    unknown_subcommand = { "nope", "nope" },
    unknown_option = { "engine --bogus", "--bogus" },
    stray_word = { "table stray", "stray" },
    no_value = { "engine --slots", "--slots" },
    no_number = { "engine --slots many", "--slots" },
    no_slots = { "plain --slots 0", "--slots" },
    endless_token = { "engine --token-ms 0", "--token-ms" },
    negative_prefill = { "engine --prefill-us-per-token -1", "--prefill-us-per-token" },
    not_a_number = { "engine --token-ms NaN", "--token-ms" },
    host_name = { "engine --listen localhost:80", "--listen" },
    no_rate = { "table --writes-per-s 0", "--writes-per-s" },
    negative_lag = { "hosts --lag-ms -5", "--lag-ms" },
    no_transfer = { "weights --bytes-per-s 0", "--bytes-per-s" },
    no_target = { "relay", "--to" },
    negative_delay = { "relay --to 127.0.0.1:9 --delay-ms -1", "--delay-ms" },
)]
fn a_bad_command_line_ends_with_code_2(arguments: &str, expected_text: &str) {
    let output = run(arguments);
    assert_eq!(output.status.code(), Some(2), "{arguments}");
    let error = String::from_utf8(output.stderr).unwrap();
    assert!(error.contains(expected_text), "{error}");
    assert!(output.stdout.is_empty());
}

#[test]
fn help_and_version_are_there_for_all() {
    let overview = String::from_utf8(run("--help").stdout).unwrap();
    for subcommand in SUBCOMMANDS {
        assert!(overview.contains(subcommand));
        let help = run(&format!("{subcommand} --help"));
        assert!(help.status.success());
        let text = String::from_utf8(help.stdout).unwrap();
        assert!(text.contains("--listen"), "{text}");
        assert!(run(&format!("{subcommand} --version")).status.success());
    }
}

#[test]
fn the_page_names_every_option_and_every_fault() {
    let page = include_str!("../../../docs/standins.md");
    for subcommand in SUBCOMMANDS {
        let help = String::from_utf8(run(&format!("{subcommand} --help")).stdout).unwrap();
        let options = help
            .split_whitespace()
            .filter(|word| word.starts_with("--"));
        for option in options {
            assert!(page.contains(option), "{subcommand} {option}");
        }
    }
    for fault in Fault::ALL {
        let name = serde_json::to_string(&fault).unwrap().replace('"', "`");
        assert!(page.contains(&name), "{name}");
    }
}

#[test]
fn sigterm_ends_each_stand_in() {
    for subcommand in SUBCOMMANDS {
        let mut command = binary();
        command.args([subcommand, "--name", "n-1"]);
        if subcommand == "relay" {
            command.args(["--to", "127.0.0.1:9"]);
        }
        let mut process = command.stdout(Stdio::piped()).spawn().unwrap();
        let mut line = String::new();
        let mut output = BufReader::new(process.stdout.take().unwrap());
        output.read_line(&mut line).unwrap();
        assert!(line.starts_with("listening n-1 127.0.0.1:"), "{line}");
        let stopped = Command::new("kill")
            .args([format!("-{SIGTERM}"), process.id().to_string()])
            .status()
            .unwrap();
        assert!(stopped.success());
        assert!(process.wait().unwrap().success(), "{subcommand}");
    }
}
