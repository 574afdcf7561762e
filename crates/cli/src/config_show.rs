//! `config show --effective`: prints every effective setting and its origin.

use pico_args::Arguments;

use crate::arguments::SettingsArguments;
use crate::arguments::reject_unused;
use crate::arguments::to_json;
use crate::context::Context;
use crate::error::CommandError;

/// Runs the command.
pub fn run(arguments: &mut Arguments, _context: &impl Context) -> Result<String, CommandError> {
    let json = arguments.contains("--json");
    if !arguments.contains("--effective") {
        return Err(CommandError::Usage("config show takes --effective".into()));
    }
    let files = SettingsArguments::take(arguments)?;
    reject_unused(arguments)?;
    files.load()?;
    let effective = files.read()?.effective(&files.overrides)?;
    if json {
        return Ok(to_json(&effective));
    }
    Ok(effective.to_string())
}
