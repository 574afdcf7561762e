//! The size to design for, and the budgets for control traffic at that size.

/// Routers.
pub const NODES: f64 = 400.0;
/// Model engines.
pub const ENDPOINTS: f64 = 2_200.0;
/// Client accounts.
pub const ACCOUNTS: f64 = 6_900.0;
/// Client accounts with queued requests at any time.
pub const BACKLOGGED_ACCOUNTS: f64 = 690.0;
/// Models, each with its own pool.
pub const POOLS: f64 = 4.0;
/// Requests a second at the peak.
pub const REQUESTS_PER_S: f64 = 5_900.0;
/// Assumption: share of the requests that may not be repeated, in percent.
pub const CLAIMED_REQUESTS_PERCENT: f64 = 5.0;
/// Tokens generated a second at the peak.
pub const TOKENS_PER_S: f64 = 1_600_000.0;
/// Time between two tokens of a stream, in milliseconds.
pub const TOKEN_INTERVAL_MS: f64 = 42.0;
/// Configuration changes a day.
pub const CONFIG_CHANGES_PER_DAY: f64 = 11_000.0;
/// Seconds in a day.
pub const SECONDS_PER_DAY: f64 = 86_400.0;
/// Share of a core that a node may spend on control, in percent.
pub const BUDGET_CORE_PERCENT: f64 = 1.5;
/// Memory that a node may use for control.
pub const BUDGET_MEMORY_BYTES: f64 = 64.0 * 1_048_576.0;
/// Control bytes that a node may send a second.
pub const BUDGET_SENT_BYTES_PER_S: f64 = 4_096.0;
/// Writes a second that the table service accepts: 300 stands for "several hundred".
pub const BUDGET_TABLE_WRITES_PER_S: f64 = 300.0;
/// Reads a second that the table service accepts.
pub const BUDGET_TABLE_READS_PER_S: f64 = 2_000.0;

/// Tokens that one request generates.
pub fn tokens_per_request() -> f64 {
    TOKENS_PER_S / REQUESTS_PER_S
}

/// Streams open at once in the whole fleet.
pub fn streams() -> f64 {
    TOKENS_PER_S * TOKEN_INTERVAL_MS / 1_000.0
}
