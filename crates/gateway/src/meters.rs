//! Counters, gauges and histograms on the metrics page. docs/METRICS.md lists them.

use std::time::Duration;

use metrics::counter;
use metrics::gauge;
use metrics::histogram;
use metrics_exporter_prometheus::BuildError;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use sedgeridge_fleet::attempt_progress::AnswerStage;
use sedgeridge_fleet::config::Repeat;
use sedgeridge_fleet::crash_evidence::Waiver;
use sedgeridge_fleet::dispatcher::DispatchCounts;

/// Upper bounds of the buckets of all histograms, in seconds: from a fraction of the shortest
/// latency target to the longest timeout.
const BUCKETS_S: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 1.0, 2.5, 5.0, 12.0,
];

/// Installs the process's metrics recorder, and returns the handle that renders the metrics page.
///
/// # Errors
///
/// A recorder is installed already.
pub fn install_recorder() -> Result<PrometheusHandle, BuildError> {
    let builder = PrometheusBuilder::new().set_buckets(&BUCKETS_S)?;
    builder.install_recorder()
}

/// Counts a refusal.
pub fn count_refused(reason: &'static str) {
    counter!("sedgeridge_gateway_refused_total", "reason" => reason).increment(1);
}

/// Counts a request that waited for the host's first configuration, by whether it became known in that time.
pub fn count_first_config_wait(is_known: bool) {
    let outcome = match is_known {
        true => "configured",
        false => "refused",
    };
    counter!("sedgeridge_gateway_first_config_waits_total", "outcome" => outcome).increment(1);
}

/// Counts a request that failed after it may have run.
pub fn count_failed(reason: &'static str) {
    counter!("sedgeridge_gateway_failed_total", "reason" => reason).increment(1);
}

/// Counts a failed attempt.
pub fn count_failed_attempt(reason: &'static str) {
    counter!("sedgeridge_gateway_attempts_failed_total", "reason" => reason).increment(1);
}

/// Counts an attempt whose connection was lost, by how much of its answer had arrived.
pub fn count_lost_attempt(answer: AnswerStage) {
    counter!("sedgeridge_gateway_attempts_lost_total", "answer" => answer.as_str()).increment(1);
}

/// Counts a crash of an endpoint under requests that may be its cause.
pub fn count_endpoint_crash() {
    counter!("sedgeridge_gateway_endpoint_crashes_total").increment(1);
}

/// Counts the start or the end of a quarantine.
pub fn count_quarantine(event: &'static str) {
    counter!("sedgeridge_gateway_quarantines_total", "event" => event).increment(1);
}

/// Counts a request that was sent although one of its suspects has been quarantined.
pub fn count_quarantine_waiver(waiver: Waiver) {
    counter!("sedgeridge_gateway_quarantine_waivers_total", "reason" => waiver.as_str())
        .increment(1);
}

/// Counts a notice of an endpoint about itself, sent with a response.
pub fn count_endpoint_notice(notice: &'static str) {
    counter!("sedgeridge_gateway_endpoint_notices_total", "notice" => notice).increment(1);
}

/// Counts a request that ended early: its caller left, it timed out, or its stream broke off.
pub fn count_ended_early(reason: &'static str) {
    counter!("sedgeridge_gateway_ended_early_total", "reason" => reason).increment(1);
}

/// Counts a broken stream that goes on at another endpoint, by whether that one has the software version of the first.
pub fn count_continued_stream(is_same_version: bool) {
    let version = match is_same_version {
        true => "same",
        false => "other",
    };
    counter!("sedgeridge_gateway_streams_continued_total", "version" => version).increment(1);
}

/// Counts a stream that its caller resumes, by where its origin was found.
pub fn count_resumed_stream(origin: &'static str) {
    counter!("sedgeridge_gateway_streams_resumed_total", "origin" => origin).increment(1);
}

/// Counts the origin of a stream, by whether another host has answered that it holds it.
pub fn count_published_origin(is_held: bool) {
    let outcome = match is_held {
        true => "held",
        false => "unanswered",
    };
    counter!("sedgeridge_gateway_origins_published_total", "outcome" => outcome).increment(1);
}

/// Counts a connection that broke, by its peer and the cause.
pub fn count_broken_connection(peer: &'static str, cause: &'static str) {
    counter!("sedgeridge_gateway_connections_broken_total", "peer" => peer, "cause" => cause)
        .increment(1);
}

/// Counts a call to the platform's store.
pub fn count_store_call(table: &'static str, outcome: &'static str) {
    counter!("sedgeridge_gateway_store_calls_total", "table" => table, "outcome" => outcome)
        .increment(1);
}

/// Counts a row of the platform's store that cannot be read.
pub fn count_unusable_row(table: &'static str) {
    counter!("sedgeridge_gateway_unusable_rows_total", "table" => table).increment(1);
}

/// Counts rows that were dropped since a later version of them is known.
pub fn count_outdated_rows(table: &'static str, rows: u64) {
    counter!("sedgeridge_gateway_outdated_rows_total", "table" => table).increment(rows);
}

/// Counts a table that was read anew because the store came back from an older copy.
pub fn count_restored_table(table: &'static str) {
    counter!("sedgeridge_gateway_tables_restored_total", "table" => table).increment(1);
}

/// Counts the bytes of a report to other hosts.
pub fn count_report_bytes(bytes: usize) {
    counter!("sedgeridge_gateway_report_bytes_total").increment(bytes as u64);
}

/// Counts rows that a report to other hosts has no room for.
pub fn count_rows_left_out(rows: u32) {
    if rows > 0 {
        counter!("sedgeridge_gateway_report_rows_left_out_total").increment(u64::from(rows));
    }
}

/// Counts a request that was answered in full.
pub fn count_served(repeat: Repeat) {
    counter!("sedgeridge_gateway_served_total", "kind" => kind_label(repeat)).increment(1);
}

/// Records the time from a request's head to the first bytes of its response.
pub fn record_first_piece(repeat: Repeat, after: Duration) {
    histogram!("sedgeridge_gateway_first_piece_seconds", "kind" => kind_label(repeat))
        .record(after.as_secs_f64());
}

/// Records the time from a request's head until it is sent to an endpoint.
pub fn record_queue_time(repeat: Repeat, time: Duration) {
    histogram!("sedgeridge_gateway_queue_seconds", "kind" => kind_label(repeat))
        .record(time.as_secs_f64());
}

/// Values of a router's gauges.
#[derive(Debug, Clone, Copy)]
pub struct GaugeValues {
    /// Version of the configuration in force; 0 for none.
    pub config_version: u64,
    /// Listed endpoints.
    pub endpoints: usize,
    /// Endpoints that are cold, as far as the host knows.
    pub endpoints_cold: usize,
    /// Data centres that the operator has evacuated.
    pub data_centres_evacuated: usize,
    /// Smallest part of a plain service's requests that is admitted.
    pub admitted_part: f64,
    /// Requests that wait for an endpoint.
    pub queued: usize,
    /// Requests without a final response yet.
    pub unfinished: usize,
    /// Streams whose origin the host knows.
    pub known_streams: usize,
    /// Suspects on record, and those that are refused.
    pub suspects: (usize, usize),
    /// Hosts that report, this one included.
    pub hosts: usize,
    /// Connections that were opened to endpoints.
    pub connections_opened: u64,
    /// Connections to endpoints that wait for their next request.
    pub connections_idle: usize,
    /// Open connections of callers.
    pub callers: usize,
    /// Memory that requests in progress hold.
    pub held_bytes: u64,
    /// Resident memory of the process; `None` if the system does not report it.
    pub resident_bytes: Option<u64>,
    /// Log lines that were dropped.
    pub log_lines_dropped: u64,
}

/// Sets the gauges.
pub fn set_gauges(values: GaugeValues, counts: &DispatchCounts) {
    gauge!("sedgeridge_gateway_config_version").set(values.config_version as f64);
    gauge!("sedgeridge_gateway_endpoints").set(values.endpoints as f64);
    gauge!("sedgeridge_gateway_endpoints_cold").set(values.endpoints_cold as f64);
    gauge!("sedgeridge_gateway_data_centres_evacuated").set(values.data_centres_evacuated as f64);
    gauge!("sedgeridge_gateway_admitted_part").set(values.admitted_part);
    gauge!("sedgeridge_gateway_queued").set(values.queued as f64);
    gauge!("sedgeridge_gateway_unfinished").set(values.unfinished as f64);
    gauge!("sedgeridge_gateway_known_streams").set(values.known_streams as f64);
    let (suspects, refused) = values.suspects;
    gauge!("sedgeridge_gateway_suspects").set(suspects as f64);
    gauge!("sedgeridge_gateway_suspects_refused").set(refused as f64);
    gauge!("sedgeridge_gateway_hosts").set(values.hosts as f64);
    gauge!("sedgeridge_gateway_connections_opened").set(values.connections_opened as f64);
    gauge!("sedgeridge_gateway_connections_idle").set(values.connections_idle as f64);
    gauge!("sedgeridge_gateway_callers").set(values.callers as f64);
    gauge!("sedgeridge_gateway_held_bytes").set(values.held_bytes as f64);
    if let Some(bytes) = values.resident_bytes {
        gauge!("sedgeridge_gateway_resident_bytes").set(bytes as f64);
    }
    gauge!("sedgeridge_gateway_log_lines_dropped").set(values.log_lines_dropped as f64);
    gauge!("sedgeridge_gateway_sent").set(counts.sent as f64);
    gauge!("sedgeridge_gateway_resent").set(counts.resent as f64);
    gauge!("sedgeridge_gateway_resends_denied").set(counts.resends_denied as f64);
}

fn kind_label(repeat: Repeat) -> &'static str {
    match repeat {
        Repeat::Idempotent => "idempotent",
        Repeat::AtMostOnce => "at_most_once",
        Repeat::Stream { resumable: true } => "resumable_stream",
        Repeat::Stream { resumable: false } => "stream",
    }
}
