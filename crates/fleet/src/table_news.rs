//! What reports of other hosts tell about the versions of a table, and when to fetch a copy.

use std::time::Duration;

use crate::store_followers::StoreRole;

/// Time for which a host that follows the store may know less than another before it copies from
/// there. The store itself tells of a change within some ten milliseconds.
const FOLLOWER_BEHIND_FOR: Duration = Duration::from_millis(250);

/// Versions of one table that other hosts know.
///
/// ```
/// use std::time::Duration;
/// use sedgeridge_fleet::store_followers::StoreRole;
/// use sedgeridge_fleet::table_news::TableNews;
///
/// let mut news = TableNews::default();
/// assert!(news.takes_copy(Duration::ZERO, 7, 9, StoreRole::Copier));
/// assert!(!news.takes_copy(Duration::ZERO, 7, 9, StoreRole::Copier), "one fetch at a time");
/// news.on_fetched();
/// assert!(news.takes_copy(Duration::ZERO, 7, 9, StoreRole::Copier));
/// ```
#[derive(Debug, Default)]
pub struct TableNews {
    behind_since: Option<Duration>,
    is_fetching: bool,
}

impl TableNews {
    /// Takes in that another host knows the version `heard`, and tells whether to fetch its copy now.
    ///
    /// The store may turn this host away while it serves the others and the operator. Without the
    /// copy, callers here would be served by old routes and keys, and endpoints that left.
    pub fn takes_copy(&mut self, now: Duration, known: u64, heard: u64, role: StoreRole) -> bool {
        if heard <= known {
            return false;
        }
        let since = *self.behind_since.get_or_insert(now);
        let patience = match role {
            StoreRole::Copier => Duration::ZERO,
            StoreRole::FirstFollower | StoreRole::Follower | StoreRole::Standby => {
                FOLLOWER_BEHIND_FOR
            }
        };
        if self.is_fetching || now.saturating_sub(since) < patience {
            return false;
        }
        self.is_fetching = true;
        true
    }

    /// Notes that a fetch has ended, with a copy or without one.
    pub fn on_fetched(&mut self) {
        self.is_fetching = false;
        self.behind_since = None;
    }
}
