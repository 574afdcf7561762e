//! What a run shows: the reports of each host and the costs of all.

use std::collections::BTreeMap;
use std::time::Duration;

use sedgeridge_coordination::membership::LiveMember;
use sedgeridge_coordination::membership::Notice;
use sedgeridge_state::ids::HostId;
use sedgeridge_state::ids::Incarnation;

/// What a host reported when.
#[derive(Debug, Default)]
pub struct Reports {
    /// Last list of live members.
    pub live: Vec<LiveMember>,
    /// Times at which each host last ceased to be live.
    pub lost_at: BTreeMap<HostId, Duration>,
    /// Times at which each generation was heard of.
    pub generations: BTreeMap<u64, Duration>,
    /// Notices, each with the time it came in.
    pub notices: Vec<(Duration, Notice)>,
    /// Incarnations above the own one that were heard of.
    pub outranked: Vec<Incarnation>,
    /// Highest refutation count that the host gave itself.
    pub refutations: u64,
    /// Number of hosts lost while they ran and could be reached.
    pub losses: u64,
}

/// What the run has cost so far, all hosts together.
#[derive(Debug, Default, Clone)]
pub struct Costs {
    pub messages: u64,
    pub bytes: u64,
    pub handle_time: Duration,
    /// Largest message.
    pub largest_bytes: u64,
    /// Bytes sent by each host in each second.
    pub bytes_by_second: BTreeMap<(usize, u64), u64>,
}
