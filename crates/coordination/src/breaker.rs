//! The breaker of one endpoint: closed while it works, open while it is ejected, half-open while
//! one request tries whether it is back.

use std::time::Duration;

use sedgeridge_state::settings::HealthSettings;
use sedgeridge_state::settings::millis;

/// Most doublings of the ejection time.
const MAX_DOUBLINGS: u32 = 6;
/// Time in which a counted answer loses half of its weight.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Answers needed before a share of failures means anything.
const MIN_ANSWERS: f64 = 20.0;
/// Share of failures that makes an endpoint an outlier.
const OUTLIER_SHARE: f64 = 0.5;
/// An outlier fails at least this many times as often as the rest of its pool.
const OUTLIER_FACTOR: f64 = 2.0;

/// What went wrong with an endpoint.
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
    /// The answer went silent on an open connection.
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

    fn means_unreachable(self) -> bool {
        matches!(
            self,
            Self::ConnectFailed | Self::ConnectionLost | Self::ReportMissing
        )
    }
}

/// Recent answers and failures, older ones counting less.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct AnswerCounts {
    answers: f64,
    failures: f64,
    counted_at: Duration,
}

impl AnswerCounts {
    fn count(&mut self, now: Duration, failed: bool) {
        let elapsed_s = now.saturating_sub(self.counted_at).as_secs_f64();
        let kept = (-elapsed_s / HALF_LIFE.as_secs_f64()).exp2();
        self.answers = self.answers * kept + 1.0;
        self.failures = self.failures * kept + f64::from(u8::from(failed));
        self.counted_at = now;
    }

    /// Adds the counts of another endpoint.
    pub(crate) fn add(&mut self, other: Self) {
        self.answers += other.answers;
        self.failures += other.failures;
    }

    fn failed_share(self) -> f64 {
        self.failures / self.answers.max(1.0)
    }

    fn is_outlier(self, others: Self) -> bool {
        self.answers >= MIN_ANSWERS
            && self.failed_share() >= OUTLIER_SHARE
            && self.failed_share() >= others.failed_share() * OUTLIER_FACTOR
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Closed,
    Open { until: Duration },
    HalfOpen,
}

/// Breaker of one endpoint. It says when it wants to open; its pool decides whether it may.
#[derive(Debug)]
pub(crate) struct Breaker {
    state: State,
    since: Duration,
    cause: Option<FailureKind>,
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
            since: Duration::ZERO,
            cause: None,
            ejections: 0,
            request_failures: 0,
            report_failures: 0,
            counts: AnswerCounts::default(),
        }
    }

    /// Tells whether the endpoint takes no work or just one request on trial.
    pub(crate) fn is_ejected(&self) -> bool {
        self.state != State::Closed
    }

    /// Tells whether one request on trial may run.
    pub(crate) fn is_half_open(&self) -> bool {
        self.state == State::HalfOpen
    }

    /// Tells when an open breaker turns half-open.
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

    /// Counts a whole answer to a request started at `started_at`; tells whether the breaker
    /// closed by it.
    pub(crate) fn record_success(&mut self, now: Duration, started_at: Duration) -> bool {
        self.counts.count(now, false);
        self.request_failures = 0;
        self.report_failures = 0;
        let closes = self.is_half_open() && started_at >= self.since;
        if closes {
            self.change(now, State::Closed);
        }
        closes
    }

    /// Counts a failure; tells whether the breaker wants to open.
    pub(crate) fn record_failure(
        &mut self,
        now: Duration,
        started_at: Duration,
        kind: FailureKind,
        settings: &HealthSettings,
        others: AnswerCounts,
    ) -> bool {
        // A crash ends many requests at once. Those that began before the breaker last changed say
        // nothing about the endpoint as it is now.
        if started_at < self.since || self.open_until().is_some() {
            return false;
        }
        self.cause = Some(kind);
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
        self.change(now, State::Open { until });
    }

    /// Closes the breaker although the endpoint fails, since its pool can't spare it.
    pub(crate) fn close_anyway(&mut self, now: Duration) {
        self.change(now, State::Closed);
    }

    /// Lets one request try whether the endpoint is back.
    pub(crate) fn half_open(&mut self, now: Duration) {
        if self.open_until().is_some() {
            self.change(now, State::HalfOpen);
        }
    }

    /// Notes a load report with figures from `figures_at`.
    ///
    /// An endpoint that was ejected because it could not be reached is tried as soon as it reports
    /// again: waiting out the ejection would leave a restarted engine idle.
    pub(crate) fn record_report(&mut self, now: Duration, figures_at: Duration) {
        self.report_failures = 0;
        let was_unreachable = self.cause.is_some_and(FailureKind::means_unreachable);
        if was_unreachable && figures_at > self.since {
            self.half_open(now);
        }
    }

    /// Forgets earlier ejections, once the endpoint carries its full load again.
    pub(crate) fn forgive(&mut self) {
        self.ejections = 0;
    }

    fn change(&mut self, now: Duration, state: State) {
        self.state = state;
        self.since = now;
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
