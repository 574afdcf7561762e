//! Waiting requests by entry router, account and class, and whose turn it is within an account.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use sedgeridge_state::settings::QueueOrder;
use sedgeridge_state::settings::RequestClass;

use crate::pool_messages::PrefixHash;

/// Whose requests a grant is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct DemandKey {
    pub(crate) account: usize,
    pub(crate) class: RequestClass,
    pub(crate) router: usize,
}

/// What an entry router said of the requests behind one key.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DemandReport {
    pub(crate) waiting: u32,
    pub(crate) head_cost_tokens: u64,
    pub(crate) head_prefix: Option<PrefixHash>,
}

#[derive(Debug, Default)]
struct Cell {
    report: DemandReport,
    /// Grants that the reported count does not take into account yet.
    unacknowledged: u32,
    listed_at: Option<u64>,
    turn: u64,
    /// Arrival stamps of the requests that may be granted, in runs; kept for FIFO order only.
    arrivals: VecDeque<(u64, u32)>,
}

impl Cell {
    fn grantable(&self) -> u32 {
        self.report.waiting.saturating_sub(self.unacknowledged)
    }

    fn is_empty(&self) -> bool {
        self.report.waiting == 0 && self.unacknowledged == 0
    }

    /// Keeps as many arrival stamps as there are requests to grant.
    fn stamp_arrivals(&mut self, stamp: u64) {
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
    /// Nothing is granted to a router that lets grants time out, until it reports again.
    suspended: bool,
    cells: BTreeMap<(usize, RequestClass), Cell>,
}

/// Keys of one account that can be granted, by turn.
type Rotation = [BTreeSet<(u64, usize)>; 2];

/// Demand of the whole fleet for one pool.
#[derive(Debug)]
pub(crate) struct DemandTable {
    order: QueueOrder,
    next_turn: u64,
    routers: Vec<RouterDemand>,
    rotations: Vec<Rotation>,
    arrivals: BTreeSet<(u64, DemandKey)>,
    /// Keys whose cells changed since the last [`DemandTable::refresh_changed`].
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

    pub(crate) fn report(&mut self, key: DemandKey, report: DemandReport) {
        self.cell(key).report = report;
        self.note_changed(key);
    }

    /// Counts a grant against the reported requests.
    pub(crate) fn record_grant(&mut self, key: DemandKey) {
        let turn = self.take_turn();
        let cell = self.cell(key);
        cell.unacknowledged += 1;
        cell.turn = turn;
        self.refresh(key);
    }

    /// The router has seen the grant, or never will.
    pub(crate) fn record_acknowledgement(&mut self, key: DemandKey) {
        let cell = self.cell(key);
        cell.unacknowledged = cell.unacknowledged.saturating_sub(1);
        self.note_changed(key);
    }

    /// Withholds a router's demand, or offers it again; returns the accounts that this concerns.
    pub(crate) fn suspend(&mut self, router: usize, suspended: bool) -> Vec<usize> {
        if self.router(router).suspended == suspended {
            return Vec::new();
        }
        self.routers[router].suspended = suspended;
        let keys = self.keys_of(router);
        self.changed_keys.extend(&keys);
        keys.iter().map(|key| key.account).collect()
    }

    /// Brings the turns up to date with all changes of one event at once.
    ///
    /// A report acknowledges a grant and lowers the count of waiting requests by the same one;
    /// taken one after the other these would look like an arrival and a withdrawal.
    pub(crate) fn refresh_changed(&mut self) {
        let mut changed_keys = std::mem::take(&mut self.changed_keys);
        for key in changed_keys.drain(..) {
            self.refresh(key);
        }
        self.changed_keys = changed_keys;
    }

    /// Forgets a router and returns the accounts that waited there.
    pub(crate) fn remove_router(&mut self, router: usize) -> Vec<usize> {
        let keys = self.keys_of(router);
        for key in &keys {
            *self.cell(*key) = Cell {
                listed_at: self.cell(*key).listed_at,
                ..Cell::default()
            };
            self.refresh(*key);
        }
        self.router(router).suspended = false;
        keys.iter().map(|key| key.account).collect()
    }

    /// Returns the keys of a router in a fixed order.
    pub(crate) fn keys_of(&mut self, router: usize) -> Vec<DemandKey> {
        let cells = self.router(router).cells.keys();
        cells
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
                if self.routers[router].cells.contains_key(&(account, class)) {
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

    /// Returns whose request of an account is next: interactive ones first, then routers in turn.
    ///
    /// A router that was granted goes to the end of the turns. Serving the longest queue first
    /// instead would let one busy router keep the account's callers at quiet routers waiting.
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

    /// Returns the key that has waited longest of all; kept for FIFO order only.
    pub(crate) fn oldest(&self) -> Option<DemandKey> {
        self.arrivals.first().map(|(_, key)| *key)
    }

    /// Returns what was reported for a key.
    pub(crate) fn reported(&self, key: DemandKey) -> DemandReport {
        let cell = self.routers[key.router]
            .cells
            .get(&(key.account, key.class));
        cell.map(|cell| cell.report).unwrap_or_default()
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

    fn cell(&mut self, key: DemandKey) -> &mut Cell {
        let cells = &mut self.router(key.router).cells;
        cells.entry((key.account, key.class)).or_default()
    }

    /// Lists or unlists a key after its cell changed, and drops an empty cell.
    fn refresh(&mut self, key: DemandKey) {
        let fifo = self.order == QueueOrder::Fifo;
        let stamp = self.take_turn();
        let suspended = self.router(key.router).suspended;
        let cell = self.cell(key);
        if fifo {
            cell.stamp_arrivals(stamp);
        }
        if cell.listed_at.is_none() && cell.turn == 0 {
            cell.turn = stamp;
        }
        let place = cell.arrivals.front().map_or(cell.turn, |(stamp, _)| *stamp);
        let wanted = (cell.grantable() > 0 && !suspended).then_some(place);
        let listed = std::mem::replace(&mut cell.listed_at, wanted);
        if cell.is_empty() {
            self.routers[key.router]
                .cells
                .remove(&(key.account, key.class));
        }
        if listed != wanted {
            self.relist(key, listed, wanted);
        }
    }

    fn relist(&mut self, key: DemandKey, listed: Option<u64>, wanted: Option<u64>) {
        if self.rotations.len() <= key.account {
            self.rotations
                .resize_with(key.account + 1, Rotation::default);
        }
        let rotation = &mut self.rotations[key.account][key.class as usize];
        if let Some(place) = listed {
            rotation.remove(&(place, key.router));
            self.arrivals.remove(&(place, key));
        }
        if let Some(place) = wanted {
            rotation.insert((place, key.router));
            if self.order == QueueOrder::Fifo {
                self.arrivals.insert((place, key));
            }
        }
    }
}
