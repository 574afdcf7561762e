//! Memory that requests in progress hold, counted until they end.

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
        is_taken.then(|| HeldMemory {
            shared: self.clone(),
            bytes,
            asker,
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

/// Memory of one request, given back on drop, however the request ends.
#[derive(Debug)]
pub struct HeldMemory {
    shared: SharedMemoryBudget,
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

    /// Counts the memory of an endpoint's response. It is never refused, since the response is
    /// delivered in any case.
    pub fn add(&mut self, bytes: u64) {
        self.shared.budget.borrow_mut().reserve(bytes);
        self.bytes += bytes;
    }

    /// Reserves more memory for the same request. Returns whether there was enough.
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
