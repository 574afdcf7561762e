//! Fakes shared by the tests.

#![allow(dead_code, reason = "each test file uses its own part")]

pub mod claim_fleet;
pub mod config_fleet;
pub mod coordinator_fleet;
pub mod lease_fleet;
pub mod order_harness;
pub mod store;
