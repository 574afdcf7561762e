//! Estimates how fast each engine reads prompts, from the time to the first event.

use std::time::Duration;

use nohash_hasher::IntMap;

/// Part of the time to a first event that does not depend on the prompt: connection, first step, way back.
const FIXED_FIRST_EVENT_MS: f64 = 12.0;
/// Factor applied to earlier observations at each new one. About 50 requests count.
const DECAY_FACTOR: f64 = 0.98;
/// Weight of the expected speed against observations, as reading time at that speed.
const PRIOR_MS: f64 = 400.0;
/// Bounds of a plausible speed, as a multiple of the expected one.
const PLAUSIBLE_RATIOS: std::ops::RangeInclusive<f64> = 0.1..=4.0;

/// Reading speeds of endpoints, in prompt tokens per millisecond.
///
/// An engine without observations is expected to be as fast as the others, and at least as fast as the stated throughput
/// implies. Engines may read far faster than that, and in a large fleet a host hardly ever meets an engine twice.
///
/// ```
/// use std::time::Duration;
/// use sedgeridge_fleet::engine_speed::EngineSpeeds;
///
/// let mut speeds = EngineSpeeds::default();
/// speeds.expect(1.0);
/// for engine in 0..50 {
///     speeds.observe(engine, 10_000.0, Duration::from_millis(112));
/// }
/// assert!(speeds.tokens_per_ms(1_000) > 80.0);
/// ```
#[derive(Debug, Default)]
pub struct EngineSpeeds {
    stated_tokens_per_ms: f64,
    /// Observations of all engines together.
    all: Observed,
    observed: IntMap<u64, Observed>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Observed {
    tokens: f64,
    millis: f64,
}

impl Observed {
    fn add(&mut self, tokens: f64, millis: f64) {
        self.tokens = self.tokens * DECAY_FACTOR + tokens;
        self.millis = self.millis * DECAY_FACTOR + millis;
    }

    /// Returns the speed if `expected` counts as observed for [`PRIOR_MS`].
    fn speed_given(&self, expected: f64) -> f64 {
        (self.tokens + expected * PRIOR_MS) / (self.millis + PRIOR_MS)
    }
}

impl EngineSpeeds {
    /// Sets the speed that the stated throughput implies.
    pub fn expect(&mut self, tokens_per_ms: f64) {
        self.stated_tokens_per_ms = tokens_per_ms;
    }

    /// Records that the first event came `after` the request was sent, with `tokens` to read until then.
    pub fn observe(&mut self, endpoint: u64, tokens: f64, after: Duration) {
        let millis = (after.as_secs_f64() * 1_000.0 - FIXED_FIRST_EVENT_MS).max(1.0);
        self.observed
            .entry(endpoint)
            .or_default()
            .add(tokens, millis);
        self.all.add(tokens, millis);
    }

    /// Returns the speed of an endpoint in tokens per millisecond.
    pub fn tokens_per_ms(&self, endpoint: u64) -> f64 {
        let expected = self.expected_tokens_per_ms();
        let observed = self.observed.get(&endpoint).copied().unwrap_or_default();
        observed.speed_given(expected).clamp(
            expected * PLAUSIBLE_RATIOS.start(),
            expected * PLAUSIBLE_RATIOS.end(),
        )
    }

    /// Returns the time in milliseconds until the first event of a request, if the endpoint has `tokens` to read, its own
    /// included.
    pub fn first_event_ms(&self, endpoint: u64, tokens: f64) -> f64 {
        FIXED_FIRST_EVENT_MS + tokens / self.tokens_per_ms(endpoint)
    }

    /// Returns the speed that is expected of an engine without observations.
    pub fn expected_tokens_per_ms(&self) -> f64 {
        let stated = self.stated_tokens_per_ms.max(1.0);
        self.all.speed_given(stated).max(stated)
    }

    /// Removes the observations of an endpoint that is gone.
    pub fn forget(&mut self, endpoint: u64) {
        self.observed.remove(&endpoint);
    }
}
