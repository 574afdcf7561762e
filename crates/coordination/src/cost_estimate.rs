//! Estimates what a request will cost, from its hint and from what the account's requests cost
//! before.

use std::collections::BTreeMap;

use sedgeridge_state::ids::AccountId;

/// Fixed-point one: ratios are kept in 1/1024.
const RATIO_ONE: u64 = 1_024;
/// Weight of the newest observation, as a divisor.
const LEARNING_DIVISOR: u64 = 8;
/// Bounds of a learnt ratio, so that one odd request cannot spoil the estimate.
const RATIO_RANGE: std::ops::RangeInclusive<u64> = (RATIO_ONE / 64)..=(RATIO_ONE * 64);

/// Learnt ratio of actual cost to hint, for each client account.
///
/// ```
/// use sedgeridge_coordination::cost_estimate::CostEstimates;
///
/// let mut estimates = CostEstimates::default();
/// let account = "crew-07".into();
/// assert_eq!(estimates.estimate(&account, 100), 100);
/// for _ in 0..100 {
///     estimates.learn(&account, 100, 50);
/// }
/// assert!(estimates.estimate(&account, 100) < 60);
/// ```
#[derive(Debug, Default)]
pub struct CostEstimates {
    ratios: BTreeMap<AccountId, u64>,
}

impl CostEstimates {
    /// Returns the expected cost of a request, at least one token.
    pub fn estimate(&self, account: &AccountId, hint_tokens: u64) -> u64 {
        let ratio = self.ratios.get(account).copied().unwrap_or(RATIO_ONE);
        (hint_tokens.saturating_mul(ratio) / RATIO_ONE).max(1)
    }

    /// Learns from a finished request.
    pub fn learn(&mut self, account: &AccountId, hint_tokens: u64, charged_tokens: u64) {
        let seen = charged_tokens.saturating_mul(RATIO_ONE) / hint_tokens.max(1);
        let seen = seen.clamp(*RATIO_RANGE.start(), *RATIO_RANGE.end());
        let ratio = self.ratios.entry(account.clone()).or_insert(RATIO_ONE);
        *ratio = (*ratio * (LEARNING_DIVISOR - 1) + seen) / LEARNING_DIVISOR;
    }
}
