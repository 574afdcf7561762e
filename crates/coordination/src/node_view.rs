//! Snapshots of a router's state for operators.

use std::time::Duration;

use sedgeridge_state::ids::AccountId;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::PoolId;

use crate::entry_pool::EntryPool;
use crate::homed_pool::HomedPool;
use crate::node::Node;
use crate::slot_budget::EndpointLoad;

/// Condition of an endpoint as known to its home.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointCondition {
    /// The endpoint takes work.
    Serving,
    /// The endpoint failed too often and gets no work, or a single trial request.
    Ejected,
    /// The endpoint finishes its work and takes no more.
    Leaving,
}

/// A load report and its age.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReportView {
    /// The report.
    pub load: EndpointLoad,
    /// Age of its figures.
    pub age: Duration,
}

/// An endpoint of a pool homed on this router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointView {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its condition.
    pub condition: EndpointCondition,
    /// Number of requests that the fleet may hold on it.
    pub usable_slots: u32,
    /// Number of requests that the fleet holds on it.
    pub occupied_slots: u32,
    /// Its last load report.
    pub load_report: Option<LoadReportView>,
}

/// The requests of a client account for one pool on this router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AccountView {
    /// The account.
    pub account: AccountId,
    /// The pool.
    pub pool: PoolId,
    /// Number of requests that wait on this router.
    pub waiting_requests: u32,
    /// Number of running requests that this router started.
    pub running_requests: u32,
    /// Service given through this router since it started.
    pub served_tokens: u64,
}

impl Node {
    /// Returns the endpoints of the pools homed on this router.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_coordination::node::Node;
    /// use sedgeridge_state::ids::{Incarnation, Member};
    /// use sedgeridge_state::settings::Settings;
    ///
    /// let member = Member { host: "router-1".into(), incarnation: Incarnation(1) };
    /// let node = Node::new(member, Settings::default(), 42);
    /// assert!(node.endpoint_views(Duration::ZERO).is_empty());
    /// ```
    pub fn endpoint_views(&self, now: Duration) -> Vec<EndpointView> {
        let homes = self.homes.values();
        homes.flat_map(|home| home.endpoint_views(now)).collect()
    }

    /// Returns the client accounts with waiting, running or served requests on this router, by
    /// pool.
    ///
    /// ```
    /// use sedgeridge_coordination::node::Node;
    /// use sedgeridge_state::ids::{Incarnation, Member};
    /// use sedgeridge_state::settings::Settings;
    ///
    /// let member = Member { host: "router-1".into(), incarnation: Incarnation(1) };
    /// let node = Node::new(member, Settings::default(), 42);
    /// assert!(node.account_views().is_empty());
    /// ```
    pub fn account_views(&self) -> Vec<AccountView> {
        let pools = self.entry.pools();
        pools.flat_map(EntryPool::account_views).collect()
    }

    /// Returns the member that is the home of a pool, if there is one.
    pub fn home_of_pool(&self, pool: &PoolId) -> Option<&str> {
        let pool = self.entry.pools().find(|known| known.id() == pool)?;
        pool.home().map(|home| home.host.as_str())
    }
}

impl HomedPool {
    fn endpoint_views(&self, now: Duration) -> impl Iterator<Item = EndpointView> {
        self.endpoints().map(move |endpoint| {
            let usage = self.slot_usage(endpoint);
            EndpointView {
                endpoint: endpoint.clone(),
                condition: self.health().condition(endpoint),
                usable_slots: usage.map_or(0, |usage| usage.usable),
                occupied_slots: usage.map_or(0, |usage| usage.occupied),
                load_report: self.health().report(now, endpoint),
            }
        })
    }
}
