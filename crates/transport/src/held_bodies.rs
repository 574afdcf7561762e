//! Memory for the bodies of requests that wait and run, shared by client accounts.

use std::collections::BTreeMap;
use std::sync::Mutex;

use sedgeridge_state::ids::AccountId;
use sedgeridge_state::settings::FrontSettings;

use crate::byte_budget::ByteBudget;

/// Fewest accounts on record at which those that hold nothing are forgotten.
const MIN_SWEEP_LEN: usize = 64;

/// What a router may hold of bodies, in all and of each client account.
///
/// Without the accounts' parts, one that floods the router with long requests has those of all others
/// refused.
///
/// ```
/// use sedgeridge_state::settings::FrontSettings;
/// use sedgeridge_transport::held_bodies::HeldBodies;
///
/// let bodies = HeldBodies::new(&FrontSettings::default());
/// let flood = bodies.account_budget(&"crew-07".into());
/// let held = flood.reserve(8 << 20).expect("its whole part");
/// assert!(bodies.account_budget(&"crew-07".into()).reserve(1).is_none());
/// assert!(bodies.account_budget(&"crew-08".into()).reserve(1).is_some());
/// # drop(held);
/// ```
#[derive(Debug)]
pub struct HeldBodies {
    all: ByteBudget,
    max_account_bytes: u64,
    accounts: Mutex<Accounts>,
}

#[derive(Debug)]
struct Accounts {
    budgets: BTreeMap<AccountId, ByteBudget>,
    sweep_len: usize,
}

impl HeldBodies {
    /// Creates a record of which nothing is held.
    pub fn new(limits: &FrontSettings) -> Self {
        Self {
            all: ByteBudget::new(limits.max_held_body_bytes),
            max_account_bytes: limits.max_held_body_bytes_per_account,
            accounts: Mutex::new(Accounts {
                budgets: BTreeMap::new(),
                sweep_len: MIN_SWEEP_LEN,
            }),
        }
    }

    /// Returns the part of an account.
    pub fn account_budget(&self, account: &AccountId) -> ByteBudget {
        let mut accounts = self.accounts.lock().expect("no holder panics");
        if let Some(budget) = accounts.budgets.get(account) {
            return budget.clone();
        }
        accounts.sweep();
        let budget = self.all.sub_budget(self.max_account_bytes);
        accounts.budgets.insert(account.clone(), budget.clone());
        budget
    }
}

impl Accounts {
    /// Forgets accounts that hold nothing, each time that as many again are on record: accounts come
    /// and go, and their number has no other bound.
    fn sweep(&mut self) {
        if self.budgets.len() < self.sweep_len {
            return;
        }
        self.budgets.retain(|_, budget| budget.is_in_use());
        self.sweep_len = MIN_SWEEP_LEN.max(self.budgets.len() * 2);
    }
}
