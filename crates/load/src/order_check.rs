//! Checks from the ledgers of engines that orders took effect in order.

use std::collections::HashMap;
use std::collections::HashSet;

use sedgeridge_protocol::ledger::OrderRecord;

use crate::operators::ORDER_SUBJECT_PREFIX;

/// Numbers of orders by effect.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OrderCounts {
    /// Different orders that took effect.
    pub in_effect: u64,
    /// How often an order took effect after a newer one or under a superseded fencing number.
    pub stale: u64,
}

/// Counts orders over the ledgers of all engines, each in order of time.
///
/// An order may reach its engine twice, since unloading an adapter twice changes nothing. An older
/// order must not take effect after a newer one of the same engine.
///
/// ```
/// use sedgeridge_load::order_check::OrderCounts;
/// use sedgeridge_load::order_check::count;
/// assert_eq!(count(&[]), OrderCounts::default());
/// ```
pub fn count(orders: &[OrderRecord]) -> OrderCounts {
    let mut newest: HashMap<&str, (u64, u64)> = HashMap::new();
    let mut obeyed = HashSet::new();
    let mut stale = 0;
    for order in orders.iter().filter(|order| order.accepted) {
        let number = order.order.target.strip_prefix(ORDER_SUBJECT_PREFIX);
        let Some(number) = number.and_then(|digits| digits.parse::<u64>().ok()) else {
            continue;
        };
        obeyed.insert(number);
        let (last_number, last_fencing) = newest.entry(&order.endpoint).or_default();
        let superseded = order.order.fencing < *last_fencing;
        stale += u64::from(superseded || number < *last_number);
        *last_number = number.max(*last_number);
        *last_fencing = order.order.fencing.max(*last_fencing);
    }
    OrderCounts {
        in_effect: obeyed.len() as u64,
        stale,
    }
}
