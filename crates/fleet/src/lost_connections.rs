//! Connections lost to endpoints, until it is known whether the endpoints crashed.

use std::time::Duration;

use nohash_hasher::IntMap;

use crate::crash_evidence::Crash;
use crate::suspect::Suspect;

/// Time after the first lost connection in which the endpoint has to be found down. Crashed endpoints are back after some
/// seconds.
const CONFIRMATION_TIME: Duration = Duration::from_secs(2);
/// Time for which an endpoint that was found down counts as such, unless it answers.
const DOWN_TIME: Duration = Duration::from_secs(60);

/// A suspect and the crash that speaks against it.
pub type SuspectCrash = (Suspect, Crash);

/// Lost connections by endpoint, and endpoints that are down.
#[derive(Debug, Default)]
pub struct LostConnections {
    unconfirmed: IntMap<u64, UnconfirmedCrash>,
    down_since: IntMap<u64, Duration>,
}

/// Lost connections to an endpoint of which it is not known whether it is down.
#[derive(Debug)]
struct UnconfirmedCrash {
    first_lost_at: Duration,
    suspects: Vec<SuspectCrash>,
}

impl LostConnections {
    /// Records a lost connection and its suspects. Returns them if the endpoint is known to be down, without those that
    /// were sent to it since.
    pub fn add(
        &mut self,
        now: Duration,
        endpoint: u64,
        suspects: Vec<SuspectCrash>,
    ) -> Vec<SuspectCrash> {
        if let Some(since) = self.down_since.get(&endpoint) {
            return sent_before(*since, suspects);
        }
        let unconfirmed = self.unconfirmed.entry(endpoint);
        let unconfirmed = unconfirmed.or_insert_with(|| UnconfirmedCrash {
            first_lost_at: now,
            suspects: Vec::new(),
        });
        unconfirmed.suspects.extend(suspects);
        Vec::new()
    }

    /// Returns whether an endpoint has to be connected to after a lost connection, to find out whether it is down.
    pub fn must_check(&self, endpoint: u64) -> bool {
        !self.unconfirmed.contains_key(&endpoint) && !self.down_since.contains_key(&endpoint)
    }

    /// Records that an endpoint was found down after connections to it were lost. Returns the suspects in its crash.
    pub fn on_found_down(&mut self, now: Duration, endpoint: u64) -> Vec<SuspectCrash> {
        let first_lost_at = self.unconfirmed.get(&endpoint).map(|it| it.first_lost_at);
        self.on_refused(endpoint, first_lost_at.unwrap_or(now))
    }

    /// Records that an endpoint has refused a connection that was tried at a time. Returns the suspects in its crash.
    pub fn on_refused(&mut self, endpoint: u64, tried_at: Duration) -> Vec<SuspectCrash> {
        let since = *self.down_since.entry(endpoint).or_insert(tried_at);
        let unconfirmed = self.unconfirmed.remove(&endpoint);
        sent_before(since, unconfirmed.map(|it| it.suspects).unwrap_or_default())
    }

    /// Records that an endpoint was found up after connections to it were lost: it has not crashed.
    pub fn on_found_up(&mut self, endpoint: u64) {
        self.unconfirmed.remove(&endpoint);
    }

    /// Records that an endpoint has begun to answer a request that was sent at a time.
    pub fn on_answering(&mut self, endpoint: u64, sent_at: Duration) {
        let since = self.down_since.get(&endpoint);
        if since.is_some_and(|since| *since < sent_at) {
            self.down_since.remove(&endpoint);
        }
    }

    /// Drops what is too old.
    pub fn tick(&mut self, now: Duration) {
        let age = |at: Duration| now.saturating_sub(at);
        self.unconfirmed
            .retain(|_, it| age(it.first_lost_at) < CONFIRMATION_TIME);
        self.down_since.retain(|_, since| age(*since) < DOWN_TIME);
    }
}

fn sent_before(time: Duration, mut suspects: Vec<SuspectCrash>) -> Vec<SuspectCrash> {
    suspects.retain(|(_, crash)| crash.sent_at < time);
    suspects
}
