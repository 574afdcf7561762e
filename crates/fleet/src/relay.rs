//! Sums up what hosts of one data centre report, for each other and for other data centres.
//!
//! Reports from every host to every other cost bytes and a noticeable part of a small processor, more with
//! each host. With relays a host sends its own report to a few relays of its data centre, relays exchange sums of their data centres, and each host gets
//! one sum of the whole fleet.

use std::time::Duration;

use nohash_hasher::IntMap;

use crate::peer_report::PeerReport;
use crate::work_sums::WorkSums;

/// Age up to which a report or sum counts. A host that is short of processor time reports late; its
/// work must not vanish from the sums meanwhile. Usage of a silent host counts as long where hosts
/// report to each other.
const MAX_AGE: Duration = Duration::from_millis(2_500);
/// Age from which a sum that holds fewer hosts replaces one that holds more: two intervals between
/// sums and some loss.
const REPLACED_AFTER: Duration = Duration::from_millis(700);

/// What a relay has been told.
#[derive(Debug, Default)]
pub struct Relay {
    members: IntMap<u64, Member>,
    data_centres: IntMap<u64, DataCentreSum>,
}

/// Newest report of a host of the same data centre.
#[derive(Debug)]
struct Member {
    number: u64,
    heard_at: Duration,
    work: WorkSums,
}

/// Newest sum of another data centre.
#[derive(Debug)]
struct DataCentreSum {
    heard_at: Duration,
    hosts: u32,
    work: WorkSums,
}

/// A sum over several hosts.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct HostsSum {
    /// How many hosts it holds.
    pub hosts: u32,
    /// Their work.
    pub work: WorkSums,
}

impl Relay {
    /// Takes the report of a host of the own data centre about its own work.
    pub fn on_member(&mut self, now: Duration, report: &PeerReport) {
        let member = Member {
            number: report.number,
            heard_at: now,
            work: sums_of(report),
        };
        self.members.insert(report.host, member);
    }

    /// Takes the sum of another data centre. Relays there may hear of different hosts; the sum that
    /// holds more of them counts while it is new.
    pub fn on_data_centre(&mut self, now: Duration, report: &PeerReport) {
        let known = self.data_centres.get(&report.data_centre);
        let is_replaced = known.is_none_or(|known| {
            let age = now.saturating_sub(known.heard_at);
            is_as_full(report.hosts, known.hosts) || age > REPLACED_AFTER
        });
        if is_replaced {
            let sum = DataCentreSum {
                heard_at: now,
                hosts: report.hosts,
                work: sums_of(report),
            };
            self.data_centres.insert(report.data_centre, sum);
        }
    }

    /// Drops what is too old.
    pub fn tick(&mut self, now: Duration) {
        let is_new = |at: Duration| now.saturating_sub(at) <= MAX_AGE;
        self.members.retain(|_, member| is_new(member.heard_at));
        self.data_centres.retain(|_, sum| is_new(sum.heard_at));
    }

    /// Returns the hosts that report to this one, each with the number of its newest report.
    pub fn members(&self) -> impl Iterator<Item = (u64, u64)> + '_ {
        let members = self.members.iter();
        members.map(|(host, member)| (*host, member.number))
    }

    /// Tells whether any host reports to this one.
    pub fn has_members(&self) -> bool {
        !self.members.is_empty()
    }

    /// Returns the sum over the reporting hosts; this host's own work is not part of it.
    pub fn members_sum(&self) -> HostsSum {
        let mut sum = HostsSum::default();
        for member in self.members.values() {
            sum.hosts += 1;
            sum.work.add_sums(&member.work);
        }
        sum
    }

    /// Adds the other data centres to a sum.
    pub fn add_data_centres(&self, sum: &mut HostsSum) {
        for other in self.data_centres.values() {
            sum.hosts += other.hosts;
            sum.work.add_sums(&other.work);
        }
    }
}

/// Newest sum over the fleet that this host goes by.
#[derive(Debug, Default)]
pub struct FleetView {
    heard_at: Option<Duration>,
    hosts: u32,
}

impl FleetView {
    /// Tells whether a new sum of that many hosts should be taken, and notes it if so. Two relays may
    /// know different parts of the fleet, for example while links between data centres are cut.
    pub fn accepts(&mut self, now: Duration, hosts: u32) -> bool {
        let is_old = self
            .heard_at
            .is_none_or(|at| now.saturating_sub(at) > REPLACED_AFTER);
        let is_taken = is_old || is_as_full(hosts, self.hosts);
        if is_taken {
            self.heard_at = Some(now);
            self.hosts = hosts;
        }
        is_taken
    }
}

/// Tells whether a sum holds about as many hosts as another one, or more. A tenth may be missing: of
/// two relays one hears of a new host a little earlier.
fn is_as_full(hosts: u32, other: u32) -> bool {
    hosts * 10 >= other * 9
}

fn sums_of(report: &PeerReport) -> WorkSums {
    let mut work = WorkSums::default();
    work.add(&report.loads, &report.usage);
    work
}
