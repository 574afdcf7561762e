//! Results of a simulated run: the reports of each host and the costs of all hosts.

use std::collections::BTreeMap;
use std::time::Duration;

use sedgeridge_coordination::membership::LiveMember;
use sedgeridge_coordination::membership::Notice;
use sedgeridge_state::ids::HostId;
use sedgeridge_state::ids::Incarnation;

/// What one host reported since its start.
#[derive(Debug, Default)]
pub struct Reports {
    /// Last list of live members.
    pub live: Vec<LiveMember>,
    /// Time at which each host last ceased to be live.
    pub lost_at: BTreeMap<HostId, Duration>,
    /// Time at which each configuration generation was first seen.
    pub generation_times: BTreeMap<u64, Duration>,
    /// Received notices, each with the time of its receipt.
    pub notices: Vec<(Duration, Notice)>,
    /// Higher incarnations under which this host is known to others.
    pub outranked_by: Vec<Incarnation>,
    /// Refutation count in the last message that the host sent.
    pub refutations: u64,
    /// Number of hosts that ceased to be live here while they ran and could be reached.
    pub false_losses: u64,
}

/// Costs of all hosts so far.
#[derive(Debug, Default, Clone)]
pub struct Costs {
    pub message_count: u64,
    pub total_bytes: u64,
    pub handle_time: Duration,
    /// Largest message.
    pub largest_bytes: u64,
    /// Bytes sent by each host in each second.
    pub bytes_by_second: BTreeMap<(usize, u64), u64>,
}
