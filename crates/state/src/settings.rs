//! The effective configuration: the base file after the overlay of one site is merged into it.
//!
//! [`Settings`] is plain data with defaults. Reading, merging and checking the INI files is the
//! work of the loader, which accepts a file as a whole or refuses it with every error found.

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

/// Everything that one site's processes need to know, merged and checked.
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

/// Section `[fleet]`: what names this deployment.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FleetSettings {
    /// Name of the deployment, shown on operator pages.
    pub name: String,
}

/// Section `[front]`: limits towards callers.
#[derive(Debug, Clone, PartialEq)]
pub struct FrontSettings {
    /// Largest request body that is read.
    pub max_body_bytes: u64,
    /// Most bytes of request bodies that one router holds at a time.
    pub max_held_body_bytes: u64,
    /// Most bytes of request bodies of one client account that one router holds at a time.
    pub max_held_body_bytes_per_account: u64,
    /// Time a caller has to send a whole request head.
    pub header_timeout_ms: u64,
    /// Time an idle kept-alive connection stays open.
    pub idle_timeout_ms: u64,
    /// Most open caller connections of one router.
    pub max_connections: u32,
    /// Most requests that wait in one router.
    pub max_queue: u32,
    /// Most requests of one client account that wait in one router.
    pub max_queue_per_account: u32,
    /// Deadline of a request whose caller names none.
    pub default_deadline_ms: u64,
    /// Latest deadline a caller may ask for.
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

/// How far the fair order reaches.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum FairScope {
    /// One order across all routers.
    #[default]
    Fleet,
    /// Each router orders its own requests only (baseline).
    Router,
}

/// How waiting requests are ordered.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum QueueOrder {
    /// Least weighted service received first.
    #[default]
    Fair,
    /// Arrival order (baseline).
    Fifo,
}

/// How an endpoint is picked for a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum EndpointChoice {
    /// Prefix affinity first, then the most free slots, then the nearest.
    #[default]
    Affinity,
    /// Any free slot (baseline).
    Random,
}

/// Section `[fair]`: the order between client accounts.
#[derive(Debug, Clone, PartialEq)]
pub struct FairSettings {
    /// How far the order reaches.
    pub scope: FairScope,
    /// How waiting requests are ordered.
    pub order: QueueOrder,
    /// How an endpoint is picked.
    pub endpoint_choice: EndpointChoice,
    /// Weight of one output token against one uncached input token.
    pub output_token_factor: u32,
    /// Longest time peer messages are gathered into one.
    pub batch_interval_ms: u64,
    /// Longest time that news wait on which no work waits.
    pub report_interval_ms: u64,
    /// Time in which one grant may be used for further short requests of its account; 0 makes every
    /// grant cover one request.
    pub grant_span_ms: u64,
    /// Time after which an unused grant returns to its home.
    pub grant_timeout_ms: u64,
    /// Longest time a new home of a pool waits for full reports before it grants.
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

/// Section `[retry]`: repeated attempts.
#[derive(Debug, Clone, PartialEq)]
pub struct RetrySettings {
    /// Most attempts of one repeatable request.
    pub max_attempts: u32,
    /// Retries allowed for each hundred successes.
    pub budget_percent: u32,
    /// First backoff; it doubles with each attempt and is jittered.
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

/// Section `[health]`: endpoints that fail.
#[derive(Debug, Clone, PartialEq)]
pub struct HealthSettings {
    /// Time to open a connection to an endpoint.
    pub connect_timeout_ms: u64,
    /// Longest silence of an answer in progress.
    pub stream_idle_timeout_ms: u64,
    /// Time between reads of an endpoint's load report.
    pub report_interval_ms: u64,
    /// Failures in a row after which an endpoint is ejected.
    pub eject_after_failures: u32,
    /// First ejection time; it doubles with each further ejection.
    pub eject_ms: u64,
    /// Largest share of a pool that may be ejected at once.
    pub max_ejected_percent: u32,
    /// Distinct endpoints that a request may crash before it is quarantined.
    pub poison_after_crashes: u32,
    /// Time a quarantined request stays refused.
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

/// Section `[membership]`: heartbeats between routers.
#[derive(Debug, Clone, PartialEq)]
pub struct MembershipSettings {
    /// Time between two probes by one router.
    pub probe_interval_ms: u64,
    /// Time after which an unanswered probe is tried through others.
    pub probe_timeout_ms: u64,
    /// Routers asked to probe on one's behalf.
    pub indirect_probes: u32,
    /// Shortest time a suspected router has to refute the suspicion; it is up to four times as long
    /// until others confirm it.
    pub suspicion_ms: u64,
    /// Shortest time between two messages that only carry news.
    pub gossip_interval_ms: u64,
    /// Routers told at once of news.
    pub gossip_fanout: u32,
    /// Time between comparisons of the whole table with another router.
    pub sync_interval_ms: u64,
    /// Time between attempts to reach routers that are named but not live.
    pub rejoin_interval_ms: u64,
    /// Lateness of a timer from which on this process takes itself for having been paused.
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

/// Where the configuration in force comes from.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ConfigurationSource {
    /// The files given at the start, until the process ends.
    #[default]
    Files,
    /// The configuration accepted in the table service; the files only say where that is.
    Table,
}

/// Section `[platform]`: addresses of the platform's services.
#[derive(Debug, Clone, PartialEq)]
pub struct PlatformSettings {
    /// Where the configuration in force comes from.
    pub configuration: ConfigurationSource,
    /// The transactional table service.
    pub table_address: Option<SocketAddr>,
    /// The object store.
    pub object_address: Option<SocketAddr>,
    /// The lagging list of live and leaving hosts.
    pub host_list_address: Option<SocketAddr>,
    /// The rate-limited weight store.
    pub weight_store_address: Option<SocketAddr>,
    /// Time allowed for one call.
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
