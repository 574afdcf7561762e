//! Follows one table of the platform's store: lists it once, then waits for its changes.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use sedgeridge_coordination::random::SeededRandom;

/// First pause after a failed call. Short, since a change must be in force within two seconds.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after failed calls. Every call is paid for, also one that is refused; a pause of
/// this length still finds a store that is back well before entries are judged.
const MAX_PAUSE: Duration = Duration::from_millis(800);
/// Time after the store's return in which rows that lapsed meanwhile are written again. The
/// platform promises about two seconds.
const REWRITE_TIME: Duration = Duration::from_millis(2_300);
/// Shortest silence of the store after which its return opens [`REWRITE_TIME`]. Rows lapse after
/// three missed heartbeats at the earliest; half of that leaves a margin.
const MIN_OUTAGE: Duration = Duration::from_millis(1_500);
/// Time after the store's return in which answers tell of what happened while it was away. What is
/// removed later was removed on purpose, and counts at once.
const CATCH_UP_TIME: Duration = Duration::from_millis(400);

/// Time between looks whether a host that copies from others has to follow the store itself.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);
/// Removed rows that are remembered, for copies that tell only what changed.
const MAX_REMOVED: usize = 512;

/// A row as the store holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Its key.
    pub key: Arc<str>,
    /// The transaction that wrote it.
    pub version: u64,
    /// Its content; `None` when the row was removed.
    pub value: Option<Arc<[u8]>>,
}

/// What one host tells another about a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableCopy {
    /// Version of the newest change that it holds.
    pub version: u64,
    /// Whether rows that it lacks are gone; else it holds only what changed.
    pub is_whole: bool,
    /// The rows; removed ones have no value.
    pub rows: Vec<Row>,
}

/// The next call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCall {
    /// Read rows from this key on.
    List {
        /// First key to return; `None` for the whole table.
        from: Option<Arc<str>>,
    },
    /// Wait for changes after this version.
    Feed {
        /// The version up to which everything is known.
        after: u64,
        /// Whether the store keeps the call until there is a change. After an outage it must not:
        /// the answer could come long after the store is back, and what is removed meanwhile would
        /// look as if it had lapsed in the outage.
        is_held: bool,
    },
}

/// How a call to the store ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreAnswer {
    /// Rows, as of `version`.
    Rows {
        /// Listed or changed rows.
        rows: Vec<Row>,
        /// Version of the store at that moment.
        version: u64,
        /// Whether a list goes on after the last row.
        has_more: bool,
    },
    /// The changes since the asked version are no longer kept.
    HistoryGone,
    /// No usable answer.
    Failed,
}

/// What to do now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchStep {
    /// Make a call.
    Call(StoreCall),
    /// Wait until this time.
    WaitUntil(Duration),
}

/// The known rows of a table, and how to learn of the next change.
///
/// ```
/// use std::time::Duration;
/// use sedgeridge_fleet::row_watch::{RowWatch, StoreAnswer, StoreCall, WatchStep};
///
/// let mut watch = RowWatch::new(1);
/// assert_eq!(watch.step(Duration::ZERO), WatchStep::Call(StoreCall::List { from: None }));
/// let answer = StoreAnswer::Rows { rows: Vec::new(), version: 7, has_more: false };
/// watch.on_answer(Duration::ZERO, answer);
/// let step = watch.step(Duration::ZERO);
/// assert_eq!(step, WatchStep::Call(StoreCall::Feed { after: 7, is_held: true }));
/// ```
#[derive(Debug)]
pub struct RowWatch {
    rows: BTreeMap<Arc<str>, Row>,
    listing: Option<Listing>,
    fed_version: u64,
    changed_version: u64,
    failures: u32,
    not_before: Duration,
    lost_at: Option<Duration>,
    catch_up_until: Duration,
    rewrite_until: Duration,
    missing: BTreeMap<Arc<str>, u64>,
    removed: VecDeque<Row>,
    removed_before: u64,
    is_following: bool,
    feed_pause: Duration,
    random: SeededRandom,
}

#[derive(Debug, Default)]
struct Listing {
    from: Option<Arc<str>>,
    rows: Vec<Row>,
}

impl RowWatch {
    /// Creates a watch that knows nothing.
    pub fn new(seed: u64) -> Self {
        Self {
            rows: BTreeMap::new(),
            listing: Some(Listing::default()),
            fed_version: 0,
            changed_version: 0,
            failures: 0,
            not_before: Duration::ZERO,
            lost_at: None,
            catch_up_until: Duration::ZERO,
            rewrite_until: Duration::ZERO,
            missing: BTreeMap::new(),
            removed: VecDeque::new(),
            removed_before: 0,
            is_following: true,
            feed_pause: Duration::ZERO,
            random: SeededRandom::new(seed),
        }
    }

    /// Returns the next step.
    pub fn step(&self, now: Duration) -> WatchStep {
        if !self.is_following && self.is_known() {
            return WatchStep::WaitUntil(now + IDLE_INTERVAL);
        }
        if now < self.not_before {
            return WatchStep::WaitUntil(self.not_before);
        }
        let call = match &self.listing {
            Some(listing) => StoreCall::List {
                from: listing.from.clone(),
            },
            None => StoreCall::Feed {
                after: self.fed_version,
                is_held: self.lost_at.is_none(),
            },
        };
        WatchStep::Call(call)
    }

    /// Takes the end of a call. Returns rows that changed; removed ones have no value.
    pub fn on_answer(&mut self, now: Duration, answer: StoreAnswer) -> Vec<Row> {
        match answer {
            StoreAnswer::Rows {
                rows,
                version,
                has_more,
            } => {
                self.note_success(now);
                match self.listing.take() {
                    Some(listing) => self.take_page(now, listing, rows, version, has_more),
                    None => {
                        self.fed_version = self.fed_version.max(version);
                        self.pause_after(now, &rows);
                        self.take_changes(now, rows)
                    }
                }
            }
            StoreAnswer::HistoryGone => {
                self.note_success(now);
                self.listing = Some(Listing::default());
                Vec::new()
            }
            StoreAnswer::Failed => {
                self.note_failure(now);
                Vec::new()
            }
        }
    }

    /// Sets whether this host follows the store. One that does not lives on other hosts' copies.
    pub fn set_following(&mut self, is_following: bool) {
        if self.is_following && !is_following {
            self.lost_at = None;
            self.failures = 0;
        }
        self.is_following = is_following;
    }

    /// Sets how long to wait after a change before the next one is asked for.
    pub fn set_feed_pause(&mut self, pause: Duration) {
        self.feed_pause = pause;
    }

    /// Takes another host's copy. Returns what changed.
    pub fn on_copy(&mut self, now: Duration, copy: TableCopy) -> Vec<Row> {
        if copy.version <= self.changed_version {
            return Vec::new();
        }
        self.fed_version = self.fed_version.max(copy.version);
        self.listing = None;
        if copy.is_whole {
            return self.replace(now, copy.rows, copy.version);
        }
        let changed = self.take_changes(now, copy.rows);
        self.changed_version = self.changed_version.max(copy.version);
        changed
    }

    /// Returns a copy for a host that knows everything up to `after`.
    pub fn copy(&self, after: u64) -> TableCopy {
        let version = self.changed_version;
        if after == 0 || after < self.removed_before {
            let rows = self.rows.values().cloned().collect();
            return TableCopy {
                version,
                is_whole: true,
                rows,
            };
        }
        let changed = self.rows.values().chain(&self.removed);
        let changed = changed.filter(|row| row.version > after);
        TableCopy {
            version,
            is_whole: false,
            rows: changed.cloned().collect(),
        }
    }

    /// Returns rows that went missing while the store was away and whose time is now over.
    pub fn expired(&mut self, now: Duration) -> Vec<Row> {
        if self.missing.is_empty() || now < self.rewrite_until || self.lost_at.is_some() {
            return Vec::new();
        }
        let missing = std::mem::take(&mut self.missing);
        let removed = missing.into_iter();
        removed
            .filter_map(|(key, version)| self.remove(key, version))
            .collect()
    }

    /// Returns the known rows.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }

    /// Returns the version of the newest change that is known.
    pub fn changed_version(&self) -> u64 {
        self.changed_version
    }

    /// Tells whether the table has been read at least once.
    pub fn is_known(&self) -> bool {
        self.changed_version > 0
    }

    /// Returns since when no call has succeeded, if the last one failed.
    pub fn lost_since(&self) -> Option<Duration> {
        self.lost_at
    }

    /// Tells whether the last call failed.
    pub fn is_lost(&self) -> bool {
        self.lost_at.is_some()
    }

    fn note_success(&mut self, now: Duration) {
        self.failures = 0;
        self.not_before = now;
        let Some(lost_at) = self.lost_at.take() else {
            return;
        };
        if now.saturating_sub(lost_at) >= MIN_OUTAGE {
            self.catch_up_until = now + CATCH_UP_TIME;
            self.rewrite_until = now + REWRITE_TIME;
        }
    }

    /// Puts the next call off after a change. Right after an outage there is no pause: what is asked for
    /// later counts as removed on purpose, and entries that lapsed in the outage would go.
    fn pause_after(&mut self, now: Duration, changes: &[Row]) {
        if !changes.is_empty() && now >= self.catch_up_until {
            self.not_before = now + self.feed_pause;
        }
    }

    fn note_failure(&mut self, now: Duration) {
        self.lost_at.get_or_insert(now);
        let doubled = FIRST_PAUSE.saturating_mul(1 << self.failures.min(8));
        self.failures = self.failures.saturating_add(1);
        let pause = doubled.min(MAX_PAUSE);
        // Spread over the upper half, or all hosts would ask a store that is back in one moment.
        let half_ms = u64::try_from(pause.as_millis() / 2).unwrap_or_default();
        let jitter = Duration::from_millis(self.random.below(half_ms.max(1)));
        self.not_before = now + pause / 2 + jitter;
    }

    fn take_page(
        &mut self,
        now: Duration,
        mut listing: Listing,
        rows: Vec<Row>,
        version: u64,
        has_more: bool,
    ) -> Vec<Row> {
        listing.from = rows.last().map(|row| next_key(&row.key));
        listing.rows.extend(rows);
        if has_more && listing.from.is_some() {
            self.listing = Some(listing);
            return Vec::new();
        }
        self.fed_version = version;
        self.replace(now, listing.rows, version)
    }

    fn take_changes(&mut self, now: Duration, rows: Vec<Row>) -> Vec<Row> {
        let mut changed = Vec::new();
        for row in rows {
            self.changed_version = self.changed_version.max(row.version);
            if row.value.is_some() {
                changed.extend(self.put(row));
            } else {
                changed.extend(self.miss(now, &row.key, row.version));
            }
        }
        changed
    }

    fn replace(&mut self, now: Duration, rows: Vec<Row>, version: u64) -> Vec<Row> {
        self.changed_version = self.changed_version.max(version);
        let listed: BTreeMap<_, _> = rows.iter().map(|row| (row.key.clone(), ())).collect();
        let gone = self
            .rows
            .values()
            .filter(|row| row.version <= version && !listed.contains_key(&row.key));
        let gone: Vec<_> = gone.map(|row| row.key.clone()).collect();
        let mut changed = Vec::new();
        for row in rows {
            changed.extend(self.put(row));
        }
        for key in gone {
            changed.extend(self.miss(now, &key, version));
        }
        changed
    }

    fn put(&mut self, row: Row) -> Option<Row> {
        self.missing.remove(&row.key);
        let known = self.rows.get(&row.key);
        if known.is_some_and(|known| known.version >= row.version) {
            return None;
        }
        self.rows.insert(row.key.clone(), row.clone());
        Some(row)
    }

    /// A row that is missing right after an outage may only have lapsed: its writer could not renew
    /// it. Without the delay, every endpoint would be given up at once when the store returns.
    fn miss(&mut self, now: Duration, key: &Arc<str>, version: u64) -> Option<Row> {
        if now < self.catch_up_until || self.lost_at.is_some() {
            self.missing.insert(key.clone(), version);
            return None;
        }
        self.remove(key.clone(), version)
    }

    fn remove(&mut self, key: Arc<str>, version: u64) -> Option<Row> {
        let known = self.rows.get(&key)?;
        if known.version > version {
            return None;
        }
        self.rows.remove(&key);
        let removed = Row {
            key,
            version,
            value: None,
        };
        self.removed.push_back(removed.clone());
        if self.removed.len() > MAX_REMOVED {
            let forgotten = self.removed.pop_front();
            self.removed_before = forgotten.map_or(0, |row| row.version);
        }
        Some(removed)
    }
}

/// Returns the first key after `key` in byte order.
fn next_key(key: &str) -> Arc<str> {
    Arc::from(format!("{key}\0"))
}
