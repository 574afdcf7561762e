//! `accounts add` and `accounts import`: add client accounts in one change, all or none.

use std::fs;

use pico_args::Arguments;
use sedgeridge_state::config_document::Layer;
use sedgeridge_state::settings::SettingsError;
use sedgeridge_transport::settings_files::ReadSettingsError;

use crate::account_csv::read_accounts;
use crate::arguments::reject_unused;
use crate::arguments::take_file;
use crate::arguments::take_table;
use crate::change::Change;
use crate::change::ChangeArguments;
use crate::change::submit;
use crate::config_store::AcceptedConfig;
use crate::config_store::read_accepted;
use crate::context::Context;
use crate::error::CommandError;

/// File name in findings about the arguments of `accounts add`.
const ARGUMENTS_SOURCE: &str = "(arguments)";
/// Default weight of an added account.
const DEFAULT_WEIGHT: &str = "1";

/// Runs `accounts import FILE`.
pub fn run(arguments: &mut Arguments, context: &impl Context) -> Result<String, CommandError> {
    let table = take_table(arguments)?;
    let options = ChangeArguments::take(arguments, context)?;
    let file = take_file(arguments)?;
    reject_unused(arguments)?;
    let text = fs::read_to_string(&file).map_err(|cause| ReadSettingsError::Unreadable {
        path: file.clone(),
        cause,
    })?;
    let accepted = read_accepted(context, table)?;
    let name = file.display().to_string();
    let change = accounts_change(&accepted, &text, &name)?;
    submit(context, table, &accepted, change, &options)
}

/// Runs `accounts add NAME --key-sha256 DIGITS [--weight N]`.
pub fn run_add(arguments: &mut Arguments, context: &impl Context) -> Result<String, CommandError> {
    let table = take_table(arguments)?;
    let options = ChangeArguments::take(arguments, context)?;
    let digest: String = arguments.value_from_str("--key-sha256")?;
    let weight: Option<String> = arguments.opt_value_from_str("--weight")?;
    let name: String = arguments.free_from_str()?;
    reject_unused(arguments)?;
    let weight = weight.as_deref().unwrap_or(DEFAULT_WEIGHT);
    let accepted = read_accepted(context, table)?;
    let change = accounts_change(
        &accepted,
        &format!("{name},{weight},{digest}"),
        ARGUMENTS_SOURCE,
    )?;
    submit(context, table, &accepted, change, &options)
}

fn accounts_change(
    accepted: &AcceptedConfig,
    text: &str,
    name: &str,
) -> Result<Change, CommandError> {
    if accepted.head.is_none() {
        return Err(CommandError::Failed(
            "no configuration was accepted yet; begin with config apply".to_owned(),
        ));
    }
    let refused = |findings: Vec<SettingsError>| ReadSettingsError::Refused(findings);
    let sections: Layer = read_accounts(text, name, &accepted.document.base).map_err(refused)?;
    let summary = match sections.len() {
        1 => "1 account added".to_owned(),
        count => format!("{count} accounts added"),
    };
    let mut document = accepted.document.clone();
    document.base.extend(sections);
    Ok(Change { document, summary })
}
