//! `config check`: checks settings files without starting anything.

use pico_args::Arguments;
use sedgeridge_state::settings::Settings;

use crate::arguments::SettingsArguments;
use crate::arguments::reject_unused;
use crate::context::Context;
use crate::error::CommandError;
use crate::findings::acceptance_json;

/// Runs the command.
pub fn run(arguments: &mut Arguments, _context: &impl Context) -> Result<String, CommandError> {
    let json = arguments.contains("--json");
    let files = SettingsArguments::take(arguments)?;
    reject_unused(arguments)?;
    let loaded = files.load();
    if json {
        return loaded
            .map(|_| acceptance_json())
            .map_err(CommandError::with_json);
    }
    Ok(summary(&loaded?, &files.describe()))
}

fn summary(settings: &Settings, files: &str) -> String {
    format!(
        "{files}: ok ({} sites, {} hosts, {} pools, {} services, {} endpoints, {} accounts)\n",
        settings.sites.len(),
        settings.hosts.len(),
        settings.pools.len(),
        settings.services.len(),
        settings.endpoints.len(),
        settings.accounts.len(),
    )
}
