//! Events and actions of the home of a pool.

use sedgeridge_state::ids::AccountId;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::HostId;
use sedgeridge_state::ids::Member;
use sedgeridge_state::ids::SiteId;

use crate::pool_messages::EntryReport;
use crate::pool_messages::Grant;

/// What happens to the home of a pool.
#[derive(Debug, Clone, PartialEq)]
pub enum HomeEvent {
    /// A configuration is in force.
    Configured {
        /// The pool's endpoints.
        endpoints: Vec<HomeEndpoint>,
        /// Weights of all client accounts.
        weights: Vec<AccountWeight>,
    },
    /// Where the hosts stand; without it no endpoint counts as near.
    HostSites(Vec<HostSite>),
    /// An entry router reports.
    Report(EntryReport),
    /// What is known of an endpoint changed.
    EndpointState {
        /// The endpoint.
        endpoint: EndpointId,
        /// Slots that may be granted now; 0 while it is ejected or leaving.
        usable_slots: u32,
    },
    /// The members believed alive changed; holdings of the others are freed.
    Members(Vec<Member>),
    /// Time passed. Grants are found to be lost here only, so it should come every few milliseconds.
    Tick,
}

/// An endpoint as its pool's home sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HomeEndpoint {
    /// Name of the endpoint.
    pub id: EndpointId,
    /// Site it stands in.
    pub site: SiteId,
    /// Requests it may run at once.
    pub slots: u32,
}

/// Share of a client account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AccountWeight {
    /// The client account.
    pub account: AccountId,
    /// Share relative to other accounts.
    pub weight: u32,
}

/// Where a host stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostSite {
    /// The host.
    pub host: HostId,
    /// Its site.
    pub site: SiteId,
}

/// Slots of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotUsage {
    /// Slots that may be granted now.
    pub usable: u32,
    /// Slots that grants occupy; above `usable` when it shrank, or after rehoming.
    pub occupied: u32,
}

/// What the home of a pool wants done.
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
