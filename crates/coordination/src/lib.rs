//! Every decision of the fleet, free of I/O: events, the time and a seed go in, actions come out.
//!
//! Each part has one entry form, `part.handle(now, event, &mut actions)`. `now` is the time since
//! the process started, read from a [`clock::Clock`] at the edge. Iteration order is fixed, so the
//! same inputs always give the same actions.

pub mod clock;
pub mod entry;

pub mod claims;
pub mod config_adoption;
pub mod endpoint_health;
pub mod fair_order;
pub mod home_counters;
pub mod lease;
pub mod limits;
pub mod membership;
pub mod pool_home;
pub mod pool_messages;
pub mod service_ledger;

mod account_table;
mod demand_table;
mod entry_record;
mod entry_table;
mod grant_slots;
mod home_events;
mod member_changes;
mod name_index;
mod prefix_affinity;
mod report_apply;
mod report_check;
mod slot_table;

pub mod quarantine;
pub mod rendezvous;
pub mod retry_budget;
