//! The accepted configuration: commits under faults and races, and the commands around them.

mod commands;
mod commit;
mod fake;
