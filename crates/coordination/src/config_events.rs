//! Events and actions of [`crate::config_adoption::ConfigAdoption`].

use std::sync::Arc;

use sedgeridge_state::ids::Member;

use crate::store_call::CallId;

/// Number of an accepted configuration. Generations start at 1 and have no gaps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Generation(pub u64);

/// Settings of the adoption.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigAdoptionSettings {
    /// Reads of the head by the whole fleet per second.
    pub fleet_polls_per_s: u64,
    /// Shortest mean time between two polls of one router.
    pub min_poll_interval_ms: u64,
    /// Longest mean time between two polls of one router.
    pub max_poll_interval_ms: u64,
    /// Time after which an unanswered call is given up.
    pub call_timeout_ms: u64,
    /// Time for which a starting router waits for the generations of its peers.
    pub join_wait_ms: u64,
    /// Maximum number of peers that a starting router asks.
    pub max_join_peers: usize,
    /// Backoff after the first failed fetch. It doubles with each failure and is jittered.
    pub base_backoff_ms: u64,
    /// Longest backoff after failed fetches.
    pub max_backoff_ms: u64,
    /// Maximum number of changes kept for peers.
    pub max_recent_changes: usize,
}

impl Default for ConfigAdoptionSettings {
    fn default() -> Self {
        Self {
            fleet_polls_per_s: 10,
            min_poll_interval_ms: 500,
            max_poll_interval_ms: 60_000,
            call_timeout_ms: 1_000,
            join_wait_ms: 1_000,
            max_join_peers: 3,
            base_backoff_ms: 100,
            max_backoff_ms: 5_000,
            max_recent_changes: 64,
        }
    }
}

/// One change, or a whole configuration that merges several generations.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigItem<C> {
    /// Generation in force once the item is applied.
    pub generation: Generation,
    /// The content.
    pub content: ConfigItemContent<C>,
}

/// Content of an item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigItemContent<C> {
    /// The whole configuration.
    Snapshot(Arc<C>),
    /// The difference from the previous generation.
    Delta(Arc<C>),
}

/// An event for the adoption.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigEvent<C> {
    /// The other live members changed.
    PeersChanged(Vec<Member>),
    /// A peer told which generation it has in force, if any.
    PeerGeneration {
        /// The peer.
        peer: Member,
        /// Its generation.
        generation: Option<Generation>,
    },
    /// The head was read. The generation is `None` if no configuration was accepted yet.
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
        /// The items found.
        items: Vec<ConfigItem<C>>,
    },
    /// A call had no usable answer.
    CallFailed {
        /// The call.
        call: CallId,
    },
    /// A timer fired.
    Tick,
}

/// An action that the caller of the adoption carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigAction<C> {
    /// Read the head from the table.
    ReadHead {
        /// Identifies the call.
        call: CallId,
        /// Whether a stale value is not acceptable. An exact read is a transaction that checks that
        /// the head is absent and writes nothing: its conflict names the current row.
        is_exact: bool,
    },
    /// Ask a peer for the generation it has in force.
    AskPeer(Member),
    /// Fetch from the table and the object store.
    FetchFromStore {
        /// Identifies the call.
        call: CallId,
        /// Generation in force. Without one the whole configuration is needed.
        after: Option<Generation>,
        /// Newest generation wanted.
        up_to: Generation,
    },
    /// Fetch from a peer.
    FetchFromPeer {
        /// Identifies the call.
        call: CallId,
        /// The peer.
        peer: Member,
        /// Generation in force. Without one the whole configuration is needed.
        after: Option<Generation>,
    },
    /// Put these items in force, in order and in one step.
    Adopt(Vec<ConfigItem<C>>),
    /// Tell peers which generation is now in force.
    Announce(Generation),
    /// The router has a configuration and may take requests.
    Ready,
}
