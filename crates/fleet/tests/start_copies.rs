//! Tests for a fleet that starts all at once and copies a long table from the few hosts that know
//! it.

use sedgeridge_coordination::random::SeededRandom;
use sedgeridge_fleet::table_copy_budget::TableCopyBudget;
use yare::parameterized;

const HOSTS: usize = 300;
/// Number of hosts that have read the table from the store.
const FIRST_SENDERS: usize = 4;
const STEP_MS: u64 = 10;
const FETCH_TIMEOUT_MS: u64 = 800;
/// Longest time until a host whose fetch failed hears again of a host that knows the table.
const MAX_REPORT_WAIT_MS: u64 = 700;
/// Bytes a millisecond that a small host sends besides its own start.
const BYTES_PER_MS: u64 = 10_000;
/// Time after which the fleet must serve again.
const RECOVERY_LIMIT_MS: u64 = 12_000;

#[derive(Clone, Copy, PartialEq)]
enum Host {
    Waiting {
        until_ms: u64,
    },
    Fetching {
        from: usize,
        bytes_left: u64,
        ends_ms: u64,
    },
    HasTable,
}

struct Fleet {
    now: u64,
    hosts: Vec<Host>,
    loads: Vec<TableCopyBudget>,
    copy_bytes: u64,
    random: SeededRandom,
}

impl Fleet {
    fn new(copy_bytes: u64) -> Self {
        let mut random = SeededRandom::new(3);
        let host = |index| match index < FIRST_SENDERS {
            true => Host::HasTable,
            false => Host::Waiting {
                until_ms: random.below(120),
            },
        };
        Self {
            now: 0,
            hosts: (0..HOSTS).map(host).collect(),
            loads: (0..HOSTS).map(|_| TableCopyBudget::default()).collect(),
            copy_bytes,
            random,
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        self.send_all();
        for index in 0..HOSTS {
            match self.hosts[index] {
                Host::Waiting { until_ms } if until_ms <= self.now => self.request_copy(index),
                Host::Fetching { from, ends_ms, .. } if ends_ms <= self.now => {
                    self.loads[from].finish(self.copy_bytes);
                    self.wait_for_report(index);
                }
                _ => {}
            }
        }
    }

    /// Divides the bytes of each sender among the hosts that fetch from it.
    fn send_all(&mut self) {
        for sender in 0..HOSTS {
            let fetches =
                |host: &&mut Host| matches!(host, Host::Fetching { from, .. } if *from == sender);
            let fetching = self.hosts.iter_mut().filter(fetches);
            let fetching: Vec<_> = fetching.collect();
            let Some(bytes_each) = (BYTES_PER_MS * STEP_MS).checked_div(fetching.len() as u64)
            else {
                continue;
            };
            for host in fetching {
                let Host::Fetching { bytes_left, .. } = host else {
                    continue;
                };
                *bytes_left = bytes_left.saturating_sub(bytes_each);
                if *bytes_left == 0 {
                    *host = Host::HasTable;
                    self.loads[sender].finish(self.copy_bytes);
                }
            }
        }
    }

    fn request_copy(&mut self, index: usize) {
        let senders = (0..HOSTS).filter(|it| self.hosts[*it] == Host::HasTable);
        let senders: Vec<_> = senders.collect();
        let from = senders[self.random.below(senders.len() as u64) as usize];
        if self.loads[from].try_start(self.copy_bytes) {
            self.hosts[index] = Host::Fetching {
                from,
                bytes_left: self.copy_bytes,
                ends_ms: self.now + FETCH_TIMEOUT_MS,
            };
        } else {
            self.wait_for_report(index);
        }
    }

    fn wait_for_report(&mut self, index: usize) {
        self.hosts[index] = Host::Waiting {
            until_ms: self.now + self.random.below(MAX_REPORT_WAIT_MS),
        };
    }
}

/// Guards against half a minute without answers after all hosts were killed. Starting hosts ask the
/// four that have read the table. These send to seventy at once, and no fetch is complete before it
/// times out.
#[parameterized(
    two_hundred_endpoints = { 70_000 },
    three_thousand_endpoints = { 1_000_000 },
)]
fn all_hosts_know_the_table_in_time_after_a_start(copy_bytes: u64) {
    let mut fleet = Fleet::new(copy_bytes);
    while fleet.hosts.iter().any(|host| *host != Host::HasTable) {
        let know = fleet.hosts.iter().filter(|host| **host == Host::HasTable);
        assert!(
            fleet.now < RECOVERY_LIMIT_MS,
            "{} hosts know the table",
            know.count()
        );
        fleet.step();
    }
    println!("copies of {copy_bytes} bytes: {} ms", fleet.now);
}
