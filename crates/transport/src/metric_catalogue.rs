//! Generates docs/METRICS.md, which lists every metric with its labels.

use std::fmt::Write;

use sedgeridge_coordination::refusal::RefusalReason;
use sedgeridge_coordination::retry_budget::RetryReason;

const INTRODUCTION: &str = "\
# Metrics

Made from the code; `cargo run -p sedgeridge-transport --example catalogue` prints it anew. `/metrics` on a process's operator address serves them as text for Prometheus. A counter that
has never counted is absent.

| metric | kind | label | values | meaning |
| --- | --- | --- | --- | --- |
";

/// Type of a metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Counter,
    Gauge,
    Histogram,
}

/// A metric of the catalogue.
#[derive(Debug)]
pub struct Metric {
    /// Name of the metric.
    pub name: &'static str,
    kind: Kind,
    label: &'static str,
    values: Values,
    meaning: &'static str,
}

#[derive(Debug)]
enum Values {
    Fixed(&'static str),
    RefusalReasons,
    RetryReasons,
}

const fn gauge(name: &'static str, meaning: &'static str) -> Metric {
    Metric {
        name,
        kind: Kind::Gauge,
        label: "",
        values: Values::Fixed(""),
        meaning,
    }
}

const fn histogram(name: &'static str, meaning: &'static str) -> Metric {
    Metric {
        name,
        kind: Kind::Histogram,
        label: "kind",
        values: Values::Fixed("idempotent, at_most_once, resumable_stream, stream"),
        meaning,
    }
}

const fn counter(
    name: &'static str,
    label: &'static str,
    values: Values,
    meaning: &'static str,
) -> Metric {
    Metric {
        name,
        kind: Kind::Counter,
        label,
        values,
        meaning,
    }
}

/// All metrics, in the order of the page.
pub const METRICS: &[Metric] = &[
    counter(
        "sedgeridge_answers_total",
        "",
        Values::Fixed(""),
        "answers that began",
    ),
    counter(
        "sedgeridge_connections_closed_total",
        "reason",
        Values::Fixed("header_timeout, idle, never_used, not_reading"),
        "callers' connections that the router closed by its limits",
    ),
    gauge(
        "sedgeridge_connections_open",
        "callers' connections, those that are refused included",
    ),
    counter(
        "sedgeridge_coordinator_calls_total",
        "result",
        Values::Fixed("no_room"),
        "calls of the coordinator that found its ring full",
    ),
    counter(
        "sedgeridge_drain_announcements_total",
        "result",
        Values::Fixed("told, failed"),
        "drains that the coordinator asked routers for",
    ),
    counter(
        "sedgeridge_gateway_attempts_failed_total",
        "reason",
        Values::Fixed(
            "not_connected, turned_away, misdirected, connection_lost, spoiled_answer, server_error, \
             timed_out",
        ),
        "attempts of a router on the users' platform that failed",
    ),
    counter(
        "sedgeridge_gateway_attempts_lost_total",
        "answer",
        Values::Fixed("not_begun, begun, sound"),
        "attempts whose connection was lost, by how much of the answer had arrived",
    ),
    counter(
        "sedgeridge_gateway_endpoint_crashes_total",
        "",
        Values::Fixed(""),
        "endpoints that crashed under requests of this host whose answers had not begun or had just begun",
    ),
    counter(
        "sedgeridge_gateway_quarantines_total",
        "event",
        Values::Fixed("started, cleared"),
        "parts of prompts and requests that crash endpoints: quarantines that started, and that an answer ended",
    ),
    counter(
        "sedgeridge_gateway_quarantine_waivers_total",
        "reason",
        Values::Fixed("common, other_part, trial"),
        "requests that were sent although a part of their prompt, or their whole content, has been quarantined",
    ),
    gauge(
        "sedgeridge_gateway_suspects",
        "parts of prompts and requests that may crash endpoints, those that are cleared included",
    ),
    gauge(
        "sedgeridge_gateway_suspects_refused",
        "parts of prompts and requests that are refused since they crash endpoints",
    ),
    counter(
        "sedgeridge_gateway_endpoint_notices_total",
        "notice",
        Values::Fixed("leaving, pause, unusable_load"),
        "answers in which an endpoint said that it is about to stop, asked for time without requests, or stated a load that \
         cannot be read",
    ),
    gauge(
        "sedgeridge_gateway_callers",
        "connections of callers that are open",
    ),
    gauge(
        "sedgeridge_gateway_config_version",
        "version of the configuration in force",
    ),
    counter(
        "sedgeridge_gateway_connections_broken_total",
        "peer, cause",
        Values::Fixed("client, server; silent, not_read, too_much_read, timed_out, reset, other"),
        "connections that broke: those that clients opened and those that this host opened; silent: the peer answered nothing, not_read: it answered and read nothing in its time, too_much_read: it sent more than a response may have before its body, else the system's error",
    ),
    gauge(
        "sedgeridge_gateway_connections_idle",
        "connections to endpoints that wait for their next request",
    ),
    gauge(
        "sedgeridge_gateway_connections_opened",
        "connections that were opened to endpoints since the start",
    ),
    counter(
        "sedgeridge_gateway_ended_early_total",
        "reason",
        Values::Fixed("caller_left, timed_out, cut, stopping"),
        "requests that ended without an answer in full",
    ),
    gauge("sedgeridge_gateway_endpoints", "endpoints that are listed"),
    gauge(
        "sedgeridge_gateway_endpoints_cold",
        "endpoints that are cold, as far as this host knows",
    ),
    gauge(
        "sedgeridge_gateway_data_centres_evacuated",
        "data centres that the operator has evacuated",
    ),
    counter(
        "sedgeridge_gateway_failed_total",
        "reason",
        Values::Fixed("as sedgeridge_gateway_attempts_failed_total"),
        "requests that failed after they may have run",
    ),
    counter(
        "sedgeridge_gateway_first_config_waits_total",
        "outcome",
        Values::Fixed("configured, refused"),
        "requests that waited for a starting host's first configuration, and whether it came in time",
    ),
    histogram(
        "sedgeridge_gateway_first_piece_seconds",
        "time from a request's head to the first piece of its answer",
    ),
    gauge(
        "sedgeridge_gateway_held_bytes",
        "memory that requests in progress hold, their bodies included",
    ),
    gauge(
        "sedgeridge_gateway_known_streams",
        "streams that may be resumed and whose origin this host knows, begun here or held for other hosts",
    ),
    gauge(
        "sedgeridge_gateway_hosts",
        "hosts that report, this one included",
    ),
    gauge(
        "sedgeridge_gateway_log_lines_dropped",
        "log lines that were dropped since standard output was not read",
    ),
    gauge(
        "sedgeridge_gateway_admitted_part",
        "smallest part of a service's requests without prompts that this host admits; 1 without a shortage",
    ),
    counter(
        "sedgeridge_gateway_origins_published_total",
        "outcome",
        Values::Fixed("held, unanswered"),
        "streams that began or were resumed, and whether another host has answered that it holds their origin",
    ),
    gauge(
        "sedgeridge_gateway_queued",
        "requests that wait for an endpoint",
    ),
    histogram(
        "sedgeridge_gateway_queue_seconds",
        "time from a request's head to its first send",
    ),
    counter(
        "sedgeridge_gateway_outdated_rows_total",
        "table",
        Values::Fixed("config, endpoints, hosts"),
        "rows that were dropped since a later version of them is known",
    ),
    counter(
        "sedgeridge_gateway_refused_total",
        "reason",
        Values::Fixed(
            "over_share, overload, no_endpoint, quarantined, turned_away, out_of_time, host_busy, no_memory, stopping",
        ),
        "requests that were refused unrun",
    ),
    counter(
        "sedgeridge_gateway_report_bytes_total",
        "",
        Values::Fixed(""),
        "bytes of reports to other hosts, without headers of datagrams",
    ),
    counter(
        "sedgeridge_gateway_report_rows_left_out_total",
        "",
        Values::Fixed(""),
        "endpoints and accounts that reports to other hosts had no room for",
    ),
    gauge(
        "sedgeridge_gateway_resends_denied",
        "sends to a second endpoint that the budget did not allow, since the start",
    ),
    gauge(
        "sedgeridge_gateway_resent",
        "sends to a second endpoint since the start",
    ),
    gauge(
        "sedgeridge_gateway_resident_bytes",
        "memory of the process, as the system tells it",
    ),
    gauge(
        "sedgeridge_gateway_sent",
        "requests that were sent to an endpoint since the start",
    ),
    counter(
        "sedgeridge_gateway_served_total",
        "kind",
        Values::Fixed("idempotent, at_most_once, resumable_stream, stream"),
        "requests that were answered in full",
    ),
    counter(
        "sedgeridge_gateway_streams_continued_total",
        "version",
        Values::Fixed("same, other"),
        "broken streams that went on at another endpoint, and whether it has the software version of the first",
    ),
    counter(
        "sedgeridge_gateway_streams_resumed_total",
        "origin",
        Values::Fixed("own_host, other_host, sole_version, unknown"),
        "streams that callers resumed, and how their origin was found; unknown ones are refused",
    ),
    counter(
        "sedgeridge_gateway_store_calls_total",
        "table, outcome",
        Values::Fixed("config, endpoints, hosts; answered, failed, history_gone, outdated"),
        "calls to the platform's store that read a table",
    ),
    counter(
        "sedgeridge_gateway_tables_restored_total",
        "table",
        Values::Fixed("config, endpoints, hosts"),
        "tables that were read anew because the platform's store came back from an older copy",
    ),
    gauge(
        "sedgeridge_gateway_unfinished",
        "requests that have no final answer yet",
    ),
    counter(
        "sedgeridge_gateway_unusable_rows_total",
        "table",
        Values::Fixed("config, endpoints, hosts"),
        "rows of the platform's store that cannot be read; an endpoint's row then names no endpoint, a configuration leaves the one in force",
    ),
    counter(
        "sedgeridge_home_grants_total",
        "result",
        Values::Fixed("given, timed_out, late"),
        "grants of the pools homed here; timed out when not acknowledged, late when in use after that",
    ),
    counter(
        "sedgeridge_home_rejections_total",
        "reason",
        Values::Fixed(
            "wrong_pool, not_a_member, older_incarnation, repeated_sequence, sequence_gap, \
             unknown_run, absurd_counter, served_went_down, unknown_account, unknown_endpoint",
        ),
        "reports of entry routers, or items of them, that a pool's home did not take",
    ),
    counter(
        "sedgeridge_host_list_reads_total",
        "result",
        Values::Fixed("read, failed"),
        "reads of the platform's host list",
    ),
    gauge(
        "sedgeridge_lease_fencing_number",
        "fencing number of the lease as last read",
    ),
    gauge(
        "sedgeridge_lease_held",
        "1 on the coordinator that holds the lease, else 0",
    ),
    counter(
        "sedgeridge_load_reads_total",
        "result",
        Values::Fixed("read, failed, no_room"),
        "reads of endpoints' load reports",
    ),
    gauge(
        "sedgeridge_members_live",
        "members believed live, this one included",
    ),
    counter(
        "sedgeridge_membership_rejections_total",
        "reason",
        Values::Fixed(
            "unknown_sender, unknown_subject, stale_incarnation, absurd_incarnation, \
             absurd_refutations, absurd_generation, absurd_notice, own_name, self_accusation, \
             oversized, sync_too_often",
        ),
        "membership messages, or parts of them, that were refused and changed nothing",
    ),
    counter(
        "sedgeridge_orders_ended_total",
        "state",
        Values::Fixed("intended, done, refused"),
        "orders to engines that ended",
    ),
    gauge("sedgeridge_orders_open", "orders under way"),
    counter(
        "sedgeridge_orders_sent_total",
        "result",
        Values::Fixed("done, old_fencing, refused, unknown"),
        "orders sent to engines",
    ),
    counter(
        "sedgeridge_peer_bytes_total",
        "direction",
        Values::Fixed("in, out"),
        "bytes of messages between routers, without headers",
    ),
    counter(
        "sedgeridge_peer_drops_total",
        "reason",
        Values::Fixed(
            "core_full, link_broken, link_down, link_full, malformed, ring_full, unknown_host",
        ),
        "messages between routers that were lost or refused here",
    ),
    counter(
        "sedgeridge_peer_messages_total",
        "direction",
        Values::Fixed("in, out"),
        "messages between routers",
    ),
    counter(
        "sedgeridge_peer_sent_total",
        "kind",
        Values::Fixed("report, full_report, full_report_wanted, grant, poison, config"),
        "messages to other routers on their links",
    ),
    counter(
        "sedgeridge_peer_wire_bytes_total",
        "direction",
        Values::Fixed("in, out"),
        "bytes of messages between routers, with an estimate of the headers",
    ),
    gauge("sedgeridge_pools_homed", "pools whose home this router is"),
    counter(
        "sedgeridge_refusals_total",
        "reason",
        Values::RefusalReasons,
        "requests that got no whole answer",
    ),
    counter(
        "sedgeridge_replays_total",
        "",
        Values::Fixed(""),
        "repeats that got the answer on record",
    ),
    gauge("sedgeridge_requests_running", "requests that run"),
    gauge("sedgeridge_requests_waiting", "requests that wait"),
    counter(
        "sedgeridge_retries_denied_total",
        "reason",
        Values::Fixed(
            "not_repeatable, attempts_used, deadline_near, account_budget, router_budget",
        ),
        "failed attempts after which no other was made",
    ),
    counter(
        "sedgeridge_retries_total",
        "reason",
        Values::RetryReasons,
        "attempts that failed and are followed by another",
    ),
    counter(
        "sedgeridge_table_calls_total",
        "result",
        Values::Fixed("committed, conflict, rows, unavailable, unknown, no_room"),
        "calls of the table service",
    ),
];

/// Returns the text of docs/METRICS.md.
///
/// ```
/// use sedgeridge_transport::metric_catalogue::metrics_page;
///
/// assert!(metrics_page().contains("| `queue_full` | 503 | not-run | yes |"));
/// ```
pub fn metrics_page() -> String {
    let mut page = INTRODUCTION.to_owned();
    for metric in METRICS {
        let kind = match metric.kind {
            Kind::Counter => "counter",
            Kind::Gauge => "gauge",
            Kind::Histogram => "histogram",
        };
        let values = match metric.values {
            Values::Fixed(values) => values.to_owned(),
            Values::RefusalReasons => "see below".to_owned(),
            Values::RetryReasons => RetryReason::ALL.map(RetryReason::as_str).join(", "),
        };
        let Metric {
            name,
            label,
            meaning,
            ..
        } = metric;
        writeln!(
            page,
            "| `{name}` | {kind} | {label} | {values} | {meaning} |"
        )
        .expect("writing to a string cannot fail");
    }
    page.push_str(&refusal_table());
    page
}

fn refusal_table() -> String {
    let mut table = "\n## Refusal reasons\n\n\
        The header `x-sedgeridge-reason` carries the same name. The outcome is the one that the\n\
        reason has by itself; a request of which an attempt may have run is told `unknown`.\n\n\
        | reason | status | outcome | Retry-After |\n| --- | --- | --- | --- |\n"
        .to_owned();
    for reason in RefusalReason::ALL {
        let (status, outcome) = (reason.status(), reason.outcome().as_str());
        let retry_after = if reason.offers_retry_after() {
            "yes"
        } else {
            "no"
        };
        writeln!(
            table,
            "| `{reason}` | {status} | {outcome} | {retry_after} |"
        )
        .expect("writing to a string cannot fail");
    }
    table
}
