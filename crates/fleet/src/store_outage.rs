//! Distinguishes an outage of the platform's store from a failure that only some hosts see.

use std::collections::VecDeque;
use std::time::Duration;

/// Longest time between the first failures of two hosts when the store goes down. An answer that
/// one of them gets within it says nothing about the time after.
const ONSET_SPREAD: Duration = Duration::from_millis(250);
/// Longest time between the first answers of two hosts when the store is back: an unanswered call,
/// the longest pause after it, and the delay of the report. A more recent answer may have come
/// after the end of an outage.
const RETURN_SPREAD: Duration = Duration::from_millis(1_800);
/// Shortest time between an answer and a later one that confirms it. A host whose clock stopped
/// while it was suspended takes its last answer for a new one.
const CONFIRMATION_DELAY: Duration = Duration::from_millis(100);
/// Shortest loss in which entries can have lapsed. They lapse after three missed heartbeats at the
/// earliest; half of that leaves a margin.
pub const MIN_OUTAGE: Duration = Duration::from_millis(1_500);

/// The hosts' reports about the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoreReports {
    /// Start of the failures of each host whose calls fail.
    pub lost_since: Vec<Duration>,
    /// Time of the last answer to any host.
    pub answered_at: Option<Duration>,
}

/// Conclusions that a host may draw when it loses the store.
///
/// The default knows of no other host, so any loss may be fleet-wide.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OutageView {
    /// Start of the last long fleet-wide outage.
    started_at: Option<Duration>,
    /// Time of the store's first answer to any host after it.
    ended_at: Option<Duration>,
    /// Time of a confirmed answer. A fleet-wide outage that came later cannot have stayed unseen.
    confirmed_answer: Option<Duration>,
}

impl OutageView {
    /// Returns whether a loss that began at `lost_at` may be fleet-wide.
    pub fn may_be_fleet_wide(&self, lost_at: Duration) -> bool {
        self.started_at.is_some() || !self.is_refuted(lost_at)
    }

    /// Returns the time of the store's first answer to any host after the last long fleet-wide
    /// outage.
    pub fn ended_at(&self) -> Option<Duration> {
        self.ended_at
    }

    /// Returns whether the store answered another host after this loss began. Each loss is judged
    /// by itself: a host that was refused alone must not hide a later fleet-wide outage.
    fn is_refuted(&self, lost_at: Duration) -> bool {
        self.confirmed_answer
            .is_some_and(|at| at > lost_at + ONSET_SPREAD)
    }
}

/// Tracks the last outage in which the store answered no host at all.
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
///     let reports = StoreReports { lost_since: lost_since.clone(), answered_at: Some(seconds(now)) };
///     outage.tick(seconds(now), reports);
/// }
/// assert_eq!(outage.since(), None);
/// ```
#[derive(Debug, Default)]
pub struct StoreOutage {
    current_since: Option<Duration>,
    view: OutageView,
    /// Answers that may have come after the end of an outage.
    recent_answers: VecDeque<Duration>,
    /// An older answer that is not confirmed by a later one yet.
    older_answer: Option<Duration>,
}

impl StoreOutage {
    /// Updates the state with the hosts' reports. Call it several times a second.
    pub fn tick(&mut self, now: Duration, reports: StoreReports) {
        self.note_answer(now, reports.answered_at);
        let lost_since = reports.lost_since.into_iter();
        self.current_since = lost_since.filter(|at| !self.view.is_refuted(*at)).min();
        let is_long = |lost_at: &Duration| now.saturating_sub(*lost_at) >= MIN_OUTAGE;
        let kept = self.view.started_at.filter(|at| !self.view.is_refuted(*at));
        self.view.started_at = kept.or(self.current_since.filter(is_long));
        self.view.ended_at = self
            .view
            .started_at
            .and_then(|at| self.first_answer_after(at));
    }

    /// Returns the start of the outage, if it is still going on or has just ended.
    pub fn since(&self) -> Option<Duration> {
        self.view.started_at.or(self.current_since)
    }

    /// Returns what a host may conclude when it loses the store itself.
    pub fn view(&self) -> OutageView {
        self.view
    }

    fn first_answer_after(&self, lost_at: Duration) -> Option<Duration> {
        let answers = self.older_answer.iter().chain(&self.recent_answers);
        answers.copied().find(|at| *at > lost_at + ONSET_SPREAD)
    }

    fn note_answer(&mut self, now: Duration, answered_at: Option<Duration>) {
        if let Some(at) = answered_at.filter(|at| self.recent_answers.back() < Some(at)) {
            self.recent_answers.push_back(at);
        }
        let is_old = |at: &mut Duration| *at + RETURN_SPREAD <= now;
        while let Some(at) = self.recent_answers.pop_front_if(is_old) {
            self.confirm_with(at);
        }
    }

    fn confirm_with(&mut self, answered_at: Duration) {
        let Some(earlier) = self.older_answer else {
            self.older_answer = Some(answered_at);
            return;
        };
        if earlier + CONFIRMATION_DELAY <= answered_at {
            self.view.confirmed_answer = Some(earlier);
            self.older_answer = Some(answered_at);
        }
    }
}
