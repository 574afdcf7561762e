//! What this host believes of every other host.

use std::collections::BTreeMap;
use std::time::Duration;

use sedgeridge_state::ids::HostId;
use sedgeridge_state::ids::Incarnation;

use super::messages::Health;
use super::messages::MemberRecord;
use super::messages::Update;
use super::suspicion::Suspicion;

/// Time the record of a dead member is kept, so that a late update does not bring it back.
const DEAD_RETENTION: Duration = Duration::from_secs(3_600);

/// How an update came in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Source {
    /// Spread as news, or found by this host.
    News,
    /// Part of a whole table, so possibly old.
    Table,
}

/// What an update did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Merge {
    /// Nothing new.
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
    /// Another table holds this member for dead: it is told so, and refutes if it lives.
    disputed: bool,
}

/// The records of all hosts but this one.
#[derive(Debug)]
pub(crate) struct MemberTable {
    entries: BTreeMap<HostId, Entry>,
    suspicion_time: Duration,
    live: usize,
    suspects: usize,
}

impl MemberTable {
    pub(crate) fn new(suspicion_time: Duration) -> Self {
        Self {
            entries: BTreeMap::new(),
            suspicion_time,
            live: 0,
            suspects: 0,
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
        self.live
    }

    pub(crate) fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.entries.values().map(|e| &e.record)
    }

    pub(crate) fn live(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records().filter(|r| r.is_live())
    }

    /// Returns what `host` should hear about itself, if others doubt that it lives.
    pub(crate) fn doubt(&self, host: &HostId) -> Option<MemberRecord> {
        let entry = self.entries.get(host)?;
        let health = match entry.record.health {
            Health::Alive if entry.disputed => Health::Dead,
            Health::Alive | Health::Left => return None,
            doubtful => doubtful,
        };
        Some(MemberRecord {
            health,
            ..entry.record.clone()
        })
    }

    /// Takes a record over if it is newer than the one held.
    pub(crate) fn merge(&mut self, now: Duration, update: &Update, source: Source) -> Merge {
        let record = &update.record;
        let Some(held) = self.entries.get_mut(&record.member.host) else {
            if !record.is_live() {
                return Merge::Ignored;
            }
            self.store(now, update);
            return Merge::Changed;
        };
        if record.version() < held.record.version() {
            return Merge::Ignored;
        }
        if record.version() > held.record.version() {
            self.store(now, update);
            return Merge::Changed;
        }
        if record.health == Health::Suspect && held.record.health == Health::Suspect {
            return confirm(held, update);
        }
        if record.health <= held.record.health {
            return Merge::Ignored;
        }
        // After a partition each half holds the other half for dead. Were such old records taken
        // over from a table, the first exchange after the heal would empty the fleet. The member
        // is told instead; if it is dead indeed, this half's own probes find out.
        if source == Source::Table && record.health != Health::Left {
            held.disputed = true;
            return Merge::Ignored;
        }
        self.store(now, update);
        Merge::Changed
    }

    /// Returns the suspects whose time to refute is over.
    pub(crate) fn expired_suspects(&self, now: Duration) -> Vec<MemberRecord> {
        if self.suspects == 0 {
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
        if self.suspects == 0 {
            return None;
        }
        let suspicions = self.entries.values().filter_map(|e| e.suspicion.as_ref());
        suspicions.map(Suspicion::deadline).min()
    }

    /// Gives every suspect its whole time again.
    pub(crate) fn restart_suspicions(&mut self, now: Duration) {
        for suspicion in self
            .entries
            .values_mut()
            .filter_map(|e| e.suspicion.as_mut())
        {
            suspicion.restart(now);
        }
    }

    /// Forgets members that have been dead for long.
    pub(crate) fn forget_old(&mut self, now: Duration) {
        self.entries
            .retain(|_, e| e.record.is_live() || now < e.changed_at + DEAD_RETENTION);
    }

    fn store(&mut self, now: Duration, update: &Update) {
        let others = self.live.saturating_sub(1);
        let suspicion = (update.record.health == Health::Suspect)
            .then(|| Suspicion::new(now, self.suspicion_time, others, update.accuser.clone()));
        let entry = Entry {
            record: update.record.clone(),
            changed_at: now,
            suspicion,
            disputed: false,
        };
        self.live += usize::from(entry.record.is_live());
        self.suspects += usize::from(entry.suspicion.is_some());
        let host = entry.record.member.host.clone();
        if let Some(old) = self.entries.insert(host, entry) {
            self.live -= usize::from(old.record.is_live());
            self.suspects -= usize::from(old.suspicion.is_some());
        }
    }
}

fn confirm(held: &mut Entry, update: &Update) -> Merge {
    let (Some(suspicion), Some(accuser)) = (held.suspicion.as_mut(), update.accuser.clone()) else {
        return Merge::Ignored;
    };
    if suspicion.confirm(accuser) {
        Merge::Confirmed
    } else {
        Merge::Ignored
    }
}
