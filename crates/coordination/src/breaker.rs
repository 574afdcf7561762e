//! Circuit breaker of one endpoint: closed while the endpoint works, open while it is ejected,
//! half-open while a single trial request checks whether it works again.

use std::time::Duration;

use sedgeridge_state::settings::HealthSettings;
use sedgeridge_state::settings::millis;

/// Maximum number of doublings of the ejection time.
const MAX_DOUBLINGS: u32 = 6;
/// Time after which a counted answer has half of its weight.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Minimum weighted answers for a meaningful share of failures.
const MIN_ANSWERS: f64 = 20.0;
/// Minimum share of failures of an outlier.
const OUTLIER_SHARE: f64 = 0.5;
/// Minimum ratio of an outlier's share of failures to that of the rest of its pool.
const OUTLIER_FACTOR: f64 = 2.0;

/// Kind of failure of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FailureKind {
    /// No connection could be opened.
    ConnectFailed,
    /// The connection was lost while the request ran.
    ConnectionLost,
    /// The first byte of the answer did not come in time.
    TimedOut,
    /// The answer was a server error.
    ServerError,
    /// No more of the answer came on an open connection.
    Silent,
    /// The load report could not be read.
    ReportMissing,
}

impl FailureKind {
    /// Returns the stable name, used in metric labels.
    ///
    /// ```
    /// use sedgeridge_coordination::breaker::FailureKind;
    ///
    /// assert_eq!(FailureKind::TimedOut.as_str(), "timed_out");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Self::ConnectFailed => "connect_failed",
            Self::ConnectionLost => "connection_lost",
            Self::TimedOut => "timed_out",
            Self::ServerError => "server_error",
            Self::Silent => "silent",
            Self::ReportMissing => "report_missing",
        }
    }

    fn indicates_unreachable(self) -> bool {
        matches!(
            self,
            Self::ConnectFailed | Self::ConnectionLost | Self::ReportMissing
        )
    }
}

/// Recent answers and failures, with exponentially decaying weights.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct AnswerCounts {
    answers: f64,
    failures: f64,
    counted_at: Duration,
}

impl AnswerCounts {
    fn count(&mut self, now: Duration, failed: bool) {
        let elapsed_s = now.saturating_sub(self.counted_at).as_secs_f64();
        let decay_factor = (-elapsed_s / HALF_LIFE.as_secs_f64()).exp2();
        self.answers = self.answers * decay_factor + 1.0;
        self.failures = self.failures * decay_factor + f64::from(u8::from(failed));
        self.counted_at = now;
    }

    /// Adds the counts of another endpoint.
    pub(crate) fn add(&mut self, other: Self) {
        self.answers += other.answers;
        self.failures += other.failures;
    }

    fn failure_share(self) -> f64 {
        self.failures / self.answers.max(1.0)
    }

    fn is_outlier(self, others: Self) -> bool {
        self.answers >= MIN_ANSWERS
            && self.failure_share() >= OUTLIER_SHARE
            && self.failure_share() >= others.failure_share() * OUTLIER_FACTOR
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Closed,
    Open { until: Duration },
    HalfOpen,
}

/// Breaker of one endpoint. It reports when it should open; its pool decides whether it may.
#[derive(Debug)]
pub(crate) struct Breaker {
    state: State,
    state_since: Duration,
    last_failure: Option<FailureKind>,
    ejections: u32,
    request_failures: u32,
    report_failures: u32,
    counts: AnswerCounts,
}

impl Breaker {
    /// Creates a closed breaker.
    pub(crate) fn new() -> Self {
        Self {
            state: State::Closed,
            state_since: Duration::ZERO,
            last_failure: None,
            ejections: 0,
            request_failures: 0,
            report_failures: 0,
            counts: AnswerCounts::default(),
        }
    }

    /// Tells whether the endpoint takes no work or only a single trial request.
    pub(crate) fn is_ejected(&self) -> bool {
        self.state != State::Closed
    }

    /// Tells whether a single trial request may run.
    pub(crate) fn is_half_open(&self) -> bool {
        self.state == State::HalfOpen
    }

    /// Returns when an open breaker turns half-open.
    pub(crate) fn open_until(&self) -> Option<Duration> {
        match self.state {
            State::Open { until } => Some(until),
            State::Closed | State::HalfOpen => None,
        }
    }

    /// Returns the recent answers and failures.
    pub(crate) fn counts(&self) -> AnswerCounts {
        self.counts
    }

    /// Counts a complete answer to a request started at `started_at`; returns whether it closes the
    /// breaker.
    pub(crate) fn record_success(&mut self, now: Duration, started_at: Duration) -> bool {
        self.counts.count(now, false);
        self.request_failures = 0;
        self.report_failures = 0;
        let closes = self.is_half_open() && started_at >= self.state_since;
        if closes {
            self.set_state(now, State::Closed);
        }
        closes
    }

    /// Counts a failure; returns whether the breaker should open.
    pub(crate) fn record_failure(
        &mut self,
        now: Duration,
        started_at: Duration,
        kind: FailureKind,
        settings: &HealthSettings,
        others: AnswerCounts,
    ) -> bool {
        // A crash ends many requests at once. Requests that started before the last state change
        // say nothing about the present state of the endpoint.
        if started_at < self.state_since || self.open_until().is_some() {
            return false;
        }
        self.last_failure = Some(kind);
        if kind == FailureKind::ReportMissing {
            self.report_failures += 1;
        } else {
            self.request_failures += 1;
            self.counts.count(now, true);
        }
        self.is_half_open()
            || self.request_failures >= settings.eject_after_failures
            || self.report_failures >= settings.eject_after_failures
            || self.counts.is_outlier(others)
    }

    /// Opens the breaker; each further ejection lasts twice as long.
    pub(crate) fn open(&mut self, now: Duration, settings: &HealthSettings) {
        let doublings = self.ejections.min(MAX_DOUBLINGS);
        let until = now + millis(settings.eject_ms).saturating_mul(1 << doublings);
        self.ejections = self.ejections.saturating_add(1);
        self.set_state(now, State::Open { until });
    }

    /// Closes the breaker although the endpoint fails, because its pool cannot do without it.
    pub(crate) fn force_close(&mut self, now: Duration) {
        self.set_state(now, State::Closed);
    }

    /// Turns an open breaker half-open, so that a trial request may run.
    pub(crate) fn half_open(&mut self, now: Duration) {
        if self.open_until().is_some() {
            self.set_state(now, State::HalfOpen);
        }
    }

    /// Records a load report measured at `measured_at`.
    ///
    /// An endpoint that was ejected as unreachable gets its trial request as soon as it reports
    /// again: waiting for the end of the ejection would leave a restarted engine idle.
    pub(crate) fn record_report(&mut self, now: Duration, measured_at: Duration) {
        self.report_failures = 0;
        let was_unreachable = self
            .last_failure
            .is_some_and(FailureKind::indicates_unreachable);
        if was_unreachable && measured_at > self.state_since {
            self.half_open(now);
        }
    }

    /// Resets the count of ejections, once the endpoint carries its full load again.
    pub(crate) fn reset_ejections(&mut self) {
        self.ejections = 0;
    }

    fn set_state(&mut self, now: Duration, state: State) {
        self.state = state;
        self.state_since = now;
        self.request_failures = 0;
        self.report_failures = 0;
        self.counts = AnswerCounts::default();
    }
}

impl Default for Breaker {
    fn default() -> Self {
        Self::new()
    }
}
