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

/// Scheduler that lets one of several threads run at a time.
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

    /// Waits for the thread's turn, which lasts until the thread's next call.
    pub fn wait_for(&self, thread: usize) {
        let mut state = self.lock();
        state.waiting.insert(thread);
        state.running -= 1;
        self.choose_next(&mut state);
        while state.chosen != Some(thread) {
            state = self.changed.wait(state).expect("no thread panics");
        }
        state.chosen = None;
        state.waiting.remove(&thread);
        state.running += 1;
    }

    /// Ends the calling thread's turn; it takes no further ones.
    pub fn finish(&self) {
        let mut state = self.lock();
        state.running -= 1;
        self.choose_next(&mut state);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics")
    }

    fn choose_next(&self, state: &mut State) {
        if state.running > 0 || state.waiting.is_empty() {
            return;
        }
        let index = state.random.below(state.waiting.len() as u64) as usize;
        state.chosen = state.waiting.iter().nth(index).copied();
        self.changed.notify_all();
    }
}
