//! Which hosts of a large fleet call the platform's store.

use std::time::Duration;

/// Hosts of a large fleet that follow the store. Calls are paid for; four of them are rarely lost
/// at once, and others take over when they fall silent.
const FOLLOWERS: usize = 4;
/// Hosts that the store turns away and that still call it. A store that turns away a third of the
/// hosts nearly always leaves one of so many an answer. Without a bound a store that is away is called by
/// every host in turn.
const MOST_FAILING: usize = 8;
/// Time after which one more host tries, as long as so many are turned away: a store may turn away
/// nearly all hosts, and each of the others then finds it within a part of that time.
const NEXT_TRY: Duration = Duration::from_millis(500);

/// Time that a standby lets pass after a change. The store answers a call at each change, a large fleet sees
/// several changes a second, and calls are paid for. Should the first follower be killed, what it did not
/// tell is known this much later, within the second or two that a change may take.
const STANDBY_PAUSE: Duration = Duration::from_millis(700);
/// The same for hosts that all follow the store, or do not know yet that they are many: changes that
/// come in a burst, as when a fleet starts, take one call in place of three.
const FOLLOWER_PAUSE: Duration = Duration::from_millis(250);

/// Live hosts that come before this one in the choice of followers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HigherRankedHosts {
    /// Those that the store answers, as far as they know.
    pub answered_by_store: usize,
    /// Those that it does not answer.
    pub failing_at_store: usize,
}

/// A host's part in following the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreRole {
    /// It follows the store, and tells the others of a change at once.
    FirstFollower,
    /// It follows the store.
    Follower,
    /// It follows the store at a distance, so that it can take the first follower's place. It learns of
    /// most changes from that one's reports.
    Standby,
    /// It copies changes from hosts that know them.
    Copier,
}

impl StoreRole {
    /// Tells whether the host calls the store.
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

    /// Returns how long the host waits after a change before it asks for the next one.
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

/// How long the store has turned away as many hosts as may try.
#[derive(Debug, Default)]
pub struct StoreFollowers {
    turned_away_since: Option<Duration>,
}

impl StoreFollowers {
    /// Takes in how many live hosts the store does not answer. Call it several times a second.
    pub fn tick(&mut self, now: Duration, failing: usize) {
        match failing >= MOST_FAILING {
            true => _ = self.turned_away_since.get_or_insert(now),
            false => self.turned_away_since = None,
        }
    }

    /// Returns the part of a host.
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
        let turned_away_for = self
            .turned_away_since
            .map(|since| now.saturating_sub(since));
        let further = turned_away_for.unwrap_or_default().as_millis() / NEXT_TRY.as_millis();
        let may_try = before.failing_at_store < FOLLOWERS + MOST_FAILING + further as usize;
        match before.answered_by_store {
            _ if !may_try => StoreRole::Copier,
            0 => StoreRole::FirstFollower,
            answered if answered < FOLLOWERS => StoreRole::Standby,
            _ => StoreRole::Copier,
        }
    }
}
