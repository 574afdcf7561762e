//! What other hosts probably began of late and have not told of.

use std::collections::VecDeque;
use std::time::Duration;

use nohash_hasher::IntMap;

/// Time for which what this host began stands for what others began besides: about the time until
/// they have heard of it by way of the relays.
pub const REPORT_DELAY: Duration = Duration::from_millis(400);

/// A request that this host sent to an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StartedRequest {
    /// When it was sent.
    pub at: Duration,
    /// The account that pays for it.
    pub account: u64,
    /// What it is charged.
    pub tokens: f64,
}

/// Guesses of what other hosts began, by account.
///
/// When an account that asks everywhere comes below its share, all hosts see it at the same time.
/// If each goes by what it knows, together they begin several times what there is room for
/// before they hear of each other, and an account that one host serves finds the engines full.
/// A host that expects the others to do as it does stops after its own part of the room.
///
/// ```
/// use std::time::Duration;
/// use sedgeridge_fleet::unreported_starts::{StartedRequest, UnreportedStarts};
///
/// let mut unseen = UnreportedStarts::default();
/// unseen.begin(StartedRequest { at: Duration::ZERO, account: 7, tokens: 100.0 });
/// // Others are asked for three times as much as this host.
/// unseen.guess(7, 3.0, 1_000.0);
/// assert_eq!(unseen.tokens(7), 300.0);
/// ```
#[derive(Debug, Default)]
pub struct UnreportedStarts {
    /// What this host began within [`REPORT_DELAY`], oldest first.
    recent: VecDeque<StartedRequest>,
    guesses: IntMap<u64, f64>,
}

impl UnreportedStarts {
    /// Notes what this host begins.
    pub fn begin(&mut self, begin: StartedRequest) {
        self.recent.push_back(begin);
    }

    /// Forgets what did not run after all.
    pub fn take_back(&mut self, begin: StartedRequest) {
        if let Some(index) = self.recent.iter().position(|it| *it == begin) {
            self.recent.remove(index);
        }
    }

    /// Forgets what the others have answered with theirs, and all guesses. Returns the accounts
    /// that need new ones.
    pub fn tick(&mut self, now: Duration) -> Vec<u64> {
        let is_old = |begin: &StartedRequest| now.saturating_sub(begin.at) > REPORT_DELAY;
        while self.recent.front().is_some_and(is_old) {
            self.recent.pop_front();
        }
        self.guesses.clear();
        let mut accounts: Vec<u64> = self.recent.iter().map(|begin| begin.account).collect();
        accounts.sort_unstable();
        accounts.dedup();
        accounts
    }

    /// Guesses that others began `ratio` times as much as this host, and `most` tokens at the most.
    pub fn guess(&mut self, account: u64, ratio: f64, most: f64) {
        let recent = self.recent.iter().filter(|it| it.account == account);
        let began: f64 = recent.map(|it| it.tokens).sum();
        self.guesses.insert(account, (began * ratio).min(most));
    }

    /// Returns the tokens that others probably began.
    pub fn tokens(&self, account: u64) -> f64 {
        self.guesses.get(&account).copied().unwrap_or_default()
    }
}
