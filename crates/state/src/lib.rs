//! Typed state of the router fleet: names and ids, the effective configuration and the records
//! stored in the platform's table service.
//!
//! This crate does no I/O, starts no threads and reads no clock.

pub mod claim_record;
pub mod config_document;
pub mod config_records;
pub mod fields;
pub mod fingerprint;
pub mod ids;
pub mod lease_record;
pub mod log_catalogue;
pub mod order_record;
pub mod settings;
