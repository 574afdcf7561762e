//! The accepted configuration: commits with faults and concurrent changes, and the commands that
//! use it.

mod commands;
mod commit;
mod fake;
