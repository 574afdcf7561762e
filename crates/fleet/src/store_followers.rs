//! Chooses the hosts of a large fleet that call the platform's store.

use std::time::Duration;

/// Hosts of a large fleet that follow the store. Calls are paid for. Four hosts are rarely lost at
/// once, and others take over when they fall silent.
pub const FOLLOWER_COUNT: usize = 4;
/// Hosts that still call the store although it refuses them. With so many, a store that refuses a
/// third of the hosts nearly always answers one of them. Without a bound every host in turn would
/// call a store that is unavailable.
const MAX_FAILING_CALLERS: usize = 8;
/// Interval at which one more host calls the store while it refuses that many. A store may refuse
/// nearly all hosts; each host that it does not refuse then reaches it within a fraction of
/// that time.
const EXTRA_CALLER_INTERVAL: Duration = Duration::from_millis(500);

/// Pause of a standby after a change. The store answers a call at each change, a large fleet sees
/// several changes a second, and calls are paid for. If the first follower is killed, changes that
/// it has not reported become known this much later, which is within the one or two seconds that a
/// change may take.
const STANDBY_PAUSE: Duration = Duration::from_millis(700);
/// Pause after a change for hosts that all follow the store, or do not know yet that the fleet is
/// large. A burst of changes, such as at the start of a fleet, takes one call instead of three.
const FOLLOWER_PAUSE: Duration = Duration::from_millis(250);

/// Live hosts that rank before this one in the choice of followers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HigherRankedHosts {
    /// Hosts that the store answers, as far as they know.
    pub answered_by_store: usize,
    /// Hosts that the store does not answer.
    pub failing_at_store: usize,
}

/// Role of a host in following the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreRole {
    /// Follows the store and reports a change to the other hosts at once.
    FirstFollower,
    /// Follows the store.
    Follower,
    /// Follows the store with pauses, ready to replace the first follower. It learns of most
    /// changes from the first follower's reports.
    Standby,
    /// Copies changes from hosts that know them.
    Copier,
}

impl StoreRole {
    /// Returns whether the host calls the store.
    ///
    /// ```
    /// use sedgeridge_fleet::store_followers::StoreRole;
    ///
    /// assert!(StoreRole::Standby.is_following());
    /// assert!(!StoreRole::Copier.is_following());
    /// ```
    pub fn is_following(self) -> bool {
        self != Self::Copier
    }

    /// Returns the pause between a change and the next call.
    ///
    /// ```
    /// use sedgeridge_fleet::store_followers::StoreRole;
    ///
    /// assert!(StoreRole::FirstFollower.feed_pause().is_zero());
    /// assert!(StoreRole::Standby.feed_pause() > StoreRole::Follower.feed_pause());
    /// ```
    pub fn feed_pause(self) -> Duration {
        match self {
            Self::FirstFollower | Self::Copier => Duration::ZERO,
            Self::Follower => FOLLOWER_PAUSE,
            Self::Standby => STANDBY_PAUSE,
        }
    }
}

/// Assigns store roles. It tracks for how long the store has refused at least `MAX_FAILING_CALLERS`
/// hosts.
#[derive(Debug, Default)]
pub struct StoreFollowers {
    refused_since: Option<Duration>,
}

impl StoreFollowers {
    /// Updates the number of live hosts that the store does not answer. Call it several times a
    /// second.
    pub fn tick(&mut self, now: Duration, failing: usize) {
        match failing >= MAX_FAILING_CALLERS {
            true => _ = self.refused_since.get_or_insert(now),
            false => self.refused_since = None,
        }
    }

    /// Returns the role of a host.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_fleet::store_followers::{HigherRankedHosts, StoreFollowers, StoreRole};
    ///
    /// let followers = StoreFollowers::default();
    /// let before = HigherRankedHosts { answered_by_store: 0, failing_at_store: 1 };
    /// assert_eq!(followers.role(Duration::ZERO, before), StoreRole::FirstFollower);
    /// let before = HigherRankedHosts { answered_by_store: 4, failing_at_store: 0 };
    /// assert_eq!(followers.role(Duration::ZERO, before), StoreRole::Copier);
    /// ```
    pub fn role(&self, now: Duration, before: HigherRankedHosts) -> StoreRole {
        let refused_for = self.refused_since.map(|since| now.saturating_sub(since));
        let extra_callers =
            refused_for.unwrap_or_default().as_millis() / EXTRA_CALLER_INTERVAL.as_millis();
        let may_call =
            before.failing_at_store < FOLLOWER_COUNT + MAX_FAILING_CALLERS + extra_callers as usize;
        match before.answered_by_store {
            _ if !may_call => StoreRole::Copier,
            0 => StoreRole::FirstFollower,
            answered if answered < FOLLOWER_COUNT => StoreRole::Standby,
            _ => StoreRole::Copier,
        }
    }
}
