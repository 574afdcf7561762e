//! Checks the counters of a report before anything of it is applied.

use crate::home_counters::RejectionReason;
use crate::pool_messages::EntryReport;

/// Most requests of one account and class that one router may claim to hold.
const MAX_WAITING: u32 = 1 << 20;
/// Largest cost of one request.
const MAX_COST_TOKENS: u64 = 1 << 32;
/// Largest settled service of one account through one run: months of all that the fleet designed
/// for can give.
const MAX_TOTAL_TOKENS: u64 = 1 << 46;
/// Most grants in use at one router.
const MAX_HOLDINGS: usize = 1 << 16;

/// Refuses counters that no working router can have reached.
///
/// One such counter would move a tag so far that its account, or everybody else, waits for good.
pub(crate) fn check_counters(report: &EntryReport) -> Result<(), RejectionReason> {
    let demand_ok = report
        .demand
        .iter()
        .all(|demand| demand.waiting <= MAX_WAITING && demand.head_cost_tokens <= MAX_COST_TOKENS);
    let holdings_ok = report.holdings.len() <= MAX_HOLDINGS
        && report
            .holdings
            .iter()
            .all(|holding| holding.estimate_tokens <= MAX_COST_TOKENS);
    let served_ok = report
        .served
        .iter()
        .all(|served| served.total_tokens <= MAX_TOTAL_TOKENS);
    if demand_ok && holdings_ok && served_ok {
        Ok(())
    } else {
        Err(RejectionReason::AbsurdCounter)
    }
}
