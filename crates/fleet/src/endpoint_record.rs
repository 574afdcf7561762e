//! Keeps the results of this host's requests for each endpoint.

use std::time::Duration;

use crate::verdict::Failure;
use nohash_hasher::IntMap;

/// First time for which an unreachable endpoint gets no requests.
const FIRST_DOWN_TIME: Duration = Duration::from_millis(250);
/// Longest time for which an unreachable endpoint gets no requests. Its return is noticed within
/// it.
const MAX_DOWN_TIME: Duration = Duration::from_millis(2_000);
/// Time for which an endpoint that refused a request because it is full gets no further ones.
const FULL_PAUSE: Duration = Duration::from_millis(40);
/// Weight of one outcome in the failure share. About the last ten outcomes count.
const OUTCOME_WEIGHT: f64 = 0.1;
/// Time in which the failure share of an endpoint without requests halves. Without the decay an
/// endpoint that failed for a while would still be avoided after its recovery.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Failure share from which no prompts are placed on an endpoint: about seven failures in a row, or
/// every second request over a while.
const UNHEALTHY_FAILURE_SHARE: f64 = 0.5;
/// Weight of an answer in the learnt work time if it took less, and if it took more. Answers that waited at the endpoint
/// take longer, so the learnt time lies between those that did not.
const SHORTER_ANSWER_WEIGHT: f64 = 0.1;
const LONGER_ANSWER_WEIGHT: f64 = 0.02;
/// Assumed work time of an endpoint without results.
const ASSUMED_WORK_MS: f64 = 20.0;

/// Results of requests by endpoint.
#[derive(Debug, Default)]
pub struct EndpointRecords {
    records: IntMap<u64, EndpointRecord>,
}

#[derive(Debug)]
struct EndpointRecord {
    failure_share: f64,
    last_outcome_at: Duration,
    work_ms: f64,
    down_until: Duration,
    full_until: Duration,
    down_count: u32,
}

impl Default for EndpointRecord {
    fn default() -> Self {
        Self {
            failure_share: 0.0,
            last_outcome_at: Duration::ZERO,
            work_ms: ASSUMED_WORK_MS,
            down_until: Duration::ZERO,
            full_until: Duration::ZERO,
            down_count: 0,
        }
    }
}

impl EndpointRecords {
    /// Records a complete answer that took `answer_time` from sending the request.
    pub fn on_success(&mut self, now: Duration, endpoint: u64, answer_time: Duration) {
        let record = self.records.entry(endpoint).or_default();
        let answer_ms = answer_time.as_secs_f64() * 1_000.0;
        record.note_outcome(now, 0.0, OUTCOME_WEIGHT);
        let weight = match answer_ms < record.work_ms {
            true => SHORTER_ANSWER_WEIGHT,
            false => LONGER_ANSWER_WEIGHT,
        };
        record.work_ms += (answer_ms - record.work_ms) * weight;
        record.down_count = 0;
    }

    /// Records a failed attempt. Returns whether the endpoint now counts as unreachable.
    pub fn on_failure(&mut self, now: Duration, endpoint: u64, failure: Failure) -> bool {
        let record = self.records.entry(endpoint).or_default();
        match failure {
            Failure::NotConnected => {
                let down_time = FIRST_DOWN_TIME.saturating_mul(1 << record.down_count.min(4));
                if now >= record.down_until {
                    record.down_count += 1;
                }
                record.down_until = now + down_time.min(MAX_DOWN_TIME);
                true
            }
            Failure::TurnedAway => {
                record.full_until = now + FULL_PAUSE;
                record.note_outcome(now, 1.0, OUTCOME_WEIGHT / 2.0);
                false
            }
            _ => {
                record.note_outcome(now, 1.0, OUTCOME_WEIGHT);
                false
            }
        }
    }

    /// Returns whether the endpoint may get requests.
    pub fn is_up(&self, now: Duration, endpoint: u64) -> bool {
        let record = self.records.get(&endpoint);
        record.is_none_or(|record| now >= record.down_until && now >= record.full_until)
    }

    /// Returns whether the endpoint can be reached, even if it is full.
    pub fn is_reachable(&self, now: Duration, endpoint: u64) -> bool {
        let record = self.records.get(&endpoint);
        record.is_none_or(|record| now >= record.down_until)
    }

    /// Returns whether prompts may be placed on the endpoint: it is reachable, and most requests
    /// succeed there. An endpoint that is only full keeps its prompts.
    pub fn is_healthy(&self, now: Duration, endpoint: u64) -> bool {
        let record = self.records.get(&endpoint);
        record.is_none_or(|record| {
            now >= record.down_until && record.failure_share(now) < UNHEALTHY_FAILURE_SHARE
        })
    }

    /// Returns the share of recent attempts that failed, from 0 to 1.
    pub fn failure_share(&self, now: Duration, endpoint: u64) -> f64 {
        let record = self.records.get(&endpoint);
        record.map_or(0.0, |record| record.failure_share(now))
    }

    /// Returns the time in milliseconds in which the endpoint answers a request that does not wait there.
    pub fn work_ms(&self, endpoint: u64) -> f64 {
        let record = self.records.get(&endpoint);
        record.map_or(ASSUMED_WORK_MS, |record| record.work_ms)
    }

    /// Forgets an endpoint that is gone.
    pub fn forget(&mut self, endpoint: u64) {
        self.records.remove(&endpoint);
    }
}

impl EndpointRecord {
    fn failure_share(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.last_outcome_at);
        let half_lives = age.as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failure_share * (-half_lives).exp2()
    }

    /// Records an outcome: 0 for a success, 1 for a failure.
    fn note_outcome(&mut self, now: Duration, outcome: f64, weight: f64) {
        let share = self.failure_share(now);
        self.failure_share = share + (outcome - share) * weight;
        self.last_outcome_at = now;
    }
}
