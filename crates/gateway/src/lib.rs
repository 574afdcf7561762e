//! Event loop of a router: callers, endpoints, other hosts and the platform's store on one thread.
//!
//! Routing decisions are made by `sedgeridge-fleet`. Everything that is specific to a platform is
//! behind [`wire::WireFormat`] and [`store::Store`].

pub mod attempt;
pub mod call;
mod caller_connection;
pub mod caller_listener;
pub mod caller_request;
pub mod caller_stream;
pub mod clock;
pub mod connection;
pub mod crash_watch;
mod early_refusal;
pub mod endpoint_pool;
pub mod event_log;
pub mod gateway;
pub mod held_memory;
pub mod host_directory;
pub mod http_client;
pub mod loop_lag;
pub mod meters;
mod page_server;
pub mod pages;
pub mod peer_socket;
pub mod peers;
mod quarantine_store;
pub mod request_body;
mod request_log;
pub mod resident_memory;
pub mod response;
mod sent_state;
pub mod serve;
pub mod settings;
pub mod store;
pub mod stream_forward;
pub mod stream_origins;
pub mod stream_queue;
pub mod stream_request;
pub mod table_copies;
pub mod table_events;
pub mod table_follower;
pub mod wire;
