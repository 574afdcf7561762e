//! `config apply`: makes the base file and its overlays the accepted configuration.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use pico_args::Arguments;
use sedgeridge_state::config_document::ConfigDocument;
use sedgeridge_state::config_document::SectionEdit;
use sedgeridge_state::settings::Settings;
use sedgeridge_transport::settings_files::ReadSettingsError;
use sedgeridge_transport::settings_files::SettingsTexts;
use sedgeridge_transport::settings_files::overlay_path;

use crate::arguments::reject_unused;
use crate::arguments::table_address;
use crate::arguments::take_file;
use crate::change::Change;
use crate::change::ChangeArguments;
use crate::change::submit;
use crate::config_store::read_accepted;
use crate::context::Context;
use crate::error::CommandError;

/// Maximum number of removed sections that the error names.
const MAX_NAMED_SECTIONS: usize = 5;

/// Runs the command.
pub fn run(arguments: &mut Arguments, context: &impl Context) -> Result<String, CommandError> {
    let table: Option<SocketAddr> = arguments.opt_value_from_str("--table")?;
    let remove = arguments.contains("--remove");
    let options = ChangeArguments::take(arguments, context)?;
    let base = take_file(arguments)?;
    reject_unused(arguments)?;
    let settings = SettingsTexts::read(&base, None)?.load(&[])?;
    let document = read_document(&base, &settings)?;
    let table = table_address(table, &settings)?;
    let accepted = read_accepted(context, table)?;
    let edits = accepted.document.edits_to(&document);
    if !remove {
        refuse_removals(&edits)?;
    }
    let change = Change {
        document,
        summary: summary(&edits),
    };
    submit(context, table, &accepted, change, &options)
}

/// Reads the base file and the overlay of every site that has one.
fn read_document(base: &Path, settings: &Settings) -> Result<ConfigDocument, CommandError> {
    refuse_stray_overlays(base, settings)?;
    let mut overlays = Vec::new();
    for site in &settings.sites {
        let path = overlay_path(base, site.id.as_str());
        if !path.exists() {
            continue;
        }
        let texts = SettingsTexts::read(base, Some(&path))?;
        texts.load(&[])?;
        overlays.push((site.id.as_str(), texts));
    }
    let base_texts = SettingsTexts::read(base, None)?;
    let overlays: Vec<(&str, &str)> = overlays
        .iter()
        .map(|(site, texts)| (*site, texts.overlay_text().unwrap_or_default()))
        .collect();
    Ok(ConfigDocument::from_texts(
        base_texts.base_text(),
        &overlays,
    ))
}

/// Refuses overlays of sites that do not exist; otherwise an overlay with a misspelt file name
/// would be silently ignored.
fn refuse_stray_overlays(base: &Path, settings: &Settings) -> Result<(), CommandError> {
    let directory = match base.parent() {
        Some(parent) if parent != Path::new("") => parent,
        _ => Path::new("."),
    };
    let unreadable = |cause: io::Error| ReadSettingsError::Unreadable {
        path: directory.to_owned(),
        cause,
    };
    for file in fs::read_dir(directory).map_err(unreadable)? {
        let name = file.map_err(unreadable)?.file_name();
        let name = name.to_string_lossy();
        let site = name
            .strip_prefix("site-")
            .and_then(|n| n.strip_suffix(".ini"));
        let Some(site) = site else {
            continue;
        };
        if !settings.sites.iter().any(|known| known.id.as_str() == site) {
            return Err(CommandError::BadInput(format!(
                "{name}: error: overlay of a site that the base file does not have\n  \
                 hint: rename it, or add [site.{site}]"
            )));
        }
    }
    Ok(())
}

/// Refuses to remove sections that the files lack: accounts added by command are in no file.
fn refuse_removals(edits: &[SectionEdit]) -> Result<(), CommandError> {
    let removed: Vec<&Arc<str>> = edits
        .iter()
        .filter(|edit| edit.site.is_none() && edit.pairs.is_none())
        .map(|edit| &edit.section)
        .collect();
    if removed.is_empty() {
        return Ok(());
    }
    let named: Vec<String> = removed
        .iter()
        .take(MAX_NAMED_SECTIONS)
        .map(|s| format!("[{s}]"))
        .collect();
    let more = match removed.len().saturating_sub(MAX_NAMED_SECTIONS) {
        0 => String::new(),
        more => format!(" and {more} more"),
    };
    Err(CommandError::BadInput(format!(
        "error: the files lack {}{more}, which the accepted configuration has\n  \
         hint: add --remove to remove them",
        named.join(", ")
    )))
}

fn summary(edits: &[SectionEdit]) -> String {
    let removed = edits.iter().filter(|edit| edit.pairs.is_none()).count();
    let set = edits.len() - removed;
    format!("{set} sections set, {removed} removed")
}
