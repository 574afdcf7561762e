//! `sites`: lists sites with their hosts and endpoints.

use pico_args::Arguments;
use sedgeridge_state::settings::Settings;
use sedgeridge_state::settings::SiteSettings;
use serde::Serialize;

use crate::arguments::SettingsArguments;
use crate::arguments::reject_unused;
use crate::arguments::to_json;
use crate::columns::align;
use crate::context::Context;
use crate::error::CommandError;

#[derive(Debug, Serialize)]
struct SiteRow<'a> {
    site: &'a str,
    region: &'a str,
    hosts: usize,
    endpoints: usize,
}

/// Runs the command.
pub fn run(arguments: &mut Arguments, _context: &impl Context) -> Result<String, CommandError> {
    let json = arguments.contains("--json");
    let files = SettingsArguments::take(arguments)?;
    reject_unused(arguments)?;
    let settings = files.load()?;
    let sites = settings.sites.iter();
    let rows: Vec<SiteRow<'_>> = sites.map(|site| site_row(&settings, site)).collect();
    if json {
        return Ok(to_json(&rows));
    }
    let cells: Vec<Vec<String>> = rows
        .iter()
        .map(|row| {
            vec![
                row.site.to_owned(),
                row.region.to_owned(),
                row.hosts.to_string(),
                row.endpoints.to_string(),
            ]
        })
        .collect();
    Ok(align(&["site", "region", "hosts", "endpoints"], &cells))
}

fn site_row<'a>(settings: &Settings, site: &'a SiteSettings) -> SiteRow<'a> {
    let hosts = settings.hosts.iter().filter(|host| host.site == site.id);
    let endpoints = settings.endpoints.iter().filter(|e| e.site == site.id);
    SiteRow {
        site: site.id.as_str(),
        region: &site.region,
        hosts: hosts.count(),
        endpoints: endpoints.count(),
    }
}
