//! A small seeded random generator: the same seed gives the same requests.

/// SplitMix64: one word of state, sufficient to generate load.
#[derive(Debug, Clone)]
pub struct Random {
    state: u64,
}

impl Random {
    /// Creates a generator from a seed.
    ///
    /// ```
    /// use sedgeridge_load::random::Random;
    /// assert_eq!(Random::new(7).next_u64(), Random::new(7).next_u64());
    /// ```
    pub fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    /// Next word of the sequence.
    pub fn next_u64(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.state;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// A number in `low..=high`.
    ///
    /// ```
    /// let drawn = sedgeridge_load::random::Random::new(1).between(3, 5);
    /// assert!((3..=5).contains(&drawn));
    /// ```
    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        low + self.next_u64() % (high - low + 1)
    }

    /// A fraction in `0.0..1.0`.
    pub fn fraction(&mut self) -> f64 {
        (self.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Whether an event of this probability happens.
    pub fn happens(&mut self, probability: f64) -> bool {
        self.fraction() < probability
    }

    /// Time to the next arrival of a Poisson process.
    pub fn arrival_gap_s(&mut self, rate_per_s: f64) -> f64 {
        -(1.0 - self.fraction()).ln() / rate_per_s
    }
}
