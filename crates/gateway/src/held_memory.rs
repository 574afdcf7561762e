//! Memory that requests in progress hold, counted until they end.

use std::cell::RefCell;
use std::rc::Rc;

use sedgeridge_fleet::memory_budget::MemoryBudget;
use sedgeridge_fleet::memory_budget::Requester;

/// A process's budget, which all its requests share.
#[derive(Debug, Clone)]
pub struct SharedMemory {
    budget: Rc<RefCell<MemoryBudget>>,
}

impl SharedMemory {
    /// Shares a budget.
    pub fn new(budget: MemoryBudget) -> Self {
        Self {
            budget: Rc::new(RefCell::new(budget)),
        }
    }

    /// Takes memory for a request; `None` if there is no room.
    ///
    /// ```
    /// use sedgeridge_fleet::memory_budget::{MemoryBudget, Requester};
    /// use sedgeridge_gateway::held_memory::SharedMemory;
    ///
    /// let memory = SharedMemory::new(MemoryBudget::new(100_000));
    /// let held = memory.hold(40_000, Requester::WithinShare).unwrap();
    /// assert!(memory.hold(40_000, Requester::WithinShare).is_none());
    /// drop(held);
    /// assert!(memory.hold(40_000, Requester::WithinShare).is_some());
    /// ```
    pub fn hold(&self, bytes: u64, asker: Requester) -> Option<HeldMemory> {
        let is_taken = self.budget.borrow_mut().try_reserve(bytes, asker);
        is_taken.then(|| HeldMemory {
            shared: self.clone(),
            bytes,
            asker,
        })
    }

    /// Returns what is held, in bytes.
    pub fn held_bytes(&self) -> u64 {
        self.budget.borrow().held_bytes()
    }

    /// Tells whether there is hardly any room left.
    pub fn is_short(&self) -> bool {
        self.budget.borrow().is_short()
    }
}

/// Memory of one request, given back when the request ends in whatever way.
#[derive(Debug)]
pub struct HeldMemory {
    shared: SharedMemory,
    bytes: u64,
    asker: Requester,
}

impl HeldMemory {
    /// Gives a part back before the request ends.
    pub fn give_back(&mut self, bytes: u64) {
        let bytes = bytes.min(self.bytes);
        self.shared.budget.borrow_mut().release(bytes);
        self.bytes -= bytes;
    }

    /// Counts memory for what an endpoint has made for the request. It is delivered in any case.
    pub fn add(&mut self, bytes: u64) {
        self.shared.budget.borrow_mut().reserve(bytes);
        self.bytes += bytes;
    }

    /// Takes more for the same request; tells whether there was room.
    pub fn grow(&mut self, bytes: u64) -> bool {
        let is_taken = self
            .shared
            .budget
            .borrow_mut()
            .try_reserve(bytes, self.asker);
        if is_taken {
            self.bytes += bytes;
        }
        is_taken
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        self.shared.budget.borrow_mut().release(self.bytes);
    }
}
