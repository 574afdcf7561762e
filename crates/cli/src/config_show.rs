//! `config show --effective`: prints every setting in force and where it comes from.

use pico_args::Arguments;

use crate::arguments::SettingsArguments;
use crate::arguments::finish;
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
    finish(arguments)?;
    files.load()?;
    let effective = files.read()?.effective(&files.overrides)?;
    if json {
        return Ok(to_json(&effective));
    }
    Ok(effective.to_string())
}
