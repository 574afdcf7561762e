//! Calls of a coordinator to engines and routers, in a few threads of their own.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;

use metrics::counter;
use sedgeridge_coordination::clock::Clock;
use sedgeridge_coordination::coordinator_events::CoordinatorEvent;
use sedgeridge_coordination::order_events::EngineAnswer;
use sedgeridge_coordination::order_events::SendOrder;
use sedgeridge_protocol::coordinator::DRAIN_PATH;
use sedgeridge_protocol::coordinator::DrainRequest;
use sedgeridge_protocol::engine::EngineState;
use sedgeridge_protocol::engine::ORDERS_PATH;
use sedgeridge_protocol::engine_orders::is_in_effect;
use sedgeridge_protocol::engine_orders::order_to_wire;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::order_record::EngineOrder;
use serde::Serialize;
use ureq::Agent;

use crate::address_agent::address_agent;
use crate::address_agent::address_config;
use crate::event_log::LogEvent;
use crate::event_log::log_info;
use crate::event_log::log_warn;

/// Threads that call; an engine that hangs over an order holds one of them.
const CALLERS: usize = 8;
/// Calls that may wait for a thread; one that finds no room counts as unanswered.
const CALL_RING_LEN: usize = 256;
/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time for a call that an engine or router answers at once.
const SHORT_TIMEOUT: Duration = Duration::from_secs(2);
/// Routers that are told of a drain; one would do, two outlive the loss of one.
const DRAIN_FANOUT: usize = 2;
/// Most routers tried for one drain, so that a partition does not hold a thread for long.
const MAX_DRAIN_TRIES: usize = 6;

/// Longest state of an engine; a true one names what the engine serves.
const MAX_STATE_BYTES: u64 = 64 << 10;

/// A call to make.
#[derive(Debug)]
pub enum CoordinatorCall {
    /// Send an order.
    Order {
        /// The order.
        order: SendOrder,
        /// Where the engine listens.
        address: SocketAddr,
    },
    /// Ask whether an order is in effect.
    ReadBack {
        /// The endpoint.
        endpoint: EndpointId,
        /// The order's number.
        number: u64,
        /// The order.
        order: EngineOrder,
        /// Where the engine listens.
        address: SocketAddr,
    },
    /// Tell routers of a drain.
    Drain {
        /// The endpoint.
        endpoint: EndpointId,
        /// Operator addresses of routers, in the order in which to try them.
        routers: Vec<SocketAddr>,
    },
}

/// Ring to the threads that call.
#[derive(Debug)]
pub struct CoordinatorCalls {
    ring: SyncSender<CoordinatorCall>,
}

#[derive(Debug, Clone)]
struct Caller<C> {
    clock: C,
    engines: Agent,
    short: Agent,
    inputs: SyncSender<CoordinatorEvent>,
}

impl CoordinatorCalls {
    /// Starts the threads; `answer_timeout` bounds the time for an engine to obey.
    ///
    /// # Errors
    ///
    /// Fails when a thread cannot be started.
    pub fn start<C: Clock + Clone + Send + 'static>(
        clock: C,
        answer_timeout: Duration,
        inputs: SyncSender<CoordinatorEvent>,
    ) -> io::Result<Self> {
        let (ring, calls) = sync_channel(CALL_RING_LEN);
        let calls = Arc::new(Mutex::new(calls));
        let caller = Caller {
            clock,
            engines: agent(answer_timeout),
            short: agent(SHORT_TIMEOUT),
            inputs,
        };
        for index in 0..CALLERS {
            let calls = Arc::clone(&calls);
            let caller = caller.clone();
            thread::Builder::new()
                .name(format!("coordinator-calls-{index}"))
                .spawn(move || caller.run(&calls))?;
        }
        Ok(Self { ring })
    }

    /// Makes a call; one for which there is no room is left out and counted, as its part repeats it.
    pub fn call(&self, call: CoordinatorCall) {
        if self.ring.try_send(call).is_err() {
            counter!("sedgeridge_coordinator_calls_total", "result" => "no_room").increment(1);
        }
    }
}

/// Each call opens a connection of its own: one that is kept may have gone silent, and an order
/// on it would arrive long after it was sent, or never.
fn agent(timeout: Duration) -> Agent {
    address_agent(
        address_config()
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_global(Some(timeout))
            .max_idle_connections(0)
            .http_status_as_error(false)
            .build(),
    )
}

impl<C: Clock> Caller<C> {
    fn run(&self, calls: &Mutex<Receiver<CoordinatorCall>>) {
        loop {
            let next = calls.lock().expect("no caller panics").recv();
            let Ok(call) = next else {
                return;
            };
            let event = match call {
                CoordinatorCall::Order { order, address } => Some(self.order(&order, address)),
                CoordinatorCall::ReadBack {
                    endpoint,
                    number,
                    order,
                    address,
                } => Some(CoordinatorEvent::ReadBack {
                    in_effect: self.read_back(&order, address),
                    endpoint,
                    number,
                }),
                CoordinatorCall::Drain { endpoint, routers } => self.drain(endpoint, &routers),
            };
            if event.is_some_and(|event| self.inputs.send(event).is_err()) {
                return;
            }
        }
    }

    fn order(&self, order: &SendOrder, address: SocketAddr) -> CoordinatorEvent {
        let answer = self.send(order, address);
        let result = answer_label(answer);
        counter!("sedgeridge_orders_sent_total", "result" => result).increment(1);
        log_info(
            LogEvent::OrderAnswered,
            format_args!(
                "endpoint={} number={} fencing={} result={result}",
                order.endpoint, order.number, order.fencing.0
            ),
        );
        CoordinatorEvent::Answered {
            endpoint: order.endpoint.clone(),
            number: order.number,
            answer,
        }
    }

    /// Sends an order unless the lease ends before a connection is sure to be open.
    ///
    /// The order may have waited in the ring, or the whole process may have been paused, since the
    /// lease was last checked. Sent then, it would reach an engine that obeys the next holder by
    /// now, and one that ignores fencing numbers would obey both.
    fn send(&self, order: &SendOrder, address: SocketAddr) -> EngineAnswer {
        let Some(body) = order_to_wire(&order.order, order.fencing) else {
            return EngineAnswer::Refused;
        };
        if order.not_after <= self.clock.now() + CONNECT_TIMEOUT {
            log_warn(
                LogEvent::OrderTooLate,
                format_args!("endpoint={} number={}", order.endpoint, order.number),
            );
            return EngineAnswer::Unknown;
        }
        match post(&self.engines, address, ORDERS_PATH, &body) {
            Some(200) => EngineAnswer::Done,
            Some(409) => EngineAnswer::OldFencing,
            Some(400 | 404 | 405 | 422) => EngineAnswer::Refused,
            _ => EngineAnswer::Unknown,
        }
    }

    fn read_back(&self, order: &EngineOrder, address: SocketAddr) -> Option<bool> {
        let url = format!("http://{address}{ORDERS_PATH}");
        let mut response = self.short.get(url).call().ok()?;
        let body = response.body_mut().with_config().limit(MAX_STATE_BYTES);
        let body = body.read_to_vec().ok()?;
        let state: EngineState = serde_json::from_slice(&body).ok()?;
        is_in_effect(order, &state)
    }

    fn drain(&self, endpoint: EndpointId, routers: &[SocketAddr]) -> Option<CoordinatorEvent> {
        let body = DrainRequest {
            endpoint: endpoint.to_string(),
        };
        let tries = routers.iter().take(MAX_DRAIN_TRIES);
        let took =
            tries.filter(|router| post(&self.short, **router, DRAIN_PATH, &body) == Some(202));
        let told = took.take(DRAIN_FANOUT).count();
        let result = if told == 0 { "failed" } else { "told" };
        counter!("sedgeridge_drain_announcements_total", "result" => result).increment(1);
        if told == 0 {
            log_warn(
                LogEvent::DrainNotAnnounced,
                format_args!("endpoint={endpoint}"),
            );
            return None;
        }
        Some(CoordinatorEvent::DrainAnnounced { endpoint })
    }
}

/// Posts JSON and returns the answer's status.
fn post(agent: &Agent, address: SocketAddr, path: &str, body: &impl Serialize) -> Option<u16> {
    let body = serde_json::to_vec(body).expect("a call is plain data");
    let sent = agent
        .post(format!("http://{address}{path}"))
        .header(http::header::CONTENT_TYPE, "application/json")
        .send(&body[..]);
    sent.ok().map(|response| response.status().as_u16())
}

fn answer_label(answer: EngineAnswer) -> &'static str {
    match answer {
        EngineAnswer::Done => "done",
        EngineAnswer::OldFencing => "old_fencing",
        EngineAnswer::Refused => "refused",
        EngineAnswer::Unknown => "unknown",
    }
}
