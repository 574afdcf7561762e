//! Checks the counters of a report before anything of it is applied.

use crate::home_counters::RejectionReason;
use crate::pool_messages::EntryReport;

/// Most waiting requests of one account and class at one router.
const MAX_WAITING: u32 = 1 << 20;
/// Largest cost of one request.
const MAX_COST_TOKENS: u64 = 1 << 32;
/// Largest settled service of one account through one run: months of the total capacity of a fleet
/// of the design size.
const MAX_SERVED_TOKENS: u64 = 1 << 46;
/// Most grants in use at one router.
const MAX_HOLDINGS: usize = 1 << 16;

/// Refuses counters that no working router can have reached.
///
/// One such counter could move a tag so far that its account, or all others, would wait forever.
pub(crate) fn check_counters(report: &EntryReport) -> Result<(), RejectionReason> {
    let is_demand_valid = report
        .demand
        .iter()
        .all(|demand| demand.waiting <= MAX_WAITING && demand.head_cost_tokens <= MAX_COST_TOKENS);
    let are_holdings_valid = report.holdings.len() <= MAX_HOLDINGS
        && report
            .holdings
            .iter()
            .all(|holding| holding.estimate_tokens <= MAX_COST_TOKENS);
    let is_served_valid = report
        .served
        .iter()
        .all(|served| served.total_tokens <= MAX_SERVED_TOKENS);
    if is_demand_valid && are_holdings_valid && is_served_valid {
        Ok(())
    } else {
        Err(RejectionReason::AbsurdCounter)
    }
}
