//! Fault injection: orders that make a stand-in fail, and which requests they affect.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use sedgeridge_protocol::engine::LOAD_PATH;

use crate::answer::mix;

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Wait before the work starts.
    Delay,
    /// Do the work, then wait before the answer.
    Late,
    /// Do the work, then close the connection before or during the answer.
    DropAnswer,
    /// Answer 503 without saying whether the request ran.
    Outage,
    /// Close the connection as soon as a request has been read.
    Close,
    /// Stop all traffic of the open connections without closing them; new ones work.
    Silence,
    /// Close the open connections.
    Cut,
    /// Exit the process when the body of a request contains the poison text.
    Crash,
    /// Answer reads from an earlier state.
    StaleReads,
    /// Report the endpoint as leaving.
    Leaving,
    /// Repeat the figures of the first load report after the order.
    FreezeLoad,
    /// Report the load of some time ago.
    LagLoad,
    /// Accept orders with an outdated fencing number.
    IgnoreFencing,
    /// Refuse orders with an outdated fencing number.
    HonourFencing,
    /// Remove all fault orders.
    Clear,
}

impl Fault {
    /// All faults.
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

/// An order to inject a fault, the body of `POST /control`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultOrder {
    /// The fault.
    pub fault: Fault,
    /// Wait of `Delay` and `Late`, age of `StaleReads`, lag of `LagLoad`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delay_ms: Option<u64>,
    /// Text that makes a request crash the process.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub poison: Option<String>,
    /// Events of a stream that are sent before its connection is closed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after_events: Option<u64>,
    /// Number of requests that it affects; unlimited when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub count: Option<u64>,
    /// Share of requests that it affects, from 0 to 1; all when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub probability: Option<f64>,
    /// Seed of the random numbers for `probability`.
    #[serde(default)]
    pub seed: u64,
    /// Time until it expires; it lasts until cleared when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub duration_ms: Option<u64>,
    /// Path prefix of the requests that it affects.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub path: Option<String>,
}

impl FaultOrder {
    /// Creates an order without limits.
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

    /// Checks that the order has the fields its fault needs and a valid probability.
    pub fn check(&self) -> Result<(), OrderError> {
        let needs_delay = matches!(
            self.fault,
            Fault::Delay | Fault::Late | Fault::StaleReads | Fault::LagLoad
        );
        if needs_delay && self.delay_ms.is_none() {
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

/// Why a fault order is invalid.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum OrderError {
    /// A field is missing.
    #[error("this fault needs `{field}`")]
    Missing {
        /// The field.
        field: &'static str,
    },
    /// The probability is out of range.
    #[error("`probability` must lie between 0 and 1")]
    Probability,
}

/// Faults to inject into one request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FaultPlan {
    /// Answer 503.
    pub outage: bool,
    /// Close the connection without doing the work.
    pub close: bool,
    /// Exit the process.
    pub crash: bool,
    /// Wait before the work.
    pub start_delay: Duration,
    /// Wait after the work.
    pub answer_delay: Duration,
    /// Close the connection after this many events of the answer.
    pub drop_after_events: Option<u64>,
    /// Age of the state that reads are answered from.
    pub read_age: Duration,
}

/// The fault orders in force.
#[derive(Debug, Default)]
pub struct Faults {
    active: Vec<ActiveFault>,
}

#[derive(Debug)]
struct ActiveFault {
    order: FaultOrder,
    expires_at: Option<Duration>,
    remaining_requests: Option<u64>,
    draw_count: u64,
}

impl Faults {
    /// Puts an order in force. The caller has checked it with [`FaultOrder::check`].
    pub fn add(&mut self, now: Duration, order: FaultOrder) {
        self.active.push(ActiveFault {
            expires_at: order
                .duration_ms
                .map(|duration_ms| now + Duration::from_millis(duration_ms)),
            remaining_requests: order.count,
            draw_count: 0,
            order,
        });
    }

    /// Removes all orders.
    pub fn clear(&mut self) {
        self.active.clear();
    }

    /// Returns the orders in force.
    pub fn orders(&mut self, now: Duration) -> Vec<FaultOrder> {
        self.expire(now);
        self.active
            .iter()
            .map(|active| active.order.clone())
            .collect()
    }

    /// Decides which faults to inject into a request and counts it against the orders that apply.
    pub fn plan(&mut self, now: Duration, path: &str, body: &[u8]) -> FaultPlan {
        self.expire(now);
        let mut plan = FaultPlan::default();
        for active in &mut self.active {
            if active.applies_to(path, body) {
                active.order.apply(&mut plan);
            }
        }
        plan
    }

    /// Returns the newest order of a fault that does not depend on the request.
    pub fn newest_order(&mut self, now: Duration, fault: Fault) -> Option<&FaultOrder> {
        self.expire(now);
        self.active
            .iter()
            .map(|active| &active.order)
            .rfind(|order| order.fault == fault)
    }

    /// Whether fencing numbers are checked: as the newest order about them says, else as
    /// configured.
    pub fn checks_fencing(&mut self, now: Duration, configured: bool) -> bool {
        self.expire(now);
        self.active
            .iter()
            .rev()
            .find_map(|active| match active.order.fault {
                Fault::IgnoreFencing => Some(false),
                Fault::HonourFencing => Some(true),
                _ => None,
            })
            .unwrap_or(configured)
    }

    fn expire(&mut self, now: Duration) {
        self.active.retain(|active| {
            active.expires_at.is_none_or(|expires_at| now < expires_at)
                && active.remaining_requests != Some(0)
        });
    }
}

impl ActiveFault {
    fn applies_to(&mut self, path: &str, body: &[u8]) -> bool {
        if !self.order.matches_request(path, body) {
            return false;
        }
        if let Some(probability) = self.order.probability {
            let draw = mix(self.order.seed ^ mix(self.draw_count));
            self.draw_count += 1;
            if (draw >> 11) as f64 / (1_u64 << 53) as f64 >= probability {
                return false;
            }
        }
        if let Some(remaining) = &mut self.remaining_requests {
            if *remaining == 0 {
                return false;
            }
            *remaining -= 1;
        }
        true
    }
}

impl FaultOrder {
    fn matches_request(&self, path: &str, body: &[u8]) -> bool {
        let matches_path = match &self.path {
            Some(prefix) => path.starts_with(prefix.as_str()),
            // Load polls must not use up the count of a fault that is meant for requests.
            None => path != LOAD_PATH || matches!(self.fault, Fault::Outage | Fault::Close),
        };
        matches_path
            && match (self.fault, &self.poison) {
                (Fault::Crash, Some(poison)) => contains(body, poison.as_bytes()),
                _ => true,
            }
    }

    fn apply(&self, plan: &mut FaultPlan) {
        let wait = Duration::from_millis(self.delay_ms.unwrap_or(0));
        match self.fault {
            Fault::Delay => plan.start_delay += wait,
            Fault::Late => plan.answer_delay += wait,
            Fault::DropAnswer => plan.drop_after_events = Some(self.after_events.unwrap_or(0)),
            Fault::Outage => plan.outage = true,
            Fault::Close => plan.close = true,
            Fault::Crash => plan.crash = true,
            Fault::StaleReads => plan.read_age = plan.read_age.max(wait),
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
