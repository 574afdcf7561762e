//! Applies orders to an engine; outdated fencing numbers are refused or ignored.

use hyper::Method;
use hyper::StatusCode;

use sedgeridge_protocol::engine::EngineOrder;
use sedgeridge_protocol::engine::EngineState;
use sedgeridge_protocol::engine::LoadedModel;
use sedgeridge_protocol::engine::OrderKind;
use sedgeridge_protocol::ledger::OrderRecord;

use crate::endpoint::EndpointCore;
use crate::ledger::unix_ms;
use crate::reply;
use crate::reply::Reply;
use crate::server::Call;

/// State of an engine that results from its orders.
#[derive(Debug)]
pub struct EngineOrders {
    checks_fencing: bool,
    state: EngineState,
}

impl EngineOrders {
    /// Creates the state before any order. `checks_fencing` tells whether orders with an outdated
    /// fencing number are refused.
    pub fn new(checks_fencing: bool) -> Self {
        Self {
            checks_fencing,
            state: EngineState::default(),
        }
    }

    /// Whether an order unloaded the model.
    pub fn is_unloaded(&self, model: &str) -> bool {
        self.state.unloaded.iter().any(|name| name == model)
    }

    /// Accepts an order with POST, returns the state with GET.
    pub fn handle(&mut self, core: &EndpointCore, call: &Call) -> Reply {
        match call.method {
            Method::GET => reply::json(StatusCode::OK, &self.state),
            Method::POST => match serde_json::from_slice(&call.body) {
                Ok(order) => self.receive(core, order),
                Err(error) => reply::text(StatusCode::BAD_REQUEST, &error.to_string()),
            },
            _ => reply::text(StatusCode::METHOD_NOT_ALLOWED, "GET or POST"),
        }
    }

    fn receive(&mut self, core: &EndpointCore, order: EngineOrder) -> Reply {
        let highest_fencing = self.state.highest_fencing;
        let checks_fencing = core.checks_fencing(self.checks_fencing);
        let accepted = !checks_fencing || order.fencing >= highest_fencing;
        core.ledger.borrow_mut().order(OrderRecord {
            endpoint: core.name().to_owned(),
            received_at_ms: unix_ms(),
            order: order.clone(),
            accepted,
            highest_fencing,
        });
        if accepted {
            self.apply(order);
            reply::json(StatusCode::OK, &self.state)
        } else {
            reply::json(StatusCode::CONFLICT, &self.state)
        }
    }

    fn apply(&mut self, order: EngineOrder) {
        let state = &mut self.state;
        state.highest_fencing = state.highest_fencing.max(order.fencing);
        match order.kind {
            OrderKind::Load => {
                state.unloaded.retain(|name| *name != order.target);
                state.loaded.retain(|model| model.name != order.target);
                state.loaded.push(LoadedModel {
                    name: order.target,
                    version: order.version,
                });
            }
            OrderKind::Unload => {
                state.loaded.retain(|model| model.name != order.target);
                state.unloaded.retain(|name| *name != order.target);
                state.unloaded.push(order.target);
            }
            OrderKind::Role => state.role = Some(order.target),
        }
    }
}
