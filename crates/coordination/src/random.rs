//! A small seeded random number generator for jitter and sampling; not for secrets.

/// Generates the same sequence for the same seed (the SplitMix64 algorithm).
///
/// ```
/// use sedgeridge_coordination::random::SeededRandom;
///
/// let mut a = SeededRandom::new(7);
/// let mut b = SeededRandom::new(7);
/// assert_eq!(a.next_u64(), b.next_u64());
/// ```
#[derive(Debug, Clone)]
pub struct SeededRandom {
    state: u64,
}

impl SeededRandom {
    /// Creates a generator.
    pub fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    /// Returns the next 64 random bits.
    pub fn next_u64(&mut self) -> u64 {
        self.state = self.state.wrapping_add(SPLIT_MIX_STEP);
        mix(self.state)
    }

    /// Returns a number in `0..bound`, or 0 when `bound` is 0.
    ///
    /// ```
    /// use sedgeridge_coordination::random::SeededRandom;
    ///
    /// assert!(SeededRandom::new(1).below(10) < 10);
    /// ```
    pub fn below(&mut self, bound: u64) -> u64 {
        let wide = u128::from(self.next_u64()) * u128::from(bound);
        u64::try_from(wide >> 64).unwrap_or_default()
    }

    /// Returns an index into a list of this length, or 0 for an empty one.
    ///
    /// ```
    /// use sedgeridge_coordination::random::SeededRandom;
    ///
    /// assert!(SeededRandom::new(7).index(3) < 3);
    /// ```
    pub fn index(&mut self, len: usize) -> usize {
        if len == 0 {
            return 0;
        }
        (self.next_u64() % len as u64) as usize
    }

    /// Keeps up to `count` randomly chosen items of a list, in random order.
    ///
    /// ```
    /// use sedgeridge_coordination::random::SeededRandom;
    ///
    /// let mut hosts = vec!["router-1", "router-2", "router-3"];
    /// SeededRandom::new(7).choose(&mut hosts, 2);
    /// assert_eq!(hosts.len(), 2);
    /// ```
    pub fn choose<T>(&mut self, items: &mut Vec<T>, count: usize) {
        let count = count.min(items.len());
        for index in 0..count {
            let other = index + self.index(items.len() - index);
            items.swap(index, other);
        }
        items.truncate(count);
    }
}

/// Increment of SplitMix64.
const SPLIT_MIX_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Finaliser of SplitMix64: a difference in any input bit affects all output bits.
pub(crate) fn mix(mut value: u64) -> u64 {
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
