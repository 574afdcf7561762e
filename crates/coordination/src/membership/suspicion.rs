//! Time that a suspected member has to refute.
//!
//! After Lifeguard (Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness for More Accurate
//! Failure Detection", 2018): the time starts long and shrinks with each independent accuser.

use std::time::Duration;

use sedgeridge_state::ids::HostId;

/// Number of accusers besides the first at which the time reaches its minimum.
const MAX_CONFIRMATIONS: usize = 3;

/// Longest time to refute, as a multiple of the shortest one.
const MAX_DURATION_FACTOR: f64 = 4.0;

/// A running suspicion of one member.
#[derive(Debug, Clone)]
pub(crate) struct Suspicion {
    started_at: Duration,
    min_duration: Duration,
    needed_confirmations: usize,
    accusers: Vec<HostId>,
}

impl Suspicion {
    /// Starts a suspicion. `other_live_members` excludes the suspect and this host.
    pub(crate) fn new(
        now: Duration,
        min_duration: Duration,
        other_live_members: usize,
        accuser: Option<HostId>,
    ) -> Self {
        Self {
            started_at: now,
            min_duration,
            needed_confirmations: MAX_CONFIRMATIONS.min(other_live_members),
            accusers: accuser.into_iter().collect(),
        }
    }

    /// Adds an accuser. Returns whether it is new and still shortens the time.
    pub(crate) fn confirm(&mut self, accuser: HostId) -> bool {
        if self.accusers.len() > self.needed_confirmations || self.accusers.contains(&accuser) {
            return false;
        }
        self.accusers.push(accuser);
        true
    }

    /// Restarts the time to refute, as after a pause of this process.
    pub(crate) fn restart(&mut self, now: Duration) {
        self.started_at = now;
    }

    /// Returns when the suspect is declared dead.
    pub(crate) fn deadline(&self) -> Duration {
        self.started_at + self.min_duration.mul_f64(self.duration_factor())
    }

    fn duration_factor(&self) -> f64 {
        if self.needed_confirmations == 0 {
            return 1.0;
        }
        let confirmations = self
            .accusers
            .len()
            .saturating_sub(1)
            .min(self.needed_confirmations) as f64;
        let share = (confirmations + 1.0).ln() / (self.needed_confirmations as f64 + 1.0).ln();
        MAX_DURATION_FACTOR - (MAX_DURATION_FACTOR - 1.0) * share
    }
}
