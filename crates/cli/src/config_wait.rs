//! `config wait`: waits until a generation is in force on every host.

use std::net::SocketAddr;
use std::time::Duration;

use pico_args::Arguments;
use sedgeridge_protocol::operator::RouterStatus;
use sedgeridge_protocol::operator::STATUS_PATH;
use sedgeridge_state::settings::HostSettings;
use sedgeridge_state::settings::millis;
use serde::Serialize;

use crate::arguments::SettingsArguments;
use crate::arguments::reject_unused;
use crate::arguments::to_json;
use crate::columns::align;
use crate::config_store::read_accepted;
use crate::context::Context;
use crate::error::CommandError;
use crate::online::fetch_page;

/// Default time to wait.
const DEFAULT_TIMEOUT_MS: u64 = 10_000;
/// Pause between two rounds of queries.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Debug, Serialize)]
struct HostRow {
    host: String,
    generation: Option<u64>,
    in_force: bool,
    problem: Option<String>,
}

/// Runs the command.
pub fn run(arguments: &mut Arguments, context: &impl Context) -> Result<String, CommandError> {
    let json = arguments.contains("--json");
    let generation: Option<u64> = arguments.opt_value_from_str("--generation")?;
    let table: Option<SocketAddr> = arguments.opt_value_from_str("--table")?;
    let timeout_ms: Option<u64> = arguments.opt_value_from_str("--timeout-ms")?;
    let files = SettingsArguments::take(arguments)?;
    reject_unused(arguments)?;
    let settings = files.load()?;
    let table = table.or(settings.platform.table_address);
    let generation = match (generation, table) {
        (Some(generation), _) => generation,
        (None, Some(table)) => read_accepted(context, table)?.generation(),
        (None, None) => {
            return Err(CommandError::Usage(
                "expected --generation or --table".into(),
            ));
        }
    };
    let timeout = millis(timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS));
    let rows = wait_for_hosts(context, &settings.hosts, generation, timeout);
    let text = match json {
        true => to_json(&rows),
        false => rows_as_columns(&rows),
    };
    match rows.iter().filter(|row| !row.in_force).count() {
        0 => Ok(text),
        lagging_hosts => Err(CommandError::NotInForce {
            report: text,
            generation,
            lagging_hosts,
        }),
    }
}

/// Queries all hosts, then again those without the generation. Only the pauses count towards the
/// timeout, not the time that the queries take.
fn wait_for_hosts(
    context: &impl Context,
    hosts: &[HostSettings],
    generation: u64,
    timeout: Duration,
) -> Vec<HostRow> {
    let mut waited = Duration::ZERO;
    let mut rows: Vec<HostRow> = hosts
        .iter()
        .map(|h| query_host(context, h, generation))
        .collect();
    while waited < timeout && rows.iter().any(|row| !row.in_force) {
        context.pause(POLL_INTERVAL);
        waited += POLL_INTERVAL;
        for (row, host) in rows.iter_mut().zip(hosts) {
            if !row.in_force {
                *row = query_host(context, host, generation);
            }
        }
    }
    rows
}

fn query_host(context: &impl Context, host: &HostSettings, generation: u64) -> HostRow {
    let status = fetch_page::<RouterStatus>(context, host.operator_address, STATUS_PATH);
    let (found, problem) = match status {
        Ok(status) => (Some(status.config_generation), None),
        Err(error) => (None, Some(error.to_string())),
    };
    HostRow {
        host: host.id.to_string(),
        generation: found,
        in_force: found.is_some_and(|found| found >= generation),
        problem,
    }
}

fn rows_as_columns(rows: &[HostRow]) -> String {
    let cells: Vec<Vec<String>> = rows
        .iter()
        .map(|row| {
            let generation = row.generation.map(|g| g.to_string());
            vec![
                row.host.clone(),
                generation.unwrap_or_else(|| "-".to_owned()),
                if row.in_force { "yes" } else { "no" }.to_owned(),
                row.problem.clone().unwrap_or_default(),
            ]
        })
        .collect();
    align(&["host", "generation", "in force", "problem"], &cells)
}
