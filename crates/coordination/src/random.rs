//! A small seeded generator for jitter and sampling; not for secrets.

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
        self.state = self.state.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut mixed = self.state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
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
}
