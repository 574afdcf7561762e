//! Calls of a coordinator to engines and routers, in a few separate threads.

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

/// Threads for calls; an engine that does not answer an order occupies one of them.
const CALL_THREADS: usize = 8;
/// Calls that may wait for a thread; a call beyond them is dropped and counts as unanswered.
const CALL_CHANNEL_LEN: usize = 256;
/// Longest time to open a connection to an engine or router.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time for a call that an engine or router should answer at once.
const SHORT_TIMEOUT: Duration = Duration::from_secs(2);
/// Routers to which a drain is announced. One is sufficient; with two, the drain survives the loss of one.
const DRAIN_FANOUT: usize = 2;
/// Most routers that are tried for one drain, so that a network partition does not occupy a thread for long.
const MAX_DRAIN_TRIES: usize = 6;

/// Longest state of an engine that is read; a valid one lists the models that the engine serves, and its role.
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
    /// Read back from the engine whether an order is in effect.
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
    /// Announce a drain to routers.
    Drain {
        /// The endpoint.
        endpoint: EndpointId,
        /// Operator addresses of routers, in the order in which to try them.
        routers: Vec<SocketAddr>,
    },
}

/// Channel to the threads that call.
#[derive(Debug)]
pub struct CoordinatorCalls {
    sender: SyncSender<CoordinatorCall>,
}

#[derive(Debug, Clone)]
struct CallThread<C> {
    clock: C,
    engines: Agent,
    short_calls: Agent,
    inputs: SyncSender<CoordinatorEvent>,
}

impl CoordinatorCalls {
    /// Starts the threads; `answer_timeout` is the longest time for an engine to answer an order.
    ///
    /// # Errors
    ///
    /// Fails if a thread cannot be started.
    pub fn start<C: Clock + Clone + Send + 'static>(
        clock: C,
        answer_timeout: Duration,
        inputs: SyncSender<CoordinatorEvent>,
    ) -> io::Result<Self> {
        let (sender, calls) = sync_channel(CALL_CHANNEL_LEN);
        let calls = Arc::new(Mutex::new(calls));
        let call_thread = CallThread {
            clock,
            engines: agent(answer_timeout),
            short_calls: agent(SHORT_TIMEOUT),
            inputs,
        };
        for index in 0..CALL_THREADS {
            let calls = Arc::clone(&calls);
            let call_thread = call_thread.clone();
            thread::Builder::new()
                .name(format!("coordinator-calls-{index}"))
                .spawn(move || call_thread.run(&calls))?;
        }
        Ok(Self { sender })
    }

    /// Starts a call. If the channel is full, the call is dropped and counted, as the part of the
    /// coordinator that requested it repeats it.
    pub fn call(&self, call: CoordinatorCall) {
        if self.sender.try_send(call).is_err() {
            counter!("sedgeridge_coordinator_calls_total", "result" => "no_room").increment(1);
        }
    }
}

/// Creates a client that opens a new connection for each call: a kept connection may have gone silent, and an
/// order sent on it would arrive long after it was sent, or never.
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

impl<C: Clock> CallThread<C> {
    fn run(&self, calls: &Mutex<Receiver<CoordinatorCall>>) {
        loop {
            let next = calls.lock().expect("no call thread panics").recv();
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

    /// Sends an order, unless the lease may end before a connection is open.
    ///
    /// Since the lease was last checked, the order may have waited in the channel, or the process may have
    /// been paused. If it were sent after the lease, the engine could already follow the next holder, and
    /// an engine that ignores fencing numbers would obey both.
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
        let mut response = self.short_calls.get(url).call().ok()?;
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
        let accepted = tries
            .filter(|router| post(&self.short_calls, **router, DRAIN_PATH, &body) == Some(202));
        let announced = accepted.take(DRAIN_FANOUT).count();
        let result = if announced == 0 { "failed" } else { "told" };
        counter!("sedgeridge_drain_announcements_total", "result" => result).increment(1);
        if announced == 0 {
            log_warn(
                LogEvent::DrainNotAnnounced,
                format_args!("endpoint={endpoint}"),
            );
            return None;
        }
        Some(CoordinatorEvent::DrainAnnounced { endpoint })
    }
}

/// Posts JSON and returns the status of the response; `None` if there is none.
fn post(agent: &Agent, address: SocketAddr, path: &str, body: &impl Serialize) -> Option<u16> {
    let body = serde_json::to_vec(body).expect("a call serialises to JSON");
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
