//! Reads the ledgers in which endpoints record their runs and orders.

use std::time::Duration;

use sedgeridge_protocol::ledger::LEDGER_PATH;
use sedgeridge_protocol::ledger::LedgerRecord;
use sedgeridge_protocol::ledger::OrderRecord;
use sedgeridge_protocol::ledger::RunRecord as EndpointRun;
use thiserror::Error;
use ureq::Agent;

use crate::history::RunRecord;
use crate::plan::EndpointPlan;
use crate::plan::LoadPlan;
use crate::plan::PoolKind;

const LEDGER_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_LEDGER_BYTES: u64 = 1 << 30;

/// A ledger cannot be read; a report needs the ledgers of all endpoints.
#[derive(Debug, Error)]
pub enum LedgerError {
    /// The endpoint did not answer.
    #[error("cannot fetch the ledger of {endpoint}: {error}")]
    Unreachable {
        /// The endpoint.
        endpoint: String,
        /// What went wrong.
        error: Box<ureq::Error>,
    },
    /// A line is not a ledger record.
    #[error("ledger of {endpoint} has a malformed line: {error}")]
    Malformed {
        /// The endpoint.
        endpoint: String,
        /// What went wrong.
        error: serde_json::Error,
    },
}

/// Reads the runs that all endpoints recorded.
pub fn read_runs(agent: &Agent, plan: &LoadPlan) -> Result<Vec<RunRecord>, LedgerError> {
    let mut runs = Vec::new();
    for endpoint in &plan.endpoints {
        let text = read(agent, endpoint)?;
        let kind = plan.pool_kind(&endpoint.pool);
        let read = parse(&text, kind, plan.output_token_factor);
        let read = read.map_err(|error| LedgerError::Malformed {
            endpoint: endpoint.name.clone(),
            error,
        })?;
        runs.extend(read);
    }
    Ok(runs)
}

/// Reads the orders that all endpoints received, in order of time for each endpoint.
pub fn read_orders(agent: &Agent, plan: &LoadPlan) -> Result<Vec<OrderRecord>, LedgerError> {
    let mut orders = Vec::new();
    for endpoint in &plan.endpoints {
        let text = read(agent, endpoint)?;
        for line in text.lines().filter(|line| !line.is_empty()) {
            let record = serde_json::from_str(line);
            let record = record.map_err(|error| LedgerError::Malformed {
                endpoint: endpoint.name.clone(),
                error,
            })?;
            if let LedgerRecord::Order(order) = record {
                orders.push(order);
            }
        }
    }
    Ok(orders)
}

fn read(agent: &Agent, endpoint: &EndpointPlan) -> Result<String, LedgerError> {
    let url = format!("http://{}{LEDGER_PATH}", endpoint.address);
    let request = agent.get(url).config();
    let request = request.timeout_global(Some(LEDGER_TIMEOUT)).build();
    let text = request.call().and_then(|mut response| {
        let body = response.body_mut().with_config();
        body.limit(MAX_LEDGER_BYTES).read_to_string()
    });
    text.map_err(|error| LedgerError::Unreachable {
        endpoint: endpoint.name.clone(),
        error: Box::new(error),
    })
}

/// Reads the runs from a ledger's JSON lines and skips orders.
///
/// The charge of a plain service is already in service tokens, so the factor does not apply to it.
///
/// ```
/// use sedgeridge_load::ledgers::parse;
/// use sedgeridge_load::plan::PoolKind;
/// assert_eq!(parse("", PoolKind::Model, 4).unwrap(), []);
/// ```
pub fn parse(
    text: &str,
    kind: PoolKind,
    output_token_factor: u64,
) -> Result<Vec<RunRecord>, serde_json::Error> {
    let factor = match kind {
        PoolKind::Model => output_token_factor,
        PoolKind::Plain => 1,
    };
    let mut runs = Vec::new();
    for line in text.lines().filter(|line| !line.is_empty()) {
        if let LedgerRecord::Run(run) = serde_json::from_str(line)? {
            runs.push(run_record(run, factor));
        }
    }
    Ok(runs)
}

fn run_record(run: EndpointRun, output_factor: u64) -> RunRecord {
    RunRecord {
        request_id: run.request_id.unwrap_or_default(),
        account: run.account.unwrap_or_default(),
        endpoint: run.endpoint,
        started_at_us: micros(run.started_at_ms),
        ended_at_us: run.ended_at_ms.map(micros),
        input_charge_tokens: run.input_tokens.saturating_sub(run.cached_tokens),
        output_charge_tokens: output_factor * run.output_tokens,
        idempotency_key: run.idempotency_key,
    }
}

fn micros(time_ms: f64) -> u64 {
    (time_ms * 1000.0) as u64
}
