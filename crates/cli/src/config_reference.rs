//! `config reference`: prints the reference page of all settings.

use pico_args::Arguments;
use sedgeridge_state::settings::reference::reference_page;

use crate::arguments::reject_unused;
use crate::context::Context;
use crate::error::CommandError;

/// Runs the command.
pub fn run(arguments: &mut Arguments, _context: &impl Context) -> Result<String, CommandError> {
    reject_unused(arguments)?;
    Ok(reference_page())
}
