//! A randomized soak test of real router processes: it injects faults from outside and checks what
//! callers and endpoints observe. docs/SOAK.md says what it checks and how to run it.

pub mod callers;
pub mod links;
pub mod promises;
pub mod records;
pub mod routers;
pub mod run;
pub mod schedule;
pub mod site;
