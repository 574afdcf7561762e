//! Every decision of the fleet, free of I/O: events, the time and a seed go in, actions come out.
//!
//! Each part has one entry form, `part.handle(now, event, &mut actions)`. `now` is the time since
//! the process started, read from a [`clock::Clock`] at the edge. Iteration order is fixed, so the
//! same inputs always give the same actions.

pub mod backoff;
pub mod clock;
pub mod entry;

pub mod claim_events;
pub mod claim_sweep;
pub mod claims;
pub mod config_adoption;
pub mod config_events;
pub mod endpoint_health;
pub mod lease;
pub mod lease_events;
pub mod limits;
pub mod membership;
pub mod order_events;
pub mod orders;
pub mod pool_home;
pub mod pool_messages;
pub mod quarantine;
pub mod rendezvous;
pub mod retry_budget;
pub mod store_call;
mod store_gate;
