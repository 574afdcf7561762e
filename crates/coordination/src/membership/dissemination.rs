//! Which news are carried along with the next messages.
//!
//! Each piece of news is sent a bounded number of times by each member, in proportion to the
//! logarithm of the fleet's size, as in SWIM (Das, Gupta, Motivala, 2002).

use std::collections::BTreeMap;

use sedgeridge_state::fingerprint::Fingerprint;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::HostId;

use super::messages::Notice;
use super::messages::Update;

/// Most updates carried by one message.
pub(crate) const MAX_UPDATES: usize = 8;

/// Most notices carried by one message.
pub(crate) const MAX_NOTICES: usize = 8;

/// Transmissions of one piece of news for each decimal digit of the fleet's size.
const TRANSMISSIONS_PER_DIGIT: u32 = 6;

/// Fewest transmissions of one piece of news: in a small fleet most of them meet hosts that know it.
const MIN_TRANSMISSIONS: u32 = 12;

/// Transmissions that a piece of news counts as when another member sends it here. Hearing it shows
/// that it is spread already; without this, news of a lost rack is repeated long after all know it.
const HEARD_AS_TRANSMISSIONS: u32 = 1;

/// Identifies what a notice is about.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum NoticeKey {
    Leaving(EndpointId),
    Quarantine(Fingerprint),
}

impl From<&Notice> for NoticeKey {
    fn from(notice: &Notice) -> Self {
        match notice {
            Notice::EndpointLeaving { endpoint, .. } => Self::Leaving(endpoint.clone()),
            Notice::Quarantine { fingerprint, .. } => Self::Quarantine(*fingerprint),
        }
    }
}

/// News that have not been sent often enough yet.
#[derive(Debug, Default)]
pub(crate) struct Dissemination {
    updates: BTreeMap<HostId, (u32, Update)>,
    notices: BTreeMap<NoticeKey, u32>,
    generation_sent: Option<u32>,
}

impl Dissemination {
    /// Queues an update in place of an older one on the same host.
    pub(crate) fn push_update(&mut self, update: Update) {
        let host = update.record.member.host.clone();
        self.updates.insert(host, (0, update));
    }

    /// Queues a notice.
    pub(crate) fn push_notice(&mut self, key: NoticeKey) {
        self.notices.insert(key, 0);
    }

    /// Marks the configuration generation as news; every message carries it anyway.
    pub(crate) fn push_generation(&mut self) {
        self.generation_sent = Some(0);
    }

    /// Takes note that another member has sent an update that may be queued here too.
    pub(crate) fn hear_update(&mut self, update: &Update, members: usize) {
        let host = &update.record.member.host;
        let Some((sent, queued)) = self.updates.get_mut(host) else {
            return;
        };
        if queued.record != update.record {
            return;
        }
        *sent += HEARD_AS_TRANSMISSIONS;
        if *sent >= transmission_limit(members) {
            self.updates.remove(host);
        }
    }

    /// Takes note that another member has sent a notice.
    pub(crate) fn hear_notice(&mut self, key: &NoticeKey, members: usize) {
        let Some(sent) = self.notices.get_mut(key) else {
            return;
        };
        *sent += HEARD_AS_TRANSMISSIONS;
        if *sent >= transmission_limit(members) {
            self.notices.remove(key);
        }
    }

    /// Takes note that another member knows the configuration generation.
    pub(crate) fn hear_generation(&mut self, members: usize) {
        self.count_generation_as(HEARD_AS_TRANSMISSIONS, members);
    }

    /// Whether there is news to send.
    pub(crate) fn is_pending(&self) -> bool {
        !self.updates.is_empty() || !self.notices.is_empty() || self.generation_sent.is_some()
    }

    /// Takes the updates for one message, the least sent first.
    pub(crate) fn take_updates(&mut self, members: usize) -> Vec<Update> {
        let limit = transmission_limit(members);
        take_least_sent(
            &mut self.updates,
            MAX_UPDATES,
            limit,
            |_, (sent, update)| {
                *sent += 1;
                (*sent, update.clone())
            },
        )
    }

    /// Takes the notices for one message, the least sent first.
    pub(crate) fn take_notices(&mut self, members: usize) -> Vec<NoticeKey> {
        let limit = transmission_limit(members);
        take_least_sent(&mut self.notices, MAX_NOTICES, limit, |key, sent| {
            *sent += 1;
            (*sent, key.clone())
        })
    }

    /// Counts one message sent with the configuration generation.
    pub(crate) fn count_generation(&mut self, members: usize) {
        self.count_generation_as(1, members);
    }

    fn count_generation_as(&mut self, transmissions: u32, members: usize) {
        let Some(sent) = self.generation_sent.as_mut() else {
            return;
        };
        *sent += transmissions;
        if *sent >= transmission_limit(members) {
            self.generation_sent = None;
        }
    }
}

/// Number of times each member sends one piece of news.
fn transmission_limit(members: usize) -> u32 {
    let digits = members.max(1).ilog10() + 1;
    MIN_TRANSMISSIONS.max(TRANSMISSIONS_PER_DIGIT * digits)
}

/// Takes up to `count` entries, the least sent first, and drops those sent `limit` times.
fn take_least_sent<K: Ord + Clone, V: SentCount, T>(
    queue: &mut BTreeMap<K, V>,
    count: usize,
    limit: u32,
    mut take: impl FnMut(&K, &mut V) -> (u32, T),
) -> Vec<T> {
    let mut keys: Vec<(u32, K)> = queue.iter().map(|(k, v)| (v.sent(), k.clone())).collect();
    keys.sort();
    keys.truncate(count);
    let mut taken = Vec::with_capacity(keys.len());
    for (_, key) in keys {
        let Some(value) = queue.get_mut(&key) else {
            continue;
        };
        let (sent, item) = take(&key, value);
        if sent >= limit {
            queue.remove(&key);
        }
        taken.push(item);
    }
    taken
}

trait SentCount {
    fn sent(&self) -> u32;
}

impl SentCount for u32 {
    fn sent(&self) -> u32 {
        *self
    }
}

impl SentCount for (u32, Update) {
    fn sent(&self) -> u32 {
        self.0
    }
}
