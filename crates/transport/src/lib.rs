//! Sockets, threads, logs and metrics for the router and coordinator processes, whose decisions are in the
//! `sedgeridge-coordination` crate.
//!
//! Each task has its own thread, and bounded channels connect the threads: `front` (callers), `core`
//! (decisions), `endpoint workers` (one attempt each) and `operator` (pages and metrics).
//! docs/ARCHITECTURE.md lists every thread and channel.

mod address_agent;
pub mod answer;
mod answer_forwarding;
mod answer_memory;
pub mod byte_budget;
pub mod call;
mod caller_connection;
mod caller_headers;
mod chat_body;
pub mod clock;
pub mod config_reads;
mod connection_activity;
pub mod coordinator_calls;
pub mod coordinator_core;
mod coordinator_status;
pub mod core;
pub mod directory;
pub mod endpoint_call;
pub mod endpoint_workers;
pub mod event_log;
pub mod front;
pub mod front_body;
pub mod front_request;
pub mod held_bodies;
pub mod host_list_reads;
pub mod host_options;
pub mod host_start;
pub mod load_reads;
pub mod metric_catalogue;
pub mod operator;
pub mod peer_inbound;
pub mod peer_link;
pub mod peers;
mod recorded;
mod request_body;
mod router_pages;
pub mod settings_files;
pub mod status;
pub mod stop_signal;
pub mod table_calls;
