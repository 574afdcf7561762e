//! Memory for the bodies of waiting and running requests, shared by client accounts.

use std::collections::BTreeMap;
use std::sync::Mutex;

use sedgeridge_state::ids::AccountId;
use sedgeridge_state::settings::FrontSettings;

use crate::byte_budget::ByteBudget;

/// Fewest accounts in the table at which unused budgets are removed.
const MIN_SWEEP_LEN: usize = 64;

/// Limits on the bytes of bodies that a router keeps in memory, in total and for each client account.
///
/// Without the limit for each account, an account that floods the router with long requests would cause the
/// requests of all others to be refused.
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
    total: ByteBudget,
    max_account_bytes: u64,
    accounts: Mutex<Accounts>,
}

#[derive(Debug)]
struct Accounts {
    budgets: BTreeMap<AccountId, ByteBudget>,
    sweep_len: usize,
}

impl HeldBodies {
    /// Creates the limits with nothing reserved.
    pub fn new(limits: &FrontSettings) -> Self {
        Self {
            total: ByteBudget::new(limits.max_held_body_bytes),
            max_account_bytes: limits.max_held_body_bytes_per_account,
            accounts: Mutex::new(Accounts {
                budgets: BTreeMap::new(),
                sweep_len: MIN_SWEEP_LEN,
            }),
        }
    }

    /// Returns the budget of an account.
    pub fn account_budget(&self, account: &AccountId) -> ByteBudget {
        let mut accounts = self.accounts.lock().expect("no holder panics");
        if let Some(budget) = accounts.budgets.get(account) {
            return budget.clone();
        }
        accounts.sweep();
        let budget = self.total.sub_budget(self.max_account_bytes);
        accounts.budgets.insert(account.clone(), budget.clone());
        budget
    }
}

impl Accounts {
    /// Removes unused budgets each time that the number of budgets has doubled. Accounts come and go, and the
    /// number of their budgets has no other bound.
    fn sweep(&mut self) {
        if self.budgets.len() < self.sweep_len {
            return;
        }
        self.budgets.retain(|_, budget| budget.is_in_use());
        self.sweep_len = MIN_SWEEP_LEN.max(self.budgets.len() * 2);
    }
}
