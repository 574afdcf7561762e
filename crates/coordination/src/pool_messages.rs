//! Messages between entry routers and the home of a pool.
//!
//! Every router is an entry router: it keeps its callers' requests, queued by client account. One
//! router at a time is the home of a pool: it orders the demand of the whole fleet and grants the
//! pool's slots. No request payload travels between routers.

use sedgeridge_state::ids::AccountId;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::Member;
use sedgeridge_state::ids::PoolId;
use sedgeridge_state::settings::RequestClass;

use crate::attempt_results::EndpointResult;

/// Hash of the start of a prompt; requests with the same hash share cached prefixes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PrefixHash(pub u64);

/// Report of an entry router to the home of a pool.
///
/// All values are absolute, so a repeated report changes nothing. A partial report lists only what
/// changed since the previous one; on a gap in the sequence the home requests a full report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryReport {
    /// The entry router.
    pub from: Member,
    /// The pool.
    pub pool: PoolId,
    /// Number of this report among those of this member to this home; the home drops a report
    /// whose number is not above the last.
    pub sequence: u64,
    /// Whether the report is complete: what it does not list no longer exists.
    pub full: bool,
    /// Highest grant sequence received from the home that this report is sent to.
    pub grants_received: u64,
    /// Waiting requests by account and class; `waiting: 0` withdraws the demand.
    pub demand: Vec<Demand>,
    /// Grants in use. A full report lists all; a partial one only those with a changed estimate.
    ///
    /// The home charges a grant the head cost last reported. If several requests are granted at
    /// once, one with a different estimate is listed when it is bound to its grant.
    pub holdings: Vec<Holding>,
    /// Grants that ended or could not be used.
    pub ended: Vec<GrantId>,
    /// Service received through this router since it started.
    pub served: Vec<Served>,
    /// Results of attempts by endpoint since the previous report.
    pub results: Vec<EndpointResult>,
}

/// Requests of one account and class that are waiting at one entry router.
///
/// Short requests are counted in bundles: a grant covers as many of them, one after the other, as
/// run within the grant span. The home needs only the cost of a bundle, not its size.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Demand {
    /// The client account.
    pub account: AccountId,
    /// Class of the requests; ranks them within the account.
    pub class: RequestClass,
    /// Number of waiting bundles.
    pub waiting: u32,
    /// Estimated cost of the first bundle.
    pub head_cost_tokens: u64,
    /// Prefix of the first bundle.
    pub head_prefix: Option<PrefixHash>,
}

/// A grant in use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holding {
    /// The grant.
    pub grant: GrantId,
    /// The endpoint whose slot it occupies.
    pub endpoint: EndpointId,
    /// The account it serves.
    pub account: AccountId,
    /// Estimated total cost; not yet part of [`Served`].
    pub estimate_tokens: u64,
}

/// Settled service of one account through one member; never decreases.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Served {
    /// The client account.
    pub account: AccountId,
    /// Total since the member started.
    pub total_tokens: u64,
}

/// Identifies a grant.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GrantId {
    /// The home that issued the grant.
    pub home: Member,
    /// Position among the grants of that home to that entry router; always increases.
    ///
    /// Grants arrive in order. After a gap in the sequence grants may have been lost, and the entry
    /// router's next report must be full: the home ends the grants that it does not list. Otherwise
    /// a lost grant that a later one acknowledges would keep its slot idle.
    pub sequence: u64,
}

/// Permission to run one request of an account on an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// Identifies the grant.
    pub id: GrantId,
    /// The pool.
    pub pool: PoolId,
    /// The endpoint to use.
    pub endpoint: EndpointId,
    /// The account whose first waiting request may run.
    pub account: AccountId,
    /// Class of the request.
    pub class: RequestClass,
    /// Whether other requests wait for slots of the pool, so that leaving this one idle delays
    /// them.
    pub contended: bool,
}
