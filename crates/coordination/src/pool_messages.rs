//! What entry routers and the home of a pool tell each other.
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

/// Hash of a prompt's first part; requests with the same hash share cached prefixes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PrefixHash(pub u64);

/// What an entry router tells the home of a pool.
///
/// All values are absolute, so a repeated report changes nothing. A partial report lists only what
/// changed since the report before it; a gap in the sequence makes the home ask for a full one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryReport {
    /// The entry router.
    pub from: Member,
    /// The pool.
    pub pool: PoolId,
    /// Counts the reports of this member to this home; a report not above the last is dropped.
    pub sequence: u64,
    /// Whether the report lists everything, so that what it leaves out is gone.
    pub full: bool,
    /// Highest grant sequence received from the home that this report is sent to.
    pub grants_received: u64,
    /// Waiting requests by account and class; `waiting: 0` withdraws.
    pub demand: Vec<Demand>,
    /// Grants in use. A full report lists all; a partial one only changed estimates.
    ///
    /// The home charges a grant the head cost last reported. A request whose estimate is another
    /// one, because several were granted at once, is listed when it is bound.
    pub holdings: Vec<Holding>,
    /// Grants that ended or could not be used.
    pub ended: Vec<GrantId>,
    /// Service received through this router since it started.
    pub served: Vec<Served>,
    /// What attempts told about endpoints since the report before.
    pub results: Vec<EndpointResult>,
}

/// Requests of one account and class that wait at one entry router.
///
/// Short requests are counted in bundles: a grant covers as many of them, one after the other, as
/// run within the grant span. The home need not know the size of a bundle, only its cost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Demand {
    /// The client account.
    pub account: AccountId,
    /// Rank within the account.
    pub class: RequestClass,
    /// Bundles of requests that wait.
    pub waiting: u32,
    /// Estimated cost of the first one.
    pub head_cost_tokens: u64,
    /// Prefix of the first one.
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
    /// What it is expected to cost in all; not yet part of [`Served`].
    pub estimate_tokens: u64,
}

/// Settled service of one account through one member; only ever grows.
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
    /// The home that granted.
    pub home: Member,
    /// Position among the grants of that home to that entry router; only ever rises.
    ///
    /// Grants arrive in order. When one does not follow the last by one, grants may have been
    /// lost, and the entry router's next report must be full: the home ends the grants that it
    /// does not list. Without it a lost grant, acknowledged by a later one, keeps its slot idle.
    pub sequence: u64,
}

/// Leave to run one request of an account on an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// Identifies the grant.
    pub id: GrantId,
    /// The pool.
    pub pool: PoolId,
    /// The endpoint to use.
    pub endpoint: EndpointId,
    /// The account whose first waiting request is to run.
    pub account: AccountId,
    /// Rank of the request meant.
    pub class: RequestClass,
    /// Whether others wait for slots of the pool, so that this one is missed when it idles.
    pub contended: bool,
}
