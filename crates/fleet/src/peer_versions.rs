//! What reports of other hosts tell about the versions of a table, and when to fetch a copy.

use std::time::Duration;

/// Time for which a host that the store answers may know less than another before it copies from
/// there. The store itself tells of a change within some ten milliseconds.
const ANSWERED_BEHIND_FOR: Duration = Duration::from_millis(250);

/// Versions of one table that other hosts know.
///
/// ```
/// use std::time::Duration;
/// use sedgeridge_fleet::peer_versions::PeerVersions;
///
/// let mut news = PeerVersions::default();
/// assert!(news.try_start_fetch(Duration::ZERO, 7, 9, false));
/// assert!(!news.try_start_fetch(Duration::ZERO, 7, 9, false), "one fetch at a time");
/// news.on_fetch_ended();
/// assert!(news.try_start_fetch(Duration::ZERO, 7, 9, false));
/// ```
#[derive(Debug, Default)]
pub struct PeerVersions {
    ahead: Option<Ahead>,
    is_fetching: bool,
}

/// A version that another host knows and this one does not.
#[derive(Debug)]
struct Ahead {
    version: u64,
    since: Duration,
}

impl PeerVersions {
    /// Takes in that another host knows the version `heard`, and tells whether to fetch its copy now.
    ///
    /// The store may turn this host away while it serves the others and the operator. Without the
    /// copy, callers here would be served by old routes and keys, and endpoints that left. A host that the store
    /// answers, `is_answered`, leaves it a moment to tell of the change itself.
    pub fn try_start_fetch(
        &mut self,
        now: Duration,
        known: u64,
        heard: u64,
        is_answered: bool,
    ) -> bool {
        // A host that has caught up meanwhile waits anew: else it would copy each later change at once.
        self.ahead.take_if(|ahead| ahead.version <= known);
        if heard <= known {
            return false;
        }
        let ahead = self.ahead.get_or_insert(Ahead {
            version: heard,
            since: now,
        });
        let since = ahead.since;
        let patience = match is_answered {
            true => ANSWERED_BEHIND_FOR,
            false => Duration::ZERO,
        };
        if self.is_fetching || now.saturating_sub(since) < patience {
            return false;
        }
        self.is_fetching = true;
        true
    }

    /// Notes that a fetch has ended, with a copy or without one.
    pub fn on_fetch_ended(&mut self) {
        self.is_fetching = false;
        self.ahead = None;
    }
}
