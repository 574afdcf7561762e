//! Estimates the cost of a request from its hint and from the cost of earlier requests of the
//! account.

use std::collections::BTreeMap;

use sedgeridge_state::ids::AccountId;

/// The ratio 1 in fixed point: ratios are kept in units of 1/1024.
const RATIO_ONE: u64 = 1_024;
/// Divisor that gives the weight of the newest observation.
const LEARNING_DIVISOR: u64 = 8;
/// Bounds of an observed ratio, so that one unusual request cannot distort the estimate.
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
        let observed = charged_tokens.saturating_mul(RATIO_ONE) / hint_tokens.max(1);
        let observed = observed.clamp(*RATIO_RANGE.start(), *RATIO_RANGE.end());
        let ratio = self.ratios.entry(account.clone()).or_insert(RATIO_ONE);
        *ratio = (*ratio * (LEARNING_DIVISOR - 1) + observed) / LEARNING_DIVISOR;
    }
}
