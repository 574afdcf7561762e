//! Waiting requests by entry router, account and class, and whose turn it is within an account.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use sedgeridge_state::settings::QueueOrder;
use sedgeridge_state::settings::RequestClass;

use crate::pool_messages::PrefixHash;

/// Identifies the requests of one account and class at one entry router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct DemandKey {
    pub(crate) account: usize,
    pub(crate) class: RequestClass,
    pub(crate) router: usize,
}

/// What an entry router last reported for one key.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DemandReport {
    pub(crate) waiting: u32,
    pub(crate) head_cost_tokens: u64,
    pub(crate) head_prefix: Option<PrefixHash>,
}

#[derive(Debug, Default)]
struct DemandEntry {
    report: DemandReport,
    /// Grants that the reported count does not take into account yet.
    unacknowledged: u32,
    listed_turn: Option<u64>,
    turn: u64,
    /// Arrival stamp and number of grantable requests, oldest first; maintained for FIFO order
    /// only.
    arrivals: VecDeque<(u64, u32)>,
}

impl DemandEntry {
    fn grantable(&self) -> u32 {
        self.report.waiting.saturating_sub(self.unacknowledged)
    }

    fn is_empty(&self) -> bool {
        self.report.waiting == 0 && self.unacknowledged == 0
    }

    /// Adjusts the arrival stamps to the number of grantable requests.
    fn update_arrivals(&mut self, stamp: u64) {
        let stamped: u32 = self.arrivals.iter().map(|(_, count)| count).sum();
        let grantable = self.grantable();
        if grantable > stamped {
            self.arrivals.push_back((stamp, grantable - stamped));
            return;
        }
        for _ in grantable..stamped {
            self.drop_oldest_arrival();
        }
    }

    fn drop_oldest_arrival(&mut self) {
        if let Some((_, count)) = self.arrivals.front_mut() {
            *count -= 1;
            if *count == 0 {
                self.arrivals.pop_front();
            }
        }
    }
}

#[derive(Debug, Default)]
struct RouterDemand {
    /// Whether a grant to the router timed out; it gets no further grant until it reports again.
    suspended: bool,
    entries: BTreeMap<(usize, RequestClass), DemandEntry>,
}

/// Routers with grantable requests of one account, by turn; one set for each class.
type Rotation = [BTreeSet<(u64, usize)>; 2];

/// Demand of the whole fleet for one pool.
#[derive(Debug)]
pub(crate) struct DemandTable {
    order: QueueOrder,
    next_turn: u64,
    routers: Vec<RouterDemand>,
    rotations: Vec<Rotation>,
    arrivals: BTreeSet<(u64, DemandKey)>,
    /// Keys whose entries changed since the last [`DemandTable::refresh_changed`].
    changed_keys: Vec<DemandKey>,
}

impl DemandTable {
    pub(crate) fn new(order: QueueOrder) -> Self {
        Self {
            order,
            next_turn: 0,
            routers: Vec::new(),
            rotations: Vec::new(),
            arrivals: BTreeSet::new(),
            changed_keys: Vec::new(),
        }
    }

    pub(crate) fn set_report(&mut self, key: DemandKey, report: DemandReport) {
        self.entry(key).report = report;
        self.note_changed(key);
    }

    /// Counts a grant against the reported requests.
    pub(crate) fn record_grant(&mut self, key: DemandKey) {
        let turn = self.take_turn();
        let entry = self.entry(key);
        entry.unacknowledged += 1;
        entry.turn = turn;
        self.refresh(key);
    }

    /// Stops counting a grant that the router has received, or never will.
    pub(crate) fn record_acknowledgement(&mut self, key: DemandKey) {
        let entry = self.entry(key);
        entry.unacknowledged = entry.unacknowledged.saturating_sub(1);
        self.note_changed(key);
    }

    /// Suspends or resumes the demand of a router; returns the affected accounts.
    pub(crate) fn suspend(&mut self, router: usize, suspended: bool) -> Vec<usize> {
        if self.router(router).suspended == suspended {
            return Vec::new();
        }
        self.routers[router].suspended = suspended;
        let keys = self.keys_of(router);
        self.changed_keys.extend(&keys);
        keys.iter().map(|key| key.account).collect()
    }

    /// Updates the turns for all changes of one event together.
    ///
    /// A report that acknowledges a grant also lowers the count of waiting requests by the granted
    /// one; applied separately, the two changes would look like an arrival and a withdrawal.
    pub(crate) fn refresh_changed(&mut self) {
        let mut changed_keys = std::mem::take(&mut self.changed_keys);
        for key in changed_keys.drain(..) {
            self.refresh(key);
        }
        self.changed_keys = changed_keys;
    }

    /// Removes the demand of a router and returns its accounts.
    pub(crate) fn remove_router(&mut self, router: usize) -> Vec<usize> {
        let keys = self.keys_of(router);
        for key in &keys {
            *self.entry(*key) = DemandEntry {
                listed_turn: self.entry(*key).listed_turn,
                ..DemandEntry::default()
            };
            self.refresh(*key);
        }
        self.router(router).suspended = false;
        keys.iter().map(|key| key.account).collect()
    }

    /// Returns the keys of a router in a fixed order.
    pub(crate) fn keys_of(&mut self, router: usize) -> Vec<DemandKey> {
        let entries = self.router(router).entries.keys();
        entries
            .map(|&(account, class)| DemandKey {
                account,
                class,
                router,
            })
            .collect()
    }

    pub(crate) fn keys_of_account(&mut self, account: usize) -> Vec<DemandKey> {
        let mut keys = Vec::new();
        for router in 0..self.routers.len() {
            for class in [RequestClass::Interactive, RequestClass::Deferred] {
                if self.routers[router].entries.contains_key(&(account, class)) {
                    keys.push(DemandKey {
                        account,
                        class,
                        router,
                    });
                }
            }
        }
        keys
    }

    pub(crate) fn is_backlogged(&self, account: usize) -> bool {
        self.next_key(account).is_some()
    }

    /// Returns the next key of an account: interactive requests first, then routers in turn.
    ///
    /// A router goes to the end of the turns with each grant. Serving the longest queue first would
    /// let one busy router keep the account's callers at quiet routers waiting.
    pub(crate) fn next_key(&self, account: usize) -> Option<DemandKey> {
        let rotation = self.rotations.get(account)?;
        [RequestClass::Interactive, RequestClass::Deferred]
            .into_iter()
            .find_map(|class| {
                let &(_, router) = rotation[class as usize].first()?;
                Some(DemandKey {
                    account,
                    class,
                    router,
                })
            })
    }

    /// Returns the key with the longest waiting request; maintained for FIFO order only.
    pub(crate) fn oldest(&self) -> Option<DemandKey> {
        self.arrivals.first().map(|(_, key)| *key)
    }

    /// Returns what was reported for a key.
    pub(crate) fn reported(&self, key: DemandKey) -> DemandReport {
        let entry = self.routers[key.router]
            .entries
            .get(&(key.account, key.class));
        entry.map(|entry| entry.report).unwrap_or_default()
    }

    fn note_changed(&mut self, key: DemandKey) {
        if self.changed_keys.last() != Some(&key) {
            self.changed_keys.push(key);
        }
    }

    fn take_turn(&mut self) -> u64 {
        self.next_turn += 1;
        self.next_turn
    }

    fn router(&mut self, router: usize) -> &mut RouterDemand {
        if self.routers.len() <= router {
            self.routers.resize_with(router + 1, RouterDemand::default);
        }
        &mut self.routers[router]
    }

    fn entry(&mut self, key: DemandKey) -> &mut DemandEntry {
        let entries = &mut self.router(key.router).entries;
        entries.entry((key.account, key.class)).or_default()
    }

    /// Lists or unlists a key after its entry changed, and drops an empty entry.
    fn refresh(&mut self, key: DemandKey) {
        let fifo = self.order == QueueOrder::Fifo;
        let stamp = self.take_turn();
        let suspended = self.router(key.router).suspended;
        let entry = self.entry(key);
        if fifo {
            entry.update_arrivals(stamp);
        }
        if entry.listed_turn.is_none() && entry.turn == 0 {
            entry.turn = stamp;
        }
        let listing_turn = entry
            .arrivals
            .front()
            .map_or(entry.turn, |(stamp, _)| *stamp);
        let new_turn = (entry.grantable() > 0 && !suspended).then_some(listing_turn);
        let old_turn = std::mem::replace(&mut entry.listed_turn, new_turn);
        if entry.is_empty() {
            self.routers[key.router]
                .entries
                .remove(&(key.account, key.class));
        }
        if old_turn != new_turn {
            self.update_listing(key, old_turn, new_turn);
        }
    }

    fn update_listing(&mut self, key: DemandKey, old_turn: Option<u64>, new_turn: Option<u64>) {
        if self.rotations.len() <= key.account {
            self.rotations
                .resize_with(key.account + 1, Rotation::default);
        }
        let rotation = &mut self.rotations[key.account][key.class as usize];
        if let Some(listing_turn) = old_turn {
            rotation.remove(&(listing_turn, key.router));
            self.arrivals.remove(&(listing_turn, key));
        }
        if let Some(listing_turn) = new_turn {
            rotation.insert((listing_turn, key.router));
            if self.order == QueueOrder::Fifo {
                self.arrivals.insert((listing_turn, key));
            }
        }
    }
}
