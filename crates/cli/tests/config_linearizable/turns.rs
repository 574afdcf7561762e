//! Runs threads one step at a time, in an order that a seed decides.

use std::collections::BTreeSet;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;

use sedgeridge_coordination::random::SeededRandom;

#[derive(Debug)]
struct State {
    waiting: BTreeSet<usize>,
    running: usize,
    chosen: Option<usize>,
    random: SeededRandom,
}

/// Lets one of several threads run at a time.
#[derive(Debug)]
pub struct Turns {
    state: Mutex<State>,
    changed: Condvar,
}

impl Turns {
    pub fn new(threads: usize, seed: u64) -> Self {
        let state = State {
            waiting: BTreeSet::new(),
            running: threads,
            chosen: None,
            random: SeededRandom::new(seed),
        };
        Self {
            state: Mutex::new(state),
            changed: Condvar::new(),
        }
    }

    /// Waits until it is this thread's turn; it lasts until its next call.
    pub fn take(&self, thread: usize) {
        let mut state = self.lock();
        state.waiting.insert(thread);
        state.running -= 1;
        self.choose(&mut state);
        while state.chosen != Some(thread) {
            state = self.changed.wait(state).expect("no thread panics");
        }
        state.chosen = None;
        state.waiting.remove(&thread);
        state.running += 1;
    }

    /// Ends the calling thread's part.
    pub fn leave(&self) {
        let mut state = self.lock();
        state.running -= 1;
        self.choose(&mut state);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics")
    }

    fn choose(&self, state: &mut State) {
        if state.running > 0 || state.waiting.is_empty() {
            return;
        }
        let index = state.random.below(state.waiting.len() as u64) as usize;
        state.chosen = state.waiting.iter().nth(index).copied();
        self.changed.notify_all();
    }
}
