//! Accounts at the home of a pool: weight, service, tag, and their position in the fair order.

use sedgeridge_state::ids::AccountId;

use crate::fair_order::FairOrder;
use crate::fair_order::OrderKey;
use crate::fair_order::Tag;
use crate::name_index::NameIndex;
use crate::pool_home::AccountWeight;
use crate::service_ledger::ServiceLedger;

#[derive(Debug)]
struct Account {
    id: AccountId,
    weight: u32,
    configured: bool,
    /// Position among all accounts by name; breaks ties between equal tags.
    rank: u32,
    base_tag: Tag,
    /// Service of the account when its tag was `base_tag`.
    base_service_tokens: i64,
    /// Estimated cost of grants and holdings that have not ended.
    in_progress_tokens: u64,
    /// Tag of the account in the fair order; `None` while it is not backlogged.
    listed_tag: Option<Tag>,
}

/// All accounts. Indices stay valid when the configuration changes.
#[derive(Debug, Default)]
pub(crate) struct AccountTable {
    accounts: Vec<Account>,
    by_id: NameIndex<AccountId>,
    order: FairOrder,
    ledger: ServiceLedger,
}

impl AccountTable {
    /// Applies the configured weights and returns the accounts that are no longer configured.
    pub(crate) fn configure(&mut self, weights: &[AccountWeight]) -> Vec<usize> {
        let was_configured = self.take_configured();
        for configured in weights {
            let index = self.find_or_add(&configured.account);
            self.set_weight(index, configured.weight);
            self.accounts[index].configured = true;
        }
        self.update_ranks();
        was_configured
            .into_iter()
            .filter(|index| !self.accounts[*index].configured)
            .collect()
    }

    fn take_configured(&mut self) -> Vec<usize> {
        let configured = (0..self.accounts.len()).filter(|index| self.accounts[*index].configured);
        let configured: Vec<usize> = configured.collect();
        for index in &configured {
            self.accounts[*index].configured = false;
        }
        configured
    }

    fn find_or_add(&mut self, id: &AccountId) -> usize {
        if let Some(index) = self.by_id.find(id) {
            return index;
        }
        let index = self.accounts.len();
        self.accounts.push(Account {
            id: id.clone(),
            weight: 1,
            configured: false,
            rank: 0,
            base_tag: Tag::default(),
            base_service_tokens: 0,
            in_progress_tokens: 0,
            listed_tag: None,
        });
        self.by_id.insert(id.clone(), index);
        index
    }

    /// Changes a weight for future service.
    ///
    /// Dividing all past service by a new weight would move the tag by years of service at once: an
    /// account whose weight is doubled would block all others until its tag caught up.
    fn set_weight(&mut self, index: usize, weight: u32) {
        if self.accounts[index].weight == weight {
            return;
        }
        let tag = self.tag(index);
        self.rebase(index, tag);
        self.accounts[index].weight = weight;
    }

    fn update_ranks(&mut self) {
        self.order.clear();
        let mut by_rank: Vec<usize> = (0..self.accounts.len()).collect();
        let accounts = &self.accounts;
        by_rank.sort_unstable_by(|left, right| accounts[*left].id.cmp(&accounts[*right].id));
        for (rank, index) in by_rank.into_iter().enumerate() {
            let account = &mut self.accounts[index];
            account.rank = rank as u32;
            if let Some(tag) = account.listed_tag {
                self.order.insert(order_key(tag, account.rank, index));
            }
        }
    }

    /// Finds an account, even one that is no longer configured.
    pub(crate) fn find(&self, id: &AccountId) -> Option<usize> {
        self.by_id.find(id)
    }

    pub(crate) fn find_configured(&self, id: &AccountId) -> Option<usize> {
        self.find(id)
            .filter(|index| self.accounts[*index].configured)
    }

    pub(crate) fn id(&self, account: usize) -> &AccountId {
        &self.accounts[account].id
    }

    pub(crate) fn ledger(&self) -> &ServiceLedger {
        &self.ledger
    }

    /// Starts the counters of a router run; service that it reports from before moves no tag.
    ///
    /// A run that returns after a partition was served by another home meanwhile. Charging an hour
    /// of that service at once would starve its accounts until all others caught up.
    pub(crate) fn admit_run(&mut self, router: usize, totals: impl Iterator<Item = (usize, u64)>) {
        self.ledger.admit_run(router, totals);
    }

    pub(crate) fn close_run(&mut self, router: usize) {
        self.ledger.close_run(router);
    }

    pub(crate) fn merge_served(&mut self, router: usize, account: usize, total_tokens: u64) {
        self.ledger.merge(router, account, total_tokens);
    }

    /// Charges the estimate of a grant or holding.
    pub(crate) fn charge(&mut self, account: usize, estimate_tokens: u64) {
        self.accounts[account].in_progress_tokens += estimate_tokens;
    }

    /// Removes an estimate that changed or whose grant ended.
    pub(crate) fn refund(&mut self, account: usize, estimate_tokens: u64) {
        self.accounts[account].in_progress_tokens -= estimate_tokens;
    }

    pub(crate) fn tag(&self, index: usize) -> Tag {
        let account = &self.accounts[index];
        let service_tokens = self.service_tokens(index) - account.base_service_tokens;
        account.base_tag.advanced(service_tokens, account.weight)
    }

    fn service_tokens(&self, index: usize) -> i64 {
        let settled_tokens = self.ledger.received_tokens(index);
        let in_progress_tokens = self.accounts[index].in_progress_tokens;
        i64::try_from(settled_tokens + in_progress_tokens).unwrap_or(i64::MAX)
    }

    fn rebase(&mut self, index: usize, tag: Tag) {
        self.accounts[index].base_service_tokens = self.service_tokens(index);
        self.accounts[index].base_tag = tag;
    }

    /// Updates the positions of `changed` accounts in the order.
    ///
    /// The tags of newly backlogged accounts are raised to the minimum of those that were
    /// backlogged before, so that idle time gives no credit. All accounts of one event start from
    /// the same minimum; if they were added one by one, the tag of the first would raise that of
    /// the second. A tag above the minimum stays, so an account whose requests arrive one by one is
    /// charged only for these.
    pub(crate) fn refresh(&mut self, changed: &[usize], is_backlogged: impl Fn(usize) -> bool) {
        self.order.remember_minimum();
        let mut newly_backlogged = Vec::new();
        for &index in changed {
            let backlogged = is_backlogged(index);
            if backlogged && self.accounts[index].listed_tag.is_none() {
                newly_backlogged.push(index);
                continue;
            }
            self.set_listed_tag(index, backlogged.then(|| self.tag(index)));
        }
        let floor = self.order.floor();
        for index in newly_backlogged {
            let tag = self.tag(index);
            if tag < floor {
                self.rebase(index, floor);
            }
            self.set_listed_tag(index, Some(tag.max(floor)));
        }
    }

    fn set_listed_tag(&mut self, index: usize, tag: Option<Tag>) {
        let account = &mut self.accounts[index];
        let listed = std::mem::replace(&mut account.listed_tag, tag);
        if listed == tag {
            return;
        }
        if let Some(listed) = listed {
            self.order.remove(order_key(listed, account.rank, index));
        }
        if let Some(tag) = tag {
            self.order.insert(order_key(tag, account.rank, index));
        }
    }

    /// Returns the backlogged account with the lowest tag.
    pub(crate) fn next(&self) -> Option<usize> {
        self.order.first().map(|account| account as usize)
    }
}

fn order_key(tag: Tag, rank: u32, index: usize) -> OrderKey {
    OrderKey {
        tag,
        rank,
        account: index as u32,
    }
}
