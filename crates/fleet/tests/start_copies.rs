//! A fleet that starts all at once and copies a long table from the few hosts that know it.

use sedgeridge_coordination::random::SeededRandom;
use sedgeridge_fleet::table_copy_budget::TableCopyBudget;
use yare::parameterized;

const HOSTS: usize = 300;
/// Hosts that have read the table from the store.
const FIRST_MAKERS: usize = 4;
const STEP_MS: u64 = 10;
const FETCH_TIMEOUT_MS: u64 = 800;
/// Time until a host whose fetch failed hears of a maker again.
const NEXT_REPORT_MS: u64 = 700;
/// Bytes a millisecond that a small host sends beside its own start.
const BYTES_PER_MS: u64 = 10_000;
/// Time after which the fleet has to serve again.
const RECOVERED_MS: u64 = 12_000;

#[derive(Clone, Copy, PartialEq)]
enum Host {
    Waiting {
        until_ms: u64,
    },
    Fetching {
        from: usize,
        left: u64,
        ends_ms: u64,
    },
    Knows,
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
        let host = |index| match index < FIRST_MAKERS {
            true => Host::Knows,
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
        self.give();
        for index in 0..HOSTS {
            match self.hosts[index] {
                Host::Waiting { until_ms } if until_ms <= self.now => self.ask(index),
                Host::Fetching { from, ends_ms, .. } if ends_ms <= self.now => {
                    self.loads[from].finish(self.copy_bytes);
                    self.wait(index);
                }
                _ => {}
            }
        }
    }

    /// Each maker shares what it sends among those that fetch from it.
    fn give(&mut self) {
        for maker in 0..HOSTS {
            let fetches =
                |host: &&mut Host| matches!(host, Host::Fetching { from, .. } if *from == maker);
            let fetching = self.hosts.iter_mut().filter(fetches);
            let fetching: Vec<_> = fetching.collect();
            let Some(each) = (BYTES_PER_MS * STEP_MS).checked_div(fetching.len() as u64) else {
                continue;
            };
            for host in fetching {
                let Host::Fetching { left, .. } = host else {
                    continue;
                };
                *left = left.saturating_sub(each);
                if *left == 0 {
                    *host = Host::Knows;
                    self.loads[maker].finish(self.copy_bytes);
                }
            }
        }
    }

    fn ask(&mut self, index: usize) {
        let makers = (0..HOSTS).filter(|it| self.hosts[*it] == Host::Knows);
        let makers: Vec<_> = makers.collect();
        let from = makers[self.random.below(makers.len() as u64) as usize];
        if self.loads[from].try_start(self.copy_bytes) {
            self.hosts[index] = Host::Fetching {
                from,
                left: self.copy_bytes,
                ends_ms: self.now + FETCH_TIMEOUT_MS,
            };
        } else {
            self.wait(index);
        }
    }

    fn wait(&mut self, index: usize) {
        self.hosts[index] = Host::Waiting {
            until_ms: self.now + self.random.below(NEXT_REPORT_MS),
        };
    }
}

/// Callers get no answer for half a minute after all hosts were killed. Hosts that start ask the four that have
/// read the table; these send to seventy at once, and no fetch is complete when its time is over.
#[parameterized(
    two_hundred_endpoints = { 70_000 },
    three_thousand_endpoints = { 1_000_000 },
)]
fn all_hosts_know_the_table_in_time_after_a_start(copy_bytes: u64) {
    let mut fleet = Fleet::new(copy_bytes);
    while fleet.hosts.iter().any(|host| *host != Host::Knows) {
        let know = fleet.hosts.iter().filter(|host| **host == Host::Knows);
        assert!(fleet.now < RECOVERED_MS, "{} hosts know it", know.count());
        fleet.step();
    }
    println!("copies of {copy_bytes} bytes: {} ms", fleet.now);
}
