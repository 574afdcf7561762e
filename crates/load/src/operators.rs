//! Operators: real processes of the command-line tool that change the configuration or send orders
//! to engines.

use std::fs;
use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;

use crate::client::now_us;
use crate::faults::ConfigChange;
use crate::process_plan::BASE_FILE;
use crate::topology::sha256_hex;

const COMMAND_LINE_PROGRAM: &str = "sedgeridge";
/// Prefix of the output for an accepted change; the generation follows.
const ACCEPTED_PREFIX: &str = "accepted as generation ";
/// Marks the error output for a change that conflicts with an earlier one.
const CONFLICT_MARKER: &str = "conflict:";
/// Prefix of an order's subject; the number of the order follows.
pub const ORDER_SUBJECT_PREFIX: &str = "adapter-";

/// How a change of the configuration ended for its operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The change became a new generation of the configuration.
    Accepted {
        /// The new generation.
        generation: u64,
        /// When its operator received the acceptance.
        told_at_us: u64,
    },
    /// Another change was accepted first.
    Conflict,
    /// Any other failure, with the error output of the command-line tool.
    Failed(String),
}

impl ChangeOutcome {
    /// Parses the output of the command-line tool.
    ///
    /// ```
    /// use sedgeridge_load::operators::ChangeOutcome;
    /// let accepted = ChangeOutcome::read("accepted as generation 7, change a: b\n", "", 5);
    /// assert_eq!(accepted, ChangeOutcome::Accepted { generation: 7, told_at_us: 5 });
    /// ```
    pub fn read(stdout: &str, stderr: &str, told_at_us: u64) -> Self {
        let digits = stdout.strip_prefix(ACCEPTED_PREFIX);
        let digits = digits.and_then(|rest| rest.split(',').next());
        if let Some(generation) = digits.and_then(|digits| digits.parse().ok()) {
            return Self::Accepted {
                generation,
                told_at_us,
            };
        }
        match stderr.contains(CONFLICT_MARKER) {
            true => Self::Conflict,
            false => Self::Failed(stderr.trim().to_owned()),
        }
    }
}

/// Starts the command-line tool for one run.
#[derive(Debug, Clone)]
pub struct Operators {
    dir: PathBuf,
    table_address: SocketAddr,
}

impl Operators {
    /// Operators of the run in a directory.
    pub fn new(dir: &Path, table_address: SocketAddr) -> Self {
        Self {
            dir: dir.to_owned(),
            table_address,
        }
    }

    /// Makes all changes at the same time, each in its own process.
    pub fn apply_changes(&self, changes: &[ConfigChange]) -> io::Result<Vec<ChangeOutcome>> {
        let commands = changes.iter().map(|change| self.change_args(change));
        let commands: Vec<Vec<String>> = commands.collect::<io::Result<_>>()?;
        let children = commands.iter().map(|args| start(args));
        let children: Vec<Child> = children.collect::<io::Result<_>>()?;
        let waits: Vec<_> = children
            .into_iter()
            .map(|child| std::thread::spawn(move || wait_for_outcome(child)))
            .collect();
        waits
            .into_iter()
            .map(|wait| wait.join().expect("reading an outcome does not panic"))
            .collect()
    }

    /// Orders an engine to unload an adapter; returns whether the order was accepted.
    pub fn submit_order(&self, endpoint: &str, number: u64) -> io::Result<bool> {
        let base = self.dir.join(BASE_FILE).display().to_string();
        let subject = format!("{ORDER_SUBJECT_PREFIX}{number}");
        let args = [
            "orders",
            "add",
            &base,
            "--endpoint",
            endpoint,
            "--kind",
            "unload",
            "--subject",
            &subject,
        ];
        let output = start(&args.map(str::to_owned))?.wait_with_output()?;
        print!("{}", text(&output.stderr));
        Ok(output.status.success())
    }

    fn change_args(&self, change: &ConfigChange) -> io::Result<Vec<String>> {
        let table = self.table_address.to_string();
        let args = match change {
            ConfigChange::AddAccount(name) => vec![
                "accounts".to_owned(),
                "add".to_owned(),
                name.clone(),
                "--key-sha256".to_owned(),
                sha256_hex(name),
                "--table".to_owned(),
                table,
            ],
            ConfigChange::ApplyFiles(account) => {
                let base = self.copy_with_account(account)?.display().to_string();
                vec!["config".to_owned(), "apply".to_owned(), base]
            }
        };
        Ok(args)
    }

    /// Copies the settings files to a new directory and appends one more account to the base file.
    fn copy_with_account(&self, account: &str) -> io::Result<PathBuf> {
        let copy = self.dir.join(account);
        fs::create_dir_all(&copy)?;
        for file in fs::read_dir(&self.dir)? {
            let file = file?;
            if file.path().extension().is_some_and(|e| e == "ini") {
                fs::copy(file.path(), copy.join(file.file_name()))?;
            }
        }
        let base = copy.join(BASE_FILE);
        let mut text = fs::OpenOptions::new().append(true).open(&base)?;
        let digest = sha256_hex(account);
        writeln!(
            text,
            "\n[account.{account}]\nweight = 1\nkey_sha256 = {digest}"
        )?;
        Ok(base)
    }
}

fn start(args: &[String]) -> io::Result<Child> {
    let binaries = std::env::current_exe()?;
    Command::new(binaries.with_file_name(COMMAND_LINE_PROGRAM))
        .args(args)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
}

fn wait_for_outcome(child: Child) -> io::Result<ChangeOutcome> {
    let Output { stdout, stderr, .. } = child.wait_with_output()?;
    Ok(ChangeOutcome::read(
        &text(&stdout),
        &text(&stderr),
        now_us(),
    ))
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}
