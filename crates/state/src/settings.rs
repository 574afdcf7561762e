//! The effective configuration: the base file merged with the overlay of one site.
//!
//! [`Settings`] is plain data with defaults. The loader parses, merges and checks the INI files; it
//! either accepts them or returns all errors found.

mod assemble;
mod checks;
pub mod effective;
pub mod error;
mod layers;
pub(crate) mod lines;
mod load;
mod nearest;
pub mod overrides;
pub mod reference;
pub mod schema;
mod topology;
mod value;

use std::net::SocketAddr;
use std::time::Duration;

pub use error::Problem;
pub use error::Rejection;
pub use error::SettingsError;
pub use load::Layers;
pub use load::SettingsFile;
pub use load::load;
pub use load::load_layers;
pub(crate) use load::load_raw;
pub use overrides::Override;
pub use overrides::OverrideError;
pub use topology::AccountSettings;
pub use topology::EndpointSettings;
pub use topology::HostSettings;
pub use topology::PoolKind;
pub use topology::PoolSettings;
pub use topology::RequestClass;
pub use topology::ServiceSettings;
pub use topology::SiteSettings;
pub use value::check_name;
pub use value::check_setting;

/// Settings for the processes of one site, merged and checked.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Settings {
    /// Section `[fleet]`.
    pub fleet: FleetSettings,
    /// Section `[front]`.
    pub front: FrontSettings,
    /// Section `[fair]`.
    pub fair: FairSettings,
    /// Section `[retry]`.
    pub retry: RetrySettings,
    /// Section `[health]`.
    pub health: HealthSettings,
    /// Section `[membership]`.
    pub membership: MembershipSettings,
    /// Section `[platform]`.
    pub platform: PlatformSettings,
    /// Sections `[site.NAME]`.
    pub sites: Vec<SiteSettings>,
    /// Sections `[host.NAME]`.
    pub hosts: Vec<HostSettings>,
    /// Sections `[pool.NAME]`.
    pub pools: Vec<PoolSettings>,
    /// Sections `[service.NAME]`.
    pub services: Vec<ServiceSettings>,
    /// Sections `[endpoint.NAME]`.
    pub endpoints: Vec<EndpointSettings>,
    /// Sections `[account.NAME]`.
    pub accounts: Vec<AccountSettings>,
}

/// Section `[fleet]`: identity of the deployment.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FleetSettings {
    /// Name of the deployment, shown on operator pages.
    pub name: String,
}

/// Section `[front]`: limits on callers.
#[derive(Debug, Clone, PartialEq)]
pub struct FrontSettings {
    /// Maximum size of a request body.
    pub max_body_bytes: u64,
    /// Maximum total size of the request bodies that one router holds at a time.
    pub max_held_body_bytes: u64,
    /// Maximum total size of one client account's request bodies that one router holds at a time.
    pub max_held_body_bytes_per_account: u64,
    /// Time limit for a caller to send a complete request head.
    pub header_timeout_ms: u64,
    /// Time after which an idle keep-alive connection is closed.
    pub idle_timeout_ms: u64,
    /// Maximum number of open caller connections of one router.
    pub max_connections: u32,
    /// Maximum number of requests waiting in one router.
    pub max_queue: u32,
    /// Maximum number of one client account's requests waiting in one router.
    pub max_queue_per_account: u32,
    /// Deadline of a request whose caller sets none.
    pub default_deadline_ms: u64,
    /// Latest deadline that a caller may set.
    pub max_deadline_ms: u64,
}

impl Default for FrontSettings {
    fn default() -> Self {
        Self {
            max_body_bytes: 1 << 20,
            max_held_body_bytes: 16 << 20,
            max_held_body_bytes_per_account: 8 << 20,
            header_timeout_ms: 5_000,
            idle_timeout_ms: 60_000,
            max_connections: 2_048,
            max_queue: 4_096,
            max_queue_per_account: 256,
            default_deadline_ms: 60_000,
            max_deadline_ms: 600_000,
        }
    }
}

/// Scope of the fair order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum FairScope {
    /// All routers share one order.
    #[default]
    Fleet,
    /// Each router orders only its own requests (baseline).
    Router,
}

/// Order of waiting requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum QueueOrder {
    /// Least weighted service received first.
    #[default]
    Fair,
    /// Arrival order (baseline).
    Fifo,
}

/// Method of choosing an endpoint for a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum EndpointChoice {
    /// Prefers prefix affinity, then the most free slots, then the nearest endpoint.
    #[default]
    Affinity,
    /// Chooses any free slot (baseline).
    Random,
}

/// Section `[fair]`: the order between client accounts.
#[derive(Debug, Clone, PartialEq)]
pub struct FairSettings {
    /// Scope of the order.
    pub scope: FairScope,
    /// Order of waiting requests.
    pub order: QueueOrder,
    /// Method of choosing an endpoint.
    pub endpoint_choice: EndpointChoice,
    /// Weight of one output token relative to one uncached input token.
    pub output_token_factor: u32,
    /// Maximum time during which peer messages are batched into one.
    pub batch_interval_ms: u64,
    /// Maximum delay of reports to peers on which no waiting work depends.
    pub report_interval_ms: u64,
    /// Time during which one grant may be reused for further short requests of its account; with 0,
    /// every grant covers one request.
    pub grant_span_ms: u64,
    /// Time after which an unused grant returns to its home.
    pub grant_timeout_ms: u64,
    /// Maximum time that a new home of a pool waits for full reports before it issues grants.
    pub gather_timeout_ms: u64,
}

impl Default for FairSettings {
    fn default() -> Self {
        Self {
            scope: FairScope::default(),
            order: QueueOrder::default(),
            endpoint_choice: EndpointChoice::default(),
            output_token_factor: 4,
            batch_interval_ms: 1,
            report_interval_ms: 200,
            grant_span_ms: 200,
            grant_timeout_ms: 1_000,
            gather_timeout_ms: 300,
        }
    }
}

/// Section `[retry]`: retries of failed attempts.
#[derive(Debug, Clone, PartialEq)]
pub struct RetrySettings {
    /// Maximum number of attempts of one repeatable request.
    pub max_attempts: u32,
    /// Retries that a hundred successful attempts add to the retry budget. An attempt succeeds when
    /// the whole answer went to the caller.
    pub budget_percent: u32,
    /// First backoff; it doubles with each attempt and has jitter.
    pub base_backoff_ms: u64,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            max_attempts: 3,
            budget_percent: 20,
            base_backoff_ms: 25,
        }
    }
}

/// Section `[health]`: detection and handling of failing endpoints.
#[derive(Debug, Clone, PartialEq)]
pub struct HealthSettings {
    /// Time limit for opening a connection to an endpoint.
    pub connect_timeout_ms: u64,
    /// Maximum time without data on an answer in progress.
    pub stream_idle_timeout_ms: u64,
    /// Time between reads of an endpoint's load report.
    pub report_interval_ms: u64,
    /// Number of consecutive failures after which an endpoint is ejected.
    pub eject_after_failures: u32,
    /// Duration of the first ejection; it doubles with each further ejection.
    pub eject_ms: u64,
    /// Maximum share of a pool that may be ejected at the same time.
    pub max_ejected_percent: u32,
    /// Number of distinct endpoints that a request may crash before it is quarantined.
    pub poison_after_crashes: u32,
    /// Time for which a quarantined request is refused.
    pub poison_quarantine_ms: u64,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 500,
            stream_idle_timeout_ms: 5_000,
            report_interval_ms: 250,
            eject_after_failures: 3,
            eject_ms: 2_000,
            max_ejected_percent: 50,
            poison_after_crashes: 2,
            poison_quarantine_ms: 300_000,
        }
    }
}

/// Section `[membership]`: failure detection between routers.
#[derive(Debug, Clone, PartialEq)]
pub struct MembershipSettings {
    /// Time between two probes sent by one router.
    pub probe_interval_ms: u64,
    /// Time after which an unanswered probe is repeated indirectly through other routers.
    pub probe_timeout_ms: u64,
    /// Number of routers asked to send an indirect probe.
    pub indirect_probes: u32,
    /// Minimum time that a suspected router has to refute the suspicion. It is up to four times as
    /// long until other routers confirm the suspicion.
    pub suspicion_ms: u64,
    /// Minimum time between two messages that carry only gossip.
    pub gossip_interval_ms: u64,
    /// Number of routers that each gossip round is sent to.
    pub gossip_fanout: u32,
    /// Time between comparisons of the complete member table with another router.
    pub sync_interval_ms: u64,
    /// Time between attempts to reach configured routers that are not live.
    pub rejoin_interval_ms: u64,
    /// Minimum delay of a timer at which the process assumes that it was paused.
    pub pause_ms: u64,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            probe_interval_ms: 500,
            probe_timeout_ms: 200,
            indirect_probes: 3,
            suspicion_ms: 1_500,
            gossip_interval_ms: 100,
            gossip_fanout: 3,
            sync_interval_ms: 5_000,
            rejoin_interval_ms: 5_000,
            pause_ms: 1_000,
        }
    }
}

/// Source of the active configuration.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ConfigurationSource {
    /// The files read at the start; they apply until the process ends.
    #[default]
    Files,
    /// The configuration accepted in the table service; the files only give the address of the
    /// service.
    Table,
}

/// Section `[platform]`: the platform's services and the source of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct PlatformSettings {
    /// Source of the active configuration.
    pub configuration: ConfigurationSource,
    /// Address of the transactional table service.
    pub table_address: Option<SocketAddr>,
    /// Address of the object store.
    pub object_address: Option<SocketAddr>,
    /// Address of the list of live and leaving hosts, which may be out of date.
    pub host_list_address: Option<SocketAddr>,
    /// Address of the weight store, which is rate-limited.
    pub weight_store_address: Option<SocketAddr>,
    /// Time limit for one call.
    pub call_timeout_ms: u64,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            configuration: ConfigurationSource::default(),
            table_address: None,
            object_address: None,
            host_list_address: None,
            weight_store_address: None,
            call_timeout_ms: 1_000,
        }
    }
}

impl Settings {
    /// Finds a service by name.
    pub fn service(&self, id: &str) -> Option<&ServiceSettings> {
        self.services.iter().find(|s| s.id.as_str() == id)
    }

    /// Finds a host by name.
    pub fn host(&self, id: &str) -> Option<&HostSettings> {
        self.hosts.iter().find(|h| h.id.as_str() == id)
    }
}

/// Converts a setting in milliseconds to a duration.
///
/// ```
/// use std::time::Duration;
/// assert_eq!(sedgeridge_state::settings::millis(20), Duration::from_millis(20));
/// ```
pub fn millis(value_ms: u64) -> Duration {
    Duration::from_millis(value_ms)
}
