//! Tracks the table versions that other hosts report, and decides when to fetch a copy.
//!
//! Followers of the store fetch none while the store answers them. In a large fleet the relays fetch from any host, and
//! all others wait for a host of their own data centre to know the change. Thus a change passes between two data centres
//! once, and the first host that knows it is not asked by the whole fleet at the same moment.

use std::time::Duration;

use crate::store_version::StoreVersion;

/// Time that a host which the store answers waits for the store before it copies from a host with a
/// newer version. The store itself delivers a change within some ten milliseconds.
const STORE_GRACE: Duration = Duration::from_millis(250);

/// Time that a host waits for a host of its own data centre to know a newer version, before it copies from another data
/// centre. Relays report twice or more in that time.
const REMOTE_GRACE: Duration = Duration::from_millis(400);

/// Where a copy of a newer version comes from, as seen from this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CopySource {
    /// A host to which this one turns at once.
    Preferred,
    /// A host of another data centre, while hosts of the own one will soon know the version too.
    Remote,
    /// Another host, while the store itself delivers the change.
    BesideStore,
}

impl CopySource {
    /// Returns how long to wait for a better source.
    fn grace(self) -> Duration {
        match self {
            Self::Preferred => Duration::ZERO,
            Self::Remote => REMOTE_GRACE,
            Self::BesideStore => STORE_GRACE,
        }
    }
}

/// Newer versions of one table that other hosts know.
///
/// ```
/// use std::time::Duration;
/// use sedgeridge_fleet::peer_versions::{CopySource, PeerVersions};
/// use sedgeridge_fleet::store_version::StoreVersion;
///
/// let known = StoreVersion { era: 1, number: 7 };
/// let reported = StoreVersion { era: 2, number: 5 };
/// let mut versions = PeerVersions::default();
/// assert!(!versions.try_start_fetch(Duration::ZERO, known, reported, CopySource::Remote));
/// assert!(versions.try_start_fetch(Duration::ZERO, known, reported, CopySource::Preferred));
/// assert!(!versions.try_start_fetch(Duration::ZERO, known, reported, CopySource::Preferred), "one fetch at a time");
/// versions.on_fetch_ended();
/// assert!(versions.try_start_fetch(Duration::ZERO, known, reported, CopySource::Preferred));
/// ```
#[derive(Debug, Default)]
pub struct PeerVersions {
    newer: Option<NewerVersion>,
    is_fetching: bool,
}

/// A version that another host knows and this one does not, and when this host learned of it.
#[derive(Debug)]
struct NewerVersion {
    version: StoreVersion,
    since: Duration,
}

impl PeerVersions {
    /// Records that another host knows the version `reported`. Returns true, and counts a fetch as
    /// in progress, if this host should fetch a copy now.
    ///
    /// The store may refuse this host while it serves the others and the operator. Without the copy
    /// this host would keep old routes and keys, and endpoints that left. If the store answers this
    /// host, the store gets a moment to deliver the change itself.
    pub fn try_start_fetch(
        &mut self,
        now: Duration,
        known: StoreVersion,
        reported: StoreVersion,
        source: CopySource,
    ) -> bool {
        self.on_known(known);
        if reported <= known {
            return false;
        }
        let newer = self.newer.get_or_insert(NewerVersion {
            version: reported,
            since: now,
        });
        let since = newer.since;
        if self.is_fetching || now.saturating_sub(since) < source.grace() {
            return false;
        }
        self.is_fetching = true;
        true
    }

    /// Records the version that this host knows. After it has caught up, the wait begins anew with the
    /// next change. Otherwise each later change would be copied at once.
    pub fn on_known(&mut self, known: StoreVersion) {
        self.newer.take_if(|newer| newer.version <= known);
    }

    /// Records the end of a fetch, with or without a copy.
    pub fn on_fetch_ended(&mut self) {
        self.is_fetching = false;
        self.newer = None;
    }
}
