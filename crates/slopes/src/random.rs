//! Seeded random numbers.

/// Xorshift generator: the same seed gives the same sequence.
#[derive(Debug, Clone)]
pub struct Random {
    state: u64,
}

impl Random {
    /// Creates a generator.
    pub fn new(seed: u64) -> Self {
        Self {
            state: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
        }
    }

    /// Returns the next 64-bit number.
    pub fn next_u64(&mut self) -> u64 {
        self.state ^= self.state << 13;
        self.state ^= self.state >> 7;
        self.state ^= self.state << 17;
        self.state
    }

    /// Returns a number below `bound`.
    ///
    /// ```
    /// use sedgeridge_slopes::random::Random;
    ///
    /// assert!(Random::new(1).below(10) < 10);
    /// ```
    pub fn below(&mut self, bound: u64) -> u64 {
        self.next_u64() % bound.max(1)
    }

    /// Returns a number of at least 0 and less than 1.
    pub fn fraction(&mut self) -> f64 {
        (self.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Returns an exponentially distributed interval in seconds between events of this mean rate.
    pub fn exponential_interval_s(&mut self, rate_per_s: f64) -> f64 {
        -(1.0 - self.fraction()).ln() / rate_per_s
    }
}
