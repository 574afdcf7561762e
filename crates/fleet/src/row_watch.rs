//! Keeps a local copy of one table of the platform's store: lists it once, then waits for changes.

mod copies;
mod removals;
mod restoration;
mod returned_rows;
mod store_call;
mod table_copy;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use sedgeridge_coordination::random::SeededRandom;

use self::removals::Removals;
use self::returned_rows::ReturnedRows;
use crate::store_outage::MIN_OUTAGE;
use crate::store_outage::OutageView;
use crate::store_version::StoreVersion;

pub use self::store_call::StoreAnswer;
pub use self::store_call::StoreCall;
pub use self::store_call::WatchStep;
pub use self::table_copy::LapsingRow;
pub use self::table_copy::Row;
pub use self::table_copy::TableCopy;

/// First pause after a failed call. It is short because a change must take effect within two
/// seconds.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after failed calls. Every call is paid for, even one that is refused. With this
/// pause the store's return is still noticed well before entries are judged.
const MAX_PAUSE: Duration = Duration::from_millis(800);
/// Time after the store's return in which endpoints and the operator write their rows again. The
/// platform promises about two seconds.
const REWRITE_WINDOW: Duration = Duration::from_millis(2_100);
/// Time after the store's return in which a missing row may have lapsed during the outage. A row
/// that is removed later was removed on purpose, and its removal takes effect at once.
const CATCH_UP_WINDOW: Duration = Duration::from_millis(400);

/// Interval at which a host that copies from others checks whether it must follow the store itself.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a host that relies on copies waits for one after it has read the first page of a
/// long table. Reading on would take a call for each page, and many hosts start together.
const MAX_COPY_WAIT: Duration = Duration::from_millis(1_500);

/// The known rows of a table and the calls that keep them up to date.
///
/// ```
/// use std::time::Duration;
/// use sedgeridge_fleet::row_watch::{RowWatch, StoreAnswer, StoreCall, WatchStep};
/// use sedgeridge_fleet::store_version::StoreVersion;
///
/// let version = StoreVersion { era: 0, number: 7 };
/// let mut watch = RowWatch::new(1);
/// assert_eq!(watch.step(Duration::ZERO), WatchStep::Call(StoreCall::List { from: None }));
/// let answer = StoreAnswer::Rows { rows: Vec::new(), version, has_more: false };
/// watch.on_answer(Duration::ZERO, answer);
/// let step = watch.step(Duration::ZERO);
/// assert_eq!(step, WatchStep::Call(StoreCall::Feed { after: version, is_long_poll: true }));
/// ```
#[derive(Debug)]
pub struct RowWatch {
    rows: BTreeMap<Arc<str>, Row>,
    listing: Option<Listing>,
    feed_version: StoreVersion,
    changed_version: StoreVersion,
    failed_calls: u32,
    next_call_at: Duration,
    store_lost_at: Option<Duration>,
    store_answered_at: Option<Duration>,
    catch_up_until: Duration,
    last_outage: Option<PastOutage>,
    lapsing: BTreeMap<Arc<str>, Lapsing>,
    returned: ReturnedRows,
    /// Last return of the store from an older copy, while its rows are being read.
    restoration: Option<PastOutage>,
    restoration_window: Duration,
    last_copy_at: Option<Duration>,
    /// Whether the last copy was a part, and further parts are to come.
    is_partial: bool,
    removals: Removals,
    is_following: bool,
    feed_pause: Duration,
    outage_view: OutageView,
    outdated_rows: u64,
    random: SeededRandom,
}

/// An outage of the store in which rows may have lapsed, or after which it came back from an older
/// copy.
#[derive(Debug, Clone, Copy)]
struct PastOutage {
    /// Start of the outage.
    lost_at: Duration,
    /// End of the time in which writers write their rows again.
    rewrite_until: Duration,
    /// Whether the store came back from an older copy.
    is_restored: bool,
}

/// A missing row that stays in use until the end of the rewrite window.
#[derive(Debug, Clone, Copy)]
struct Lapsing {
    version: StoreVersion,
    outage: PastOutage,
}

#[derive(Debug, Default)]
struct Listing {
    /// Version of the first page.
    version: Option<StoreVersion>,
    from: Option<Arc<str>>,
    rows: Vec<Row>,
    first_page_at: Option<Duration>,
}

impl Listing {
    /// Returns whether a copy may still replace the pages that have not been read.
    fn awaits_copy(&self, now: Duration) -> bool {
        let read_at = self.first_page_at;
        read_at.is_some_and(|at| now.saturating_sub(at) < MAX_COPY_WAIT)
    }
}

impl RowWatch {
    /// Creates a watch without any rows.
    pub fn new(seed: u64) -> Self {
        Self {
            rows: BTreeMap::new(),
            listing: Some(Listing::default()),
            feed_version: StoreVersion::default(),
            changed_version: StoreVersion::default(),
            failed_calls: 0,
            next_call_at: Duration::ZERO,
            store_lost_at: None,
            store_answered_at: None,
            catch_up_until: Duration::ZERO,
            last_outage: None,
            lapsing: BTreeMap::new(),
            returned: ReturnedRows::default(),
            restoration: None,
            restoration_window: REWRITE_WINDOW,
            last_copy_at: None,
            is_partial: false,
            removals: Removals::default(),
            is_following: true,
            feed_pause: Duration::ZERO,
            outage_view: OutageView::default(),
            outdated_rows: 0,
            random: SeededRandom::new(seed),
        }
    }

    /// Sets the time in which writers write again what the store lost when it comes back from an older
    /// copy.
    pub fn with_restoration_window(self, restoration_window: Duration) -> Self {
        Self {
            restoration_window,
            ..self
        }
    }

    /// Returns the next step.
    pub fn step(&self, now: Duration) -> WatchStep {
        if !self.is_following && (self.is_known() || self.awaits_copy(now)) {
            return WatchStep::WaitUntil(now + ROLE_CHECK_INTERVAL);
        }
        if now < self.next_call_at {
            return WatchStep::WaitUntil(self.next_call_at);
        }
        let call = match &self.listing {
            Some(listing) => StoreCall::List {
                from: listing.from.clone(),
            },
            None => StoreCall::Feed {
                after: self.feed_version,
                is_long_poll: self.store_lost_at.is_none(),
            },
        };
        WatchStep::Call(call)
    }

    fn awaits_copy(&self, now: Duration) -> bool {
        let listing = self.listing.as_ref();
        listing.is_some_and(|listing| listing.awaits_copy(now))
    }

    /// Handles the result of a call, which [`StoreCall::answered_with`] makes. Returns the changed rows;
    /// removed rows have no value.
    ///
    /// A copy that came while the call was open may have replaced the list that the call was part of.
    /// Taken for changes, the page would move the feed past changes that it does not hold.
    pub fn on_answer_to(
        &mut self,
        now: Duration,
        call: &StoreCall,
        answer: StoreAnswer,
    ) -> Vec<Row> {
        let is_replaced = matches!(call, StoreCall::List { .. }) && self.listing.is_none();
        match answer {
            StoreAnswer::Rows { .. } if is_replaced => {
                self.note_success(now);
                Vec::new()
            }
            _ => self.on_answer(now, answer),
        }
    }

    /// Handles the result of the call that the last step named. Returns the changed rows; removed rows
    /// have no value.
    pub fn on_answer(&mut self, now: Duration, answer: StoreAnswer) -> Vec<Row> {
        match answer {
            StoreAnswer::Rows {
                rows,
                version,
                has_more,
            } => {
                self.note_success(now);
                if version.era < self.feed_version.era {
                    // The store answered before it came back, and another host's copy came first.
                    self.next_call_at = now + FIRST_PAUSE;
                    return Vec::new();
                }
                match self.listing.take() {
                    Some(listing) => self.on_list_page(now, listing, rows, version, has_more),
                    None => self.on_feed(now, rows, version),
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

    /// Handles changes after the known version.
    fn on_feed(&mut self, now: Duration, rows: Vec<Row>, version: StoreVersion) -> Vec<Row> {
        self.feed_version = self.feed_version.max(version);
        self.is_partial = false;
        self.delay_after_changes(now, &rows);
        self.apply_changes(rows, self.recent_outage(now))
    }

    /// Sets whether this host follows the store. A host that does not relies on copies from other
    /// hosts.
    ///
    /// A host may begin to follow in the middle or right at the end of an outage, which began at
    /// `lost_since`. Without that time it would treat lapsed entries as removed and tell the other
    /// hosts so, and the fleet would have no endpoints until the entries are written again.
    pub fn set_following(&mut self, is_following: bool, lost_since: Option<Duration>) {
        if self.is_following && !is_following {
            self.store_answered_at = None;
            self.store_lost_at = None;
            self.failed_calls = 0;
        }
        if !self.is_following && is_following && self.is_known() {
            self.store_lost_at = lost_since;
        }
        self.is_following = is_following;
    }

    /// Sets the pause between a change and the next call.
    pub fn set_feed_pause(&mut self, pause: Duration) {
        self.feed_pause = pause;
    }

    /// Sets what the fleet's reports say about the store. Call it before handling an answer or a
    /// copy.
    pub fn set_outage(&mut self, view: OutageView) {
        self.outage_view = view;
    }

    /// Applies another host's copy. Returns the changed rows.
    ///
    /// A removal in the copy takes effect at once, even while the store refuses this host: the
    /// sender has already separated removed rows from rows that may only have lapsed. If the removal
    /// waited until the store answers this host again, it would take effect seconds late, and
    /// requests would still go to endpoints that have left.
    ///
    /// Rows that the sender lists as lapsing stay in use only if the store came back from an older copy
    /// or this host cannot rule out a fleet-wide outage. A sender that was cut off from the other hosts
    /// does not know that the store answered them. The version of its copy counts as known here, so no
    /// host would report the removal again.
    pub fn on_copy(&mut self, now: Duration, copy: TableCopy) -> Vec<Row> {
        if copy.version <= self.changed_version {
            return Vec::new();
        }
        self.note_restoration(now, copy.version);
        self.feed_version = self.feed_version.max(copy.version);
        self.listing = None;
        self.last_copy_at = Some(now);
        self.is_partial = copy.has_more;
        let mut changed = match copy.keys {
            _ if copy.is_whole => self.replace_rows(copy.rows, copy.version, None),
            Some(keys) => self.apply_changes_with_keys(copy.rows, keys, copy.version),
            None => {
                let rows = self.hold_back_returned(copy.rows);
                self.apply_changes(rows, None)
            }
        };
        self.changed_version = self.changed_version.max(copy.version);
        self.restoration.take_if(|_| !copy.has_more);
        for row in copy.lapsing {
            let outage = PastOutage {
                lost_at: now.saturating_sub(row.outage_age),
                rewrite_until: now + row.remaining,
                is_restored: row.is_restored,
            };
            let may_return =
                outage.is_restored || self.outage_view.may_be_fleet_wide(outage.lost_at);
            let outage = may_return.then_some(outage);
            changed.extend(self.on_missing(row.key, row.version, outage));
        }
        changed
    }

    /// Ends the rewrite windows that are over. Returns the changed rows: lapsing rows are removed, and
    /// returned rows come into use.
    pub fn take_expired(&mut self, now: Duration) -> Vec<Row> {
        if self.next_expiry().is_none_or(|at| now < at) || self.is_cut_off() {
            return Vec::new();
        }
        let mut changed = self.take_lapsed(now);
        let returned = self.returned.take_expired(now).into_iter();
        changed.extend(returned.filter_map(|row| self.apply_row(row)));
        changed
    }

    fn take_lapsed(&mut self, now: Duration) -> Vec<Row> {
        let expired = self.lapsing.iter();
        let expired = expired.filter(|(_, lapsing)| lapsing.outage.rewrite_until <= now);
        let expired: Vec<_> = expired
            .map(|(key, lapsing)| (key.clone(), lapsing.version))
            .collect();
        let removed = expired.into_iter();
        removed
            .filter_map(|(key, version)| self.remove(key, version))
            .collect()
    }

    /// Returns the end of the earliest rewrite window of a lapsing or returned row.
    pub fn next_expiry(&self) -> Option<Duration> {
        let lapsing = self.lapsing.values();
        let until = lapsing.map(|lapsing| lapsing.outage.rewrite_until);
        until.chain(self.returned.next_expiry()).min()
    }

    /// Returns the number of missing rows that are still in use.
    pub fn lapsing_count(&self) -> usize {
        self.lapsing.len()
    }

    /// Returns whether the store may be unavailable to all hosts, so that writers could not write
    /// their rows again. A newer copy, or other hosts' reports, show that it serves others. Without
    /// the reports, a host that the store refuses would keep lapsed rows until another row changes.
    fn is_cut_off(&self) -> bool {
        let has_copy_since = |lost_at| self.last_copy_at.is_some_and(|at| at >= lost_at);
        let may_be_away =
            |lost_at| !has_copy_since(lost_at) && self.outage_view.may_be_fleet_wide(lost_at);
        self.store_lost_at.is_some_and(may_be_away)
    }

    /// Returns how many rows were dropped since a later version of them is known.
    pub fn outdated_rows(&self) -> u64 {
        self.outdated_rows
    }

    /// Returns the known rows.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }

    /// Returns whether the store holds a row, as far as this host knows. A missing row that stays in use
    /// does not count.
    pub fn is_listed(&self, key: &str) -> bool {
        self.rows.contains_key(key) && !self.lapsing.contains_key(key)
    }

    /// Returns the version of the newest known change.
    pub fn changed_version(&self) -> StoreVersion {
        self.changed_version
    }

    /// Returns the version that other hosts may copy from this one; the default for none.
    ///
    /// A host that has received a part of a table lacks rows that changed after the part's version. A
    /// host that knows earlier versions of these rows would take them for removed.
    pub fn offered_version(&self) -> StoreVersion {
        match self.is_partial {
            true => StoreVersion::default(),
            false => self.changed_version,
        }
    }

    /// Returns whether the table has been read at least once.
    pub fn is_known(&self) -> bool {
        self.changed_version > StoreVersion::default()
    }

    /// Returns when calls began to fail, if the last one failed.
    pub fn store_lost_since(&self) -> Option<Duration> {
        self.store_lost_at
    }

    /// Returns when the store last answered.
    pub fn store_answered_at(&self) -> Option<Duration> {
        self.store_answered_at
    }

    /// Returns whether the last call failed.
    pub fn is_store_lost(&self) -> bool {
        self.store_lost_at.is_some()
    }

    /// Records that the store answers. After a fleet-wide outage it also starts the time in which
    /// missing rows may have lapsed.
    ///
    /// This does not apply if the store refused only some hosts: others saw each removal, so a
    /// missing row was removed on purpose. This host, and the hosts that copy from it, would keep
    /// an endpoint that has left for [`REWRITE_WINDOW`].
    fn note_success(&mut self, now: Duration) {
        self.failed_calls = 0;
        self.next_call_at = now;
        self.store_answered_at = Some(now);
        let Some(lost_at) = self.store_lost_at.take() else {
            return;
        };
        if now.saturating_sub(lost_at) >= MIN_OUTAGE && self.outage_view.may_be_fleet_wide(lost_at)
        {
            self.catch_up_until = now + CATCH_UP_WINDOW;
            self.last_outage = Some(PastOutage {
                lost_at,
                rewrite_until: self.returned_at(now) + REWRITE_WINDOW,
                is_restored: false,
            });
        }
    }

    /// Returns when the store came back, as far as this host knows. The store may have answered
    /// other hosts while this one paused. Without their reports an endpoint that left would stay in
    /// use for that much longer, past the time from which hosts must follow what the store
    /// acknowledged. The reports can shift the time by one pause at most.
    fn returned_at(&self, now: Duration) -> Duration {
        let ended_at = self.outage_view.ended_at().unwrap_or(now);
        ended_at.clamp(now.saturating_sub(MAX_PAUSE), now)
    }

    /// Delays the next call after a change. Right after an outage there is no delay: rows found
    /// missing later count as removed on purpose, so entries that lapsed in the outage would be
    /// dropped.
    fn delay_after_changes(&mut self, now: Duration, changes: &[Row]) {
        if !changes.is_empty() && now >= self.catch_up_until {
            self.next_call_at = now + self.feed_pause;
        }
    }

    fn note_failure(&mut self, now: Duration) {
        self.store_lost_at.get_or_insert(now);
        let doubled = FIRST_PAUSE.saturating_mul(1 << self.failed_calls.min(8));
        self.failed_calls = self.failed_calls.saturating_add(1);
        let pause = doubled.min(MAX_PAUSE);
        // The jitter covers the upper half of the pause. Without it all hosts would call a
        // recovered store at the same moment.
        let half_ms = u64::try_from(pause.as_millis() / 2).unwrap_or_default();
        let jitter = Duration::from_millis(self.random.below(half_ms.max(1)));
        self.next_call_at = now + pause / 2 + jitter;
    }

    fn on_list_page(
        &mut self,
        now: Duration,
        mut listing: Listing,
        rows: Vec<Row>,
        version: StoreVersion,
        has_more: bool,
    ) -> Vec<Row> {
        // Changes between two pages may concern rows of the earlier one. The feed tells of them.
        let first_version = *listing.version.get_or_insert(version);
        if first_version.era != version.era {
            // The store came back from an older copy between two pages.
            self.listing = Some(Listing::default());
            return Vec::new();
        }
        listing.first_page_at.get_or_insert(now);
        listing.from = rows.last().map(|row| next_key(&row.key));
        listing.rows.extend(rows);
        if has_more && listing.from.is_some() {
            self.listing = Some(listing);
            return Vec::new();
        }
        self.note_restoration(now, first_version);
        self.feed_version = first_version;
        self.is_partial = false;
        let changed = self.replace_rows(listing.rows, first_version, self.recent_outage(now));
        self.restoration = None;
        changed
    }

    /// Returns the outage in which rows that are missing now may have lapsed. A row that is missing
    /// right after an outage may only have lapsed, because its writer could not renew it. Without
    /// the rewrite window every endpoint would be dropped when the store returns.
    fn recent_outage(&self, now: Duration) -> Option<PastOutage> {
        self.last_outage.filter(|_| now < self.catch_up_until)
    }

    fn apply_changes(&mut self, rows: Vec<Row>, outage: Option<PastOutage>) -> Vec<Row> {
        let mut changed = Vec::new();
        for row in rows {
            self.changed_version = self.changed_version.max(row.version);
            if row.value.is_some() {
                changed.extend(self.apply_row(row));
            } else {
                changed.extend(self.on_missing(row.key, row.version, outage));
            }
        }
        changed
    }

    fn replace_rows(
        &mut self,
        rows: Vec<Row>,
        version: StoreVersion,
        outage: Option<PastOutage>,
    ) -> Vec<Row> {
        self.removals.note_gap(self.changed_version, version);
        self.changed_version = self.changed_version.max(version);
        let listed = rows.iter().map(|row| row.key.clone()).collect();
        let mut rows = self.hold_back_returned(rows);
        // Changes after the version come again. Known earlier, they could be copied by a host that then
        // takes all before them for known.
        rows.retain(|row| row.version <= version);
        let mut changed: Vec<_> = rows
            .into_iter()
            .filter_map(|row| self.apply_row(row))
            .collect();
        changed.extend(self.apply_unlisted(&listed, version, outage));
        changed
    }

    /// Handles the known rows that are missing from the keys as of `version`.
    fn apply_unlisted(
        &mut self,
        keys: &BTreeSet<Arc<str>>,
        version: StoreVersion,
        outage: Option<PastOutage>,
    ) -> Vec<Row> {
        self.returned.retain_listed(keys, version);
        let known = self.rows.values();
        let missing = known.filter(|row| row.version <= version && !keys.contains(&row.key));
        let missing: Vec<_> = missing.map(|row| row.key.clone()).collect();
        let missing = missing.into_iter();
        missing
            .filter_map(|key| {
                let outage = self.restoration_of(&key).or(outage);
                self.on_missing(key, version, outage)
            })
            .collect()
    }

    /// Applies changes that may lack removals, with the keys of all rows as of `version`.
    fn apply_changes_with_keys(
        &mut self,
        rows: Vec<Row>,
        keys: Vec<Arc<str>>,
        version: StoreVersion,
    ) -> Vec<Row> {
        self.removals.note_gap(self.changed_version, version);
        let mut changed = self.apply_unlisted(&keys.into_iter().collect(), version, None);
        let rows = self.hold_back_returned(rows);
        changed.extend(self.apply_changes(rows, None));
        changed
    }

    fn apply_row(&mut self, row: Row) -> Option<Row> {
        self.lapsing.remove(&row.key);
        if self.returned.holds(&row) {
            return None;
        }
        self.returned.drop_row(&row.key, row.version);
        let known = self.rows.get(&row.key);
        if let Some(known) = known.filter(|known| known.version >= row.version) {
            self.outdated_rows += u64::from(known.version > row.version);
            return None;
        }
        // After the store came back, every row has a new version and most have the known content.
        let is_unchanged = known
            .is_some_and(|known| known.version.era < row.version.era && known.value == row.value);
        self.rows.insert(row.key.clone(), row.clone());
        (!is_unchanged).then_some(row)
    }

    fn on_missing(
        &mut self,
        key: Arc<str>,
        version: StoreVersion,
        outage: Option<PastOutage>,
    ) -> Option<Row> {
        match outage {
            Some(outage) => {
                self.note_lapsing(key, version, outage);
                None
            }
            None => self.remove(key, version),
        }
    }

    fn note_lapsing(&mut self, key: Arc<str>, version: StoreVersion, outage: PastOutage) {
        let known = self.rows.get(&key);
        if known.is_some_and(|known| known.version <= version) {
            self.lapsing.insert(key, Lapsing { version, outage });
        }
    }

    fn remove(&mut self, key: Arc<str>, version: StoreVersion) -> Option<Row> {
        if self.returned.drop_row(&key, version) {
            // Hosts that started after the loss use the row.
            self.removals.note(key, version);
            return None;
        }
        let known = self.rows.get(&key)?;
        if known.version > version {
            return None;
        }
        self.rows.remove(&key);
        self.lapsing.remove(&key);
        Some(self.removals.note(key, version))
    }
}

/// Returns the first key after `key` in byte order.
fn next_key(key: &str) -> Arc<str> {
    Arc::from(format!("{key}\0"))
}
