//! Random histories of a table whose store comes back from older copies: hosts that call the store and copy from each other
//! must know its rows in the end.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use sedgeridge_coordination::random::SeededRandom;
use sedgeridge_fleet::row_watch::Row;
use sedgeridge_fleet::row_watch::RowWatch;
use sedgeridge_fleet::row_watch::StoreAnswer;
use sedgeridge_fleet::row_watch::StoreCall;
use sedgeridge_fleet::row_watch::TableCopy;
use sedgeridge_fleet::row_watch::WatchStep;
use sedgeridge_fleet::store_version::StoreVersion;

const HOST_COUNT: usize = 3;
const KEY_COUNT: u64 = 7;
const HISTORY_COUNT: u64 = 3_000;
const EVENT_COUNT: u64 = 120;
/// Rows in one page of a list.
const PAGE_ROWS: usize = 2;
/// Longer than any window in which rows stay in use or are held back.
const SETTLING_TIME: Duration = Duration::from_secs(20);

/// The store's table, with the number of each row's last change.
#[derive(Debug, Clone, Default)]
struct Store {
    era: u64,
    number: u64,
    /// Removed rows have no value.
    rows: BTreeMap<Arc<str>, (u64, Option<u64>)>,
    forgotten: u64,
}

impl Store {
    fn write(&mut self, key: u64, value: Option<u64>) {
        self.number += 1;
        let key = Arc::from(format!("key-{key}"));
        self.rows.insert(key, (self.number, value));
    }

    fn restore(&mut self, copy: &Self) {
        *self = Self {
            era: self.era + 1,
            ..copy.clone()
        };
    }

    fn version(&self, number: u64) -> StoreVersion {
        let era = self.era;
        StoreVersion { era, number }
    }

    fn row(&self, key: &Arc<str>, number: u64, value: Option<u64>) -> Row {
        Row {
            key: key.clone(),
            version: self.version(number),
            value: value.map(|value| Arc::from(value.to_be_bytes())),
        }
    }

    fn existing(&self) -> Vec<Row> {
        let rows = self.rows.iter();
        let rows = rows.filter(|(_, (_, value))| value.is_some());
        rows.map(|(key, (number, value))| self.row(key, *number, *value))
            .collect()
    }

    fn answer(&self, call: &StoreCall) -> StoreAnswer {
        match call {
            StoreCall::List { from } => {
                let mut rows = self.existing();
                rows.retain(|row| from.as_ref().is_none_or(|from| row.key >= *from));
                let has_more = rows.len() > PAGE_ROWS;
                rows.truncate(PAGE_ROWS);
                call.answered_with(rows, self.version(self.number), has_more)
            }
            StoreCall::Feed { after, .. } => {
                let after = after.number;
                if after < self.forgotten || after > self.number {
                    return StoreAnswer::HistoryGone;
                }
                let rows = self.rows.iter();
                let changed = rows.filter(|(_, (number, _))| *number > after);
                let changed = changed.map(|(key, (number, value))| self.row(key, *number, *value));
                let mut changed: Vec<_> = changed.collect();
                changed.sort_by_key(|row| row.version);
                call.answered_with(changed, self.version(self.number), false)
            }
        }
    }
}

#[derive(Debug)]
struct Host {
    watch: RowWatch,
    call: Option<(StoreCall, Option<StoreAnswer>)>,
    copy: Option<TableCopy>,
    /// Rows as the host's users see them, from the changes that it told of.
    told: BTreeMap<Arc<str>, Option<Arc<[u8]>>>,
}

impl Host {
    fn new(seed: u64) -> Self {
        Self {
            watch: RowWatch::new(seed),
            call: None,
            copy: None,
            told: BTreeMap::new(),
        }
    }

    fn start_call(&mut self, now: Duration) {
        if self.call.is_none()
            && let WatchStep::Call(call) = self.watch.step(now)
        {
            self.call = Some((call, None));
        }
    }

    fn compute_answer(&mut self, store: &Store) {
        if let Some((call, answer)) = &mut self.call {
            answer.get_or_insert_with(|| store.answer(call));
        }
    }

    fn deliver_answer(&mut self, now: Duration) {
        let Some((call, Some(answer))) = self.call.take_if(|(_, answer)| answer.is_some()) else {
            return;
        };
        let changed = self.watch.on_answer_to(now, &call, answer);
        self.tell(changed);
    }

    fn deliver_copy(&mut self, now: Duration) {
        if let Some(copy) = self.copy.take() {
            let changed = self.watch.on_copy(now, copy);
            self.tell(changed);
        }
    }

    fn expire(&mut self, now: Duration) {
        let changed = self.watch.take_expired(now);
        self.tell(changed);
    }

    fn tell(&mut self, changed: Vec<Row>) {
        for row in changed {
            self.told.insert(row.key, row.value);
        }
    }

    fn told_rows(&self) -> BTreeMap<Arc<str>, Arc<[u8]>> {
        let told = self.told.iter();
        told.filter_map(|(key, value)| Some((key.clone(), value.clone()?)))
            .collect()
    }
}

fn one_event(
    random: &mut SeededRandom,
    now: Duration,
    store: &mut Store,
    copies: &mut Vec<Store>,
    hosts: &mut [Host],
) {
    let host = random.below(HOST_COUNT as u64) as usize;
    let other = random.below(HOST_COUNT as u64) as usize;
    match random.below(24) {
        0..=3 => store.write(random.below(KEY_COUNT), Some(random.below(3))),
        4..=5 => store.write(random.below(KEY_COUNT), None),
        6 => copies.push(store.clone()),
        7 => {
            let copy = random.below(copies.len() as u64) as usize;
            store.restore(&copies[copy].clone());
        }
        8 => store.forgotten = store.number,
        9..=12 => hosts[host].start_call(now),
        13..=15 => hosts[host].compute_answer(store),
        16..=18 => hosts[host].deliver_answer(now),
        19 => {
            if let Some((_, answer)) = &mut hosts[host].call {
                *answer = Some(StoreAnswer::Failed);
            }
        }
        20..=21 => {
            let after = hosts[host].watch.changed_version();
            let offered = hosts[other].watch.offered_version();
            if offered > after {
                let copy = hosts[other].watch.copy_after(now, after);
                hosts[host].copy = Some(copy);
            }
        }
        22 => hosts[host].deliver_copy(now),
        _ => hosts[host].expire(now),
    }
}

fn settle(now: Duration, store: &Store, hosts: &mut [Host]) {
    for host in hosts {
        host.copy = None;
        for step in 0..60 {
            let now = now + SETTLING_TIME + Duration::from_secs(step);
            host.start_call(now);
            host.compute_answer(store);
            host.deliver_answer(now);
            host.expire(now + SETTLING_TIME);
        }
    }
}

/// Guards against hosts that miss a change, keep a removed row or tell of neither, whatever the order of calls, answers,
/// copies and returns of the store.
#[test]
fn hosts_know_the_rows_of_the_store_after_any_history() {
    for seed in 0..HISTORY_COUNT {
        let mut random = SeededRandom::new(seed);
        let mut store = Store::default();
        let mut copies = vec![store.clone()];
        let mut hosts: Vec<_> = (0..HOST_COUNT as u64).map(Host::new).collect();
        let mut now = Duration::ZERO;
        for _ in 0..EVENT_COUNT {
            now += Duration::from_millis(random.below(200));
            one_event(&mut random, now, &mut store, &mut copies, &mut hosts);
        }
        store.write(KEY_COUNT, Some(0));
        settle(now, &store, &mut hosts);
        let expected = store.existing().into_iter();
        let expected: BTreeMap<_, _> = expected
            .filter_map(|row| Some((row.key, row.value?)))
            .collect();
        for (number, host) in hosts.iter().enumerate() {
            assert_eq!(host.told_rows(), expected, "seed {seed}, host {number}");
            let known = host.watch.rows().map(|row| row.key.clone());
            assert!(
                known.eq(expected.keys().cloned()),
                "seed {seed}, host {number}"
            );
        }
    }
}
