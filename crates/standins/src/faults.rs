//! Misbehaviour on order: what a stand-in is told to do wrong, and when.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use sedgeridge_protocol::engine::LOAD_PATH;

use crate::answer::mix;

/// A way to misbehave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Wait before the work starts.
    Delay,
    /// Do the work, then wait before the answer.
    Late,
    /// Do the work, then close the connection without the answer, or within it.
    DropAnswer,
    /// Answer 503 without a word on whether the request ran.
    Outage,
    /// Close the connection as soon as a request has been read.
    Close,
    /// Go silent on the connections that are open now; new ones work.
    Silence,
    /// Close the connections that are open now.
    Cut,
    /// End the process when the body of a request contains the poison.
    Crash,
    /// Answer reads from a state of some time ago.
    StaleReads,
    /// Report as leaving.
    Leaving,
    /// Repeat the current load report.
    FreezeLoad,
    /// Report load with this lag.
    LagLoad,
    /// Obey orders with an old fencing number.
    IgnoreFencing,
    /// Refuse orders with an old fencing number.
    HonourFencing,
    /// Forget all orders to misbehave.
    Clear,
}

impl Fault {
    /// All of them.
    pub const ALL: [Self; 15] = [
        Self::Delay,
        Self::Late,
        Self::DropAnswer,
        Self::Outage,
        Self::Close,
        Self::Silence,
        Self::Cut,
        Self::Crash,
        Self::StaleReads,
        Self::Leaving,
        Self::FreezeLoad,
        Self::LagLoad,
        Self::IgnoreFencing,
        Self::HonourFencing,
        Self::Clear,
    ];
}

/// An order to misbehave, as `POST /control` takes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultOrder {
    /// The misbehaviour.
    pub fault: Fault,
    /// Wait, age or lag of the faults that have one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delay_ms: Option<u64>,
    /// Text that makes a request crash the process.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub poison: Option<String>,
    /// Events of a stream that still go out before its connection is closed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after_events: Option<u64>,
    /// Number of requests that it hits; all when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub count: Option<u64>,
    /// Share of requests that it hits, from 0 to 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub probability: Option<f64>,
    /// Seed of the draw for `probability`.
    #[serde(default)]
    pub seed: u64,
    /// How long it lasts; until cleared when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub duration_ms: Option<u64>,
    /// Only requests whose path starts with this are hit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub path: Option<String>,
}

impl FaultOrder {
    /// An order without limits.
    pub fn new(fault: Fault) -> Self {
        Self {
            fault,
            delay_ms: None,
            poison: None,
            after_events: None,
            count: None,
            probability: None,
            seed: 0,
            duration_ms: None,
            path: None,
        }
    }

    /// Checks that the order has what its fault needs.
    pub fn check(&self) -> Result<(), OrderError> {
        let timed = matches!(
            self.fault,
            Fault::Delay | Fault::Late | Fault::StaleReads | Fault::LagLoad
        );
        if timed && self.delay_ms.is_none() {
            return Err(OrderError::Missing { field: "delay_ms" });
        }
        if self.fault == Fault::Crash && self.poison.as_deref().unwrap_or("").is_empty() {
            return Err(OrderError::Missing { field: "poison" });
        }
        match self.probability {
            Some(probability) if !(0.0..=1.0).contains(&probability) => {
                Err(OrderError::Probability)
            }
            _ => Ok(()),
        }
    }
}

/// Why an order to misbehave is not understood.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum OrderError {
    /// A field is missing.
    #[error("this fault needs `{field}`")]
    Missing {
        /// The field.
        field: &'static str,
    },
    /// The probability is no probability.
    #[error("`probability` must lie between 0 and 1")]
    Probability,
}

/// What goes wrong with one request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Plan {
    /// Answer 503.
    pub outage: bool,
    /// Close the connection instead of the work.
    pub close: bool,
    /// End the process.
    pub crash: bool,
    /// Wait before the work.
    pub delay: Duration,
    /// Wait after the work.
    pub late: Duration,
    /// Close the connection after this many events of the answer.
    pub drop_after_events: Option<u64>,
    /// Age of the state that reads are answered from.
    pub stale: Duration,
}

/// The orders in force.
#[derive(Debug, Default)]
pub struct Faults {
    active: Vec<ActiveFault>,
}

#[derive(Debug)]
struct ActiveFault {
    order: FaultOrder,
    until: Option<Duration>,
    left: Option<u64>,
    draws: u64,
}

impl Faults {
    /// Takes an order that lasts; the caller has checked it.
    pub fn add(&mut self, now: Duration, order: FaultOrder) {
        self.active.push(ActiveFault {
            until: order
                .duration_ms
                .map(|length_ms| now + Duration::from_millis(length_ms)),
            left: order.count,
            draws: 0,
            order,
        });
    }

    /// Forgets all orders.
    pub fn clear(&mut self) {
        self.active.clear();
    }

    /// Orders in force.
    pub fn orders(&mut self, now: Duration) -> Vec<FaultOrder> {
        self.expire(now);
        self.active
            .iter()
            .map(|active| active.order.clone())
            .collect()
    }

    /// Decides what goes wrong with a request.
    pub fn plan(&mut self, now: Duration, path: &str, body: &[u8]) -> Plan {
        self.expire(now);
        let mut plan = Plan::default();
        for active in &mut self.active {
            if active.hits(path, body) {
                active.order.apply(&mut plan);
            }
        }
        plan
    }

    /// The newest order of a standing fault, one that does not depend on the request.
    pub fn standing(&mut self, now: Duration, fault: Fault) -> Option<&FaultOrder> {
        self.expire(now);
        self.active
            .iter()
            .map(|active| &active.order)
            .rfind(|order| order.fault == fault)
    }

    /// Whether fencing numbers are checked, given the setting of the start.
    pub fn checks_fencing(&mut self, now: Duration, at_start: bool) -> bool {
        self.expire(now);
        self.active
            .iter()
            .rev()
            .find_map(|active| match active.order.fault {
                Fault::IgnoreFencing => Some(false),
                Fault::HonourFencing => Some(true),
                _ => None,
            })
            .unwrap_or(at_start)
    }

    fn expire(&mut self, now: Duration) {
        self.active.retain(|active| {
            active.until.is_none_or(|until| now < until) && active.left != Some(0)
        });
    }
}

impl ActiveFault {
    fn hits(&mut self, path: &str, body: &[u8]) -> bool {
        if !self.order.concerns(path, body) {
            return false;
        }
        if let Some(probability) = self.order.probability {
            let draw = mix(self.order.seed ^ mix(self.draws));
            self.draws += 1;
            if (draw >> 11) as f64 / (1_u64 << 53) as f64 >= probability {
                return false;
            }
        }
        if let Some(left) = &mut self.left {
            if *left == 0 {
                return false;
            }
            *left -= 1;
        }
        true
    }
}

impl FaultOrder {
    fn concerns(&self, path: &str, body: &[u8]) -> bool {
        let on_path = match &self.path {
            Some(prefix) => path.starts_with(prefix.as_str()),
            // A poll for load must not use up the count of a fault that is meant for requests.
            None => path != LOAD_PATH || matches!(self.fault, Fault::Outage | Fault::Close),
        };
        on_path
            && match (self.fault, &self.poison) {
                (Fault::Crash, Some(poison)) => contains(body, poison.as_bytes()),
                _ => true,
            }
    }

    fn apply(&self, plan: &mut Plan) {
        let wait = Duration::from_millis(self.delay_ms.unwrap_or(0));
        match self.fault {
            Fault::Delay => plan.delay += wait,
            Fault::Late => plan.late += wait,
            Fault::DropAnswer => plan.drop_after_events = Some(self.after_events.unwrap_or(0)),
            Fault::Outage => plan.outage = true,
            Fault::Close => plan.close = true,
            Fault::Crash => plan.crash = true,
            Fault::StaleReads => plan.stale = plan.stale.max(wait),
            Fault::Silence
            | Fault::Cut
            | Fault::Leaving
            | Fault::FreezeLoad
            | Fault::LagLoad
            | Fault::IgnoreFencing
            | Fault::HonourFencing
            | Fault::Clear => {}
        }
    }
}

fn contains(body: &[u8], text: &[u8]) -> bool {
    body.windows(text.len()).any(|window| window == text)
}
