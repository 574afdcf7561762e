//! Stand-ins for the systems around the fleet: engines, plain services and the platform.

pub mod answer;
pub mod batch;
pub mod chat_answer;
pub mod cli;
pub mod configs;
pub mod control;
pub mod endpoint;
pub mod engine;
pub mod engine_orders;
pub mod faults;
pub mod hosts;
pub mod ledger;
pub mod link;
pub mod load_history;
pub mod objects;
pub mod plain;
pub mod prefix_cache;
pub mod rate_limit;
pub mod refusal;
pub mod relay;
pub mod relay_state;
pub mod reply;
pub mod server;
pub mod table;
pub mod table_store;
pub mod weights;
