//! `orders add`: records an order to an engine, for the coordinator that holds the lease.

use std::net::SocketAddr;

use pico_args::Arguments;
use sedgeridge_protocol::table::Row;
use sedgeridge_protocol::table::RowWrite;
use sedgeridge_protocol::table::TransactAnswer;
use sedgeridge_protocol::table::TransactRequest;
use sedgeridge_protocol::table::VersionCheck;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::lease_record::FencingNumber;
use sedgeridge_state::order_record::EngineOrder;
use sedgeridge_state::order_record::OrderRecord;
use sedgeridge_state::order_record::OrderState;
use sedgeridge_state::order_record::order_key;
use sedgeridge_state::settings::Settings;

use crate::arguments::SettingsArguments;
use crate::arguments::reject_unused;
use crate::arguments::table_address;
use crate::context::Context;
use crate::context::TableError;
use crate::error::CommandError;
use crate::orders_list::read_rows;

/// Maximum number of times a write is sent.
const MAX_ATTEMPTS: u32 = 3;

/// Runs the command.
pub fn run(arguments: &mut Arguments, context: &impl Context) -> Result<String, CommandError> {
    let table: Option<SocketAddr> = arguments.opt_value_from_str("--table")?;
    let endpoint: String = arguments.value_from_str("--endpoint")?;
    let kind: String = arguments.value_from_str("--kind")?;
    let subject: String = arguments.value_from_str("--subject")?;
    let files = SettingsArguments::take(arguments)?;
    reject_unused(arguments)?;
    let settings = files.load()?;
    let table = table_address(table, &settings)?;
    let order = check_order(&settings, &endpoint, &kind, &subject)?;
    let (record, version) = next_record(context, table, endpoint.as_str().into(), order)?;
    write_order(context, table, &record, version)?;
    Ok(format!(
        "order {} to {endpoint} is accepted\n",
        record.number
    ))
}

fn check_order(
    settings: &Settings,
    endpoint: &str,
    kind: &str,
    subject: &str,
) -> Result<EngineOrder, CommandError> {
    let refused = |text: String| Err(CommandError::BadInput(format!("error: {text}")));
    if !settings.endpoints.iter().any(|e| e.id.as_str() == endpoint) {
        return refused(format!(
            "the settings have no section [endpoint.{endpoint}]"
        ));
    }
    match EngineOrder::from_kind(kind, subject) {
        Some(EngineOrder::ChangeRole(pool)) if !settings.pools.iter().any(|p| p.id == pool) => {
            refused(format!("the settings have no section [pool.{pool}]"))
        }
        Some(EngineOrder::ExportCache(_) | EngineOrder::ImportCache(_)) | None => refused(format!(
            "expected --kind load, unload or change_role, found `{kind}`"
        )),
        Some(order) => Ok(order),
    }
}

/// Returns the record of the next order and the version that its row must have.
fn next_record(
    context: &impl Context,
    table: SocketAddr,
    endpoint: EndpointId,
    order: EngineOrder,
) -> Result<(OrderRecord, u64), CommandError> {
    let rows = read_rows(context, table, vec![order_key(&endpoint).to_string()])?;
    let row = rows.first();
    let last = row.and_then(decode);
    if let Some(open) = last.as_ref().filter(|l| l.state == OrderState::Intended) {
        let number = open.number;
        return Err(CommandError::Failed(format!(
            "order {number} to {endpoint} is still open; see `sedgeridge orders list`"
        )));
    }
    let record = OrderRecord {
        endpoint,
        number: last.map_or(0, |last| last.number) + 1,
        fencing: FencingNumber(0),
        order,
        state: OrderState::Intended,
    };
    Ok((record, row.map_or(0, |row| row.version)))
}

/// Writes the record if no other order was written since the row was read.
///
/// A write whose answer is lost is sent again with the same condition. If the first one took
/// effect, the second one finds this order in the row. If that were reported as a conflict, the
/// operator would see a failure for an order that an engine then executes.
fn write_order(
    context: &impl Context,
    table: SocketAddr,
    record: &OrderRecord,
    version: u64,
) -> Result<(), CommandError> {
    let key = order_key(&record.endpoint).to_string();
    let transact = TransactRequest {
        checks: vec![VersionCheck {
            key: key.clone(),
            version,
        }],
        writes: vec![RowWrite {
            key,
            value: Some(record.encode()),
        }],
    };
    let mut maybe_written = false;
    for _ in 0..MAX_ATTEMPTS {
        match context.transact(table, &transact) {
            Ok(TransactAnswer::Committed { .. }) => return Ok(()),
            Ok(TransactAnswer::Conflict { rows }) => return resolve_conflict(record, &rows),
            Err(TableError::OutcomeUnknown(_)) => maybe_written = true,
            Err(error) if !maybe_written => return Err(CommandError::Failed(error.to_string())),
            Err(_) => {}
        }
    }
    Err(CommandError::Failed(
        "the table service gave no answer; the order may be accepted: see `sedgeridge orders list`"
            .to_owned(),
    ))
}

fn resolve_conflict(record: &OrderRecord, rows: &[Row]) -> Result<(), CommandError> {
    let found = rows.first().and_then(decode);
    let is_this_order = |f: &OrderRecord| f.number == record.number && f.order == record.order;
    if found.as_ref().is_some_and(is_this_order) {
        return Ok(());
    }
    let winner = found.map_or("another change".to_owned(), |found| {
        let (kind, subject) = found.order.kind_and_subject();
        format!("order {}, {kind} {subject},", found.number)
    });
    Err(CommandError::Failed(format!(
        "{winner} came first; nothing was written"
    )))
}

fn decode(row: &Row) -> Option<OrderRecord> {
    OrderRecord::decode(row.value.as_deref()?)
}
