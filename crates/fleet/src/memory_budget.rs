//! Limits the memory that requests in progress hold on a host.

/// Fraction of the process's memory that requests in progress may hold. The rest is for memory that does not depend on
/// them: program and tables, idle connections, and unread bytes in sockets.
const REQUESTS_RATIO: f64 = 0.5;
/// Fraction of the requests' memory above which the host asks for no more callers. Requests on their way still fit.
const SHORT_RATIO: f64 = 0.7;
/// Fraction of the requests' memory up to which accounts over their share may fill it. The rest is for all other accounts:
/// otherwise the callers of one large account, who all reach one host, would leave no memory for others there.
const OVER_SHARE_RATIO: f64 = 0.85;
/// Fraction of the process's memory that idle connections to endpoints may hold.
const IDLE_CONNECTIONS_RATIO: f64 = 0.1;
/// Memory of a connection to an endpoint: two buffers and a task.
const CONNECTION_BYTES: u64 = 20 * 1_024;
/// Fraction of the process's memory that partially received request heads may hold.
const PARTIAL_HEADS_RATIO: f64 = 0.1;
/// Memory of a partially received head: two buffers, of which the read buffer has grown to the longest head.
const PARTIAL_HEAD_BYTES: u64 = 28 * 1_024;
/// Memory of a request without its body: headers, tasks, timers, and the connections to its caller and to an endpoint with two
/// buffers each.
pub const REQUEST_OVERHEAD_BYTES: u64 = 64 * 1_024;

/// Kind of account for whose request memory is reserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Requester {
    /// An account over its share of the fleet.
    OverShare,
    /// Any other account.
    WithinShare,
}

/// Counts the memory that requests in progress hold, and decides whether another request fits.
///
/// A process that exceeds its memory limit is killed, and none of its requests is answered. Nothing else on a host knows
/// the limit, and no limit on the number of requests is safe, since callers choose the length of bodies. It is enough to
/// count bytes before they are read: a refused request is not read.
///
/// ```
/// use sedgeridge_fleet::memory_budget::{MemoryBudget, Requester};
///
/// let mut budget = MemoryBudget::new(88_000_000);
/// assert!(budget.try_reserve(40_000_000, Requester::WithinShare));
/// assert!(!budget.try_reserve(10_000_000, Requester::WithinShare));
/// budget.release(40_000_000);
/// assert!(budget.try_reserve(10_000_000, Requester::WithinShare));
/// ```
#[derive(Debug)]
pub struct MemoryBudget {
    process_bytes: u64,
    held_bytes: u64,
}

impl MemoryBudget {
    /// Creates the budget of a process with a memory limit of `process_bytes`.
    pub fn new(process_bytes: u64) -> Self {
        Self {
            process_bytes,
            held_bytes: 0,
        }
    }

    /// Reserves memory if it fits; tells whether it was reserved.
    pub fn try_reserve(&mut self, bytes: u64, requester: Requester) -> bool {
        let held_bytes = self.held_bytes.saturating_add(bytes);
        let max_bytes = match requester {
            Requester::OverShare => self.requests_bytes(OVER_SHARE_RATIO),
            Requester::WithinShare => self.requests_bytes(1.0),
        };
        let fits = held_bytes <= max_bytes;
        if fits {
            self.held_bytes = held_bytes;
        }
        fits
    }

    /// Reserves memory even if it does not fit. Less is left for new requests.
    pub fn reserve(&mut self, bytes: u64) {
        self.held_bytes = self.held_bytes.saturating_add(bytes);
    }

    /// Releases reserved memory.
    pub fn release(&mut self, bytes: u64) {
        self.held_bytes = self.held_bytes.saturating_sub(bytes);
    }

    pub fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    /// Tells whether hardly any memory is left for new requests.
    pub fn is_short(&self) -> bool {
        self.held_bytes > self.requests_bytes(SHORT_RATIO)
    }

    /// Returns the maximum number of idle connections to endpoints.
    pub fn max_idle_connections(&self) -> usize {
        let bytes = self.process_bytes as f64 * IDLE_CONNECTIONS_RATIO;
        (bytes / CONNECTION_BYTES as f64) as usize
    }

    /// Returns the maximum number of partially received heads.
    pub fn max_partial_heads(&self) -> usize {
        let bytes = self.process_bytes as f64 * PARTIAL_HEADS_RATIO;
        (bytes / PARTIAL_HEAD_BYTES as f64) as usize
    }

    /// Returns a fraction of the memory that requests may hold.
    fn requests_bytes(&self, ratio: f64) -> u64 {
        (self.process_bytes as f64 * REQUESTS_RATIO * ratio) as u64
    }
}
