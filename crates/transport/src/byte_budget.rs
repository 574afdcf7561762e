//! Bounds on the bytes that a process keeps in memory for its peers and callers at a time.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bytes::Bytes;

/// A limit on the bytes that are reserved at a time; clones share it.
///
/// With a limit on the number of items alone, memory use would depend on the size of what others send: a few
/// thousand requests may need little memory or many times that of the process, depending on their bodies.
///
/// ```
/// use sedgeridge_transport::byte_budget::ByteBudget;
///
/// let budget = ByteBudget::new(100);
/// let mut first = budget.reserve(60).expect("all of it is free");
/// assert!(budget.reserve(41).is_none());
/// assert!(first.grow(40));
/// drop(first);
/// assert!(budget.reserve(100).is_some());
/// ```
#[derive(Debug, Clone)]
pub struct ByteBudget {
    pool: Arc<Pool>,
}

#[derive(Debug)]
struct Pool {
    free_bytes: AtomicU64,
    /// The budget against which reservations count as well.
    parent: Option<Arc<Pool>>,
}

impl ByteBudget {
    /// Creates a budget with nothing reserved.
    pub fn new(max_bytes: u64) -> Self {
        Self::with_parent(max_bytes, None)
    }

    /// Creates a budget whose reservations also count against this one.
    ///
    /// ```
    /// use sedgeridge_transport::byte_budget::ByteBudget;
    ///
    /// let total = ByteBudget::new(100);
    /// let part = total.sub_budget(60);
    /// let held = part.reserve(60).expect("all of the part is free");
    /// assert!(part.reserve(1).is_none());
    /// assert!(total.reserve(41).is_none());
    /// drop(held);
    /// assert!(total.reserve(100).is_some());
    /// ```
    pub fn sub_budget(&self, max_bytes: u64) -> Self {
        Self::with_parent(max_bytes, Some(Arc::clone(&self.pool)))
    }

    fn with_parent(max_bytes: u64, parent: Option<Arc<Pool>>) -> Self {
        Self {
            pool: Arc::new(Pool {
                free_bytes: AtomicU64::new(max_bytes),
                parent,
            }),
        }
    }

    /// Reserves bytes; `None` if fewer are free.
    pub fn reserve(&self, bytes: u64) -> Option<Reservation> {
        let mut reservation = Reservation {
            pool: Arc::clone(&self.pool),
            held_bytes: 0,
        };
        reservation.grow(bytes).then_some(reservation)
    }

    /// Returns the free bytes of this budget, without regard to its parent.
    pub fn free_bytes(&self) -> u64 {
        self.pool.free_bytes.load(Ordering::Relaxed)
    }

    /// Returns whether there is a reservation, a sub-budget or another handle of this budget.
    pub fn is_in_use(&self) -> bool {
        Arc::strong_count(&self.pool) > 1
    }
}

impl Pool {
    fn take(&self, bytes: u64) -> bool {
        let take = |free_bytes: u64| free_bytes.checked_sub(bytes);
        let taken = self
            .free_bytes
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
        if taken.is_err() {
            return false;
        }
        let fits = self.parent.as_ref().is_none_or(|parent| parent.take(bytes));
        if !fits {
            self.free_bytes.fetch_add(bytes, Ordering::Relaxed);
        }
        fits
    }

    fn release(&self, bytes: u64) {
        self.free_bytes.fetch_add(bytes, Ordering::Relaxed);
        if let Some(parent) = &self.parent {
            parent.release(bytes);
        }
    }
}

/// Reserved bytes of a budget; they become free when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    pool: Arc<Pool>,
    held_bytes: u64,
}

impl Reservation {
    /// Reserves further bytes; returns false and changes nothing if fewer are free.
    pub fn grow(&mut self, bytes: u64) -> bool {
        let taken = self.pool.take(bytes);
        if taken {
            self.held_bytes += bytes;
        }
        taken
    }

    /// Grows the reservation to at least `bytes`; returns false and changes nothing if fewer are free.
    fn grow_to(&mut self, bytes: u64) -> bool {
        self.grow(bytes.saturating_sub(self.held_bytes))
    }

    /// Binds the reservation to bytes: it is released when their last owner drops them.
    ///
    /// ```
    /// use sedgeridge_transport::byte_budget::ByteBudget;
    ///
    /// let budget = ByteBudget::new(4);
    /// let held = budget.reserve(4).expect("room").bind(b"lens".to_vec());
    /// let second_owner = held.clone();
    /// drop(held);
    /// assert!(budget.reserve(1).is_none());
    /// drop(second_owner);
    /// assert!(budget.reserve(1).is_some());
    /// ```
    pub fn bind(self, bytes: Vec<u8>) -> Bytes {
        Bytes::from_owner(ReservedBytes {
            bytes,
            _reservation: self,
        })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.pool.release(self.held_bytes);
    }
}

/// A buffer for bytes that arrive in parts; its memory is reserved from a budget before it is allocated.
///
/// ```
/// use sedgeridge_transport::byte_budget::ByteBudget;
/// use sedgeridge_transport::byte_budget::ReservedBuffer;
///
/// let budget = ByteBudget::new(8);
/// let mut buffer = ReservedBuffer::reserve(&budget, 0).expect("nothing is needed yet");
/// assert!(buffer.push(b"lens "));
/// assert!(!buffer.push(b"case"));
/// assert!(buffer.push(b"es"));
/// assert_eq!(&buffer.finish()[..], b"lens es");
/// ```
#[derive(Debug)]
pub struct ReservedBuffer {
    bytes: Vec<u8>,
    reservation: Reservation,
}

impl ReservedBuffer {
    /// Creates a buffer with room for the expected bytes; `None` if the budget has fewer free.
    pub fn reserve(budget: &ByteBudget, expected_bytes: u64) -> Option<Self> {
        let reservation = budget.reserve(expected_bytes)?;
        Some(Self {
            bytes: Vec::with_capacity(expected_bytes as usize),
            reservation,
        })
    }

    /// Appends a copy of a part; returns false and changes nothing if the budget has too few bytes free.
    pub fn push(&mut self, part: &[u8]) -> bool {
        let capacity = self.bytes.capacity();
        let needed = self.bytes.len() + part.len();
        if needed > capacity {
            // Doubling saves copies. If the budget does not allow it, the exact size is tried, so that all
            // bytes of the budget can be used.
            let doubled = needed.max(capacity * 2);
            let sizes = [doubled, needed];
            let new_capacity = sizes
                .into_iter()
                .find(|size| self.reservation.grow_to(*size as u64));
            let Some(new_capacity) = new_capacity else {
                return false;
            };
            self.bytes.reserve_exact(new_capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(part);
        true
    }

    /// Returns the length of the buffered bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether the buffer is empty.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the bytes; their reservation is released when their last owner drops them.
    pub fn finish(self) -> Bytes {
        self.reservation.bind(self.bytes)
    }
}

struct ReservedBytes {
    bytes: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
