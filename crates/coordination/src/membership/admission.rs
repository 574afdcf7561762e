//! Decides which hosts may take part in membership, and rejects implausible claims about them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use sedgeridge_state::ids::HostId;
use sedgeridge_state::ids::Incarnation;

use super::HostHint;
use super::ListedHost;
use super::member_table::MemberTable;
use super::messages::Health;
use super::messages::MemberRecord;
use super::messages::Message;
use super::notice_table::MAX_HELD_NOTICES;
use super::rejections::Rejection;

/// Largest accepted lead of another host's wall clock over the local one.
const MAX_CLOCK_LEAD_US: u64 = 86_400_000_000;

/// Largest accepted number of refutations of one run that this host may have missed.
const MAX_REFUTATION_JUMP: u64 = 10_000;

/// Highest accepted configuration generation.
const MAX_CONFIG_GENERATION: u64 = 1 << 40;

/// Maximum number of updates in one received message.
const MAX_RECEIVED_UPDATES: usize = 64;

/// Maximum number of records in one received table.
const MAX_TABLE_RECORDS: usize = 8_192;

/// The hosts named in the settings and in the platform's list.
#[derive(Debug)]
pub(crate) struct Admission {
    own_host: HostId,
    configured: BTreeSet<HostId>,
    listed: BTreeSet<HostId>,
    /// Hosts listed as leaving, each with the run for which the hint was first seen. The list lags:
    /// without the run, a host that restarted long ago would still count as leaving.
    leaving: BTreeMap<HostId, Option<Incarnation>>,
}

impl Admission {
    pub(crate) fn new(own_host: HostId, configured: Vec<HostId>) -> Self {
        Self {
            own_host,
            configured: configured.into_iter().collect(),
            listed: BTreeSet::new(),
            leaving: BTreeMap::new(),
        }
    }

    pub(crate) fn set_configured(&mut self, hosts: Vec<HostId>) {
        self.configured = hosts.into_iter().collect();
    }

    /// Replaces the platform's list.
    pub(crate) fn set_listed(&mut self, hosts: Vec<ListedHost>, table: &MemberTable) {
        self.listed.clear();
        let mut leaving = BTreeMap::new();
        for listed in hosts {
            if listed.hint == HostHint::Leaving {
                let first_seen = self.leaving.remove(&listed.host);
                let run = first_seen
                    .flatten()
                    .or_else(|| table.incarnation(&listed.host));
                leaving.insert(listed.host.clone(), run);
            }
            self.listed.insert(listed.host);
        }
        self.leaving = leaving;
    }

    /// Whether the list marks this run of the host as leaving.
    pub(crate) fn is_listed_leaving(&self, record: &MemberRecord) -> bool {
        self.leaving.get(&record.member.host) == Some(&Some(record.member.incarnation))
    }

    /// Returns the configured or listed hosts that are not live.
    pub(crate) fn missing_hosts(&self, table: &MemberTable) -> Vec<HostId> {
        self.configured
            .union(&self.listed)
            .filter(|host| **host != self.own_host && !table.is_live(host))
            .cloned()
            .collect()
    }

    /// Checks the sender and the size of a message.
    pub(crate) fn check_message(
        &self,
        message: &Message,
        table: &MemberTable,
        unix_us: u64,
    ) -> Result<(), Rejection> {
        let sender = &message.from;
        if sender.member.host == self.own_host {
            return Err(Rejection::OwnName);
        }
        if !self.is_known(&sender.member.host, table) {
            return Err(Rejection::UnknownSender);
        }
        if matches!(sender.health, Health::Suspect | Health::Dead) {
            return Err(Rejection::SelfAccusation);
        }
        if message.updates.len() > MAX_RECEIVED_UPDATES || message.notices.len() > MAX_HELD_NOTICES
        {
            return Err(Rejection::Oversized);
        }
        if message.config_generation > MAX_CONFIG_GENERATION {
            return Err(Rejection::AbsurdGeneration);
        }
        check_version(sender, table, unix_us)?;
        let known_incarnation = table.incarnation(&sender.member.host);
        if known_incarnation.is_some_and(|known| sender.member.incarnation < known) {
            return Err(Rejection::StaleIncarnation);
        }
        Ok(())
    }

    /// Checks one received record.
    pub(crate) fn check_record(
        &self,
        record: &MemberRecord,
        table: &MemberTable,
        unix_us: u64,
    ) -> Result<(), Rejection> {
        if !self.is_known(&record.member.host, table) {
            return Err(Rejection::UnknownSubject);
        }
        check_version(record, table, unix_us)
    }

    /// Checks the size of a received table.
    pub(crate) fn check_table(records: &[MemberRecord]) -> Result<(), Rejection> {
        if records.len() > MAX_TABLE_RECORDS {
            return Err(Rejection::Oversized);
        }
        Ok(())
    }

    fn is_known(&self, host: &HostId, table: &MemberTable) -> bool {
        *host == self.own_host
            || self.configured.contains(host)
            || self.listed.contains(host)
            || table.contains(host)
    }
}

/// Rejects versions that no host can have reached. If one such claim were accepted, the real host
/// would be shut out permanently, since each of its own versions would be older.
fn check_version(
    record: &MemberRecord,
    table: &MemberTable,
    unix_us: u64,
) -> Result<(), Rejection> {
    if record.member.incarnation.0 > unix_us.saturating_add(MAX_CLOCK_LEAD_US) {
        return Err(Rejection::AbsurdIncarnation);
    }
    let held_record = table.get(&record.member.host);
    let known_refutations = held_record
        .filter(|h| h.member.incarnation == record.member.incarnation)
        .map_or(0, |h| h.refutations);
    if record.refutations > known_refutations + MAX_REFUTATION_JUMP {
        return Err(Rejection::AbsurdRefutations);
    }
    Ok(())
}
