//! What goes into and comes out of [`crate::node::Node`].

use sedgeridge_state::claim_record::RecordedAnswer;
use sedgeridge_state::config_records::ConfigContent;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::HostId;
use sedgeridge_state::ids::Member;
use sedgeridge_state::ids::PoolId;
use sedgeridge_state::settings::Settings;

use crate::config_events::ConfigEvent;
use crate::config_events::Generation;
use crate::entry_events::Arrival;
use crate::entry_events::AttemptEnd;
use crate::entry_events::AttemptKey;
use crate::entry_events::GiveUp;
use crate::entry_events::RequestKey;
use crate::entry_events::StartAttempt;
use crate::membership::ListedHost;
use crate::membership::LiveMember;
use crate::membership::Message;
use crate::node_claims::ClaimKey;
use crate::node_config::ConfigMessage;
use crate::node_config::ConfigRead;
use crate::poison_notice::PoisonNotice;
use crate::pool_messages::EntryReport;
use crate::pool_messages::Grant;
use crate::retry_budget::RetryReason;
use crate::slot_budget::EndpointLoad;
use crate::store_call::StoreAction;
use crate::store_call::StoreEvent;

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
    /// Routers tell each other about the configuration.
    Config(ConfigMessage),
}

impl PeerMessage {
    /// Returns the stable name used in metrics.
    ///
    /// ```
    /// use sedgeridge_coordination::node::PeerMessage;
    ///
    /// let message = PeerMessage::FullReportWanted { pool: "desk".into() };
    /// assert_eq!(message.kind(), "full_report_wanted");
    /// ```
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Report(report) if report.full => "full_report",
            Self::Report(_) => "report",
            Self::Grant(_) => "grant",
            Self::FullReportWanted { .. } => "full_report_wanted",
            Self::Poison(_) => "poison",
            Self::Config(_) => "config",
        }
    }
}

/// What happens to a router.
#[derive(Debug, Clone, PartialEq)]
pub enum NodeEvent {
    /// A caller sent a request.
    Arrived {
        /// The request.
        arrival: Arrival,
        /// Its key, if it may not be repeated.
        claim: Option<ClaimKey>,
    },
    /// The caller of a request went away before its answer began.
    CallerGone {
        /// The request.
        key: RequestKey,
    },
    /// An attempt has received this much service so far.
    Progress {
        /// The attempt.
        attempt: AttemptKey,
        /// Service received.
        charged_tokens: u64,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        key: RequestKey,
        /// The attempt.
        attempt: AttemptKey,
        /// How it ended.
        end: AttemptEnd,
        /// The whole answer, if the request may not be repeated.
        recorded: Option<RecordedAnswer>,
    },
    /// A call of the table service ended.
    StoreEnded(StoreEvent),
    /// A read of the configuration ended.
    ConfigRead(ConfigEvent<ConfigContent>),
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
        load: Option<EndpointLoad>,
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
    /// Run a request on an endpoint.
    Start(StartAttempt),
    /// Give a caller its final answer now.
    GiveUp(GiveUp),
    /// Give a caller the answer recorded for its key.
    Replay {
        /// The request.
        key: RequestKey,
        /// The answer.
        answer: RecordedAnswer,
    },
    /// An attempt failed and the request waits for another one.
    Retried {
        /// The request.
        key: RequestKey,
        /// Why.
        reason: RetryReason,
    },
    /// Call the table service.
    Store(StoreAction),
    /// Read the configuration in the table service.
    ReadConfig(ConfigRead),
    /// These settings are in force now.
    SettingsChanged {
        /// The generation.
        generation: Generation,
        /// The settings.
        settings: Box<Settings>,
    },
    /// The content of a generation is not usable here.
    ConfigUnusable {
        /// The generation.
        generation: Generation,
        /// What is wrong with it.
        findings: String,
    },
    /// A configuration is in force, so requests may come.
    Ready,
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
    /// Generation of the configuration in force; 0 for the files given at the start.
    pub generation: u64,
}
