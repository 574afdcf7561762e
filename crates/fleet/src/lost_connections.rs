//! Requests that were in progress at endpoints, until it is known whether the endpoints crashed: those whose connections
//! were lost, and those that this host gave up without an answer.

use std::collections::VecDeque;
use std::time::Duration;

use nohash_hasher::IntMap;

use crate::crash_evidence::Crash;
use crate::suspect::Suspect;

/// Time after the first lost connection in which the endpoint has to be found down. Crashed endpoints are back after some
/// seconds.
const CONFIRMATION_TIME: Duration = Duration::from_secs(2);
/// Time after the last sign that an endpoint is down in which it counts as down, unless it answers.
const DOWN_TIME: Duration = Duration::from_secs(2);

/// Time after the end of a request's time in which a crash under it has to become known. Endpoints work on it until then.
const GIVEN_UP_TIME: Duration = Duration::from_secs(4);
/// Maximum number of requests that are kept after they were given up.
const MAX_GIVEN_UP: usize = 1_024;

/// A suspect and the crash that speaks against it.
pub type SuspectCrash = (Suspect, Crash);

/// Lost connections by endpoint, and endpoints that are down.
#[derive(Debug, Default)]
pub struct LostConnections {
    unconfirmed: IntMap<u64, UnconfirmedCrash>,
    down: IntMap<u64, DownTime>,
    given_up: VecDeque<GivenUp>,
}

/// A request that was given up without an answer, while its endpoint may still work on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GivenUp {
    /// The request.
    pub suspect: Suspect,
    /// Key of the endpoint's run.
    pub endpoint: u64,
    /// When the request was sent.
    pub sent_at: Duration,
    /// End of the time for which the endpoint works on it.
    pub deadline: Duration,
}

/// Time in which an endpoint is known to be down.
#[derive(Debug)]
struct DownTime {
    since: Duration,
    last_sign_at: Duration,
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
        let down = self.down.get_mut(&endpoint);
        if let Some(down) = down.filter(|it| it.holds(now)) {
            down.last_sign_at = now;
            return sent_before(down.since, suspects);
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
    pub fn must_check(&self, now: Duration, endpoint: u64) -> bool {
        let is_down = self.down.get(&endpoint).is_some_and(|it| it.holds(now));
        !is_down && !self.unconfirmed.contains_key(&endpoint)
    }

    /// Records that an endpoint was found down after connections to it were lost. Returns the suspects in its crash.
    pub fn on_found_down(&mut self, now: Duration, endpoint: u64) -> Vec<SuspectCrash> {
        let first_lost_at = self.unconfirmed.get(&endpoint).map(|it| it.first_lost_at);
        self.on_refused(now, endpoint, first_lost_at.unwrap_or(now))
    }

    /// Records that an endpoint has refused a connection that was tried at a time. Returns the suspects in its crash.
    pub fn on_refused(
        &mut self,
        now: Duration,
        endpoint: u64,
        tried_at: Duration,
    ) -> Vec<SuspectCrash> {
        let known = self.down.get(&endpoint).filter(|it| it.holds(now));
        let down = DownTime {
            since: known.map_or(tried_at, |it| it.since),
            last_sign_at: now,
        };
        let since = down.since;
        self.down.insert(endpoint, down);
        let unconfirmed = self.unconfirmed.remove(&endpoint);
        let mut suspects = unconfirmed.map(|it| it.suspects).unwrap_or_default();
        suspects.extend(self.take_given_up(endpoint, since));
        sent_before(since, suspects)
    }

    /// Records a request that was given up without an answer. If there are too many, the oldest one goes.
    pub fn add_given_up(&mut self, request: GivenUp) {
        if self.given_up.len() >= MAX_GIVEN_UP {
            self.given_up.pop_front();
        }
        self.given_up.push_back(request);
    }

    /// Takes the requests that were given up at an endpoint that has crashed at a time.
    pub fn take_given_up(&mut self, endpoint: u64, lost_at: Duration) -> Vec<SuspectCrash> {
        let at_endpoint = self.given_up.iter().filter(|it| it.endpoint == endpoint);
        let crashes = at_endpoint.map(|it| {
            let crash = Crash {
                endpoint,
                sent_at: it.sent_at,
                lost_at,
            };
            (it.suspect, crash)
        });
        let crashes = crashes.collect();
        self.given_up.retain(|it| it.endpoint != endpoint);
        crashes
    }

    /// Records that an endpoint was found up after connections to it were lost: it has not crashed.
    pub fn on_found_up(&mut self, endpoint: u64) {
        self.unconfirmed.remove(&endpoint);
    }

    /// Records that an endpoint has begun to answer a request that was sent at a time.
    pub fn on_answering(&mut self, endpoint: u64, sent_at: Duration) {
        let down = self.down.get(&endpoint);
        if down.is_some_and(|down| down.since < sent_at) {
            self.down.remove(&endpoint);
        }
    }

    /// Drops what is too old.
    pub fn tick(&mut self, now: Duration) {
        let is_recent = |at: Duration| now.saturating_sub(at) < CONFIRMATION_TIME;
        self.unconfirmed.retain(|_, it| is_recent(it.first_lost_at));
        self.down.retain(|_, it| it.holds(now));
        self.given_up.retain(|it| now < it.deadline + GIVEN_UP_TIME);
    }
}

impl DownTime {
    fn holds(&self, now: Duration) -> bool {
        now.saturating_sub(self.last_sign_at) < DOWN_TIME
    }
}

fn sent_before(time: Duration, mut suspects: Vec<SuspectCrash>) -> Vec<SuspectCrash> {
    suspects.retain(|(_, crash)| crash.sent_at < time);
    suspects
}
