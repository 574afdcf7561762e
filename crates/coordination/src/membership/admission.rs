//! Which hosts may take part, and which claims about them are believable.

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
use super::notice_board::MAX_HELD;
use super::rejections::Rejection;

/// Largest difference between the wall clocks of two hosts that is believed.
const MAX_CLOCK_LEAD_US: u64 = 86_400_000_000;

/// Most refutations that may have been missed of one run.
const MAX_REFUTATION_JUMP: u64 = 10_000;

/// Highest believable configuration generation.
const MAX_GENERATION: u64 = 1 << 40;

/// Most updates in one message.
const MAX_UPDATES: usize = 64;

/// Most records in one table.
const MAX_RECORDS: usize = 8_192;

/// The hosts that the settings and the platform's list name.
#[derive(Debug)]
pub(crate) struct Admission {
    own: HostId,
    configured: BTreeSet<HostId>,
    listed: BTreeSet<HostId>,
    /// Hosts listed as leaving, each with the run that the hint was first seen for. The list lags:
    /// without the run, a host that has long restarted would be held for leaving.
    leaving: BTreeMap<HostId, Option<Incarnation>>,
}

impl Admission {
    pub(crate) fn new(own: HostId, configured: Vec<HostId>) -> Self {
        Self {
            own,
            configured: configured.into_iter().collect(),
            listed: BTreeSet::new(),
            leaving: BTreeMap::new(),
        }
    }

    pub(crate) fn configure(&mut self, hosts: Vec<HostId>) {
        self.configured = hosts.into_iter().collect();
    }

    /// Takes the platform's list in place of the last one.
    pub(crate) fn list(&mut self, hosts: Vec<ListedHost>, table: &MemberTable) {
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

    /// Whether the list calls this run of the host leaving.
    pub(crate) fn is_listed_leaving(&self, record: &MemberRecord) -> bool {
        self.leaving.get(&record.member.host) == Some(&Some(record.member.incarnation))
    }

    /// Returns the hosts named that are not believed live.
    pub(crate) fn missing(&self, table: &MemberTable) -> Vec<HostId> {
        self.configured
            .union(&self.listed)
            .filter(|host| **host != self.own && !table.is_live(host))
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
        if sender.member.host == self.own {
            return Err(Rejection::OwnName);
        }
        if !self.is_known(&sender.member.host, table) {
            return Err(Rejection::UnknownSender);
        }
        if matches!(sender.health, Health::Suspect | Health::Dead) {
            return Err(Rejection::SelfAccusation);
        }
        if message.updates.len() > MAX_UPDATES || message.notices.len() > MAX_HELD {
            return Err(Rejection::Oversized);
        }
        if message.config_generation > MAX_GENERATION {
            return Err(Rejection::AbsurdGeneration);
        }
        check_version(sender, table, unix_us)?;
        let known = table.incarnation(&sender.member.host);
        if known.is_some_and(|known| sender.member.incarnation < known) {
            return Err(Rejection::StaleIncarnation);
        }
        Ok(())
    }

    /// Checks one record of another host.
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

    /// Checks the size of a table.
    pub(crate) fn check_table(records: &[MemberRecord]) -> Result<(), Rejection> {
        if records.len() > MAX_RECORDS {
            return Err(Rejection::Oversized);
        }
        Ok(())
    }

    fn is_known(&self, host: &HostId, table: &MemberTable) -> bool {
        *host == self.own
            || self.configured.contains(host)
            || self.listed.contains(host)
            || table.contains(host)
    }
}

/// Refuses versions that no host can have reached: one such claim, believed, would shut the true
/// host out for good, since every true version would be older.
fn check_version(
    record: &MemberRecord,
    table: &MemberTable,
    unix_us: u64,
) -> Result<(), Rejection> {
    if record.member.incarnation.0 > unix_us.saturating_add(MAX_CLOCK_LEAD_US) {
        return Err(Rejection::AbsurdIncarnation);
    }
    let held = table.get(&record.member.host);
    let known = held
        .filter(|h| h.member.incarnation == record.member.incarnation)
        .map_or(0, |h| h.refutations);
    if record.refutations > known + MAX_REFUTATION_JUMP {
        return Err(Rejection::AbsurdRefutations);
    }
    Ok(())
}
