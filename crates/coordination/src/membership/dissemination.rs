//! Queues updates and notices that are piggybacked on the next messages.
//!
//! Each member sends an item a bounded number of times, in proportion to the logarithm of the
//! fleet's size, as in SWIM (Das, Gupta, Motivala, 2002).

use std::collections::BTreeMap;

use sedgeridge_state::fingerprint::Fingerprint;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::HostId;

use super::messages::Notice;
use super::messages::Update;

/// Maximum number of updates piggybacked on one message.
pub(crate) const MAX_UPDATES_PER_MESSAGE: usize = 8;

/// Maximum number of notices piggybacked on one message.
pub(crate) const MAX_NOTICES_PER_MESSAGE: usize = 8;

/// Transmissions of one item by one member for each decimal digit of the fleet's size.
const TRANSMISSIONS_PER_DIGIT: u32 = 6;

/// Minimum number of transmissions of one item by one member: in a small fleet most of them reach
/// hosts that already know it.
const MIN_TRANSMISSIONS: u32 = 12;

/// Transmissions that receiving a queued item from another member counts as. Its receipt shows that
/// it is already spreading; without this, updates about a lost rack are repeated long after all
/// members know them.
const TRANSMISSIONS_PER_RECEIPT: u32 = 1;

/// Identifies the subject of a notice.
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

/// Items that this host has not sent often enough yet.
#[derive(Debug, Default)]
pub(crate) struct Dissemination {
    updates: BTreeMap<HostId, (u32, Update)>,
    notices: BTreeMap<NoticeKey, u32>,
    generation_transmissions: Option<u32>,
}

impl Dissemination {
    /// Queues an update and replaces an older one about the same host.
    pub(crate) fn queue_update(&mut self, update: Update) {
        let host = update.record.member.host.clone();
        self.updates.insert(host, (0, update));
    }

    /// Queues a notice.
    pub(crate) fn queue_notice(&mut self, key: NoticeKey) {
        self.notices.insert(key, 0);
    }

    /// Counts the configuration generation as pending. Every message carries it anyway.
    pub(crate) fn queue_generation(&mut self) {
        self.generation_transmissions = Some(0);
    }

    /// Counts the receipt of an update that may be queued here too.
    pub(crate) fn record_received_update(&mut self, update: &Update, members: usize) {
        let host = &update.record.member.host;
        let Some((transmissions, queued)) = self.updates.get_mut(host) else {
            return;
        };
        if queued.record != update.record {
            return;
        }
        *transmissions += TRANSMISSIONS_PER_RECEIPT;
        if *transmissions >= transmission_limit(members) {
            self.updates.remove(host);
        }
    }

    /// Counts the receipt of a notice that may be queued here too.
    pub(crate) fn record_received_notice(&mut self, key: &NoticeKey, members: usize) {
        let Some(transmissions) = self.notices.get_mut(key) else {
            return;
        };
        *transmissions += TRANSMISSIONS_PER_RECEIPT;
        if *transmissions >= transmission_limit(members) {
            self.notices.remove(key);
        }
    }

    /// Counts the receipt of the known configuration generation.
    pub(crate) fn record_received_generation(&mut self, members: usize) {
        self.add_generation_transmissions(TRANSMISSIONS_PER_RECEIPT, members);
    }

    /// Whether any item is queued.
    pub(crate) fn is_pending(&self) -> bool {
        !self.updates.is_empty()
            || !self.notices.is_empty()
            || self.generation_transmissions.is_some()
    }

    /// Returns the updates for one message, the least often sent first.
    pub(crate) fn take_updates(&mut self, members: usize) -> Vec<Update> {
        let limit = transmission_limit(members);
        take_least_sent(
            &mut self.updates,
            MAX_UPDATES_PER_MESSAGE,
            limit,
            |_, (transmissions, update)| {
                *transmissions += 1;
                (*transmissions, update.clone())
            },
        )
    }

    /// Returns the notices for one message, the least often sent first.
    pub(crate) fn take_notices(&mut self, members: usize) -> Vec<NoticeKey> {
        let limit = transmission_limit(members);
        take_least_sent(
            &mut self.notices,
            MAX_NOTICES_PER_MESSAGE,
            limit,
            |key, transmissions| {
                *transmissions += 1;
                (*transmissions, key.clone())
            },
        )
    }

    /// Counts one sent message, which carries the configuration generation.
    pub(crate) fn record_sent_generation(&mut self, members: usize) {
        self.add_generation_transmissions(1, members);
    }

    fn add_generation_transmissions(&mut self, added: u32, members: usize) {
        let Some(transmissions) = self.generation_transmissions.as_mut() else {
            return;
        };
        *transmissions += added;
        if *transmissions >= transmission_limit(members) {
            self.generation_transmissions = None;
        }
    }
}

/// Returns how often one member sends one item.
fn transmission_limit(members: usize) -> u32 {
    let digits = members.max(1).ilog10() + 1;
    MIN_TRANSMISSIONS.max(TRANSMISSIONS_PER_DIGIT * digits)
}

/// Returns up to `count` entries, the least often sent first, and removes those sent `limit` times.
fn take_least_sent<K: Ord + Clone, V: TransmissionCount, T>(
    queue: &mut BTreeMap<K, V>,
    count: usize,
    limit: u32,
    mut take: impl FnMut(&K, &mut V) -> (u32, T),
) -> Vec<T> {
    let mut keys: Vec<(u32, K)> = queue
        .iter()
        .map(|(k, v)| (v.transmissions(), k.clone()))
        .collect();
    keys.sort();
    keys.truncate(count);
    let mut taken = Vec::with_capacity(keys.len());
    for (_, key) in keys {
        let Some(value) = queue.get_mut(&key) else {
            continue;
        };
        let (transmissions, item) = take(&key, value);
        if transmissions >= limit {
            queue.remove(&key);
        }
        taken.push(item);
    }
    taken
}

trait TransmissionCount {
    fn transmissions(&self) -> u32;
}

impl TransmissionCount for u32 {
    fn transmissions(&self) -> u32 {
        *self
    }
}

impl TransmissionCount for (u32, Update) {
    fn transmissions(&self) -> u32 {
        self.0
    }
}
