//! Traffic between routers, read from their metrics.

use std::time::Duration;
use std::time::Instant;

use ureq::Agent;

use crate::plan::RouterPlan;

/// Counter of peer message payload.
const PAYLOAD_COUNTER: &str = "sedgeridge_peer_bytes_total";
/// Counter or estimate of the bytes on the wire for the same messages.
const WIRE_COUNTER: &str = "sedgeridge_peer_wire_bytes_total";
const METRICS_TIMEOUT: Duration = Duration::from_secs(2);

/// Counters of all routers at one instant; absent for a router that did not report them.
#[derive(Debug, Clone)]
pub struct PeerBytes {
    taken_at: Instant,
    payload_bytes: Vec<Option<f64>>,
    wire_bytes: Vec<Option<f64>>,
}

/// Mean rate over the routers, both directions together.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PeerRate {
    /// Payload.
    pub payload_per_node_s: Option<f64>,
    /// On the wire.
    pub wire_per_node_s: Option<f64>,
}

impl PeerBytes {
    /// Reads the counters of every router.
    pub fn read(agent: &Agent, routers: &[RouterPlan]) -> Self {
        let pages: Vec<Option<String>> = routers.iter().map(|r| metrics(agent, r)).collect();
        let sums = |counter: &str| {
            let sum = |page: &Option<String>| sum_counter(page.as_deref()?, counter);
            pages.iter().map(sum).collect()
        };
        Self {
            taken_at: Instant::now(),
            payload_bytes: sums(PAYLOAD_COUNTER),
            wire_bytes: sums(WIRE_COUNTER),
        }
    }

    /// Mean rate from this reading to a later one.
    pub fn rate_until(&self, later: &Self) -> PeerRate {
        let seconds = (later.taken_at - self.taken_at).as_secs_f64();
        PeerRate {
            payload_per_node_s: mean_rate(&self.payload_bytes, &later.payload_bytes, seconds),
            wire_per_node_s: mean_rate(&self.wire_bytes, &later.wire_bytes, seconds),
        }
    }
}

fn metrics(agent: &Agent, router: &RouterPlan) -> Option<String> {
    let url = format!("http://{}/metrics", router.operator_address);
    let request = agent.get(url).config();
    let request = request.timeout_global(Some(METRICS_TIMEOUT)).build();
    request.call().ok()?.body_mut().read_to_string().ok()
}

/// Sums a counter over its labels; absent when the page does not have it.
///
/// ```
/// use sedgeridge_load::control_bytes::sum_counter;
/// let page = "sent{direction=\"in\"} 2\nsent{direction=\"out\"} 3\nsent_more 9\n";
/// assert_eq!(sum_counter(page, "sent"), Some(5.0));
/// assert_eq!(sum_counter(page, "other"), None);
/// ```
pub fn sum_counter(page: &str, counter: &str) -> Option<f64> {
    let values = page.lines().filter_map(|line| {
        let rest = line.strip_prefix(counter)?;
        let labelled = rest.starts_with('{') || rest.starts_with(' ');
        let value = rest.rsplit_once(' ')?.1.parse::<f64>().ok()?;
        labelled.then_some(value)
    });
    values.reduce(|sum, value| sum + value)
}

/// Mean rate over the routers. A counter that decreased belongs to a router that restarted, so it
/// counts from 0.
fn mean_rate(before: &[Option<f64>], after: &[Option<f64>], seconds: f64) -> Option<f64> {
    let increases = before.iter().zip(after).filter_map(|(before, after)| {
        let after = (*after)?;
        let before = before.unwrap_or(0.0);
        Some(if after < before {
            after
        } else {
            after - before
        })
    });
    let increases: Vec<f64> = increases.collect();
    if increases.is_empty() {
        return None;
    }
    Some(increases.iter().sum::<f64>() / increases.len() as f64 / seconds)
}
