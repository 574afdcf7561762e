//! What is logged and counted about one request.

use std::time::Duration;

use sedgeridge_fleet::endpoint_table::Endpoint;
use sedgeridge_fleet::verdict::Basis;
use sedgeridge_fleet::verdict::Failure;
use sedgeridge_fleet::verdict::RefusalReason;
use serde_json::Value;

use crate::call::Call;
use crate::clock::Clock;
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
        meters::refused(reason.as_str());
        if !self
            .core
            .log
            .is_wanted(self.core.now(), LogEvent::RequestRefused)
        {
            return;
        }
        let waited = self.core.now().saturating_sub(self.received_at);
        let endpoint = basis.endpoint.as_ref().map(|endpoint| endpoint.id.as_str());
        let fields = [
            ("request", (*self.outgoing.id).into()),
            ("account", self.account_name().into()),
            ("route", (*self.route.name).into()),
            ("reason", reason.as_str().into()),
            ("retry_after_ms", millis(retry_after)),
            ("waited_ms", millis(waited)),
            ("standing", rounded(basis.standing)),
            ("asked", rounded(basis.asked)),
            ("least_standing", rounded(basis.least_standing)),
            ("queued", basis.queued.into()),
            ("hosts", basis.hosts.into()),
            ("oldest_report_ms", millis(basis.oldest_report)),
            ("endpoint", endpoint.into()),
            ("backlog_ms", rounded(basis.backlog_ms)),
            ("first_piece_ms", rounded(basis.first_piece_ms)),
            ("config_version", self.core.routes.borrow().version().into()),
        ];
        self.core.log(LogEvent::RequestRefused, &fields);
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

fn rounded(value: f64) -> Value {
    ((value * 100.0).round() / 100.0).into()
}
