//! `config head`: shows the accepted generation and the change that created it.

use pico_args::Arguments;
use serde::Serialize;

use crate::arguments::reject_unused;
use crate::arguments::take_table;
use crate::arguments::to_json;
use crate::config_store::read_accepted;
use crate::config_store::read_change;
use crate::context::Context;
use crate::error::CommandError;

#[derive(Debug, Serialize)]
struct HeadRow {
    generation: u64,
    change_id: String,
    author: String,
    summary: String,
}

/// Runs the command.
pub fn run(arguments: &mut Arguments, context: &impl Context) -> Result<String, CommandError> {
    let json = arguments.contains("--json");
    let table = take_table(arguments)?;
    reject_unused(arguments)?;
    let generation = read_accepted(context, table)?.generation();
    let Some(change) = read_change(context, table, generation)? else {
        return Err(CommandError::Failed(
            "no configuration was accepted yet".to_owned(),
        ));
    };
    let row = HeadRow {
        generation,
        change_id: change.change_id,
        author: change.author,
        summary: change.summary,
    };
    if json {
        return Ok(to_json(&row));
    }
    Ok(format!(
        "generation {}, change {} by {}: {}\n",
        row.generation, row.change_id, row.author, row.summary
    ))
}
