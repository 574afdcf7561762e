//! How long a suspected member has to refute.
//!
//! After Lifeguard (Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness for More Accurate
//! Failure Detection", 2018): the time starts long and shrinks with each independent accuser.

use std::time::Duration;

use sedgeridge_state::ids::HostId;

/// Accusers besides the first that shrink the time to its shortest.
const CONFIRMATIONS: usize = 3;

/// Longest time to refute, as a multiple of the shortest.
const LONGEST_FACTOR: f64 = 4.0;

/// A running suspicion of one member.
#[derive(Debug, Clone)]
pub(crate) struct Suspicion {
    started: Duration,
    shortest: Duration,
    needed: usize,
    accusers: Vec<HostId>,
}

impl Suspicion {
    /// Starts a suspicion; `others` is the number of live members besides the suspect and oneself.
    pub(crate) fn new(
        now: Duration,
        shortest: Duration,
        others: usize,
        accuser: Option<HostId>,
    ) -> Self {
        Self {
            started: now,
            shortest,
            needed: CONFIRMATIONS.min(others),
            accusers: accuser.into_iter().collect(),
        }
    }

    /// Adds an accuser; returns whether it is new and still shortens the time.
    pub(crate) fn confirm(&mut self, accuser: HostId) -> bool {
        if self.accusers.len() > self.needed || self.accusers.contains(&accuser) {
            return false;
        }
        self.accusers.push(accuser);
        true
    }

    /// Starts the time again, as after a pause of this process.
    pub(crate) fn restart(&mut self, now: Duration) {
        self.started = now;
    }

    /// Time at which the suspect is declared dead.
    pub(crate) fn deadline(&self) -> Duration {
        self.started + self.shortest.mul_f64(self.factor())
    }

    fn factor(&self) -> f64 {
        if self.needed == 0 {
            return 1.0;
        }
        let confirmations = self.accusers.len().saturating_sub(1).min(self.needed) as f64;
        let share = (confirmations + 1.0).ln() / (self.needed as f64 + 1.0).ln();
        LONGEST_FACTOR - (LONGEST_FACTOR - 1.0) * share
    }
}
