//! Tracks the table versions that other hosts report, and decides when to fetch a copy.

use std::time::Duration;

/// Time that a host which the store answers waits for the store before it copies from a host with a
/// newer version. The store itself delivers a change within some ten milliseconds.
const STORE_GRACE: Duration = Duration::from_millis(250);

/// Newer versions of one table that other hosts know.
///
/// ```
/// use std::time::Duration;
/// use sedgeridge_fleet::peer_versions::PeerVersions;
///
/// let mut versions = PeerVersions::default();
/// assert!(versions.try_start_fetch(Duration::ZERO, 7, 9, false));
/// assert!(!versions.try_start_fetch(Duration::ZERO, 7, 9, false), "one fetch at a time");
/// versions.on_fetch_ended();
/// assert!(versions.try_start_fetch(Duration::ZERO, 7, 9, false));
/// ```
#[derive(Debug, Default)]
pub struct PeerVersions {
    newer: Option<NewerVersion>,
    is_fetching: bool,
}

/// A version that another host knows and this one does not, and when this host learned of it.
#[derive(Debug)]
struct NewerVersion {
    version: u64,
    since: Duration,
}

impl PeerVersions {
    /// Records that another host knows the version `reported`. Returns true, and counts a fetch as
    /// in progress, if this host should fetch a copy now.
    ///
    /// The store may refuse this host while it serves the others and the operator. Without the copy
    /// this host would keep old routes and keys, and endpoints that left. If the store answers this
    /// host (`store_answers`), the store gets a moment to deliver the change itself.
    pub fn try_start_fetch(
        &mut self,
        now: Duration,
        known: u64,
        reported: u64,
        store_answers: bool,
    ) -> bool {
        // The wait restarts after the host has caught up. Otherwise each later change would be
        // copied at once.
        self.newer.take_if(|newer| newer.version <= known);
        if reported <= known {
            return false;
        }
        let newer = self.newer.get_or_insert(NewerVersion {
            version: reported,
            since: now,
        });
        let since = newer.since;
        let grace = match store_answers {
            true => STORE_GRACE,
            false => Duration::ZERO,
        };
        if self.is_fetching || now.saturating_sub(since) < grace {
            return false;
        }
        self.is_fetching = true;
        true
    }

    /// Records the end of a fetch, with or without a copy.
    pub fn on_fetch_ended(&mut self) {
        self.is_fetching = false;
        self.newer = None;
    }
}
