//! Messages between the members of the fleet.

use sedgeridge_state::fingerprint::Fingerprint;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::HostId;
use sedgeridge_state::ids::Incarnation;
use sedgeridge_state::ids::Member;

/// Health of a member as known to another. At equal [`Version`] the later variant wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Health {
    /// The member answers.
    Alive,
    /// The member left a probe unanswered and has not refuted the suspicion yet.
    Suspect,
    /// The member did not refute the suspicion in time.
    Dead,
    /// The member itself announced that it has left.
    Left,
}

/// Orders the records of one host.
///
/// Only the member itself raises its version: a restart brings a higher incarnation, a refutation a
/// higher count. The two are separate because other modules use the incarnation as the identity of
/// a run, which a refutation must not change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Version {
    /// The run of the host.
    pub incarnation: Incarnation,
    /// Number of changes of this run to its own record: refutations and the start of a planned
    /// stop.
    pub refutations: u64,
}

/// State of one member as known to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberRecord {
    /// The member.
    pub member: Member,
    /// Second part of the [`Version`].
    pub refutations: u64,
    /// Whether the member has begun a planned stop.
    pub leaving: bool,
    /// Health of the member.
    pub health: Health,
}

impl MemberRecord {
    /// Returns the version, which orders the records of one host.
    ///
    /// ```
    /// use sedgeridge_coordination::membership::{Health, MemberRecord};
    /// use sedgeridge_state::ids::{HostId, Incarnation, Member};
    ///
    /// let member = Member { host: HostId::from("entry-1"), incarnation: Incarnation(7) };
    /// let first = MemberRecord { member, refutations: 0, leaving: false, health: Health::Dead };
    /// let refuted = MemberRecord { refutations: 1, health: Health::Alive, ..first.clone() };
    /// assert!(refuted.version() > first.version());
    /// ```
    pub fn version(&self) -> Version {
        Version {
            incarnation: self.member.incarnation,
            refutations: self.refutations,
        }
    }

    /// Whether the member counts as live. A suspect does until its time to refute expires.
    ///
    /// ```
    /// use sedgeridge_coordination::membership::{Health, MemberRecord};
    /// use sedgeridge_state::ids::{HostId, Incarnation, Member};
    ///
    /// let member = Member { host: HostId::from("entry-1"), incarnation: Incarnation(7) };
    /// let record = MemberRecord { member, refutations: 0, leaving: false, health: Health::Suspect };
    /// assert!(record.is_live());
    /// ```
    pub fn is_live(&self) -> bool {
        self.health <= Health::Suspect
    }
}

/// One change of a member's record that is disseminated to the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Update {
    /// The new record.
    pub record: MemberRecord,
    /// For a suspect, the host whose probe went unanswered. Independent accusers shorten the time
    /// to refute.
    pub accuser: Option<HostId>,
}

/// A fact from another module that is disseminated with membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Notice {
    /// An endpoint is leaving and takes no new work.
    EndpointLeaving {
        /// The endpoint.
        endpoint: EndpointId,
        /// Wall-clock time at which it began to leave.
        since_unix_ms: u64,
    },
    /// Requests with this fingerprint crash endpoints and are refused.
    Quarantine {
        /// Identifies the request.
        fingerprint: Fingerprint,
        /// Remaining time of the quarantine when the message is sent.
        expires_in_ms: u64,
    },
}

/// Number of buckets in which two tables are compared.
pub const DIGEST_BUCKETS: usize = 32;

/// Digest of a member table in buckets by a hash of the host's name. Buckets with equal hashes need
/// no exchange.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableDigest {
    /// Hash of the live members' versions for each bucket.
    pub buckets: Box<[u32; DIGEST_BUCKETS]>,
    /// Hash of the held notices.
    pub notices: u32,
}

/// A message between two members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// The sender's record of itself.
    pub from: MemberRecord,
    /// Highest configuration generation known to the sender.
    pub config_generation: u64,
    /// Piggybacked updates.
    pub updates: Vec<Update>,
    /// Piggybacked notices.
    pub notices: Vec<Notice>,
    /// Purpose of the message.
    pub body: Body,
}

/// Purpose of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// Asks for a [`Body::ProbeAck`].
    Probe {
        /// Matches the answer to the probe.
        sequence: u64,
    },
    /// Answers a probe, directly or on behalf of its target.
    ProbeAck {
        /// Sequence of the probe.
        sequence: u64,
    },
    /// Asks the receiver to probe `target` for the sender.
    IndirectProbe {
        /// Matches the answer to the probe.
        sequence: u64,
        /// The host to be probed.
        target: HostId,
    },
    /// Reports that an indirect probe was sent and is still unanswered.
    ProbeNack {
        /// Sequence of the indirect probe.
        sequence: u64,
    },
    /// Carries updates, notices or a configuration generation only.
    Gossip,
    /// Asks for those buckets of the receiver's table whose hashes differ.
    SyncRequest {
        /// Digest of the sender's table.
        digest: TableDigest,
    },
    /// Carries buckets of a table.
    SyncTable {
        /// Records that the receiver may lack.
        records: Vec<MemberRecord>,
        /// Digest of the sender's table, if the receiver is to answer with its newer records.
        answer_wanted: Option<TableDigest>,
    },
    /// Tells the receiver that its host is known under a higher incarnation.
    Outranked {
        /// The higher incarnation.
        incarnation: Incarnation,
    },
}
