//! `accounts list`: lists client accounts, from settings files or from the state of one router.

use pico_args::Arguments;
use sedgeridge_state::settings::AccountSettings;
use serde::Serialize;

use crate::arguments::SettingsArguments;
use crate::arguments::reject_unused;
use crate::arguments::to_json;
use crate::columns::align;
use crate::context::Context;
use crate::error::CommandError;
use crate::online::run_accounts;

#[derive(Debug, Serialize)]
struct AccountRow<'a> {
    account: &'a str,
    weight: u32,
    max_in_progress: u32,
    max_requests_per_s: u32,
}

/// Runs the command.
pub fn run(arguments: &mut Arguments, context: &impl Context) -> Result<String, CommandError> {
    if arguments.clone().contains("--router") {
        return run_accounts(arguments, context);
    }
    let json = arguments.contains("--json");
    let files = SettingsArguments::take(arguments)?;
    reject_unused(arguments)?;
    let settings = files.load()?;
    let rows: Vec<AccountRow<'_>> = settings.accounts.iter().map(account_row).collect();
    if json {
        return Ok(to_json(&rows));
    }
    let header = ["account", "weight", "max_in_progress", "max_requests_per_s"];
    let cells: Vec<Vec<String>> = rows
        .iter()
        .map(|row| {
            vec![
                row.account.to_owned(),
                row.weight.to_string(),
                ceiling(row.max_in_progress),
                ceiling(row.max_requests_per_s),
            ]
        })
        .collect();
    Ok(align(&header, &cells))
}

fn account_row(account: &AccountSettings) -> AccountRow<'_> {
    AccountRow {
        account: account.id.as_str(),
        weight: account.weight,
        max_in_progress: account.max_in_progress,
        max_requests_per_s: account.max_requests_per_s,
    }
}

fn ceiling(value: u32) -> String {
    match value {
        0 => "-".to_owned(),
        ceiling => ceiling.to_string(),
    }
}
