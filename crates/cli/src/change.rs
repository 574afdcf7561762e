//! Submits a change of the configuration and formats its outcome.

use std::net::SocketAddr;

use pico_args::Arguments;
use sedgeridge_state::config_document::ConfigDocument;
use sedgeridge_state::settings::SettingsError;
use sedgeridge_transport::settings_files::ReadSettingsError;
use serde::Serialize;

use crate::arguments::to_json;
use crate::config_commit::Proposal;
use crate::config_commit::commit;
use crate::config_store::AcceptedConfig;
use crate::context::Context;
use crate::error::CommandError;

/// Options of every command that changes the configuration.
#[derive(Debug)]
pub struct ChangeArguments {
    author: String,
    json: bool,
}

/// A change to submit.
#[derive(Debug)]
pub struct Change {
    /// The whole new configuration.
    pub document: ConfigDocument,
    /// One-line summary of the change.
    pub summary: String,
}

#[derive(Debug, Serialize)]
struct Outcome<'a> {
    generation: u64,
    change_id: &'a str,
    summary: &'a str,
    changed: bool,
}

impl ChangeArguments {
    /// Takes `--author NAME` and `--json`.
    pub fn take(arguments: &mut Arguments, context: &impl Context) -> Result<Self, CommandError> {
        let author: Option<String> = arguments.opt_value_from_str("--author")?;
        Ok(Self {
            author: author.unwrap_or_else(|| context.author()),
            json: arguments.contains("--json"),
        })
    }
}

/// Checks the new configuration for every site and commits it.
pub fn submit(
    context: &impl Context,
    table: SocketAddr,
    accepted: &AcceptedConfig,
    change: Change,
    options: &ChangeArguments,
) -> Result<String, CommandError> {
    if change.document == accepted.document {
        return Ok(unchanged_text(accepted, options));
    }
    check_for_every_site(&change.document).map_err(ReadSettingsError::Refused)?;
    let proposal = Proposal {
        document: change.document,
        author: options.author.clone(),
        summary: change.summary,
    };
    let accepted = commit(context, table, accepted, &proposal)?;
    let outcome = Outcome {
        generation: accepted.generation,
        change_id: &accepted.change_id,
        summary: &accepted.summary,
        changed: true,
    };
    if options.json {
        return Ok(to_json(&outcome));
    }
    Ok(format!(
        "accepted as generation {}, change {}: {}\n",
        outcome.generation, outcome.change_id, outcome.summary
    ))
}

fn unchanged_text(accepted: &AcceptedConfig, options: &ChangeArguments) -> String {
    let change_id = accepted.head.as_ref().map_or("", |head| &head.change_id);
    let outcome = Outcome {
        generation: accepted.generation(),
        change_id,
        summary: "no change",
        changed: false,
    };
    if options.json {
        return to_json(&outcome);
    }
    format!(
        "no change: generation {} holds it already\n",
        outcome.generation
    )
}

/// Loads the settings of every site, as an accepted configuration must load at each of them.
fn check_for_every_site(document: &ConfigDocument) -> Result<(), Vec<SettingsError>> {
    let settings = document.settings("")?;
    for site in settings.sites {
        document.settings(site.id.as_str())?;
    }
    Ok(())
}
