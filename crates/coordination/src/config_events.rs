//! What goes into and comes out of [`crate::config_adoption::ConfigAdoption`].

use std::sync::Arc;

use sedgeridge_state::ids::Member;

use crate::store_call::CallId;

/// Counts accepted configurations. Generations have no gaps; the first is 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Generation(pub u64);

/// Limits of the adoption.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigAdoptionSettings {
    /// Reads of the head that the whole fleet may make in a second.
    pub fleet_polls_per_s: u64,
    /// Least time between two polls of one router.
    pub min_poll_interval_ms: u64,
    /// Longest time between two polls of one router.
    pub max_poll_interval_ms: u64,
    /// Time after which a call without answer is given up.
    pub call_timeout_ms: u64,
    /// Time a router that starts waits for the generations of its peers.
    pub join_wait_ms: u64,
    /// Peers that a router asks when it starts.
    pub join_peers: usize,
    /// First pause after a failed fetch; it doubles and is jittered.
    pub base_backoff_ms: u64,
    /// Longest pause after failed fetches.
    pub max_backoff_ms: u64,
    /// Changes kept for peers.
    pub recent_changes: usize,
}

impl Default for ConfigAdoptionSettings {
    fn default() -> Self {
        Self {
            fleet_polls_per_s: 10,
            min_poll_interval_ms: 500,
            max_poll_interval_ms: 60_000,
            call_timeout_ms: 1_000,
            join_wait_ms: 1_000,
            join_peers: 3,
            base_backoff_ms: 100,
            max_backoff_ms: 5_000,
            recent_changes: 64,
        }
    }
}

/// One generation, or several merged into a whole configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigItem<C> {
    /// Generation that stands when it is applied.
    pub generation: Generation,
    /// Content.
    pub content: ConfigItemContent<C>,
}

/// Content of an item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigItemContent<C> {
    /// The whole configuration.
    Snapshot(Arc<C>),
    /// What differs from the generation before.
    Delta(Arc<C>),
}

/// What happens to the adoption.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigEvent<C> {
    /// The other members believed alive changed.
    PeersChanged(Vec<Member>),
    /// A peer told the generation it has in force; none if it has none.
    PeerGeneration {
        /// The peer.
        peer: Member,
        /// Its generation.
        generation: Option<Generation>,
    },
    /// The head was read; none if no configuration was accepted yet.
    HeadRead {
        /// The call.
        call: CallId,
        /// Generation in the table, or an older one if the read was stale.
        generation: Option<Generation>,
    },
    /// A fetch ended, with items in any order.
    Fetched {
        /// The call.
        call: CallId,
        /// What was found.
        items: Vec<ConfigItem<C>>,
    },
    /// A call got no usable answer.
    CallFailed {
        /// The call.
        call: CallId,
    },
    /// Time passed.
    Tick,
}

/// What the adoption wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigAction<C> {
    /// Read the head from the table.
    ReadHead {
        /// Names the call.
        call: CallId,
        /// Whether an older value would do harm. An exact read is a transaction that checks the
        /// head for absence and writes nothing: its conflict names the row that stands.
        is_exact: bool,
    },
    /// Ask a peer for the generation it has in force.
    AskPeer(Member),
    /// Fetch from the table and the object store.
    FetchFromStore {
        /// Names the call.
        call: CallId,
        /// Generation in force; without it the whole configuration is needed.
        after: Option<Generation>,
        /// Newest generation wanted.
        up_to: Generation,
    },
    /// Fetch from a peer.
    FetchFromPeer {
        /// Names the call.
        call: CallId,
        /// The peer.
        peer: Member,
        /// Generation in force; without it the whole configuration is needed.
        after: Option<Generation>,
    },
    /// Put these items in force, in order and as one step.
    Adopt(Vec<ConfigItem<C>>),
    /// Tell peers the generation now in force.
    Announce(Generation),
    /// The router has a configuration and may take requests.
    Ready,
}
