//! Decides from what the operating system tells of a connection whether its peer has stopped answering.
//!
//! A peer that reads nothing closes its window and goes on answering probes of it. Such a peer is slow and not silent.

use std::time::Duration;

/// Time between two checks of a connection with bytes that its peer has not acknowledged.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time without an answer after which a peer is silent. A round trip between data centres takes a few milliseconds, and a
/// lost packet is sent again within some hundred.
pub const SILENCE_LIMIT: Duration = Duration::from_millis(1_500);
/// Checks without unacknowledged bytes after which no more are made. The first probe of a closed window is sent some
/// hundred milliseconds after the last byte that was acknowledged.
const ACKNOWLEDGED_CHECKS: u32 = 2;

/// State of the bytes that were sent on a connection.
#[derive(Debug, Clone, Copy)]
pub struct SentState {
    /// Whether the peer has not acknowledged some of them, or its window is closed.
    pub is_outstanding: bool,
    /// Whether a packet or a probe was sent again since the peer's last answer.
    pub is_unanswered: bool,
    /// Time since the peer's last answer.
    pub since_answer: Duration,
}

/// Result of a check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerStatus {
    /// Everything is acknowledged. Checks may stop until more is sent.
    Acknowledged,
    /// Another check is needed.
    Pending,
    /// The peer does not answer.
    Silent,
}

/// Checks of one connection so far.
#[derive(Debug, Default)]
pub struct PeerSilence {
    /// Time since the peer's last answer, at the first check of the present series without one and at the last.
    unanswered: Option<(Duration, Duration)>,
    acknowledged_checks: u32,
}

impl PeerSilence {
    /// Judges a check. Two checks are [`CHECK_INTERVAL`] apart, or more if the host is busy.
    ///
    /// The time between two probes of a closed window grows. A probe that was sent just before the check has no answer
    /// yet, though the last one may be many seconds old, so that time alone does not show silence.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_fleet::peer_silence::{PeerSilence, PeerStatus, SentState};
    ///
    /// let unanswered_for = |ms| SentState {
    ///     is_outstanding: true,
    ///     is_unanswered: true,
    ///     since_answer: Duration::from_millis(ms),
    /// };
    /// let mut silence = PeerSilence::default();
    /// assert_eq!(silence.check(unanswered_for(6_400)), PeerStatus::Pending);
    /// assert_eq!(silence.check(unanswered_for(6_900)), PeerStatus::Pending);
    /// assert_eq!(silence.check(unanswered_for(7_900)), PeerStatus::Silent);
    /// ```
    pub fn check(&mut self, sent: SentState) -> PeerStatus {
        if !sent.is_unanswered {
            self.unanswered = None;
            return self.check_answered(sent.is_outstanding);
        }
        self.acknowledged_checks = 0;
        let same_series = |(_, last): &(Duration, Duration)| sent.since_answer > *last;
        let first = match self.unanswered.filter(same_series) {
            Some((first, _)) => first,
            None => sent.since_answer,
        };
        self.unanswered = Some((first, sent.since_answer));
        match sent.since_answer - first >= SILENCE_LIMIT {
            true => PeerStatus::Silent,
            false => PeerStatus::Pending,
        }
    }

    fn check_answered(&mut self, is_outstanding: bool) -> PeerStatus {
        self.acknowledged_checks = match is_outstanding {
            true => 0,
            false => self.acknowledged_checks + 1,
        };
        match self.acknowledged_checks >= ACKNOWLEDGED_CHECKS {
            true => PeerStatus::Acknowledged,
            false => PeerStatus::Pending,
        }
    }
}
