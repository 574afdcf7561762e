//! The command line: one subcommand for each stand-in.

use std::ffi::OsString;
use std::io;
use std::io::Read;
use std::os::unix::net::UnixStream;
use std::process::ExitCode;

use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::low_level::pipe;
use thiserror::Error;

use crate::configs::CommandLine;
use crate::configs::UsageError;
use crate::configs::engine::EngineConfig;
use crate::configs::hosts::HostsConfig;
use crate::configs::plain::PlainConfig;
use crate::configs::platform::TableConfig;
use crate::configs::relay::RelayConfig;
use crate::configs::weights::WeightsConfig;
use crate::engine;
use crate::hosts;
use crate::objects;
use crate::plain;
use crate::relay;
use crate::relay::Relay;
use crate::server::RunningServer;
use crate::table;
use crate::weights;

/// Exit code after an invalid command line.
const USAGE_EXIT_CODE: u8 = 2;

const HELP: &str = "\
Stand-ins for the systems around the fleet.

sedgeridge-standins SUBCOMMAND [OPTIONS]

  engine   a model engine that batches continuously
  plain    a plain HTTP service
  table    the platform's table service
  objects  the platform's object store
  hosts    the platform's lagging host list
  weights  the platform's rate-limited weight store
  relay    a TCP relay that stands for a network link

Each subcommand has its own --help.
";

#[derive(Debug, Error)]
enum CliError {
    #[error("{0}")]
    Usage(#[from] UsageError),
    #[error("{0}")]
    Start(#[from] io::Error),
}

/// Runs the stand-in that `arguments` (without the program name) select, until SIGTERM or SIGINT.
pub fn run(mut arguments: Vec<OsString>) -> ExitCode {
    if arguments.is_empty() {
        eprint!("{HELP}");
        return ExitCode::from(USAGE_EXIT_CODE);
    }
    let subcommand = arguments.remove(0).to_string_lossy().into_owned();
    let result = match subcommand.as_str() {
        "engine" => serve(arguments, engine::spawn, |config: &EngineConfig| {
            &config.endpoint.name
        }),
        "plain" => serve(arguments, plain::spawn, |config: &PlainConfig| {
            &config.endpoint.name
        }),
        "table" => serve(arguments, table::spawn, |config: &TableConfig| &config.name),
        "objects" => serve(arguments, objects::spawn, |config: &TableConfig| {
            &config.name
        }),
        "hosts" => serve(arguments, hosts::spawn, |config: &HostsConfig| &config.name),
        "weights" => serve(arguments, weights::spawn, |config: &WeightsConfig| {
            &config.name
        }),
        "relay" => serve(
            arguments,
            |config| relay::spawn(&config),
            |config: &RelayConfig| &config.name,
        ),
        "--help" | "-h" | "help" => return print(HELP),
        "--version" => return print_version(),
        other => Err(UsageError::Unknown(other.to_owned()).into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(CliError::Usage(error)) => {
            eprintln!("sedgeridge-standins: {error}\nTry `sedgeridge-standins --help`.");
            ExitCode::from(USAGE_EXIT_CODE)
        }
        Err(CliError::Start(error)) => {
            eprintln!("sedgeridge-standins {subcommand}: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Handle of a running stand-in.
trait StandinHandle {
    /// Text of the start line that follows the name.
    fn addresses(&self) -> String;
}

impl StandinHandle for RunningServer {
    fn addresses(&self) -> String {
        self.address().to_string()
    }
}

impl StandinHandle for Relay {
    fn addresses(&self) -> String {
        format!("{} control {}", self.address(), self.control().address())
    }
}

fn serve<C: CommandLine, S: StandinHandle>(
    arguments: Vec<OsString>,
    spawn: fn(C) -> io::Result<S>,
    name: fn(&C) -> &str,
) -> Result<(), CliError> {
    let has_flag = |flag: &str| arguments.iter().any(|argument| argument == flag);
    if has_flag("--help") || has_flag("-h") {
        print(&C::help());
        return Ok(());
    }
    if has_flag("--version") {
        print_version();
        return Ok(());
    }
    let config = C::parse(arguments)?;
    let name = name(&config).to_owned();
    let stop = stop_signal()?;
    let running = spawn(config)?;
    println!("listening {name} {}", running.addresses());
    wait_for_signal(stop)?;
    drop(running);
    Ok(())
}

fn stop_signal() -> io::Result<UnixStream> {
    let (receiver, sender) = UnixStream::pair()?;
    pipe::register(SIGTERM, sender.try_clone()?)?;
    pipe::register(SIGINT, sender)?;
    Ok(receiver)
}

fn wait_for_signal(mut stop: UnixStream) -> io::Result<()> {
    stop.read_exact(&mut [0])
}

fn print(text: &str) -> ExitCode {
    print!("{text}");
    ExitCode::SUCCESS
}

fn print_version() -> ExitCode {
    print(concat!(
        "sedgeridge-standins ",
        env!("CARGO_PKG_VERSION"),
        "\n"
    ))
}
