//! Selects the command that the arguments name.

use pico_args::Arguments;

use crate::accounts_import;
use crate::accounts_list;
use crate::config_apply;
use crate::config_check;
use crate::config_head;
use crate::config_reference;
use crate::config_show;
use crate::config_wait;
use crate::context::Context;
use crate::error::CommandError;
use crate::explain;
use crate::help::HELP;
use crate::online::run_drain;
use crate::online::run_endpoints;
use crate::online::run_status;
use crate::orders_add;
use crate::orders_list;
use crate::sites;

/// Runs the command that the arguments name and returns the text to print.
///
/// ```
/// use pico_args::Arguments;
/// use sedgeridge_cli::dispatch::dispatch;
/// use sedgeridge_cli::system::SystemContext;
/// let arguments = Arguments::from_vec(vec!["--version".into()]);
/// assert!(dispatch(arguments, &SystemContext::default()).unwrap().starts_with("sedgeridge "));
/// ```
pub fn dispatch(mut arguments: Arguments, context: &impl Context) -> Result<String, CommandError> {
    if arguments.contains(["-h", "--help"]) {
        return Ok(HELP.to_owned());
    }
    if arguments.contains(["-V", "--version"]) {
        return Ok(format!("sedgeridge {}\n", env!("CARGO_PKG_VERSION")));
    }
    let group = arguments.subcommand()?.unwrap_or_default();
    let arguments = &mut arguments;
    match group.as_str() {
        "" => Err(CommandError::Usage("expected a command".into())),
        "accounts" => accounts(arguments, context),
        "config" => config(arguments, context),
        "endpoints" => endpoints(arguments, context),
        "explain" => explain::run(arguments),
        "orders" => orders(arguments, context),
        "sites" => sites::run(arguments, context),
        "status" => run_status(arguments, context),
        other => Err(unknown(other)),
    }
}

fn accounts(arguments: &mut Arguments, context: &impl Context) -> Result<String, CommandError> {
    match arguments.subcommand()?.unwrap_or_default().as_str() {
        "add" => accounts_import::run_add(arguments, context),
        "import" => accounts_import::run(arguments, context),
        "list" => accounts_list::run(arguments, context),
        other => Err(unknown(&format!("accounts {other}"))),
    }
}

fn config(arguments: &mut Arguments, context: &impl Context) -> Result<String, CommandError> {
    match arguments.subcommand()?.unwrap_or_default().as_str() {
        "apply" => config_apply::run(arguments, context),
        "check" => config_check::run(arguments, context),
        "head" => config_head::run(arguments, context),
        "reference" => config_reference::run(arguments, context),
        "show" => config_show::run(arguments, context),
        "wait" => config_wait::run(arguments, context),
        other => Err(unknown(&format!("config {other}"))),
    }
}

fn endpoints(arguments: &mut Arguments, context: &impl Context) -> Result<String, CommandError> {
    match arguments.subcommand()?.unwrap_or_default().as_str() {
        "drain" => run_drain(arguments, context),
        "list" => run_endpoints(arguments, context),
        other => Err(unknown(&format!("endpoints {other}"))),
    }
}

fn orders(arguments: &mut Arguments, context: &impl Context) -> Result<String, CommandError> {
    match arguments.subcommand()?.unwrap_or_default().as_str() {
        "add" => orders_add::run(arguments, context),
        "list" => orders_list::run(arguments, context),
        other => Err(unknown(&format!("orders {other}"))),
    }
}

fn unknown(command: &str) -> CommandError {
    CommandError::Usage(format!("unknown command `{}`", command.trim_end()))
}
