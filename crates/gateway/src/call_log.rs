//! What is logged and counted about one request.

use std::time::Duration;

use sedgeridge_fleet::endpoint_table::Endpoint;
use sedgeridge_fleet::verdict::Basis;
use sedgeridge_fleet::verdict::Failure;
use sedgeridge_fleet::verdict::RefusalReason;
use serde_json::Value;

use crate::call::Call;
use crate::clock::Clock;
use crate::core::Core;
use crate::event_log::LogEvent;
use crate::event_log::millis;
use crate::meters;
use crate::wire::Wire;

impl<W: Wire, C: Clock> Call<W, C> {
    pub(crate) fn note_first_piece(&self) {
        let after = self.core.now().saturating_sub(self.received_at);
        meters::first_piece(self.route.repeat, after);
        if after > self.route.latency_target {
            let fields = [
                ("request", (*self.outgoing.id).into()),
                ("route", (*self.route.name).into()),
                ("after_ms", millis(after)),
                ("target_ms", millis(self.route.latency_target)),
            ];
            self.core.log(LogEvent::RequestLate, &fields);
        }
    }

    pub(crate) fn log_attempt(&self, endpoint: &Endpoint, failure: Failure) {
        meters::attempt_failed(failure.as_str());
        let fields = [
            ("request", (*self.outgoing.id).into()),
            ("endpoint", endpoint.id.as_str().into()),
            ("address", endpoint.address.to_string().into()),
            ("failure", failure.as_str().into()),
            ("may_have_run", failure.may_have_run().into()),
        ];
        self.core.log(LogEvent::AttemptFailed, &fields);
    }

    pub(crate) fn log_refusal(&self, reason: RefusalReason, retry_after: Duration, basis: &Basis) {
        let refused = Refused {
            id: &self.outgoing.id,
            account: self.account_name(),
            route: &self.route.name,
            received_at: self.received_at,
        };
        log_refusal(&self.core, &refused, reason, retry_after, basis);
    }

    pub(crate) fn log_failure(&self, failure: Failure) {
        meters::failed(failure.as_str());
        let fields = [
            ("request", (*self.outgoing.id).into()),
            ("account", self.account_name().into()),
            ("route", (*self.route.name).into()),
            ("failure", failure.as_str().into()),
        ];
        self.core.log(LogEvent::RequestFailed, &fields);
    }

    fn account_name(&self) -> &str {
        let account = self.outgoing.account.as_ref();
        account.map_or("", |account| account.as_str())
    }
}

/// A request that was refused, for its log line.
pub(crate) struct Refused<'a> {
    /// Its id on the wire.
    pub(crate) id: &'a str,
    /// The account that pays; empty if there is none.
    pub(crate) account: &'a str,
    /// Name of its route.
    pub(crate) route: &'a str,
    /// When its head had been read.
    pub(crate) received_at: Duration,
}

/// Counts a refusal, and logs it unless enough are logged in this second.
pub(crate) fn log_refusal<W: Wire, C: Clock>(
    core: &Core<W, C>,
    refused: &Refused<'_>,
    reason: RefusalReason,
    retry_after: Duration,
    basis: &Basis,
) {
    meters::refused(reason.as_str());
    if !core.log.is_wanted(core.now(), LogEvent::RequestRefused) {
        return;
    }
    let waited = core.now().saturating_sub(refused.received_at);
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
        ("hosts", basis.hosts.into()),
        ("oldest_report_ms", millis(basis.oldest_report_age)),
        ("endpoint", endpoint.into()),
        ("backlog_ms", rounded(basis.backlog_ms)),
        ("first_piece_ms", rounded(basis.first_piece_ms)),
        ("config_version", core.routes.borrow().version().into()),
    ];
    core.log(LogEvent::RequestRefused, &fields);
}

fn rounded(value: f64) -> Value {
    ((value * 100.0).round() / 100.0).into()
}
