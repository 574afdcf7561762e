//! Reads the rows of orders from the table.

use std::time::Duration;

use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::order_record::ORDER_PREFIX;
use sedgeridge_state::order_record::order_key;
use sedgeridge_state::settings::millis;

use crate::order_events::OrderAction;
use crate::orders::CallPurpose;
use crate::orders::Orders;
use crate::store_call::StoreAction;
use crate::store_call::StoreQuery;

impl Orders {
    /// Reads all orders at the start and at a long interval, and in between those that changed.
    ///
    /// The first read may have been stale, and an intent that it missed would wait for the next
    /// change of holder. Polls alone can miss it too, if a row read since then has a higher
    /// version.
    pub(super) fn read_orders(&mut self, now: Duration, actions: &mut Vec<OrderAction>) {
        if self.next_full_read_at <= now {
            self.next_full_read_at = now + millis(self.settings.rescan_interval_ms);
            self.read_after(0, CallPurpose::FullRead, now, actions);
        } else if self.latest.is_some() && self.next_poll_at <= now {
            self.read_after(self.read_version, CallPurpose::Poll, now, actions);
        }
    }

    fn read_after(
        &mut self,
        after_version: u64,
        purpose: CallPurpose,
        now: Duration,
        actions: &mut Vec<OrderAction>,
    ) {
        self.next_poll_at = now + millis(self.settings.poll_interval_ms);
        let call = self.begin_call(purpose);
        let query = StoreQuery::Prefix {
            prefix: ORDER_PREFIX.into(),
            after_version,
        };
        actions.push(OrderAction::Store(StoreAction::Read { call, query }));
    }

    pub(super) fn read_row(&mut self, endpoint: &EndpointId, actions: &mut Vec<OrderAction>) {
        let call = self.begin_call(CallPurpose::ReadBack(endpoint.clone()));
        let query = StoreQuery::Keys(vec![order_key(endpoint)]);
        actions.push(OrderAction::Store(StoreAction::Read { call, query }));
    }
}
