//! `/control`: the path on which tests order faults of a stand-in.

use hyper::Method;
use hyper::StatusCode;

use sedgeridge_protocol::ledger::LEDGER_PATH;
use sedgeridge_protocol::ledger::LEDGER_RESET_PATH;

use crate::faults::Fault;
use crate::faults::FaultOrder;
use crate::reply;
use crate::reply::Reply;
use crate::server::Call;
use crate::server::SharedState;

/// Path of fault orders.
pub const CONTROL_PATH: &str = "/control";

/// Whether the path belongs to the test harness, whose requests are exempt from faults.
pub fn is_harness_path(path: &str) -> bool {
    matches!(path, CONTROL_PATH | LEDGER_PATH | LEDGER_RESET_PATH)
}

/// Accepts fault orders with POST, lists them with GET, clears them with DELETE.
pub fn handle(shared: &SharedState, call: &Call) -> Reply {
    match call.method {
        Method::GET => {}
        Method::DELETE => shared.faults.borrow_mut().clear(),
        Method::POST => {
            if let Err(refusal) = apply_body(shared, call) {
                return reply::text(StatusCode::BAD_REQUEST, &refusal);
            }
        }
        _ => return reply::text(StatusCode::METHOD_NOT_ALLOWED, "GET, POST or DELETE"),
    }
    let orders = shared.faults.borrow_mut().orders(shared.now());
    reply::json(StatusCode::OK, &orders)
}

fn apply_body(shared: &SharedState, call: &Call) -> Result<(), String> {
    let orders = parse(&call.body)?;
    for order in &orders {
        order.check().map_err(|error| error.to_string())?;
    }
    for order in orders {
        apply(shared, call, order);
    }
    Ok(())
}

fn parse(body: &[u8]) -> Result<Vec<FaultOrder>, String> {
    let is_list = body.trim_ascii_start().starts_with(b"[");
    let orders = if is_list {
        serde_json::from_slice(body)
    } else {
        serde_json::from_slice(body).map(|order| vec![order])
    };
    orders.map_err(|error| error.to_string())
}

fn apply(shared: &SharedState, call: &Call, order: FaultOrder) {
    match order.fault {
        Fault::Clear => shared.faults.borrow_mut().clear(),
        Fault::Silence => {
            for link in shared.other_links(&call.link) {
                link.silence();
            }
        }
        Fault::Cut => {
            for link in shared.other_links(&call.link) {
                link.close();
            }
        }
        _ => shared.faults.borrow_mut().add(shared.now(), order),
    }
}
