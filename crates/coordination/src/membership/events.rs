//! Events that membership handles and actions that it returns.

use sedgeridge_state::ids::HostId;
use sedgeridge_state::ids::Incarnation;
use sedgeridge_state::ids::Member;

use super::messages::Message;
use super::messages::Notice;

/// An event for [`super::Membership`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipEvent {
    /// A timer fired; due at [`super::Membership::next_wake`].
    Tick,
    /// A message was received.
    MessageReceived(Message),
    /// The hosts named in the settings changed.
    HostsConfigured(Vec<HostId>),
    /// The platform's list was read. It lags: hosts on it are contacted, and members that are not
    /// on it stay members as long as they answer.
    HostList(Vec<ListedHost>),
    /// This host has put a configuration generation in force, or read of one.
    ConfigGeneration(u64),
    /// Another module of this host has a notice to disseminate.
    Announce(Notice),
    /// A planned stop begins: this host takes no new work.
    LeaveRequested,
    /// The remaining work of this host is done. Later events are ignored.
    LeaveFinished,
}

/// A host on the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedHost {
    /// The host.
    pub host: HostId,
    /// Its state according to the list.
    pub hint: HostHint,
}

/// State of a host according to the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostHint {
    /// The host was live some time ago.
    Live,
    /// The host is to be stopped.
    Leaving,
}

/// A member that is considered live.
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
    /// It takes new work.
    Alive,
    /// It only finishes the work it has.
    Leaving,
}

/// An action that the caller of [`super::Membership`] carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipAction {
    /// Send a message. It may be lost.
    Send {
        /// The receiver.
        to: HostId,
        /// The message.
        message: Message,
    },
    /// The live members changed. The list includes this host and is ordered by host.
    MembersChanged(Vec<LiveMember>),
    /// A member sent a higher configuration generation. It is a hint where to look, not a proof.
    GenerationSeen {
        /// The generation.
        generation: u64,
        /// The sender.
        from: HostId,
    },
    /// A new notice was received.
    NoticeReceived(Notice),
    /// The fleet knows this host under a higher incarnation and ignores this run: either a newer
    /// process has replaced it, or the wall clock went back during a restart. The host must restart
    /// with an incarnation above this one, or stop.
    Outranked {
        /// The higher incarnation.
        incarnation: Incarnation,
    },
}
