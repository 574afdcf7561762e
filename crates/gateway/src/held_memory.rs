//! Memory that requests in progress hold, counted until they end.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use sedgeridge_fleet::memory_budget::MemoryBudget;
use sedgeridge_fleet::memory_budget::Requester;

/// Memory budget of a process, which all its requests share.
#[derive(Debug, Clone)]
pub struct SharedMemoryBudget {
    budget: Rc<RefCell<MemoryBudget>>,
}

impl SharedMemoryBudget {
    /// Wraps a budget.
    pub fn new(budget: MemoryBudget) -> Self {
        Self {
            budget: Rc::new(RefCell::new(budget)),
        }
    }

    /// Reserves memory for a request; `None` if there is not enough.
    ///
    /// ```
    /// use sedgeridge_fleet::memory_budget::{MemoryBudget, Requester};
    /// use sedgeridge_gateway::held_memory::SharedMemoryBudget;
    ///
    /// let memory = SharedMemoryBudget::new(MemoryBudget::new(100_000));
    /// let held = memory.hold(40_000, Requester::WithinShare).unwrap();
    /// assert!(memory.hold(40_000, Requester::WithinShare).is_none());
    /// drop(held);
    /// assert!(memory.hold(40_000, Requester::WithinShare).is_some());
    /// ```
    pub fn hold(&self, bytes: u64, asker: Requester) -> Option<HeldMemory> {
        let is_taken = self.budget.borrow_mut().try_reserve(bytes, asker);
        let reservation = is_taken.then(|| Reservation {
            shared: self.clone(),
            bytes: Cell::new(bytes),
            asker,
        });
        reservation.map(|reservation| HeldMemory {
            reservation: Rc::new(reservation),
        })
    }

    /// Returns the number of bytes that are held.
    pub fn held_bytes(&self) -> u64 {
        self.budget.borrow().held_bytes()
    }

    /// Returns whether hardly any memory is left.
    pub fn is_short(&self) -> bool {
        self.budget.borrow().is_short()
    }
}

/// Memory of one request. It is given back when the last of its handles is dropped, however the request ends.
#[derive(Debug)]
pub struct HeldMemory {
    reservation: Rc<Reservation>,
}

#[derive(Debug)]
struct Reservation {
    shared: SharedMemoryBudget,
    bytes: Cell<u64>,
    asker: Requester,
}

impl HeldMemory {
    /// Returns another handle of the same memory.
    ///
    /// ```
    /// use sedgeridge_fleet::memory_budget::{MemoryBudget, Requester};
    /// use sedgeridge_gateway::held_memory::SharedMemoryBudget;
    ///
    /// let memory = SharedMemoryBudget::new(MemoryBudget::new(100_000));
    /// let held = memory.hold(40_000, Requester::WithinShare).unwrap();
    /// let shared = held.share();
    /// drop(held);
    /// assert_eq!(memory.held_bytes(), 40_000);
    /// drop(shared);
    /// assert_eq!(memory.held_bytes(), 0);
    /// ```
    pub fn share(&self) -> Self {
        Self {
            reservation: self.reservation.clone(),
        }
    }

    /// Gives a part back before the request ends.
    pub fn give_back(&self, bytes: u64) {
        let Reservation {
            shared,
            bytes: held,
            ..
        } = &*self.reservation;
        let bytes = bytes.min(held.get());
        shared.budget.borrow_mut().release(bytes);
        held.set(held.get() - bytes);
    }

    /// Counts the memory of an endpoint's response. It is never refused, since the response is
    /// delivered in any case.
    pub fn add(&self, bytes: u64) {
        let Reservation {
            shared,
            bytes: held,
            ..
        } = &*self.reservation;
        shared.budget.borrow_mut().reserve(bytes);
        held.set(held.get() + bytes);
    }

    /// Reserves more memory for the same request. Returns whether there was enough.
    pub fn grow(&self, bytes: u64) -> bool {
        let Reservation {
            shared,
            bytes: held,
            asker,
        } = &*self.reservation;
        let is_taken = shared.budget.borrow_mut().try_reserve(bytes, *asker);
        if is_taken {
            held.set(held.get() + bytes);
        }
        is_taken
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shared.budget.borrow_mut().release(self.bytes.get());
    }
}
