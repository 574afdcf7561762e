//! Events and actions of the home of a pool.

use sedgeridge_state::ids::AccountId;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::HostId;
use sedgeridge_state::ids::Member;
use sedgeridge_state::ids::SiteId;

use crate::pool_messages::EntryReport;
use crate::pool_messages::Grant;

/// Event for the home of a pool.
#[derive(Debug, Clone, PartialEq)]
pub enum HomeEvent {
    /// A new configuration takes effect.
    Configured {
        /// The pool's endpoints.
        endpoints: Vec<HomeEndpoint>,
        /// Weights of all client accounts.
        weights: Vec<AccountWeight>,
    },
    /// Sites of the hosts; without them no endpoint counts as near.
    HostSites(Vec<HostSite>),
    /// Report of an entry router.
    Report(EntryReport),
    /// The usable slots of an endpoint changed.
    EndpointState {
        /// The endpoint.
        endpoint: EndpointId,
        /// Slots that may be granted now; 0 while it is ejected or leaving.
        usable_slots: u32,
    },
    /// The live members changed; slots held by other members are freed.
    Members(Vec<Member>),
    /// Timer tick. Only ticks detect lost grants, so they should come every few milliseconds.
    Tick,
}

/// Configuration of an endpoint for its pool's home.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HomeEndpoint {
    /// Name of the endpoint.
    pub id: EndpointId,
    /// Site of the endpoint.
    pub site: SiteId,
    /// Requests it may run at once.
    pub slots: u32,
}

/// Weight of a client account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AccountWeight {
    /// The client account.
    pub account: AccountId,
    /// Share relative to other accounts.
    pub weight: u32,
}

/// Site of a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostSite {
    /// The host.
    pub host: HostId,
    /// Its site.
    pub site: SiteId,
}

/// Usage of an endpoint's slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotUsage {
    /// Slots that may be granted now.
    pub usable: u32,
    /// Slots that grants occupy; exceeds `usable` after that decreased or after rehoming.
    pub occupied: u32,
}

/// Action that the home of a pool asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HomeAction {
    /// Send a grant.
    Grant {
        /// The entry router.
        to: Member,
        /// The grant.
        grant: Grant,
    },
    /// Ask an entry router for a full report.
    RequestFullReport {
        /// The entry router.
        to: Member,
    },
}
