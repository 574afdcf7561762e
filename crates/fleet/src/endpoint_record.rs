//! What this host's own requests show of each endpoint.

use std::time::Duration;

use crate::verdict::Failure;
use nohash_hasher::IntMap;

/// First time for which an endpoint that cannot be reached gets no requests.
const FIRST_DOWN: Duration = Duration::from_millis(250);
/// Longest such time. An endpoint that is back is noticed within it.
const MAX_DOWN: Duration = Duration::from_millis(2_000);
/// Time for which an endpoint that turned a request away as full gets no further ones.
const FULL_PAUSE: Duration = Duration::from_millis(40);
/// Weight of one outcome in the failure share: about the last ten count.
const OUTCOME_WEIGHT: f64 = 0.1;
/// Time in which the failure share of an endpoint that gets no requests halves. Without this one that
/// failed for a while would stay avoided after its recovery.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Failure share from which an endpoint keeps no prompts: about seven failures in a row, or every
/// second request over a while.
const UNSOUND_SHARE: f64 = 0.5;
/// Weight of one answer in the answer time.
const TIME_WEIGHT: f64 = 0.1;
/// Answer time that is assumed of an endpoint nothing is known of.
const ASSUMED_ANSWER_MS: f64 = 20.0;

/// Records by endpoint.
#[derive(Debug, Default)]
pub struct EndpointRecords {
    records: IntMap<u64, EndpointRecord>,
}

#[derive(Debug)]
struct EndpointRecord {
    failure_share: f64,
    noted_at: Duration,
    mean_answer_ms: f64,
    down_until: Duration,
    full_until: Duration,
    downs: u32,
}

impl Default for EndpointRecord {
    fn default() -> Self {
        Self {
            failure_share: 0.0,
            noted_at: Duration::ZERO,
            mean_answer_ms: ASSUMED_ANSWER_MS,
            down_until: Duration::ZERO,
            full_until: Duration::ZERO,
            downs: 0,
        }
    }
}

impl EndpointRecords {
    /// Notes an answer in full, which took `took` from being sent.
    pub fn on_success(&mut self, now: Duration, endpoint: u64, took: Duration) {
        let record = self.records.entry(endpoint).or_default();
        let took_ms = took.as_secs_f64() * 1_000.0;
        record.note(now, 0.0, OUTCOME_WEIGHT);
        record.mean_answer_ms += (took_ms - record.mean_answer_ms) * TIME_WEIGHT;
        record.downs = 0;
    }

    /// Notes a failed attempt. Returns whether the endpoint is now taken as down.
    pub fn on_failure(&mut self, now: Duration, endpoint: u64, failure: Failure) -> bool {
        let record = self.records.entry(endpoint).or_default();
        match failure {
            Failure::NotConnected => {
                let doubled = FIRST_DOWN.saturating_mul(1 << record.downs.min(4));
                if now >= record.down_until {
                    record.downs += 1;
                }
                record.down_until = now + doubled.min(MAX_DOWN);
                true
            }
            Failure::TurnedAway => {
                record.full_until = now + FULL_PAUSE;
                record.note(now, 1.0, OUTCOME_WEIGHT / 2.0);
                false
            }
            _ => {
                record.note(now, 1.0, OUTCOME_WEIGHT);
                false
            }
        }
    }

    /// Tells whether the endpoint may get requests.
    pub fn is_up(&self, now: Duration, endpoint: u64) -> bool {
        let record = self.records.get(&endpoint);
        record.is_none_or(|record| now >= record.down_until && now >= record.full_until)
    }

    /// Tells whether prompts may be placed on the endpoint: it can be reached, and most requests come
    /// to a good end there. One that is only full keeps its prompts.
    pub fn is_healthy(&self, now: Duration, endpoint: u64) -> bool {
        let record = self.records.get(&endpoint);
        record.is_none_or(|record| {
            now >= record.down_until && record.failure_share(now) < UNSOUND_SHARE
        })
    }

    /// Returns the part of recent attempts that failed, 0 to 1.
    pub fn failure_share(&self, now: Duration, endpoint: u64) -> f64 {
        let record = self.records.get(&endpoint);
        record.map_or(0.0, |record| record.failure_share(now))
    }

    /// Returns the usual time of a whole answer in milliseconds.
    pub fn mean_answer_ms(&self, endpoint: u64) -> f64 {
        let record = self.records.get(&endpoint);
        record.map_or(ASSUMED_ANSWER_MS, |record| record.mean_answer_ms)
    }

    /// Forgets an endpoint that is gone.
    pub fn forget(&mut self, endpoint: u64) {
        self.records.remove(&endpoint);
    }
}

impl EndpointRecord {
    fn failure_share(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.noted_at);
        let half_lives = age.as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failure_share * (-half_lives).exp2()
    }

    /// Takes in an outcome: 0 for a success, 1 for a failure.
    fn note(&mut self, now: Duration, outcome: f64, weight: f64) {
        let share = self.failure_share(now);
        self.failure_share = share + (outcome - share) * weight;
        self.noted_at = now;
    }
}
