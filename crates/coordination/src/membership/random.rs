//! A small generator of reproducible pseudo-random numbers (SplitMix64).

/// Generates the same numbers for the same seed.
#[derive(Debug, Clone)]
pub(crate) struct SeededRandom {
    state: u64,
}

impl SeededRandom {
    pub(crate) fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    /// Returns a number below `bound`, or 0 for a bound of 0.
    pub(crate) fn below(&mut self, bound: usize) -> usize {
        if bound == 0 {
            return 0;
        }
        (self.next() % bound as u64) as usize
    }

    /// Moves up to `count` randomly chosen items to the front of `items` and drops the others.
    pub(crate) fn choose<T>(&mut self, items: &mut Vec<T>, count: usize) {
        let count = count.min(items.len());
        for i in 0..count {
            let j = i + self.below(items.len() - i);
            items.swap(i, j);
        }
        items.truncate(count);
    }

    fn next(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.state;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        z ^ (z >> 31)
    }
}
