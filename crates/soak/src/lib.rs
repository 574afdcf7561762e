//! A randomized soak of real routers: faults from outside, and checks of what callers and endpoints
//! see. docs/SOAK.md says what it checks and how to run it.

pub mod callers;
pub mod links;
pub mod promises;
pub mod records;
pub mod routers;
pub mod run;
pub mod schedule;
pub mod site;
