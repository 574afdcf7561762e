//! Follows one table of the platform's store: lists it once, then waits for its changes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use sedgeridge_coordination::random::SeededRandom;

use crate::store_outage::MIN_OUTAGE;
use crate::store_outage::OutageView;

/// First pause after a failed call. Short, since a change must be in force within two seconds.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after failed calls. Every call is paid for, also one that is refused; a pause of
/// this length still finds a store that is back well before entries are judged.
const MAX_PAUSE: Duration = Duration::from_millis(800);
/// Time after the store's return in which rows that lapsed meanwhile are written again. The
/// platform promises about two seconds.
const REWRITE_TIME: Duration = Duration::from_millis(2_100);
/// Time after the store's return in which answers tell of what happened while it was away. What is
/// removed later was removed on purpose, and counts at once.
const CATCH_UP_TIME: Duration = Duration::from_millis(400);

/// Time between looks whether a host that copies from others has to follow the store itself.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);
/// Removed rows that are remembered, for copies that tell only what changed.
const MAX_REMOVED: usize = 512;
/// Gaps that are remembered. A host reads the whole table when it starts and when the store forgets its
/// history, some times a day.
const MAX_GAPS: usize = 16;

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
    /// Rows among those known that may only have lapsed.
    pub lapsing: Vec<LapsingRow>,
    /// Keys of all rows that there are, where `rows` may lack some that are gone.
    pub keys: Option<Vec<Arc<str>>>,
}

/// A row that the store lacked when it came back from an outage. Its writer may still write it again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LapsingRow {
    /// Its key.
    pub key: Arc<str>,
    /// Version of the store as of which it was missing.
    pub version: u64,
    /// Time that its writer has left.
    pub remaining: Duration,
    /// How long ago the outage began in which it may have lapsed.
    pub outage_age: Duration,
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
        is_long_poll: bool,
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
/// assert_eq!(step, WatchStep::Call(StoreCall::Feed { after: 7, is_long_poll: true }));
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
    answered_at: Option<Duration>,
    catch_up_until: Duration,
    outage_ended: Option<Lapse>,
    lapsing: BTreeMap<Arc<str>, Lapsing>,
    copied_at: Option<Duration>,
    removed: VecDeque<Row>,
    removed_before: u64,
    gaps: VecDeque<Gap>,
    is_following: bool,
    feed_pause: Duration,
    outage: OutageView,
    random: SeededRandom,
}

/// An outage in which rows may have lapsed.
#[derive(Debug, Clone, Copy)]
struct Lapse {
    /// When it began.
    lost_at: Duration,
    /// Until when rows are written again.
    until: Duration,
}

/// A missing row that stays in use.
#[derive(Debug, Clone, Copy)]
struct Lapsing {
    version: u64,
    lapse: Lapse,
}

/// Versions that were passed over when the whole table was read: what was written and removed again in
/// between is not known.
#[derive(Debug, Clone, Copy)]
struct Gap {
    from: u64,
    to: u64,
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
            answered_at: None,
            catch_up_until: Duration::ZERO,
            outage_ended: None,
            lapsing: BTreeMap::new(),
            copied_at: None,
            removed: VecDeque::new(),
            removed_before: 0,
            gaps: VecDeque::new(),
            is_following: true,
            feed_pause: Duration::ZERO,
            outage: OutageView::default(),
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
                is_long_poll: self.lost_at.is_none(),
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
                        self.take_changes(rows, self.lapse(now))
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
    ///
    /// A host that begins to follow may do so in the middle of an outage, `lost_since`, or right at its end.
    /// Without that moment it takes the entries that lapsed for removed, tells the others so, and the
    /// fleet has no endpoint left until they are written again.
    pub fn set_following(&mut self, is_following: bool, lost_since: Option<Duration>) {
        if self.is_following && !is_following {
            self.answered_at = None;
            self.lost_at = None;
            self.failures = 0;
        }
        if !self.is_following && is_following && self.is_known() {
            self.lost_at = lost_since;
        }
        self.is_following = is_following;
    }

    /// Sets how long to wait after a change before the next one is asked for.
    pub fn set_feed_pause(&mut self, pause: Duration) {
        self.feed_pause = pause;
    }

    /// Sets what the fleet's reports say of the store. Call it before an answer or a copy is taken.
    pub fn set_outage(&mut self, outage: OutageView) {
        self.outage = outage;
    }

    /// Takes another host's copy. Returns what changed.
    ///
    /// A removal that it tells counts at once, also while the store turns this host away: the host that
    /// made the copy has already told what was removed from what may only have lapsed. Held back until
    /// the store answers here again, a removal comes into force seconds late, and requests go on to endpoints
    /// that have left.
    ///
    /// What it calls lapsing stays in use only if this host cannot refute it. A maker that was cut off from the
    /// others heard of none that the store answered; the version of its copy is taken for known here, so that
    /// nobody would tell of the removal again.
    pub fn on_copy(&mut self, now: Duration, copy: TableCopy) -> Vec<Row> {
        if copy.version <= self.changed_version {
            return Vec::new();
        }
        self.fed_version = self.fed_version.max(copy.version);
        self.listing = None;
        self.copied_at = Some(now);
        let mut changed = match copy.keys {
            _ if copy.is_whole => self.replace(copy.rows, copy.version, None),
            Some(keys) => self.take_with_keys(copy.rows, keys, copy.version),
            None => self.take_changes(copy.rows, None),
        };
        self.changed_version = self.changed_version.max(copy.version);
        for row in copy.lapsing {
            let lapse = Lapse {
                lost_at: now.saturating_sub(row.outage_age),
                until: now + row.remaining,
            };
            let lapse = Some(lapse).filter(|it| self.outage.may_be_fleet_wide(it.lost_at));
            changed.extend(self.miss(row.key, row.version, lapse));
        }
        changed
    }

    /// Returns a copy for a host that knows everything up to `after`.
    pub fn copy_after(&self, now: Duration, after: u64) -> TableCopy {
        let is_whole = after == 0;
        let lacks_removals = self.lacks_removals(after);
        let removed = self.removed.iter().filter(|_| !is_whole && !lacks_removals);
        let changed = self.rows.values().chain(removed);
        let changed = changed.filter(|row| row.version > after);
        TableCopy {
            version: self.changed_version,
            is_whole,
            rows: changed.cloned().collect(),
            lapsing: self.lapsing_after(now, after),
            keys: lacks_removals.then(|| self.rows.keys().cloned().collect()),
        }
    }

    /// Tells whether rows were removed after a version that this host has not heard of. A host that has just
    /// started knows of none before its first list; a copy of only what changed would leave endpoints
    /// that left in use at whoever takes it, for good. The keys of all rows tell what is gone, in a fraction of the
    /// memory of whole rows.
    fn lacks_removals(&self, after: u64) -> bool {
        let is_within = |gap: &Gap| gap.from < after && after < gap.to;
        after > 0 && (after < self.removed_before || self.gaps.iter().any(is_within))
    }

    fn note_gap(&mut self, from: u64, to: u64) {
        self.gaps.push_back(Gap { from, to });
        if self.gaps.len() > MAX_GAPS {
            let forgotten = self.gaps.pop_front();
            let to = forgotten.map_or(0, |gap| gap.to);
            self.removed_before = self.removed_before.max(to);
        }
    }

    /// Returns the rows that went missing after a version. Without them a host that lives on copies would
    /// take their version for known, and never hear that they are gone.
    fn lapsing_after(&self, now: Duration, after: u64) -> Vec<LapsingRow> {
        let lapsing = self.lapsing.iter();
        let lapsing = lapsing.filter(|(_, lapsing)| lapsing.version > after);
        let to_row = |(key, lapsing): (&Arc<str>, &Lapsing)| LapsingRow {
            key: key.clone(),
            version: lapsing.version,
            remaining: lapsing.lapse.until.saturating_sub(now),
            outage_age: now.saturating_sub(lapsing.lapse.lost_at),
        };
        lapsing.map(to_row).collect()
    }

    /// Returns rows that went missing while the store was away and whose time is now over.
    pub fn take_expired(&mut self, now: Duration) -> Vec<Row> {
        if self.lapsing.is_empty() || self.is_cut_off() {
            return Vec::new();
        }
        let over = self.lapsing.iter();
        let over = over.filter(|(_, lapsing)| lapsing.lapse.until <= now);
        let over: Vec<_> = over
            .map(|(key, lapsing)| (key.clone(), lapsing.version))
            .collect();
        let removed = over.into_iter();
        removed
            .filter_map(|(key, version)| self.remove(key, version))
            .collect()
    }

    /// Returns when the time of a missing row is over next.
    pub fn next_expiry(&self) -> Option<Duration> {
        let until = self.lapsing.values().map(|lapsing| lapsing.lapse.until);
        until.min()
    }

    /// Returns how many missing rows stay in use for now.
    pub fn lapsing_count(&self) -> usize {
        self.lapsing.len()
    }

    /// Tells whether nothing was heard of the table since the store fell silent: it may be away for all,
    /// so that rows could not be written again. A newer copy shows that it serves others, and so do their
    /// reports: without them a host that the store refuses keeps what lapsed for as long as no row changes.
    fn is_cut_off(&self) -> bool {
        let has_copy_since = |lost_at| self.copied_at.is_some_and(|at| at >= lost_at);
        let may_be_away =
            |lost_at| !has_copy_since(lost_at) && self.outage.may_be_fleet_wide(lost_at);
        self.lost_at.is_some_and(may_be_away)
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
    pub fn store_lost_since(&self) -> Option<Duration> {
        self.lost_at
    }

    /// Returns when a call was last answered.
    pub fn store_answered_at(&self) -> Option<Duration> {
        self.answered_at
    }

    /// Tells whether the last call failed.
    pub fn is_store_lost(&self) -> bool {
        self.lost_at.is_some()
    }

    /// Takes in that the store answers, and after an outage of all begins the time in which rows may have lapsed.
    ///
    /// A host that the store refused alone must not: other hosts saw each removal, and what is gone was removed
    /// on purpose. It would keep an endpoint that left for [`REWRITE_TIME`], and the hosts that copy from it too.
    fn note_success(&mut self, now: Duration) {
        self.failures = 0;
        self.not_before = now;
        self.answered_at = Some(now);
        let Some(lost_at) = self.lost_at.take() else {
            return;
        };
        if now.saturating_sub(lost_at) >= MIN_OUTAGE && self.outage.may_be_fleet_wide(lost_at) {
            self.catch_up_until = now + CATCH_UP_TIME;
            self.outage_ended = Some(Lapse {
                lost_at,
                until: self.returned_at(now) + REWRITE_TIME,
            });
        }
    }

    /// Returns when the store came back, as far as this host can know. Others may have been answered earlier in the
    /// pause of this one; without them an endpoint that left stays in use for as much longer, and past the moment from
    /// which hosts have to keep to what the store acknowledged. What others say counts for no more than a pause.
    fn returned_at(&self, now: Duration) -> Duration {
        let ended_at = self.outage.ended_at().unwrap_or(now);
        ended_at.clamp(now.saturating_sub(MAX_PAUSE), now)
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
        self.replace(listing.rows, version, self.lapse(now))
    }

    /// Returns the outage in which rows may have lapsed that the store lacks now. A row that is missing right after an
    /// outage may only have lapsed: its writer could not renew it. Without the delay, every endpoint
    /// would be given up at once when the store returns.
    fn lapse(&self, now: Duration) -> Option<Lapse> {
        self.outage_ended.filter(|_| now < self.catch_up_until)
    }

    fn take_changes(&mut self, rows: Vec<Row>, lapse: Option<Lapse>) -> Vec<Row> {
        let mut changed = Vec::new();
        for row in rows {
            self.changed_version = self.changed_version.max(row.version);
            if row.value.is_some() {
                changed.extend(self.put(row));
            } else {
                changed.extend(self.miss(row.key, row.version, lapse));
            }
        }
        changed
    }

    fn replace(&mut self, rows: Vec<Row>, version: u64, lapse: Option<Lapse>) -> Vec<Row> {
        self.note_gap(self.changed_version, version);
        self.changed_version = self.changed_version.max(version);
        let listed = rows.iter().map(|row| row.key.clone()).collect();
        let gone = self.lacking_in(&listed, version);
        let mut changed = Vec::new();
        for row in rows {
            changed.extend(self.put(row));
        }
        for key in gone {
            changed.extend(self.miss(key, version, lapse));
        }
        changed
    }

    /// Takes changes that may lack removals, and the keys of all rows as of `version`.
    fn take_with_keys(&mut self, rows: Vec<Row>, keys: Vec<Arc<str>>, version: u64) -> Vec<Row> {
        self.note_gap(self.changed_version, version);
        let gone = self.lacking_in(&keys.into_iter().collect(), version);
        let removed = gone.into_iter();
        let mut changed: Vec<_> = removed
            .filter_map(|key| self.remove(key, version))
            .collect();
        changed.extend(self.take_changes(rows, None));
        changed
    }

    /// Returns the known rows that a table lacked as of `version`.
    fn lacking_in(&self, keys: &BTreeSet<Arc<str>>, version: u64) -> Vec<Arc<str>> {
        let gone = self.rows.values();
        let gone = gone.filter(|row| row.version <= version && !keys.contains(&row.key));
        gone.map(|row| row.key.clone()).collect()
    }

    fn put(&mut self, row: Row) -> Option<Row> {
        self.lapsing.remove(&row.key);
        let known = self.rows.get(&row.key);
        if known.is_some_and(|known| known.version >= row.version) {
            return None;
        }
        self.rows.insert(row.key.clone(), row.clone());
        Some(row)
    }

    fn miss(&mut self, key: Arc<str>, version: u64, lapse: Option<Lapse>) -> Option<Row> {
        match lapse {
            Some(lapse) => {
                self.note_lapsing(key, version, lapse);
                None
            }
            None => self.remove(key, version),
        }
    }

    fn note_lapsing(&mut self, key: Arc<str>, version: u64, lapse: Lapse) {
        let known = self.rows.get(&key);
        if known.is_some_and(|known| known.version <= version) {
            self.lapsing.insert(key, Lapsing { version, lapse });
        }
    }

    fn remove(&mut self, key: Arc<str>, version: u64) -> Option<Row> {
        let known = self.rows.get(&key)?;
        if known.version > version {
            return None;
        }
        self.rows.remove(&key);
        self.lapsing.remove(&key);
        let removed = Row {
            key,
            version,
            value: None,
        };
        self.removed.push_back(removed.clone());
        if self.removed.len() > MAX_REMOVED {
            let forgotten = self.removed.pop_front();
            let before = forgotten.map_or(0, |row| row.version);
            self.removed_before = self.removed_before.max(before);
        }
        Some(removed)
    }
}

/// Returns the first key after `key` in byte order.
fn next_key(key: &str) -> Arc<str> {
    Arc::from(format!("{key}\0"))
}
