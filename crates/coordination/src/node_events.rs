//! What goes into and comes out of [`crate::node::Node`].

use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::HostId;
use sedgeridge_state::ids::Member;
use sedgeridge_state::ids::PoolId;

use crate::entry_events::EntryAction;
use crate::entry_events::EntryEvent;
use crate::membership::ListedHost;
use crate::membership::LiveMember;
use crate::membership::Message;
use crate::pool_messages::EntryReport;
use crate::pool_messages::Grant;
use crate::quarantine::PoisonNotice;
use crate::slot_budget::Load;

/// What one router tells another on their link.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerMessage {
    /// An entry router reports to a home.
    Report(EntryReport),
    /// A home grants a slot.
    Grant(Grant),
    /// A home asks for a full report.
    FullReportWanted {
        /// The pool.
        pool: PoolId,
    },
    /// A router tells about a request that crashes endpoints.
    Poison(PoisonNotice),
}

/// What happens to a router.
#[derive(Debug, Clone, PartialEq)]
pub enum NodeEvent {
    /// Something happens to the entry part.
    Entry(EntryEvent),
    /// A message from another router came on its link.
    Peer {
        /// The sender.
        from: Member,
        /// The message.
        message: PeerMessage,
    },
    /// Messages to another router were lost.
    PeerReset {
        /// The other router.
        host: HostId,
    },
    /// A membership message came.
    Membership(Message),
    /// The platform's list of hosts was read.
    HostList(Vec<ListedHost>),
    /// An endpoint's load report was read, or could not be.
    LoadRead {
        /// The endpoint.
        endpoint: EndpointId,
        /// The report; `None` when it could not be read.
        load: Option<Load>,
    },
    /// An operator drains an endpoint.
    DrainEndpoint {
        /// The endpoint.
        endpoint: EndpointId,
        /// Wall-clock time, for the other routers.
        since_unix_ms: u64,
    },
    /// The router was told to stop.
    StopRequested,
    /// Time passed.
    Tick,
}

/// What a router wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum NodeAction {
    /// Something the entry part wants done.
    Entry(EntryAction),
    /// Send a message on the link to another router.
    Send {
        /// The receiver.
        to: Member,
        /// The message.
        message: PeerMessage,
    },
    /// Send a membership message; losing it is no harm.
    SendMembership {
        /// The receiver.
        to: HostId,
        /// The message.
        message: Message,
    },
    /// Read an endpoint's load report.
    ReadLoad {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// The members believed alive changed.
    MembersChanged(Vec<LiveMember>),
    /// Nobody listens to this run any more: a newer one has taken its place.
    Outranked,
}

/// How much a router has in hand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeLoad {
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that run.
    pub running: usize,
    /// Pools whose home this router is.
    pub homes: usize,
    /// Live members of the fleet.
    pub members: usize,
}
