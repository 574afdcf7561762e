//! What the members of the fleet tell each other.

use sedgeridge_state::fingerprint::Fingerprint;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::HostId;
use sedgeridge_state::ids::Incarnation;
use sedgeridge_state::ids::Member;

/// How a member is believed to be. At equal [`Version`] the later variant wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Health {
    /// It answers.
    Alive,
    /// It left a probe unanswered and has not refuted the suspicion yet.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
    /// It said itself that it has gone.
    Left,
}

/// Orders what is said about one host.
///
/// Only the member itself raises its version: a restart brings a higher incarnation, a refutation a
/// higher count. The two are apart because other parts take the incarnation for the identity of a
/// run, which a refutation must not change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Version {
    /// Which run of the host.
    pub incarnation: Incarnation,
    /// Changes that this run made to its own record: refutations, and the start of a planned stop.
    pub refutations: u64,
}

/// What is believed of one member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberRecord {
    /// The member.
    pub member: Member,
    /// Second part of the [`Version`].
    pub refutations: u64,
    /// Whether the member has begun a planned stop.
    pub leaving: bool,
    /// How the member is believed to be.
    pub health: Health,
}

impl MemberRecord {
    /// Returns what orders this record among others on the same host.
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

    /// Whether the member counts as live: suspects do until the suspicion is confirmed.
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

/// One change of a member's record, spread through the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Update {
    /// The new record.
    pub record: MemberRecord,
    /// Whose probe went unanswered, for a suspect; independent accusers shorten the suspicion.
    pub accuser: Option<HostId>,
}

/// A small fact of another part that is spread along with membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Notice {
    /// An endpoint is leaving and takes no new work.
    EndpointLeaving {
        /// The endpoint.
        endpoint: EndpointId,
        /// Wall-clock time at which it began to leave.
        since_unix_ms: u64,
    },
    /// A request that crashes endpoints is refused.
    Quarantine {
        /// Identifies the request.
        fingerprint: Fingerprint,
        /// Time the quarantine still lasts when the message is sent.
        expires_in_ms: u64,
    },
}

/// Number of parts that a table is compared in.
pub const DIGEST_BUCKETS: usize = 32;

/// Summary of a member table in parts, by a hash of the host's name. Parts with equal hashes need
/// no exchange.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableDigest {
    /// Hashes of the live members' versions.
    pub buckets: Box<[u32; DIGEST_BUCKETS]>,
    /// Hash of the notices held.
    pub notices: u32,
}

/// A message between two members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// The sender's record of itself.
    pub from: MemberRecord,
    /// Highest configuration generation that the sender knows of.
    pub config_generation: u64,
    /// Changes carried along.
    pub updates: Vec<Update>,
    /// Notices carried along.
    pub notices: Vec<Notice>,
    /// What the message is for.
    pub body: Body,
}

/// What a message is for.
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
    /// Says that an indirect probe was tried and has had no answer yet.
    ProbeNack {
        /// Sequence of the indirect probe.
        sequence: u64,
    },
    /// Carries updates, notices or a configuration generation only.
    Gossip,
    /// Asks for those parts of the receiver's table whose digests differ.
    SyncRequest {
        /// Digest of the sender's table.
        digest: TableDigest,
    },
    /// Carries parts of a table.
    SyncTable {
        /// Records that the receiver may lack.
        records: Vec<MemberRecord>,
        /// Digest of the sender's table, if the receiver is to answer with what it knows better.
        answer_wanted: Option<TableDigest>,
    },
    /// Tells a sender that its host is known under a higher incarnation.
    Outranked {
        /// The higher incarnation.
        incarnation: Incarnation,
    },
}
