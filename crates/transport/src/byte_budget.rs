//! A bound on the bytes that a process holds for others at a time.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bytes::Bytes;

/// Bytes that may be held at a time by all holders together.
///
/// Bounds by number alone let memory follow the size of what others send: a few thousand requests
/// are little or many times the process's memory, by their bodies.
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
    /// What this is a part of.
    whole: Option<Arc<Pool>>,
}

impl ByteBudget {
    /// Creates a budget of which nothing is held.
    pub fn new(max_bytes: u64) -> Self {
        Self::within(max_bytes, None)
    }

    /// Creates a budget whose bytes count against this one too: one holder's part.
    ///
    /// ```
    /// use sedgeridge_transport::byte_budget::ByteBudget;
    ///
    /// let whole = ByteBudget::new(100);
    /// let part = whole.sub_budget(60);
    /// let held = part.reserve(60).expect("all of the part is free");
    /// assert!(part.reserve(1).is_none());
    /// assert!(whole.reserve(41).is_none());
    /// drop(held);
    /// assert!(whole.reserve(100).is_some());
    /// ```
    pub fn sub_budget(&self, max_bytes: u64) -> Self {
        Self::within(max_bytes, Some(Arc::clone(&self.pool)))
    }

    fn within(max_bytes: u64, whole: Option<Arc<Pool>>) -> Self {
        Self {
            pool: Arc::new(Pool {
                free_bytes: AtomicU64::new(max_bytes),
                whole,
            }),
        }
    }

    /// Reserves bytes before they are held; `None` when there are not as many left.
    pub fn reserve(&self, bytes: u64) -> Option<Reservation> {
        let mut reservation = Reservation {
            pool: Arc::clone(&self.pool),
            held_bytes: 0,
        };
        reservation.grow(bytes).then_some(reservation)
    }

    /// Returns how many bytes are left, those of the whole not looked at.
    pub fn free_bytes(&self) -> u64 {
        self.pool.free_bytes.load(Ordering::Relaxed)
    }

    /// Tells whether somebody holds a part of it, or another handle of it.
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
        let fits = self.whole.as_ref().is_none_or(|whole| whole.take(bytes));
        if !fits {
            self.free_bytes.fetch_add(bytes, Ordering::Relaxed);
        }
        fits
    }

    fn give_back(&self, bytes: u64) {
        self.free_bytes.fetch_add(bytes, Ordering::Relaxed);
        if let Some(whole) = &self.whole {
            whole.give_back(bytes);
        }
    }
}

/// A part of a budget; it is given back when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    pool: Arc<Pool>,
    held_bytes: u64,
}

impl Reservation {
    /// Reserves further bytes; false when there are not as many left, and nothing changes.
    pub fn grow(&mut self, bytes: u64) -> bool {
        let taken = self.pool.take(bytes);
        if taken {
            self.held_bytes += bytes;
        }
        taken
    }

    /// Grows until at least this many bytes are reserved; false when there are not as many left.
    fn grow_to(&mut self, bytes: u64) -> bool {
        self.grow(bytes.saturating_sub(self.held_bytes))
    }

    /// Binds the reservation to bytes: it is given back when their last holder drops them.
    ///
    /// ```
    /// use sedgeridge_transport::byte_budget::ByteBudget;
    ///
    /// let budget = ByteBudget::new(4);
    /// let held = budget.reserve(4).expect("room").bind(b"lens".to_vec());
    /// let second_holder = held.clone();
    /// drop(held);
    /// assert!(budget.reserve(1).is_none());
    /// drop(second_holder);
    /// assert!(budget.reserve(1).is_some());
    /// ```
    pub fn bind(self, bytes: Vec<u8>) -> Bytes {
        Bytes::from_owner(HeldBytes {
            bytes,
            _reservation: self,
        })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.pool.give_back(self.held_bytes);
    }
}

/// Bytes that come part by part, into memory that is reserved before it is used.
///
/// ```
/// use sedgeridge_transport::byte_budget::ByteBudget;
/// use sedgeridge_transport::byte_budget::HeldBuffer;
///
/// let budget = ByteBudget::new(8);
/// let mut buffer = HeldBuffer::reserve(&budget, 0).expect("nothing is needed yet");
/// assert!(buffer.push(b"lens "));
/// assert!(!buffer.push(b"case"));
/// assert!(buffer.push(b"es"));
/// assert_eq!(&buffer.finish()[..], b"lens es");
/// ```
#[derive(Debug)]
pub struct HeldBuffer {
    bytes: Vec<u8>,
    reservation: Reservation,
}

impl HeldBuffer {
    /// Reserves what is known to come; `None` when there is no room for it.
    pub fn reserve(budget: &ByteBudget, expected_bytes: u64) -> Option<Self> {
        let reservation = budget.reserve(expected_bytes)?;
        Some(Self {
            bytes: Vec::with_capacity(expected_bytes as usize),
            reservation,
        })
    }

    /// Copies a part; false when there is no room for it, and nothing changes.
    pub fn push(&mut self, part: &[u8]) -> bool {
        let capacity = self.bytes.capacity();
        let needed = self.bytes.len() + part.len();
        if needed > capacity {
            // Doubling saves copies; the last bytes of the budget are used all the same.
            let doubled = needed.max(capacity * 2);
            let sizes = [doubled, needed];
            let room = sizes
                .into_iter()
                .find(|size| self.reservation.grow_to(*size as u64));
            let Some(room) = room else {
                return false;
            };
            self.bytes.reserve_exact(room - self.bytes.len());
        }
        self.bytes.extend_from_slice(part);
        true
    }

    /// Returns how many bytes have come.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Tells whether none have come.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the bytes; their memory is given back when their last holder drops them.
    pub fn finish(self) -> Bytes {
        self.reservation.bind(self.bytes)
    }
}

struct HeldBytes {
    bytes: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
