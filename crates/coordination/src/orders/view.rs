//! Read access to the orders in progress.

use std::collections::BTreeSet;

use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::order_record::OrderRecord;

use crate::orders::Orders;
use crate::orders::job::Stage;

/// An order in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpenOrder<'a> {
    /// The order.
    pub record: &'a OrderRecord,
    /// Name of the step that it is in.
    pub stage: &'static str,
}

impl Orders {
    /// Lists the orders in progress, by endpoint.
    ///
    /// ```
    /// use sedgeridge_coordination::order_events::OrderSettings;
    /// use sedgeridge_coordination::orders::Orders;
    ///
    /// assert_eq!(Orders::new(OrderSettings::default()).open_orders().count(), 0);
    /// ```
    pub fn open_orders(&self) -> impl Iterator<Item = OpenOrder<'_>> {
        self.jobs.values().map(|job| OpenOrder {
            record: &job.record,
            stage: job.stage.label(),
        })
    }

    /// Lists the endpoints that are drained for an order.
    ///
    /// ```
    /// use sedgeridge_coordination::order_events::OrderSettings;
    /// use sedgeridge_coordination::orders::Orders;
    ///
    /// assert!(Orders::new(OrderSettings::default()).drained_endpoints().is_empty());
    /// ```
    pub fn drained_endpoints(&self) -> &BTreeSet<EndpointId> {
        self.pools.drained()
    }

    /// Lists the endpoints whose load reports are needed: those of each pool from which an order in
    /// progress takes an endpoint. Reading all 2,200 of a large fleet would cost more than the
    /// orders.
    ///
    /// ```
    /// use sedgeridge_coordination::order_events::OrderSettings;
    /// use sedgeridge_coordination::orders::Orders;
    ///
    /// assert!(Orders::new(OrderSettings::default()).watched_endpoints().is_empty());
    /// ```
    pub fn watched_endpoints(&self) -> BTreeSet<EndpointId> {
        let draining_jobs = self
            .jobs
            .iter()
            .filter(|(_, j)| j.record.order.requires_idle_engine());
        draining_jobs
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
