//! Decision logic of the fleet without I/O: the inputs are events, the time and a seed, the outputs
//! are actions.
//!
//! Each part is called as `part.handle(now, event, &mut actions)`. `now` is the time since the
//! process started; the calling program reads it from a [`clock::Clock`]. Iteration order is fixed,
//! so the same inputs always give the same actions.
//!
//! [`node::Node`] makes all decisions of one router, and [`coordinator::Coordinator`] those of the
//! host that sends orders to engines. They consist of these parts:
//!
//! | part | modules |
//! | --- | --- |
//! | requests of callers at one router | [`entry`], [`entry_pool`], [`entry_queue`], [`limits`], [`account_ceilings`], [`drain_rate`], [`cost_estimate`], [`run_times`], [`retry_budget`], [`quarantine`], [`refusal`] |
//! | queue order and slot grants of a pool | [`pool_home`], [`pool_messages`], [`fair_order`], [`service_ledger`], [`rendezvous`], [`report_schedule`] |
//! | health of a pool's endpoints | [`endpoint_health`], [`breaker`], [`slot_budget`], [`attempt_results`] |
//! | members of the fleet | [`membership`] |
//! | persistent state | [`claims`], [`claim_sweep`], [`lease`], [`orders`], [`config_adoption`], [`store_call`] |

pub mod account_ceilings;
pub mod attempt_results;
pub mod backoff;
pub mod breaker;
pub mod claim_events;
pub mod claim_sweep;
pub mod claims;
pub mod clock;
pub mod config_adoption;
pub mod config_events;
pub mod coordinator;
pub mod coordinator_events;
pub mod cost_estimate;
pub mod drain_rate;
pub mod endpoint_health;
pub mod entry;
pub mod entry_events;
pub mod entry_pool;
pub mod entry_queue;
pub mod fair_order;
pub mod home_counters;
pub mod lease;
pub mod lease_events;
pub mod limits;
pub mod membership;
pub mod node;
pub mod node_claims;
pub mod node_config;
pub mod node_events;
pub mod node_view;
pub mod order_events;
pub mod orders;
pub mod poison_notice;
pub mod pool_home;
pub mod pool_messages;
pub mod quarantine;
pub mod random;
pub mod refusal;
pub mod rendezvous;
pub mod report_schedule;
pub mod retry_budget;
pub mod run_times;
pub mod service_ledger;
pub mod slot_budget;
pub mod store_call;

mod account_table;
mod coordinator_input;
mod crash_detector;
mod demand_table;
mod endpoint_schedule;
mod entry_record;
mod entry_table;
mod grant_slots;
mod held_grants;
mod home_events;
mod homed_pool;
mod member_changes;
mod name_index;
mod poison_record;
mod pooled_endpoint;
mod prefix_affinity;
mod report_apply;
mod report_check;
mod request_table;
mod slot_table;
mod store_breaker;
