//! The notices in force.

use std::collections::BTreeMap;
use std::time::Duration;

use sedgeridge_state::settings::millis;

use super::dissemination::NoticeKey;
use super::messages::Notice;
use super::rejections::Rejection;

/// Most notices held; beyond it the one that ends first goes.
pub(crate) const MAX_HELD: usize = 256;

/// Time an endpoint's leaving is remembered.
const LEAVING_RETENTION_MS: u64 = 600_000;

/// Longest quarantine that is believed.
const MAX_QUARANTINE_MS: u64 = 3_600_000;

/// Largest difference between the wall clocks of two hosts that is believed.
const MAX_CLOCK_LEAD_MS: u64 = 86_400_000;

/// A quarantine is extended only by more than this, so that delays on the way are no news.
const QUARANTINE_SLACK: Duration = Duration::from_secs(5);

#[derive(Debug)]
struct Held {
    since_unix_ms: u64,
    ends: Duration,
}

/// The notices in force, by what they are about.
#[derive(Debug, Default)]
pub(crate) struct NoticeBoard {
    held: BTreeMap<NoticeKey, Held>,
}

impl NoticeBoard {
    /// Takes a notice; returns whether it is news. `unix_ms` is this host's estimate of the wall clock.
    pub(crate) fn merge(
        &mut self,
        now: Duration,
        unix_ms: u64,
        notice: &Notice,
    ) -> Result<bool, Rejection> {
        let (since_unix_ms, left_ms) = match *notice {
            Notice::EndpointLeaving { since_unix_ms, .. } => {
                if since_unix_ms > unix_ms + MAX_CLOCK_LEAD_MS {
                    return Err(Rejection::AbsurdNotice);
                }
                let ends_unix_ms = since_unix_ms + LEAVING_RETENTION_MS;
                (since_unix_ms, ends_unix_ms.saturating_sub(unix_ms))
            }
            Notice::Quarantine { expires_in_ms, .. } => (0, expires_in_ms),
        };
        if matches!(notice, Notice::Quarantine { .. }) && left_ms > MAX_QUARANTINE_MS {
            return Err(Rejection::AbsurdNotice);
        }
        if left_ms == 0 {
            return Ok(false);
        }
        let key = NoticeKey::from(notice);
        let ends = now + millis(left_ms);
        let known = self.held.get(&key).is_some_and(|held| {
            held.since_unix_ms >= since_unix_ms && ends <= held.ends + QUARANTINE_SLACK
        });
        if known {
            return Ok(false);
        }
        self.make_room();
        self.held.insert(
            key,
            Held {
                since_unix_ms,
                ends,
            },
        );
        Ok(true)
    }

    /// Forgets notices that have ended.
    pub(crate) fn forget_ended(&mut self, now: Duration) {
        self.held.retain(|_, held| held.ends > now);
    }

    /// Lists the keys in force.
    pub(crate) fn keys(&self) -> impl Iterator<Item = &NoticeKey> {
        self.held.keys()
    }

    /// Returns all notices in force.
    pub(crate) fn all(&self, now: Duration) -> Vec<Notice> {
        let keys = self.held.keys();
        keys.filter_map(|key| self.notice(now, key)).collect()
    }

    /// Returns the notice to be sent now, if it is still in force.
    pub(crate) fn notice(&self, now: Duration, key: &NoticeKey) -> Option<Notice> {
        let held = self.held.get(key)?;
        let left = held.ends.checked_sub(now).filter(|d| !d.is_zero())?;
        Some(match key {
            NoticeKey::Leaving(endpoint) => Notice::EndpointLeaving {
                endpoint: endpoint.clone(),
                since_unix_ms: held.since_unix_ms,
            },
            NoticeKey::Quarantine(fingerprint) => Notice::Quarantine {
                fingerprint: *fingerprint,
                expires_in_ms: left.as_millis() as u64,
            },
        })
    }

    fn make_room(&mut self) {
        if self.held.len() < MAX_HELD {
            return;
        }
        let first_to_end = self.held.iter().min_by_key(|(_, held)| held.ends);
        if let Some(key) = first_to_end.map(|(key, _)| key.clone()) {
            self.held.remove(&key);
        }
    }
}
