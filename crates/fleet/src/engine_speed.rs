//! Learns how fast each engine reads prompts, from the time to the first event.

use std::time::Duration;

use nohash_hasher::IntMap;

/// Time to a first event that no prompt explains: connection, first step, way back.
const BASE_MS: f64 = 12.0;
/// Weight that the past keeps at each observation; about 50 requests are remembered.
const KEEP: f64 = 0.98;
/// Observations in units of which the expected speed counts before anything is learnt.
const PRIOR_MS: f64 = 400.0;
/// Bounds of a believable speed against the expected one.
const BELIEVED: std::ops::RangeInclusive<f64> = 0.1..=4.0;

/// Reading speeds of endpoints, in prompt tokens a millisecond.
#[derive(Debug, Default)]
pub struct EngineSpeeds {
    expected: f64,
    learnt: IntMap<u64, Learnt>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Learnt {
    tokens: f64,
    millis: f64,
}

impl EngineSpeeds {
    /// Sets the speed that is assumed of an engine nothing is known of.
    pub fn expect(&mut self, tokens_per_ms: f64) {
        self.expected = tokens_per_ms.max(1.0);
    }

    /// Notes that the first event came `after` the request was sent, when `tokens` were to be read.
    pub fn observe(&mut self, endpoint: u64, tokens: f64, after: Duration) {
        let millis = (after.as_secs_f64() * 1_000.0 - BASE_MS).max(1.0);
        let learnt = self.learnt.entry(endpoint).or_default();
        learnt.tokens = learnt.tokens * KEEP + tokens;
        learnt.millis = learnt.millis * KEEP + millis;
    }

    /// Returns the speed of an endpoint in tokens a millisecond.
    pub fn tokens_per_ms(&self, endpoint: u64) -> f64 {
        let expected = self.expected.max(1.0);
        let learnt = self.learnt.get(&endpoint).copied().unwrap_or_default();
        let tokens = learnt.tokens + expected * PRIOR_MS;
        let speed = tokens / (learnt.millis + PRIOR_MS);
        speed.clamp(expected * BELIEVED.start(), expected * BELIEVED.end())
    }

    /// Returns the time in milliseconds until the first event of a request that has `tokens` to
    /// be read up to its own end.
    pub fn first_event_ms(&self, endpoint: u64, tokens: f64) -> f64 {
        BASE_MS + tokens / self.tokens_per_ms(endpoint)
    }

    /// Forgets an endpoint that is gone.
    pub fn forget(&mut self, endpoint: u64) {
        self.learnt.remove(&endpoint);
    }
}
