//! A fake engine on loopback that takes orders; it also acts as a router that takes drain requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;

use sedgeridge_protocol::coordinator::DrainRequest;
use sedgeridge_protocol::engine::EngineOrder;
use sedgeridge_protocol::engine::EngineState;
use sedgeridge_protocol::engine::LOAD_PATH;
use sedgeridge_protocol::engine::LoadReport;
use sedgeridge_protocol::engine::LoadedModel;
use sedgeridge_protocol::engine::OrderKind;
use tiny_http::Method;
use tiny_http::Request;
use tiny_http::Response;
use tiny_http::Server;

use crate::support::read_json;

#[derive(Debug, Default)]
pub struct EngineData {
    pub checks_fencing: bool,
    /// Running requests in the load report.
    pub running: u32,
    pub state: EngineState,
    /// Every order that arrived, and whether it took effect.
    pub orders: Vec<(EngineOrder, bool)>,
    /// Endpoints of the drain requests that arrived.
    pub drained: Vec<String>,
}

/// A fake engine and router; clones share the state.
#[derive(Debug, Clone)]
pub struct FakeEngine {
    pub address: SocketAddr,
    data: Arc<Mutex<EngineData>>,
}

impl FakeEngine {
    pub fn start(checks_fencing: bool) -> Self {
        let server = Server::http("127.0.0.1:0").unwrap();
        let data = EngineData {
            checks_fencing,
            ..EngineData::default()
        };
        let engine = Self {
            address: server.server_addr().to_ip().unwrap(),
            data: Arc::new(Mutex::new(data)),
        };
        let serving = engine.clone();
        thread::spawn(move || {
            for mut request in server.incoming_requests() {
                let (status, body) = serving.lock().serve(&mut request);
                let _ = request.respond(Response::from_string(body).with_status_code(status));
            }
        });
        engine
    }

    pub fn lock(&self) -> MutexGuard<'_, EngineData> {
        self.data.lock().unwrap()
    }

    /// Returns the fencing numbers of the orders that took effect.
    pub fn obeyed_fencing(&self) -> Vec<u64> {
        let data = self.lock();
        let obeyed = data.orders.iter().filter(|(_, accepted)| *accepted);
        obeyed.map(|(order, _)| order.fencing).collect()
    }
}

impl EngineData {
    fn serve(&mut self, request: &mut Request) -> (u16, String) {
        if request.url() == LOAD_PATH {
            let report = LoadReport {
                running: self.running,
                waiting: 0,
                slots: 4,
                age_ms: 0,
                leaving: false,
            };
            return (200, serde_json::to_string(&report).unwrap());
        }
        if request.url().starts_with("/operator/") {
            let drain: DrainRequest = read_json(request);
            self.drained.push(drain.endpoint);
            return (202, String::new());
        }
        let mut status = 200;
        if *request.method() == Method::Post {
            let order: EngineOrder = read_json(request);
            let accepted = !self.checks_fencing || order.fencing >= self.state.highest_fencing;
            self.orders.push((order.clone(), accepted));
            if accepted {
                self.apply(order);
            } else {
                status = 409;
            }
        }
        (status, serde_json::to_string(&self.state).unwrap())
    }

    pub fn apply(&mut self, order: EngineOrder) {
        self.state.highest_fencing = self.state.highest_fencing.max(order.fencing);
        match order.kind {
            OrderKind::Load => self.state.loaded.push(LoadedModel {
                name: order.target,
                version: order.version,
            }),
            OrderKind::Unload => self.state.unloaded.push(order.target),
            OrderKind::Role => self.state.role = Some(order.target),
        }
    }
}
