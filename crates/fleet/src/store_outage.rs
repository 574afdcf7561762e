//! Tells an outage of the platform's store from one that only some hosts see.

use std::collections::VecDeque;
use std::time::Duration;

/// Time between the failures of two hosts' calls when the store goes away: an answer that one of them still
/// got within it says nothing of the time after.
const ONSET: Duration = Duration::from_millis(250);
/// Longest time between two hosts' first answers when the store is back: a call that goes unanswered, the longest
/// pause after it, and the way of the report. An answer that is not older may be one of the time after an outage.
const RETURN_SPREAD: Duration = Duration::from_millis(1_800);
/// Time after which another answer confirms one. A host whose clock stood still while it was suspended takes its last
/// answer for a new one.
const CONFIRMED_AFTER: Duration = Duration::from_millis(100);
/// Shortest loss in which entries can have lapsed. They lapse after three missed heartbeats at the earliest; half of
/// that leaves a margin.
pub const MIN_OUTAGE: Duration = Duration::from_millis(1_500);

/// What the hosts' reports say of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoreReports {
    /// Since when it does not answer, for each host that calls it in vain.
    pub lost_since: Vec<Duration>,
    /// When it last answered any host.
    pub answered_at: Option<Duration>,
}

/// What a host may conclude from a loss of the store.
///
/// The default knows of no other host, so that each loss may be one of all.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OutageView {
    /// When the last long outage of all began.
    since: Option<Duration>,
    /// When the store first answered a host after it.
    ended_at: Option<Duration>,
    /// An answer that no outage of all can have followed unseen.
    confirmed_answer: Option<Duration>,
}

impl OutageView {
    /// Tells whether the store may have been away for all hosts in a loss that began at `lost_at`.
    pub fn may_be_fleet_wide(&self, lost_at: Duration) -> bool {
        self.since.is_some() || !self.is_refuted(lost_at)
    }

    /// Returns when the store first answered any host after the last long outage of all.
    pub fn ended_at(&self) -> Option<Duration> {
        self.ended_at
    }

    /// Tells whether the store answered another host after it was lost to one. A host that was refused alone must
    /// not hide that the store went away for all later, so that each loss is judged by itself.
    fn is_refuted(&self, lost_at: Duration) -> bool {
        self.confirmed_answer.is_some_and(|at| at > lost_at + ONSET)
    }
}

/// The last outage in which the store answered no host at all.
///
/// ```
/// use std::time::Duration;
/// use sedgeridge_fleet::store_outage::{StoreOutage, StoreReports};
///
/// let seconds = Duration::from_secs;
/// let mut outage = StoreOutage::default();
/// let lost_since = vec![seconds(5)];
/// outage.tick(seconds(6), StoreReports { lost_since: lost_since.clone(), answered_at: Some(seconds(4)) });
/// assert_eq!(outage.since(), Some(seconds(5)));
///
/// for now in 6..10 {
///     let answers_others = StoreReports { lost_since: lost_since.clone(), answered_at: Some(seconds(now)) };
///     outage.tick(seconds(now), answers_others);
/// }
/// assert_eq!(outage.since(), None);
/// ```
#[derive(Debug, Default)]
pub struct StoreOutage {
    current: Option<Duration>,
    view: OutageView,
    /// Answers that may be some of the time after an outage.
    answers: VecDeque<Duration>,
    /// An older answer that a later one is to confirm.
    settled: Option<Duration>,
}

impl StoreOutage {
    /// Takes in what hosts report. Call it several times a second.
    pub fn tick(&mut self, now: Duration, reports: StoreReports) {
        self.note_answer(now, reports.answered_at);
        let lost_since = reports.lost_since.into_iter();
        self.current = lost_since.filter(|at| !self.view.is_refuted(*at)).min();
        let is_long = |lost_at: &Duration| now.saturating_sub(*lost_at) >= MIN_OUTAGE;
        let kept = self.view.since.filter(|at| !self.view.is_refuted(*at));
        self.view.since = kept.or(self.current.filter(is_long));
        self.view.ended_at = self.view.since.and_then(|at| self.first_answer_after(at));
    }

    /// Returns when the outage began, if it lasts or has just ended.
    pub fn since(&self) -> Option<Duration> {
        self.view.since.or(self.current)
    }

    /// Returns what a host may conclude from a loss of its own.
    pub fn view(&self) -> OutageView {
        self.view
    }

    fn first_answer_after(&self, lost_at: Duration) -> Option<Duration> {
        let answers = self.settled.iter().chain(&self.answers);
        answers.copied().find(|at| *at > lost_at + ONSET)
    }

    fn note_answer(&mut self, now: Duration, answered_at: Option<Duration>) {
        if let Some(at) = answered_at.filter(|at| self.answers.back() < Some(at)) {
            self.answers.push_back(at);
        }
        let is_settled = |at: &mut Duration| *at + RETURN_SPREAD <= now;
        while let Some(at) = self.answers.pop_front_if(is_settled) {
            self.settle(at);
        }
    }

    fn settle(&mut self, answered_at: Duration) {
        let Some(earlier) = self.settled else {
            self.settled = Some(answered_at);
            return;
        };
        if earlier + CONFIRMED_AFTER <= answered_at {
            self.view.confirmed_answer = Some(earlier);
            self.settled = Some(answered_at);
        }
    }
}
