//! Every decision of the fleet, free of I/O: events, the time and a seed go in, actions come out.
//!
//! Each part has one entry form, `part.handle(now, event, &mut actions)`. `now` is the time since
//! the process started, read from a [`clock::Clock`] at the edge. Iteration order is fixed, so the
//! same inputs always give the same actions.

pub mod clock;
pub mod entry;

pub mod account_ceilings;
pub mod breaker;
pub mod claims;
pub mod config_adoption;
pub mod drain_rate;
pub mod endpoint_health;
pub mod lease;
pub mod limits;
pub mod membership;
pub mod poison_notice;
pub mod poison_record;
pub mod pool_home;
pub mod pool_messages;
pub mod quarantine;
pub mod random;
pub mod refusal;
pub mod rendezvous;
pub mod retry_budget;
pub mod slot_budget;
