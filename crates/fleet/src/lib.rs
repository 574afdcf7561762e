//! Routing decisions of a fleet of hosts whose configuration and endpoints come from a platform.
//!
//! This crate does no I/O and starts no threads. Each component takes an event and the current time, and returns
//! actions. The time is a [`Duration`](std::time::Duration) since a fixed moment in the life of the process.

pub mod account_shares;
pub mod arrival;
pub mod arrival_shares;
pub mod attempt_progress;
pub mod cold_start;
pub mod config;
pub mod crash_evidence;
pub mod departures;
pub mod dispatcher;
pub mod endpoint_load;
pub mod endpoint_pauses;
pub mod endpoint_record;
pub mod endpoint_table;
pub mod engine_speed;
pub mod event_stream;
pub mod first_config_wait;
pub mod hashing;
pub mod home_ring;
pub mod idle_connections;
pub mod known_origins;
pub mod load_shedding;
pub mod lost_connections;
pub mod memory_budget;
pub mod origin_exchange;
pub mod origin_message;
pub mod peer_hosts;
pub mod peer_report;
pub mod peer_schedule;
pub mod peer_silence;
pub mod peer_versions;
pub mod placement;
pub mod plain_choice;
pub mod plain_pressure;
pub mod prompt;
pub mod registration_retries;
pub mod relay;
pub mod reported_load;
pub mod resend_window;
pub mod retry_delay;
pub mod route_table;
pub mod row_watch;
pub mod service_versions;
pub mod sound_answers;
pub mod stop_times;
pub mod store_followers;
pub mod store_outage;
pub mod store_version;
pub mod stream_origin;
pub mod suspect;
pub mod table_copy_budget;
pub mod unreported_starts;
pub mod verdict;
pub mod work_sums;
