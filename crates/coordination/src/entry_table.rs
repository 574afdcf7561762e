//! Entry routers known to the home of a pool, and the check whether a report is accepted.

use sedgeridge_state::ids::HostId;
use sedgeridge_state::ids::Member;

use crate::entry_record::EntryRecord;
use crate::home_counters::RejectionReason;
use crate::name_index::NameIndex;
use crate::pool_messages::EntryReport;

/// Rejection of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ReportRejection {
    pub(crate) reason: RejectionReason,
    /// Whether a full report would be accepted instead.
    pub(crate) needs_full_report: bool,
}

/// Acceptance of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReportAdmission {
    /// From the run that is known at this index.
    Known(usize),
    /// From a later run of the host at this index.
    Restarted(usize),
}

/// Entry routers by index; the index of a host that left is reused.
#[derive(Debug, Default)]
pub(crate) struct EntryTable {
    records: Vec<Option<EntryRecord>>,
    by_host: NameIndex<HostId>,
    free_indices: Vec<usize>,
}

impl EntryTable {
    pub(crate) fn find(&self, host: &HostId) -> Option<usize> {
        self.by_host.find(host)
    }

    pub(crate) fn indices(&self) -> Vec<usize> {
        (0..self.records.len())
            .filter(|router| self.is_live(*router))
            .collect()
    }

    pub(crate) fn is_live(&self, router: usize) -> bool {
        self.records[router].is_some()
    }

    pub(crate) fn record(&self, router: usize) -> &EntryRecord {
        self.records[router]
            .as_ref()
            .expect("the index of a live router has a record")
    }

    pub(crate) fn record_mut(&mut self, router: usize) -> &mut EntryRecord {
        self.records[router]
            .as_mut()
            .expect("the index of a live router has a record")
    }

    pub(crate) fn add(&mut self, member: &Member, site: Option<usize>) -> usize {
        let record = EntryRecord::new(member.clone(), site);
        let router = self.free_indices.pop().unwrap_or_else(|| {
            self.records.push(None);
            self.records.len() - 1
        });
        self.records[router] = Some(record);
        self.by_host.insert(member.host.clone(), router);
        router
    }

    pub(crate) fn remove(&mut self, router: usize) {
        if let Some(record) = self.records[router].take() {
            self.by_host.remove(&record.member.host);
            self.free_indices.push(router);
        }
    }

    /// Tells whether every known router has sent a full report.
    pub(crate) fn all_reported(&self) -> bool {
        let mut live = self.records.iter().flatten();
        live.all(|record| record.last_sequence.is_some())
    }

    /// Decides by sender and sequence whether a report is accepted.
    pub(crate) fn admit(&self, report: &EntryReport) -> Result<ReportAdmission, ReportRejection> {
        let Some(router) = self.find(&report.from.host) else {
            return Err(rejection(RejectionReason::NotAMember, !report.full));
        };
        let record = self.record(router);
        let known_incarnation = record.member.incarnation;
        if report.from.incarnation < known_incarnation {
            return Err(rejection(RejectionReason::OlderIncarnation, false));
        }
        if report.from.incarnation > known_incarnation {
            return match report.full {
                true => Ok(ReportAdmission::Restarted(router)),
                false => Err(rejection(RejectionReason::UnknownRun, true)),
            };
        }
        check_sequence(record, report).map(|()| ReportAdmission::Known(router))
    }
}

fn check_sequence(record: &EntryRecord, report: &EntryReport) -> Result<(), ReportRejection> {
    let Some(last) = record.last_sequence else {
        return match report.full {
            true => Ok(()),
            false => Err(rejection(RejectionReason::UnknownRun, true)),
        };
    };
    if report.sequence <= last {
        return Err(rejection(RejectionReason::RepeatedSequence, false));
    }
    if !report.full && report.sequence != last + 1 {
        return Err(rejection(RejectionReason::SequenceGap, true));
    }
    Ok(())
}

fn rejection(reason: RejectionReason, needs_full_report: bool) -> ReportRejection {
    ReportRejection {
        reason,
        needs_full_report,
    }
}
