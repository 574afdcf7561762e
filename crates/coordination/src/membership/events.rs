//! What goes into membership and what comes out.

use sedgeridge_state::ids::HostId;
use sedgeridge_state::ids::Incarnation;
use sedgeridge_state::ids::Member;

use super::messages::Message;
use super::messages::Notice;

/// What happens to membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipEvent {
    /// Time passed; due at [`super::Membership::next_wake`].
    Tick,
    /// A message came in.
    MessageReceived(Message),
    /// The hosts named in the settings changed.
    HostsConfigured(Vec<HostId>),
    /// The platform's list was read. It lags: who is on it is contacted, who is not stays a member
    /// as long as it answers.
    HostList(Vec<ListedHost>),
    /// This host has put a configuration in force, or read of one.
    ConfigGeneration(u64),
    /// Another part of this host wants a notice spread.
    Announce(Notice),
    /// A planned stop begins: no new work for this host.
    LeaveRequested,
    /// The work of this host is done; nothing is handled after this.
    LeaveFinished,
}

/// A host on the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedHost {
    /// The host.
    pub host: HostId,
    /// What the list says of it.
    pub hint: HostHint,
}

/// What the platform's list says of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostHint {
    /// It was live some time ago.
    Live,
    /// It is to stop.
    Leaving,
}

/// A member that is believed live.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LiveMember {
    /// The member.
    pub member: Member,
    /// Whether it takes new work.
    pub state: MemberState,
}

/// Whether a live member takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// It does.
    Alive,
    /// It finishes what it has.
    Leaving,
}

/// What membership wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipAction {
    /// Send a message; losing it is no harm.
    Send {
        /// The host.
        to: HostId,
        /// The message.
        message: Message,
    },
    /// The live members changed; this host is among them. Ordered by host.
    MembersChanged(Vec<LiveMember>),
    /// A higher configuration generation was heard of. It is a hint where to look, no proof.
    GenerationSeen {
        /// The generation.
        generation: u64,
        /// Who told of it.
        from: HostId,
    },
    /// A notice came in that was not known.
    NoticeReceived(Notice),
    /// The fleet knows this host under a higher incarnation, so nobody listens to this run: either
    /// a newer process has taken its place, or the wall clock went back over a restart. The host
    /// must restart with an incarnation above this one, or stop.
    Outranked {
        /// The higher incarnation.
        incarnation: Incarnation,
    },
}
