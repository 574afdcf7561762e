//! Computes when the callers of refused requests should retry.

use std::time::Duration;

use super::Dispatcher;
use super::candidates::BestEndpoint;
use crate::arrival::Arrival;
use crate::retry_delay::RefusedRequest;
use crate::verdict::RefusalReason;

/// Retry delay for a request that is suspected of crashing endpoints. By then the endpoint that runs it has answered or is
/// known to be down.
const QUARANTINE_RETRY_DELAY: Duration = Duration::from_millis(2_000);
/// Retry delay when no endpoint can be reached: the time of detection plus restart. Refusals because the host is busy
/// or the request is out of time use the same delay, although this reason does not apply to them.
const OUTAGE_RETRY_DELAY: Duration = Duration::from_millis(400);

impl Dispatcher {
    /// Returns the retry delay of a request that is refused now.
    pub(super) fn retry_after(
        &mut self,
        now: Duration,
        arrival: &Arrival,
        reason: RefusalReason,
        best: Option<&BestEndpoint>,
    ) -> Duration {
        let wait = match reason {
            RefusalReason::OverShare | RefusalReason::Overload => {
                let refused = self.refused_request(now, arrival, best);
                self.retry_delays.after_refusal(refused)
            }
            RefusalReason::Quarantined => QUARANTINE_RETRY_DELAY,
            RefusalReason::TurnedAway if self.is_plain_shortage(now, arrival, &[]) => {
                let refused = self.refused_request(now, arrival, best);
                self.retry_delays.after_refusal(refused)
            }
            RefusalReason::NoEndpoint | RefusalReason::TurnedAway => {
                let closed_until = self.closed_until(now, &arrival.service);
                closed_until.map_or(OUTAGE_RETRY_DELAY, |until| {
                    self.retry_delays.while_closed(until.saturating_sub(now))
                })
            }
            RefusalReason::VersionGone
            | RefusalReason::OriginUnknown
            | RefusalReason::OutOfTime
            | RefusalReason::HostBusy => OUTAGE_RETRY_DELAY,
        };
        // A delay beyond the caller's deadline is of no use.
        wait.min(arrival.deadline.saturating_sub(now))
    }

    fn refused_request(
        &self,
        now: Duration,
        arrival: &Arrival,
        best: Option<&BestEndpoint>,
    ) -> RefusedRequest {
        let (backlog_ms, first_event_ms) =
            best.map_or((0.0, 0.0), |best| (best.backlog_ms, best.first_event_ms));
        let allowed_ms = self.allowed_backlog_ms(now, arrival, first_event_ms);
        let backlog_wait_ms = (backlog_ms - allowed_ms).max(0.0);
        let first_piece_ms = (first_event_ms - backlog_ms).max(0.0);
        RefusedRequest {
            latency_target: arrival.route.latency_target,
            waited: now.saturating_sub(arrival.received_at),
            backlog_wait: Duration::from_secs_f64(backlog_wait_ms / 1_000.0),
            first_piece_delay: Duration::from_secs_f64(first_piece_ms / 1_000.0),
        }
    }
}
