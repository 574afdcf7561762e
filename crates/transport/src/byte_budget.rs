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
    free_bytes: Arc<AtomicU64>,
}

impl ByteBudget {
    /// Creates a budget of which nothing is held.
    pub fn new(max_bytes: u64) -> Self {
        Self {
            free_bytes: Arc::new(AtomicU64::new(max_bytes)),
        }
    }

    /// Reserves bytes before they are held; `None` when there are not as many left.
    pub fn reserve(&self, bytes: u64) -> Option<Reservation> {
        let mut reservation = Reservation {
            free_bytes: Arc::clone(&self.free_bytes),
            held_bytes: 0,
        };
        reservation.grow(bytes).then_some(reservation)
    }
}

/// A part of a budget; it is given back when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    free_bytes: Arc<AtomicU64>,
    held_bytes: u64,
}

impl Reservation {
    /// Reserves further bytes; false when there are not as many left, and nothing changes.
    pub fn grow(&mut self, bytes: u64) -> bool {
        let taken =
            self.free_bytes
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |free_bytes| {
                    free_bytes.checked_sub(bytes)
                });
        if taken.is_err() {
            return false;
        }
        self.held_bytes += bytes;
        true
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
        self.free_bytes
            .fetch_add(self.held_bytes, Ordering::Relaxed);
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
