//! What others may know of the orders under way.

use std::collections::BTreeSet;

use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::order_record::OrderRecord;

use crate::orders::Orders;
use crate::orders::job::Stage;

/// An order under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpenOrder<'a> {
    /// The order.
    pub record: &'a OrderRecord,
    /// What it waits for.
    pub stage: &'static str,
}

impl Orders {
    /// Lists the orders under way, by endpoint.
    ///
    /// ```
    /// use sedgeridge_coordination::order_events::OrderSettings;
    /// use sedgeridge_coordination::orders::Orders;
    ///
    /// assert_eq!(Orders::new(OrderSettings::default()).open().count(), 0);
    /// ```
    pub fn open(&self) -> impl Iterator<Item = OpenOrder<'_>> {
        self.jobs.values().map(|job| OpenOrder {
            record: &job.record,
            stage: job.stage.label(),
        })
    }

    /// Lists the endpoints that get no new work for the sake of an order.
    ///
    /// ```
    /// use sedgeridge_coordination::order_events::OrderSettings;
    /// use sedgeridge_coordination::orders::Orders;
    ///
    /// assert!(Orders::new(OrderSettings::default()).drained().is_empty());
    /// ```
    pub fn drained(&self) -> &BTreeSet<EndpointId> {
        self.pools.drained()
    }

    /// Lists the endpoints whose load reports are needed: those of the pools that an order under
    /// way takes an endpoint from. Reading all 2,200 of a large fleet would cost more than the
    /// orders.
    ///
    /// ```
    /// use sedgeridge_coordination::order_events::OrderSettings;
    /// use sedgeridge_coordination::orders::Orders;
    ///
    /// assert!(Orders::new(OrderSettings::default()).followed().is_empty());
    /// ```
    pub fn followed(&self) -> BTreeSet<EndpointId> {
        let interrupting = self
            .jobs
            .iter()
            .filter(|(_, j)| j.record.order.requires_idle_engine());
        interrupting
            .flat_map(|(endpoint, _)| self.pools.pool_of(endpoint))
            .cloned()
            .collect()
    }
}

impl Stage {
    fn label(self) -> &'static str {
        match self {
            Self::WritingIntent => "writing_intent",
            Self::AwaitingFloor => "awaiting_floor",
            Self::Draining { .. } => "draining",
            Self::AwaitingSend => "awaiting_send",
            Self::Sent { .. } => "sent",
            Self::AwaitingReadBack { .. } => "awaiting_read_back",
            Self::WritingEnd => "writing_end",
        }
    }
}
