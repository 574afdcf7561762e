//! What requests in progress may hold of a host's memory.

/// Part of the process's memory that requests in progress may hold. The rest is for what does not
/// follow from requests: program and tables, kept connections, and bytes that wait unread in sockets.
const REQUESTS_PART: f64 = 0.5;
/// Part of it from which the host asks for no more callers; what is on its way still finds room.
const SHORT_PART: f64 = 0.7;
/// Part of it that accounts that have had their share may fill. The rest is for everybody else: the callers of
/// one large account, who all reach one host, would otherwise shut out the others there.
const OVER_SHARE_PART: f64 = 0.85;
/// Part of the process's memory that idle connections to endpoints may hold.
const IDLE_PART: f64 = 0.1;
/// Memory of a connection to an endpoint: two buffers and its task.
const CONNECTION_BYTES: u64 = 20 * 1_024;
/// Part of the process's memory that heads of requests may hold which have not come whole.
const HALF_HEADS_PART: f64 = 0.1;
/// Memory of such a head: two buffers, the one that reads grown to the longest head.
const HALF_HEAD_BYTES: u64 = 28 * 1_024;
/// Memory of a request without its body: connections of its caller and to an endpoint with two buffers
/// each, headers and tasks.
pub const REQUEST_OVERHEAD_BYTES: u64 = 60 * 1_024;

/// Who asks for memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Requester {
    /// An account that has had its share of the fleet, and more than that.
    OverShare,
    /// Any other account.
    WithinShare,
}

/// Counts what requests in progress hold, and tells whether another one fits.
///
/// A process that grows over its memory limit is killed, and all its requests get no answer. Nothing
/// else on a host knows of the limit, and no number of requests is safe, since callers choose the
/// length of bodies. Counting bytes before they are read is enough: what is refused was not read.
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
    /// Creates the budget of a process that may have `process_bytes` of memory.
    pub fn new(process_bytes: u64) -> Self {
        Self {
            process_bytes,
            held_bytes: 0,
        }
    }

    /// Takes memory if there is room; tells whether it was taken.
    pub fn try_reserve(&mut self, bytes: u64, asker: Requester) -> bool {
        let held_bytes = self.held_bytes.saturating_add(bytes);
        let most_bytes = match asker {
            Requester::OverShare => self.requests_bytes(OVER_SHARE_PART),
            Requester::WithinShare => self.requests_bytes(1.0),
        };
        let fits = held_bytes <= most_bytes;
        if fits {
            self.held_bytes = held_bytes;
        }
        fits
    }

    /// Counts memory that is taken whether or not there is room. New requests find less.
    pub fn reserve(&mut self, bytes: u64) {
        self.held_bytes = self.held_bytes.saturating_add(bytes);
    }

    /// Gives memory back that was taken.
    pub fn release(&mut self, bytes: u64) {
        self.held_bytes = self.held_bytes.saturating_sub(bytes);
    }

    /// Returns what is held, in bytes.
    pub fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    /// Tells whether there is hardly any room left.
    pub fn is_short(&self) -> bool {
        self.held_bytes > self.requests_bytes(SHORT_PART)
    }

    /// Returns how many idle connections to endpoints are kept at most.
    pub fn max_idle_connections(&self) -> usize {
        let bytes = self.process_bytes as f64 * IDLE_PART;
        (bytes / CONNECTION_BYTES as f64) as usize
    }

    /// Returns how many heads of requests may be read in part at a time.
    pub fn max_partial_heads(&self) -> usize {
        let bytes = self.process_bytes as f64 * HALF_HEADS_PART;
        (bytes / HALF_HEAD_BYTES as f64) as usize
    }

    /// Returns a part of what requests may hold.
    fn requests_bytes(&self, part: f64) -> u64 {
        (self.process_bytes as f64 * REQUESTS_PART * part) as u64
    }
}
