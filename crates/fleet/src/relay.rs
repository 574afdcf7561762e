//! Sums up the reports of the hosts of a data centre for each other and for other data centres.
//!
//! Reports from every host to every other one cost bytes and a noticeable part of a small
//! processor, and the cost grows with each host. With relays a host sends its report to a few
//! relays of its data centre, relays exchange the sums of their data centres, and each host gets
//! one sum of the whole fleet.

use std::time::Duration;

use nohash_hasher::IntMap;

use crate::host_load::HostLoads;
use crate::peer_report::PeerReport;
use crate::work_sums::WorkSums;

/// Age up to which a report or sum counts. A host that is short of processor time reports late, and
/// its work must stay in the sums meanwhile. Where hosts report to each other, the usage of a
/// silent host counts as long.
const MAX_REPORT_AGE: Duration = Duration::from_millis(2_500);
/// Age from which a sum of fewer hosts replaces a sum of more hosts: two intervals between sums,
/// and some lost datagrams.
const REPLACEABLE_AGE: Duration = Duration::from_millis(700);

/// Reports and sums that a relay has received.
#[derive(Debug, Default)]
pub struct Relay {
    members: IntMap<u64, Member>,
    loads: IntMap<u64, MemberLoad>,
    data_centres: IntMap<u64, DataCentreSum>,
}

/// Latest report of a host of the same data centre.
#[derive(Debug)]
struct Member {
    report_number: u64,
    received_at: Duration,
    work: WorkSums,
}

/// Latest load of a host of the same data centre.
#[derive(Debug)]
struct MemberLoad {
    received_at: Duration,
    load: HostLoads,
}

/// Latest sum of another data centre.
#[derive(Debug)]
struct DataCentreSum {
    received_at: Duration,
    hosts: u32,
    work: WorkSums,
}

/// Sum of the work of several hosts.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct HostsSum {
    /// Number of hosts in the sum.
    pub hosts: u32,
    /// Work of these hosts.
    pub work: WorkSums,
}

impl Relay {
    /// Records the report of a host of this data centre about its own work.
    pub fn on_member(&mut self, now: Duration, report: &PeerReport) {
        let member = Member {
            report_number: report.number,
            received_at: now,
            work: work_of(report),
        };
        self.members.insert(report.host, member);
    }

    /// Records the load of a host of this data centre. Returns whether its report was possible.
    pub fn on_member_load(&mut self, now: Duration, host: u64, reported: HostLoads) -> bool {
        let load = reported.bounded(1);
        let received_at = now;
        self.loads.insert(host, MemberLoad { received_at, load });
        load == reported
    }

    /// Returns the load of the hosts of this data centre that reported theirs, without this host.
    pub fn members_load(&self) -> HostLoads {
        let mut sum = HostLoads::default();
        for member in self.loads.values() {
            sum.add(&member.load);
        }
        sum
    }

    /// Records the sum of another data centre. Relays there may hear from different hosts; the sum
    /// of more hosts is kept while it is recent.
    pub fn on_data_centre(&mut self, now: Duration, report: &PeerReport) {
        let known = self.data_centres.get(&report.data_centre);
        let replaces = known.is_none_or(|known| {
            let age = now.saturating_sub(known.received_at);
            covers_about_as_many(report.hosts, known.hosts) || age > REPLACEABLE_AGE
        });
        if replaces {
            let sum = DataCentreSum {
                received_at: now,
                hosts: report.hosts,
                work: work_of(report),
            };
            self.data_centres.insert(report.data_centre, sum);
        }
    }

    /// Drops reports and sums that are too old.
    pub fn tick(&mut self, now: Duration) {
        let is_recent = |at: Duration| now.saturating_sub(at) <= MAX_REPORT_AGE;
        self.members
            .retain(|_, member| is_recent(member.received_at));
        self.loads.retain(|_, member| is_recent(member.received_at));
        self.data_centres
            .retain(|_, sum| is_recent(sum.received_at));
    }

    /// Returns the hosts that report to this one, each with the number of its latest report.
    pub fn members(&self) -> impl Iterator<Item = (u64, u64)> + '_ {
        let members = self.members.iter();
        members.map(|(host, member)| (*host, member.report_number))
    }

    /// Returns whether any host reports to this one.
    pub fn has_members(&self) -> bool {
        !self.members.is_empty()
    }

    /// Returns the sum over the reporting hosts, without this host's own work.
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

/// The latest sum over the fleet that this host uses.
#[derive(Debug, Default)]
pub struct FleetView {
    accepted_at: Option<Duration>,
    hosts: u32,
}

impl FleetView {
    /// Returns whether to use a new sum of this many hosts, and records it if so. Two relays may
    /// know different parts of the fleet, for example while links between data centres are cut.
    pub fn accepts(&mut self, now: Duration, hosts: u32) -> bool {
        let is_old = self
            .accepted_at
            .is_none_or(|at| now.saturating_sub(at) > REPLACEABLE_AGE);
        let is_accepted = is_old || covers_about_as_many(hosts, self.hosts);
        if is_accepted {
            self.accepted_at = Some(now);
            self.hosts = hosts;
        }
        is_accepted
    }
}

/// Returns whether a sum covers about as many hosts as another one, or more. A tenth may be
/// missing: one of two relays hears from a new host a little earlier.
fn covers_about_as_many(hosts: u32, other: u32) -> bool {
    hosts * 10 >= other * 9
}

fn work_of(report: &PeerReport) -> WorkSums {
    let mut work = WorkSums::default();
    work.add(&report.loads, &report.usage);
    work
}
