//! Table of the notices in force.

use std::collections::BTreeMap;
use std::time::Duration;

use sedgeridge_state::settings::millis;

use super::dissemination::NoticeKey;
use super::messages::Notice;
use super::rejections::Rejection;

/// Maximum number of held notices. When it is reached, the one that ends first is evicted.
pub(crate) const MAX_HELD_NOTICES: usize = 256;

/// Time for which a notice of a leaving endpoint is in force.
const LEAVING_RETENTION_MS: u64 = 600_000;

/// Longest accepted quarantine.
const MAX_QUARANTINE_MS: u64 = 3_600_000;

/// Largest accepted lead of another host's wall clock over the local one.
const MAX_CLOCK_LEAD_MS: u64 = 86_400_000;

/// A quarantine that would end later by at most this is not new: delivery delays shift the end.
const QUARANTINE_END_TOLERANCE: Duration = Duration::from_secs(5);

#[derive(Debug)]
struct HeldNotice {
    since_unix_ms: u64,
    ends_at: Duration,
}

/// The notices in force, by subject.
#[derive(Debug, Default)]
pub(crate) struct NoticeTable {
    held: BTreeMap<NoticeKey, HeldNotice>,
}

impl NoticeTable {
    /// Adds a notice and returns whether it was new. `unix_ms` is this host's estimate of the wall
    /// clock.
    pub(crate) fn merge(
        &mut self,
        now: Duration,
        unix_ms: u64,
        notice: &Notice,
    ) -> Result<bool, Rejection> {
        let (since_unix_ms, remaining_ms) = match *notice {
            Notice::EndpointLeaving { since_unix_ms, .. } => {
                if since_unix_ms > unix_ms + MAX_CLOCK_LEAD_MS {
                    return Err(Rejection::AbsurdNotice);
                }
                let ends_unix_ms = since_unix_ms + LEAVING_RETENTION_MS;
                (since_unix_ms, ends_unix_ms.saturating_sub(unix_ms))
            }
            Notice::Quarantine { expires_in_ms, .. } => (0, expires_in_ms),
        };
        if matches!(notice, Notice::Quarantine { .. }) && remaining_ms > MAX_QUARANTINE_MS {
            return Err(Rejection::AbsurdNotice);
        }
        if remaining_ms == 0 {
            return Ok(false);
        }
        let key = NoticeKey::from(notice);
        let ends_at = now + millis(remaining_ms);
        let is_known = self.held.get(&key).is_some_and(|held| {
            held.since_unix_ms >= since_unix_ms
                && ends_at <= held.ends_at + QUARANTINE_END_TOLERANCE
        });
        if is_known {
            return Ok(false);
        }
        self.evict_if_full();
        self.held.insert(
            key,
            HeldNotice {
                since_unix_ms,
                ends_at,
            },
        );
        Ok(true)
    }

    /// Removes notices that have ended.
    pub(crate) fn remove_ended(&mut self, now: Duration) {
        self.held.retain(|_, held| held.ends_at > now);
    }

    /// Returns the keys of the held notices.
    pub(crate) fn keys(&self) -> impl Iterator<Item = &NoticeKey> {
        self.held.keys()
    }

    /// Returns all notices in force.
    pub(crate) fn notices_in_force(&self, now: Duration) -> Vec<Notice> {
        let keys = self.held.keys();
        keys.filter_map(|key| self.notice(now, key)).collect()
    }

    /// Returns a notice as it is to be sent now, if it is still in force.
    pub(crate) fn notice(&self, now: Duration, key: &NoticeKey) -> Option<Notice> {
        let held = self.held.get(key)?;
        let remaining = held.ends_at.checked_sub(now).filter(|d| !d.is_zero())?;
        Some(match key {
            NoticeKey::Leaving(endpoint) => Notice::EndpointLeaving {
                endpoint: endpoint.clone(),
                since_unix_ms: held.since_unix_ms,
            },
            NoticeKey::Quarantine(fingerprint) => Notice::Quarantine {
                fingerprint: *fingerprint,
                expires_in_ms: remaining.as_millis() as u64,
            },
        })
    }

    fn evict_if_full(&mut self) {
        if self.held.len() < MAX_HELD_NOTICES {
            return;
        }
        let first_to_end = self.held.iter().min_by_key(|(_, held)| held.ends_at);
        if let Some(key) = first_to_end.map(|(key, _)| key.clone()) {
            self.held.remove(&key);
        }
    }
}
