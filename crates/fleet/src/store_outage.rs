//! Tells an outage of the platform's store from one that only some hosts see.

use std::time::Duration;

/// Time between the failures of two hosts' calls when the store goes away: an answer that one of them still
/// got within it says nothing of the time after.
const ONSET: Duration = Duration::from_millis(250);
/// Time after the first answer in which a host that begins to follow the store may still be told of what
/// lapsed in the outage.
const END: Duration = Duration::from_millis(400);

/// What the hosts' reports say of the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreReports {
    /// Earliest moment since which it does not answer one of the hosts that call it.
    pub lost_at: Option<Duration>,
    /// When it last answered any host.
    pub answered_at: Option<Duration>,
}

/// The last outage in which the store answered no host at all.
///
/// ```
/// use std::time::Duration;
/// use sedgeridge_fleet::store_outage::{StoreOutage, StoreReports};
///
/// let seconds = Duration::from_secs;
/// let mut outage = StoreOutage::default();
/// let away = StoreReports { lost_at: Some(seconds(5)), answered_at: Some(seconds(4)) };
/// outage.tick(seconds(6), away);
/// assert_eq!(outage.since(), Some(seconds(5)));
///
/// let turns_some_away = StoreReports { answered_at: Some(seconds(6)), ..away };
/// outage.tick(seconds(6), turns_some_away);
/// outage.tick(seconds(7), turns_some_away);
/// assert_eq!(outage.since(), None);
/// ```
#[derive(Debug, Default)]
pub struct StoreOutage {
    since: Option<Duration>,
    ended_at: Option<Duration>,
}

impl StoreOutage {
    /// Takes in what hosts report. Call it several times a second.
    pub fn tick(&mut self, now: Duration, reports: StoreReports) {
        let answered_since = |lost_at| {
            let answered_at = reports.answered_at;
            answered_at.is_some_and(|at| at > lost_at + ONSET)
        };
        if let Some(lost_at) = reports.lost_at.filter(|at| !answered_since(*at)) {
            self.since = Some(lost_at);
            self.ended_at = None;
            return;
        }
        if self.since.is_some() && now > *self.ended_at.get_or_insert(now) + END {
            *self = Self::default();
        }
    }

    /// Returns when the outage began, if it lasts or has just ended.
    pub fn since(&self) -> Option<Duration> {
        self.since
    }
}
