//! The records that this host keeps of all other hosts.

use std::collections::BTreeMap;
use std::time::Duration;

use sedgeridge_state::ids::HostId;
use sedgeridge_state::ids::Incarnation;

use super::messages::Health;
use super::messages::MemberRecord;
use super::messages::Update;
use super::suspicion::Suspicion;

/// Time for which the record of a dead member is kept, so that a late update does not revive it.
const DEAD_RETENTION: Duration = Duration::from_secs(3_600);

/// Origin of an update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Source {
    /// A disseminated update, or a finding of this host.
    Gossip,
    /// Part of a received table, so possibly old.
    TableSync,
}

/// Effect of an update on the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MergeOutcome {
    /// The update held nothing new.
    Ignored,
    /// The record changed.
    Changed,
    /// A running suspicion gained an accuser.
    Confirmed,
}

#[derive(Debug, Clone)]
struct Entry {
    record: MemberRecord,
    changed_at: Duration,
    suspicion: Option<Suspicion>,
    /// Another host's table records this member as dead. The member is told, and refutes if alive.
    reported_dead: bool,
}

/// The records of all hosts but this one.
#[derive(Debug)]
pub(crate) struct MemberTable {
    entries: BTreeMap<HostId, Entry>,
    min_suspicion: Duration,
    live_count: usize,
    suspect_count: usize,
}

impl MemberTable {
    pub(crate) fn new(min_suspicion: Duration) -> Self {
        Self {
            entries: BTreeMap::new(),
            min_suspicion,
            live_count: 0,
            suspect_count: 0,
        }
    }

    pub(crate) fn get(&self, host: &HostId) -> Option<&MemberRecord> {
        self.entries.get(host).map(|e| &e.record)
    }

    pub(crate) fn contains(&self, host: &HostId) -> bool {
        self.entries.contains_key(host)
    }

    pub(crate) fn is_live(&self, host: &HostId) -> bool {
        self.get(host).is_some_and(MemberRecord::is_live)
    }

    pub(crate) fn incarnation(&self, host: &HostId) -> Option<Incarnation> {
        self.get(host).map(|r| r.member.incarnation)
    }

    pub(crate) fn live_count(&self) -> usize {
        self.live_count
    }

    pub(crate) fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.entries.values().map(|e| &e.record)
    }

    pub(crate) fn live_records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records().filter(|r| r.is_live())
    }

    /// Returns the record that `host` should refute, if others suspect it or consider it dead.
    pub(crate) fn disputed_record(&self, host: &HostId) -> Option<MemberRecord> {
        let entry = self.entries.get(host)?;
        let health = match entry.record.health {
            Health::Alive if entry.reported_dead => Health::Dead,
            Health::Alive | Health::Left => return None,
            health => health,
        };
        Some(MemberRecord {
            health,
            ..entry.record.clone()
        })
    }

    /// Stores a record if it supersedes the one held.
    pub(crate) fn merge(&mut self, now: Duration, update: &Update, source: Source) -> MergeOutcome {
        let record = &update.record;
        let Some(held) = self.entries.get_mut(&record.member.host) else {
            if !record.is_live() {
                return MergeOutcome::Ignored;
            }
            self.store(now, update);
            return MergeOutcome::Changed;
        };
        if record.version() < held.record.version() {
            return MergeOutcome::Ignored;
        }
        if record.version() > held.record.version() {
            self.store(now, update);
            return MergeOutcome::Changed;
        }
        if record.health == Health::Suspect && held.record.health == Health::Suspect {
            return confirm(held, update);
        }
        if record.health <= held.record.health {
            return MergeOutcome::Ignored;
        }
        // After a partition each half considers the other half dead. If such old records were
        // accepted from a table, the first exchange after the partition heals would remove live
        // members. The member is told instead; if it is dead, this half's own probes detect it.
        if source == Source::TableSync && record.health != Health::Left {
            held.reported_dead = true;
            return MergeOutcome::Ignored;
        }
        self.store(now, update);
        MergeOutcome::Changed
    }

    /// Returns the suspects whose time to refute has expired.
    pub(crate) fn expired_suspects(&self, now: Duration) -> Vec<MemberRecord> {
        if self.suspect_count == 0 {
            return Vec::new();
        }
        self.entries
            .values()
            .filter(|e| e.suspicion.as_ref().is_some_and(|s| s.deadline() <= now))
            .map(|e| e.record.clone())
            .collect()
    }

    /// Returns when the next suspicion ends.
    pub(crate) fn next_suspicion_end(&self) -> Option<Duration> {
        if self.suspect_count == 0 {
            return None;
        }
        let suspicions = self.entries.values().filter_map(|e| e.suspicion.as_ref());
        suspicions.map(Suspicion::deadline).min()
    }

    /// Restarts the time to refute of every suspect.
    pub(crate) fn restart_suspicions(&mut self, now: Duration) {
        for suspicion in self
            .entries
            .values_mut()
            .filter_map(|e| e.suspicion.as_mut())
        {
            suspicion.restart(now);
        }
    }

    /// Removes members that have been dead for [`DEAD_RETENTION`].
    pub(crate) fn remove_expired_records(&mut self, now: Duration) {
        self.entries
            .retain(|_, e| e.record.is_live() || now < e.changed_at + DEAD_RETENTION);
    }

    fn store(&mut self, now: Duration, update: &Update) {
        let other_live_members = self.live_count.saturating_sub(1);
        let suspicion = (update.record.health == Health::Suspect).then(|| {
            Suspicion::new(
                now,
                self.min_suspicion,
                other_live_members,
                update.accuser.clone(),
            )
        });
        let entry = Entry {
            record: update.record.clone(),
            changed_at: now,
            suspicion,
            reported_dead: false,
        };
        self.live_count += usize::from(entry.record.is_live());
        self.suspect_count += usize::from(entry.suspicion.is_some());
        let host = entry.record.member.host.clone();
        if let Some(old) = self.entries.insert(host, entry) {
            self.live_count -= usize::from(old.record.is_live());
            self.suspect_count -= usize::from(old.suspicion.is_some());
        }
    }
}

fn confirm(held: &mut Entry, update: &Update) -> MergeOutcome {
    let (Some(suspicion), Some(accuser)) = (held.suspicion.as_mut(), update.accuser.clone()) else {
        return MergeOutcome::Ignored;
    };
    if suspicion.confirm(accuser) {
        MergeOutcome::Confirmed
    } else {
        MergeOutcome::Ignored
    }
}
