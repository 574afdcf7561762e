//! Schema of the sections without a name, each of which occurs once.

use super::Fallback::Mandatory;
use super::Fallback::Unset;
use super::Fallback::Value;
use super::Scope::Fleet;
use super::Scope::Site;
use super::SectionSchema;
use super::Unit::Bytes;
use super::Unit::Count;
use super::Unit::Milliseconds;
use super::Unit::Percent;
use super::ValueKind::Address;
use super::ValueKind::Choice;
use super::ValueKind::Name;
use super::integer;
use super::key;

/// Schema of `[fleet]`.
pub(super) const FLEET: SectionSchema = SectionSchema {
    name: "fleet",
    is_named: false,
    doc: "What names this deployment.",
    keys: &[key(
        "name",
        Name,
        Mandatory,
        Fleet,
        "Name of the deployment, shown on operator pages.",
    )],
};

/// Schema of `[front]`.
pub(super) const FRONT: SectionSchema = SectionSchema {
    name: "front",
    is_named: false,
    doc: "Limits towards callers.",
    keys: &[
        key(
            "max_body_bytes",
            integer(Bytes, 1_024, 1_073_741_824),
            Value("1048576"),
            Site,
            "Largest request body that is read; at most `max_held_body_bytes_per_account`.",
        ),
        key(
            "max_held_body_bytes",
            integer(Bytes, 1_024, 17_179_869_184),
            Value("16777216"),
            Site,
            "Most bytes of request bodies that one router holds at a time, in requests that wait or run; what finds no room is refused. A quarter of the process's memory leaves room for answers and connections. Read at the start.",
        ),
        key(
            "max_held_body_bytes_per_account",
            integer(Bytes, 1_024, 17_179_869_184),
            Value("8388608"),
            Site,
            "Most bytes of request bodies of one client account that one router holds at a time; at most `max_held_body_bytes`. Read at the start.",
        ),
        key(
            "header_timeout_ms",
            integer(Milliseconds, 10, 600_000),
            Value("5000"),
            Site,
            "Time a caller has to send a whole request head.",
        ),
        key(
            "idle_timeout_ms",
            integer(Milliseconds, 10, 3_600_000),
            Value("60000"),
            Site,
            "Time an idle kept-alive connection stays open.",
        ),
        key(
            "max_connections",
            integer(Count, 1, 1_000_000),
            Value("2048"),
            Site,
            "Most open caller connections of one router.",
        ),
        key(
            "max_queue",
            integer(Count, 1, 1_000_000),
            Value("4096"),
            Site,
            "Most requests that wait in one router.",
        ),
        key(
            "max_queue_per_account",
            integer(Count, 1, 1_000_000),
            Value("256"),
            Site,
            "Most requests of one client account that wait in one router; at most `max_queue`.",
        ),
        key(
            "default_deadline_ms",
            integer(Milliseconds, 1, 3_600_000),
            Value("60000"),
            Site,
            "Deadline of a request whose caller names none; at most `max_deadline_ms`.",
        ),
        key(
            "max_deadline_ms",
            integer(Milliseconds, 1, 3_600_000),
            Value("600000"),
            Site,
            "Latest deadline a caller may ask for.",
        ),
    ],
};

/// Schema of `[fair]`.
pub(super) const FAIR: SectionSchema = SectionSchema {
    name: "fair",
    is_named: false,
    doc: "The order between client accounts. The baselines `router`, `fifo` and `random` are for comparison.",
    keys: &[
        key(
            "scope",
            Choice(&["fleet", "router"]),
            Value("fleet"),
            Fleet,
            "How far the order reaches.",
        ),
        key(
            "order",
            Choice(&["fair", "fifo"]),
            Value("fair"),
            Fleet,
            "How waiting requests are ordered.",
        ),
        key(
            "endpoint_choice",
            Choice(&["affinity", "random"]),
            Value("affinity"),
            Fleet,
            "How an endpoint is picked for a request.",
        ),
        key(
            "output_token_factor",
            integer(Count, 1, 1_000),
            Value("4"),
            Fleet,
            "Weight of one output token against one uncached input token.",
        ),
        key(
            "batch_interval_ms",
            integer(Milliseconds, 1, 1_000),
            Value("1"),
            Fleet,
            "Longest time peer messages are gathered into one.",
        ),
        key(
            "report_interval_ms",
            integer(Milliseconds, 1, 10_000),
            Value("200"),
            Fleet,
            "Longest time that news wait on which no work waits.",
        ),
        key(
            "grant_span_ms",
            integer(Milliseconds, 0, 10_000),
            Value("200"),
            Fleet,
            "Time in which one grant may be used for further short requests of its account; 0 makes every grant cover one request.",
        ),
        key(
            "grant_timeout_ms",
            integer(Milliseconds, 10, 60_000),
            Value("1000"),
            Fleet,
            "Time after which an unused grant returns to its home.",
        ),
        key(
            "gather_timeout_ms",
            integer(Milliseconds, 10, 60_000),
            Value("300"),
            Fleet,
            "Longest time a new home waits for full reports before it grants.",
        ),
    ],
};

/// Schema of `[retry]`.
pub(super) const RETRY: SectionSchema = SectionSchema {
    name: "retry",
    is_named: false,
    doc: "Repeated attempts.",
    keys: &[
        key(
            "max_attempts",
            integer(Count, 1, 10),
            Value("3"),
            Fleet,
            "Most attempts of one repeatable request.",
        ),
        key(
            "budget_percent",
            integer(Percent, 0, 100),
            Value("20"),
            Fleet,
            "Retries allowed for each hundred successes.",
        ),
        key(
            "base_backoff_ms",
            integer(Milliseconds, 1, 10_000),
            Value("25"),
            Fleet,
            "First backoff; it doubles with each attempt and is jittered.",
        ),
    ],
};

/// Schema of `[health]`.
pub(super) const HEALTH: SectionSchema = SectionSchema {
    name: "health",
    is_named: false,
    doc: "Endpoints that fail.",
    keys: &[
        key(
            "connect_timeout_ms",
            integer(Milliseconds, 1, 60_000),
            Value("500"),
            Site,
            "Time to open a connection to an endpoint.",
        ),
        key(
            "stream_idle_timeout_ms",
            integer(Milliseconds, 10, 600_000),
            Value("5000"),
            Site,
            "Longest silence of an answer in progress.",
        ),
        key(
            "report_interval_ms",
            integer(Milliseconds, 10, 60_000),
            Value("250"),
            Site,
            "Time between reads of an endpoint's load report.",
        ),
        key(
            "eject_after_failures",
            integer(Count, 1, 1_000),
            Value("3"),
            Fleet,
            "Failures in a row after which an endpoint is ejected.",
        ),
        key(
            "eject_ms",
            integer(Milliseconds, 1, 600_000),
            Value("2000"),
            Fleet,
            "First ejection time; it doubles with each further ejection.",
        ),
        key(
            "max_ejected_percent",
            integer(Percent, 0, 100),
            Value("50"),
            Fleet,
            "Largest share of a pool that may be ejected at once.",
        ),
        key(
            "poison_after_crashes",
            integer(Count, 1, 100),
            Value("2"),
            Fleet,
            "Distinct endpoints that a request may crash before it is quarantined.",
        ),
        key(
            "poison_quarantine_ms",
            integer(Milliseconds, 1, 86_400_000),
            Value("300000"),
            Fleet,
            "Time a quarantined request stays refused.",
        ),
    ],
};

/// Schema of `[membership]`.
pub(super) const MEMBERSHIP: SectionSchema = SectionSchema {
    name: "membership",
    is_named: false,
    doc: "Heartbeats between routers.",
    keys: &[
        key(
            "probe_interval_ms",
            integer(Milliseconds, 10, 60_000),
            Value("500"),
            Fleet,
            "Time between two probes by one router.",
        ),
        key(
            "probe_timeout_ms",
            integer(Milliseconds, 1, 60_000),
            Value("200"),
            Fleet,
            "Time after which an unanswered probe is tried through others; less than `probe_interval_ms`.",
        ),
        key(
            "indirect_probes",
            integer(Count, 0, 100),
            Value("3"),
            Fleet,
            "Routers asked to probe on one's behalf.",
        ),
        key(
            "suspicion_ms",
            integer(Milliseconds, 10, 600_000),
            Value("1500"),
            Fleet,
            "Shortest time a suspected router has to refute the suspicion; up to four times as long until others confirm it.",
        ),
        key(
            "gossip_interval_ms",
            integer(Milliseconds, 1, 60_000),
            Value("100"),
            Fleet,
            "Shortest time between two messages that only carry news.",
        ),
        key(
            "gossip_fanout",
            integer(Count, 1, 100),
            Value("3"),
            Fleet,
            "Routers told at once of news.",
        ),
        key(
            "sync_interval_ms",
            integer(Milliseconds, 100, 3_600_000),
            Value("5000"),
            Fleet,
            "Time between comparisons of the whole table with another router.",
        ),
        key(
            "rejoin_interval_ms",
            integer(Milliseconds, 100, 3_600_000),
            Value("5000"),
            Fleet,
            "Time between attempts to reach routers that are named but not live.",
        ),
        key(
            "pause_ms",
            integer(Milliseconds, 10, 600_000),
            Value("1000"),
            Fleet,
            "Lateness of a timer from which on a process takes itself for having been paused.",
        ),
    ],
};

/// Schema of `[platform]`.
pub(super) const PLATFORM: SectionSchema = SectionSchema {
    name: "platform",
    is_named: false,
    doc: "The platform's services, and where the configuration in force comes from.",
    keys: &[
        key(
            "configuration",
            Choice(&["files", "table"]),
            Value("files"),
            Fleet,
            "Source of the configuration in force. `files`: the files given at the start, until the end. `table`: the accepted configuration; the files only say where the table is.",
        ),
        key(
            "table_address",
            Address,
            Unset,
            Site,
            "The transactional table service.",
        ),
        key("object_address", Address, Unset, Site, "The object store."),
        key(
            "host_list_address",
            Address,
            Unset,
            Site,
            "The lagging list of live and leaving hosts.",
        ),
        key(
            "weight_store_address",
            Address,
            Unset,
            Site,
            "The rate-limited weight store.",
        ),
        key(
            "call_timeout_ms",
            integer(Milliseconds, 1, 60_000),
            Value("1000"),
            Site,
            "Time allowed for one call.",
        ),
    ],
};
