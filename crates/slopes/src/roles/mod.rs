//! Benches: one module for each role or group of roles.

pub mod claims;
pub mod config;
pub mod config_spread;
pub mod coordinator;
pub mod data_path;
pub mod failures;
pub mod fleet;
pub mod home;
pub mod home_endpoints;
pub mod load_reports;
pub mod tools;

use crate::sample::Sample;

/// One run of a bench at one size.
#[derive(Debug, Clone, Copy)]
pub struct Point {
    /// Size to run at.
    pub size: u64,
    /// Seed of all random choices.
    pub seed: u64,
    /// Whether to measure for a shorter time, for a trial.
    pub quick: bool,
}

/// One quantity that a bench measures.
#[derive(Debug, Clone, Copy)]
pub struct Metric {
    /// Name in a [`Sample`].
    pub name: &'static str,
    /// Description with its unit.
    pub title: &'static str,
}

/// A bench: runs at several sizes, each in a process of its own.
#[derive(Debug, Clone, Copy)]
pub struct Bench {
    /// Name on the command line and in the plots' file names.
    pub name: &'static str,
    /// Description of what the size counts.
    pub size_title: &'static str,
    /// Sizes to measure.
    pub sizes: &'static [u64],
    /// Sizes of a trial.
    pub quick_sizes: &'static [u64],
    /// Size to which the curve is extrapolated.
    pub target: f64,
    /// Metrics that it measures.
    pub metrics: &'static [Metric],
    /// Whether it measures processor time or memory, which other load on the machine disturbs.
    /// Counts and simulated times do not depend on the load.
    pub is_timed: bool,
    /// Measures one point.
    pub measure: fn(Point) -> Sample,
}

/// Every bench, in the order of the page.
pub const BENCHES: &[&Bench] = &[
    &fleet::NODES,
    &fleet::REQUESTS,
    &home::ACCOUNTS,
    &home::TAKEOVER,
    &home_endpoints::ENDPOINTS,
    &load_reports::READS,
    &config::ACCOUNTS,
    &config_spread::SPREAD,
    &claims::RATE,
    &coordinator::LEASE,
    &coordinator::ORDERS,
    &tools::NODES,
    &data_path::STREAMS,
    &data_path::REQUESTS,
    &failures::HOST,
    &failures::SITE,
    &failures::REGION,
];

/// Finds a bench by its name.
pub fn find(name: &str) -> Option<&'static Bench> {
    BENCHES.iter().find(|bench| bench.name == name).copied()
}
