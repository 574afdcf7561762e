//! Events and actions of [`crate::node::Node`].

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

/// A message from one router to another on their link.
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
    /// A router reports a request that crashes endpoints.
    Poison(PoisonNotice),
    /// A message about the configuration.
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

/// An event for a router.
#[derive(Debug, Clone, PartialEq)]
pub enum NodeEvent {
    /// A caller sent a request.
    RequestArrived {
        /// The request.
        arrival: Arrival,
        /// Its key, if the request may not be repeated.
        claim: Option<ClaimKey>,
    },
    /// The caller of a request went away before its answer began.
    CallerGone {
        /// The request.
        key: RequestKey,
    },
    /// An attempt reported the service that it has received so far.
    Progress {
        /// The attempt.
        attempt: AttemptKey,
        /// Service received so far.
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
    /// A call to the table service ended.
    StoreCallEnded(StoreEvent),
    /// A read of the configuration ended.
    ConfigReadEnded(ConfigEvent<ConfigContent>),
    /// A message from another router was received on its link.
    PeerMessage {
        /// The sender.
        from: Member,
        /// The message.
        message: PeerMessage,
    },
    /// Messages to another router were lost.
    PeerMessagesLost {
        /// The other router.
        host: HostId,
    },
    /// A membership message was received.
    MembershipMessage(Message),
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
    /// A timer fired.
    Tick,
}

/// An action that the caller of the node carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum NodeAction {
    /// Run a request on an endpoint.
    StartAttempt(StartAttempt),
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
    RequestRetried {
        /// The request.
        key: RequestKey,
        /// Why.
        reason: RetryReason,
    },
    /// Call the table service.
    CallStore(StoreAction),
    /// Read the configuration from the table service.
    ReadConfig(ConfigRead),
    /// New settings are in force.
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
        /// The errors in it.
        findings: String,
    },
    /// A configuration is in force: the router can take requests.
    Ready,
    /// Send a message on the link to another router.
    Send {
        /// The receiver.
        to: Member,
        /// The message.
        message: PeerMessage,
    },
    /// Send a membership message. It may be lost.
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
    /// The live members changed.
    MembersChanged(Vec<LiveMember>),
    /// The fleet ignores this run, as it knows the host under a higher incarnation.
    Outranked,
}

/// Load of a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeLoad {
    /// Number of requests that wait.
    pub waiting_requests: u32,
    /// Number of requests that run.
    pub running_requests: usize,
    /// Number of pools whose home is on this router.
    pub homed_pools: usize,
    /// Number of live members of the fleet.
    pub live_members: usize,
    /// Generation of the configuration in force, or 0 for the files given at the start.
    pub config_generation: u64,
}
