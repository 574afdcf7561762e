//! `orders list`: lists the newest order to each engine.

use std::net::SocketAddr;

use pico_args::Arguments;
use sedgeridge_protocol::table::ReadRequest;
use sedgeridge_protocol::table::Row;
use sedgeridge_state::order_record::ORDER_PREFIX;
use sedgeridge_state::order_record::OrderRecord;
use serde::Serialize;

use crate::arguments::reject_unused;
use crate::arguments::take_table;
use crate::arguments::to_json;
use crate::columns::align;
use crate::context::Context;
use crate::context::TableClient;
use crate::error::CommandError;

#[derive(Debug, Serialize)]
struct OrderRow {
    endpoint: String,
    number: u64,
    kind: &'static str,
    subject: String,
    state: &'static str,
    fencing: u64,
}

/// Runs the command.
pub fn run(arguments: &mut Arguments, context: &impl Context) -> Result<String, CommandError> {
    let json = arguments.contains("--json");
    let table = take_table(arguments)?;
    reject_unused(arguments)?;
    let read = ReadRequest {
        prefix: Some(ORDER_PREFIX.to_owned()),
        ..ReadRequest::default()
    };
    let rows: Vec<OrderRow> = read_table(context, table, &read)?
        .iter()
        .filter_map(|row| OrderRecord::decode(row.value.as_deref()?))
        .map(|record| order_row(&record))
        .collect();
    if json {
        return Ok(to_json(&rows));
    }
    let header = ["endpoint", "number", "kind", "subject", "state", "fencing"];
    let cells: Vec<Vec<String>> = rows.into_iter().map(order_cells).collect();
    Ok(align(&header, &cells))
}

/// Reads rows by key.
pub(crate) fn read_rows(
    client: &impl TableClient,
    table: SocketAddr,
    keys: Vec<String>,
) -> Result<Vec<Row>, CommandError> {
    let read = ReadRequest {
        keys,
        ..ReadRequest::default()
    };
    read_table(client, table, &read)
}

fn read_table(
    client: &impl TableClient,
    table: SocketAddr,
    read: &ReadRequest,
) -> Result<Vec<Row>, CommandError> {
    let answer = client.read(table, read);
    let answer = answer.map_err(|error| CommandError::Failed(error.to_string()))?;
    Ok(answer.rows)
}

fn order_row(record: &OrderRecord) -> OrderRow {
    let (kind, subject) = record.order.kind_and_subject();
    OrderRow {
        endpoint: record.endpoint.to_string(),
        number: record.number,
        kind,
        subject: subject.to_owned(),
        state: record.state.as_str(),
        fencing: record.fencing.0,
    }
}

fn order_cells(row: OrderRow) -> Vec<String> {
    vec![
        row.endpoint,
        row.number.to_string(),
        row.kind.to_owned(),
        row.subject,
        row.state.to_owned(),
        row.fencing.to_string(),
    ]
}
