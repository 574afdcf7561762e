//! Log lines and counters of one request.

use std::time::Duration;

use sedgeridge_fleet::arrival::RequestId;
use sedgeridge_fleet::endpoint_table::Endpoint;
use sedgeridge_fleet::verdict::Basis;
use sedgeridge_fleet::verdict::Failure;
use sedgeridge_fleet::verdict::RefusalReason;
use serde_json::Value;

use crate::call::ActiveRequest;
use crate::clock::Clock;
use crate::event_log::LogEvent;
use crate::event_log::millis;
use crate::gateway::Gateway;
use crate::meters;
use crate::wire::WireFormat;

impl<W: WireFormat, C: Clock> ActiveRequest<W, C> {
    pub(crate) fn record_first_piece(&self) {
        let elapsed = self.gateway.now().saturating_sub(self.received_at);
        meters::record_first_piece(self.route.repeat, elapsed);
        if elapsed > self.route.latency_target {
            let fields = [
                ("request", (*self.outgoing.id).into()),
                ("route", (*self.route.name).into()),
                ("after_ms", millis(elapsed)),
                ("target_ms", millis(self.route.latency_target)),
            ];
            self.gateway.log(LogEvent::RequestLate, &fields);
        }
    }

    pub(crate) fn log_failed_attempt(&self, endpoint: &Endpoint, failure: Failure) {
        let fields = [
            ("request", (*self.outgoing.id).into()),
            ("endpoint", endpoint.id.as_str().into()),
            ("address", endpoint.address.to_string().into()),
            ("failure", failure.as_str().into()),
            ("may_have_run", failure.may_have_run().into()),
        ];
        log_failed_attempt(&self.gateway, self.id, failure, &fields);
    }

    pub(crate) fn log_refusal(&self, reason: RefusalReason, retry_after: Duration, basis: &Basis) {
        let refused = RefusedRequest {
            id: &self.outgoing.id,
            account: self.account_name(),
            route: &self.route.name,
            received_at: self.received_at,
        };
        log_refusal(&self.gateway, &refused, reason, retry_after, basis);
    }

    pub(crate) fn log_failure(&self, failure: Failure) {
        meters::count_failed(failure.as_str());
        let fields = [
            ("request", (*self.outgoing.id).into()),
            ("account", self.account_name().into()),
            ("route", (*self.route.name).into()),
            ("failure", failure.as_str().into()),
        ];
        self.gateway.log(LogEvent::RequestFailed, &fields);
    }

    fn account_name(&self) -> &str {
        let account = self.outgoing.account.as_ref();
        account.map_or("", |account| account.as_str())
    }
}

/// Log fields of a refused request.
pub(crate) struct RefusedRequest<'a> {
    /// Id of the request on the wire.
    pub(crate) id: &'a str,
    /// Client account that pays; empty if there is none.
    pub(crate) account: &'a str,
    /// Name of the route.
    pub(crate) route: &'a str,
    /// Time at which the head had been read.
    pub(crate) received_at: Duration,
}

/// Counts a refusal, and logs it unless the event's lines for this second are used up.
pub(crate) fn log_refusal<W: WireFormat, C: Clock>(
    gateway: &Gateway<W, C>,
    refused: &RefusedRequest<'_>,
    reason: RefusalReason,
    retry_after: Duration,
    basis: &Basis,
) {
    meters::count_refused(reason.as_str());
    if !gateway
        .log
        .is_within_budget(gateway.now(), LogEvent::RequestRefused)
    {
        return;
    }
    let waited = gateway.now().saturating_sub(refused.received_at);
    let endpoint = basis.endpoint.as_ref().map(|endpoint| endpoint.id.as_str());
    let fields = [
        ("request", refused.id.into()),
        ("account", refused.account.into()),
        ("route", refused.route.into()),
        ("reason", reason.as_str().into()),
        ("retry_after_ms", millis(retry_after)),
        ("waited_ms", millis(waited)),
        ("standing", rounded(basis.share_used)),
        ("asked", rounded(basis.share_requested)),
        ("least_standing", rounded(basis.least_share_used)),
        ("queued", basis.queued_requests.into()),
        ("admitted", basis.admitted_part.map(rounded).into()),
        ("hosts", basis.hosts.into()),
        ("oldest_report_ms", millis(basis.oldest_report_age)),
        ("endpoint", endpoint.into()),
        ("backlog_ms", rounded(basis.backlog_ms)),
        ("first_piece_ms", rounded(basis.first_piece_ms)),
        ("config_version", gateway.routes.borrow().version().into()),
    ];
    gateway.log(LogEvent::RequestRefused, &fields);
}

fn rounded(value: f64) -> Value {
    ((value * 100.0).round() / 100.0).into()
}

/// Counts and logs a failed attempt, with how far it got: an attempt that was lost soon after its answer began may have
/// crashed its endpoint, by some part of its prompt.
pub(crate) fn log_failed_attempt<W: WireFormat, C: Clock>(
    gateway: &Gateway<W, C>,
    id: RequestId,
    failure: Failure,
    fields: &[(&'static str, Value)],
) {
    meters::count_failed_attempt(failure.as_str());
    let now = gateway.now();
    let progress = gateway.with_dispatcher(|dispatcher| dispatcher.attempt_progress(now, id));
    let progress = progress.unwrap_or_default();
    if failure == Failure::ConnectionLost {
        meters::count_lost_attempt(progress.stage());
    }
    let mut fields = fields.to_vec();
    fields.push(("sent_ago_ms", millis(progress.sent_ago)));
    fields.push(("answered_for_ms", progress.answered_for.map(millis).into()));
    fields.push(("parts", progress.part_ids().into()));
    gateway.log(LogEvent::AttemptFailed, &fields);
}
